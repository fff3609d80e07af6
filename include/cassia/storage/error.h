/// Errors of the storage layer.
#pragma once

#include "cassia/base/outcome.h"

namespace cassia::storage {

enum class errc {
    cannot_open,  ///< the folder or a file can't be opened or made
    cannot_read,  ///< the system refused a read
    cannot_write, ///< the system refused a write or a sync: what was written may be lost
    no_space,     ///< the disk took nothing; the same write may be tried again
    corrupt,      ///< a record that was once synced is damaged
    missing,      ///< no such file or record
};

using error = layer_error<errc>;

template <class T>
using result = outcome<T, error>;

} // namespace cassia::storage
