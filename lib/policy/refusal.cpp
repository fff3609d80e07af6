#include "cassia/policy/refusal.h"

#include <algorithm>

namespace cassia::policy {

namespace {
// After a restart of the whole control group, gateways mostly have the route table within this
// time.
constexpr milliseconds max_wait(200);
// A caller is told to wait for at most 1/divisor of its remaining time.
constexpr int retry_wait_divisor = 3;
// Part of the remaining time for which a request is held whose caller has no time for a retry.
constexpr int no_retry_wait_percent = 80;
// A control group that restarts as a whole elects its leader within 0.25 to 0.5 s, and gateways
// have its table some 20 ms later.
constexpr milliseconds table_expected_after(600);
// The retries of callers refused in the first half second are spread over this time.
constexpr milliseconds retry_spread(500);
} // namespace

milliseconds route_table_wait(milliseconds remaining, bool can_retry) {
    return can_retry ? std::min(max_wait, remaining) : remaining * no_retry_wait_percent / 100;
}

// Without a Retry-After, callers would retry at once, be refused again, and have no attempt left
// when the table arrives.
std::optional<milliseconds> route_table_retry_after(milliseconds remaining,
                                                    double random_fraction) {
    const milliseconds max_retry_after = remaining / retry_wait_divisor;
    if (max_retry_after < table_expected_after)
        return std::nullopt;
    const milliseconds jitter = std::min(retry_spread, max_retry_after - table_expected_after);
    return table_expected_after + milliseconds(static_cast<std::int64_t>(
                                      random_fraction * static_cast<double>(jitter.count())));
}

} // namespace cassia::policy
