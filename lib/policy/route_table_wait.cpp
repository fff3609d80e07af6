#include "cassia/policy/route_table_wait.h"

#include <algorithm>

namespace cassia::policy {

namespace {
// A group that starts anew as a whole mostly has a leader, and the gateways its table, within this.
constexpr milliseconds routes_awaited(200);
// Callers wait for a third of the time they have left at most.
constexpr int longest_part = 3;
// Part of its time that a caller who has none to come back is kept for.
constexpr int latest_percent = 80;
// A control group that starts anew as a whole elects its leader within 0.25 to 0.5 s, and its table
// is with the gateways some 20 ms later.
constexpr milliseconds routes_return(600);
// All callers of the first half second come back in this time, one after the other.
constexpr milliseconds spread(500);
} // namespace

milliseconds route_table_wait(milliseconds left, bool may_come_back) {
    return may_come_back ? std::min(routes_awaited, left) : left * latest_percent / 100;
}

// Without a time callers would come back at once, be turned away again, and have no try left when
// the table is there.
std::optional<milliseconds> route_table_retry_after(milliseconds left, double draw) {
    const milliseconds longest = left / longest_part;
    if (longest < routes_return)
        return std::nullopt;
    const milliseconds room = std::min(spread, longest - routes_return);
    return routes_return +
           milliseconds(static_cast<std::int64_t>(draw * static_cast<double>(room.count())));
}

} // namespace cassia::policy
