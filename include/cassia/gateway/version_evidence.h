#pragma once

#include "cassia/base/ids.h"

#include <optional>

namespace cassia::gateway {

/// Which software version a service had lately, as far as this gateway knows.
struct version_evidence {
    std::optional<software_version> only; ///< nothing if there were several, or one isn't known
    bool is_current = false; ///< a majority of the control keepers knew no other one when asked
};

} // namespace cassia::gateway
