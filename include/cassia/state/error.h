/// Errors of the state layer.
#pragma once

#include "cassia/base/outcome.h"

namespace cassia::state {

enum class errc {
    bad_command, ///< the record isn't a command of this group
    bad_image,   ///< the snapshot can't be read
    lost_body,   ///< the log no longer holds a body that the state refers to
};

using error = layer_error<errc>;

template <class T>
using result = outcome<T, error>;

} // namespace cassia::state
