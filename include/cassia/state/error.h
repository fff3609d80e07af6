/// Errors of the state layer.
#pragma once

#include "cassia/base/outcome.h"

namespace cassia::state {

enum class errc {
    bad_command, ///< the record isn't a command of this group
    bad_image,   ///< the serialized state can't be parsed or is inconsistent
    lost_body,   ///< the log no longer holds a record that the state refers to
};

using error = layer_error<errc>;

template <class T>
using result = outcome<T, error>;

} // namespace cassia::state
