/// When a caller that is turned away should come back. Pure.
#pragma once

#include "cassia/base/clock.h"

#include <optional>

namespace cassia::policy {

/// How long a gateway that has no table of routes yet keeps a caller, before it turns it away.
/// \param may_come_back whether the caller has time to come back.
milliseconds route_table_wait(milliseconds left, bool may_come_back);

/// For a gateway that has no table of routes yet: when to come back, or nothing if the caller has
/// no time for that, and is better kept until the table is there.
/// \param left time that the caller still has.
/// \param draw 0 to 1; spreads the callers.
std::optional<milliseconds> route_table_retry_after(milliseconds left, double draw);

} // namespace cassia::policy
