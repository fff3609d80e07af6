/// Errors of the storage layer.
#pragma once

#include "cassia/base/outcome.h"

namespace cassia::storage {

enum class errc {
    cannot_open,  ///< the folder can't be created
    cannot_read,  ///< a read failed
    cannot_write, ///< a write or a sync failed: what was written may be lost
    no_space,     ///< the disk or the quota is full; the same write may be retried
    corrupt,      ///< a record that had been synced is damaged
    missing,      ///< no such file or record
};

using error = layer_error<errc>;

template <class T>
using result = outcome<T, error>;

} // namespace cassia::storage
