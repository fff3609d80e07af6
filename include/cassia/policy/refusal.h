/// How a gateway without a route table treats callers: wait or refuse with a retry time. Pure.
#pragma once

#include "cassia/base/clock.h"

#include <optional>

namespace cassia::policy {

/// How long a gateway that has no route table yet holds a request before it refuses it.
/// \param can_retry whether the caller has time for a retry.
milliseconds route_table_wait(milliseconds remaining, bool can_retry);

/// Retry-After for a request that is refused for want of a route table; nothing if the caller has
/// no time for a retry, and its request should be held until the table arrives. \param remaining
/// time until the caller's deadline. \param random_fraction 0 to 1; spreads the retries.
std::optional<milliseconds> route_table_retry_after(milliseconds remaining, double random_fraction);

} // namespace cassia::policy
