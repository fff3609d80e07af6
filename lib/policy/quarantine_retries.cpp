#include "cassia/policy/quarantine_retries.h"

#include <algorithm>
#include <numeric>
#include <utility>

namespace cassia::policy {

namespace {
// An accepted item has to be run again within 20 s, also if others are due at the same time and
// their runs are long.
constexpr milliseconds max_idle_time(12000);
// Items that are idle for so long go with one that is due.
constexpr milliseconds min_idle_time(6000);
constexpr std::uint32_t max_pause_doublings = 3;
constexpr std::size_t max_known_parts = 4096;
constexpr std::size_t max_known_items = 4096;
// Longer than the longest pause of an item.
constexpr milliseconds run_retention(60000);
} // namespace

// Of items that crash endpoints for a reason of their own others must not depend.
static bool may_run_alone(const retry_history& one, instant now) {
    return one.crashes == 0 ||
           now - one.alone_until >=
               retry_interval * (1U << std::min(one.crashes - 1, max_pause_doublings));
}

std::vector<std::size_t> quarantine_retries::select(const fingerprint& part,
                                                    const std::vector<retry_history>& waiting,
                                                    bool outlasted, instant now) const {
    std::vector<std::size_t> order(waiting.size());
    std::iota(order.begin(), order.end(), std::size_t{0});
    std::sort(order.begin(), order.end(),
              [&waiting](auto a, auto b) { return waiting[a].idle_since < waiting[b].idle_since; });
    const bool is_due =
        outlasted || (!order.empty() && now - waiting[order.front()].idle_since >= max_idle_time);
    if (is_due) {
        const milliseconds least = outlasted ? retry_interval : min_idle_time;
        std::erase_if(order, [&waiting, least, now](auto one) {
            return now - waiting[one].idle_since < least;
        });
        return order;
    }
    auto last = alone_at_.find(part);
    if (last != alone_at_.end() && now - last->second < retry_interval)
        return {};
    std::erase_if(order, [&waiting, now](auto one) { return !may_run_alone(waiting[one], now); });
    auto first = std::min_element(order.begin(), order.end(), [&waiting](auto a, auto b) {
        return waiting[a].crashes < waiting[b].crashes;
    });
    if (first == order.end())
        return {};
    return {*first};
}

void quarantine_retries::record_grant(const fingerprint& part, std::size_t items, instant now) {
    std::erase_if(alone_at_,
                  [now](const auto& one) { return now - one.second >= 2 * retry_interval; });
    if (items == 1 && alone_at_.size() < max_known_parts)
        alone_at_[part] = now;
}

void quarantine_retries::withdraw_grant(const fingerprint& part, instant granted_at) {
    auto last = alone_at_.find(part);
    if (last != alone_at_.end() && last->second == granted_at)
        alone_at_.erase(last);
}

void quarantine_retries::record_run(const retried_item& item, bool alone, bool failed,
                                    instant now) {
    std::erase_if(runs_,
                  [now](const auto& one) { return now - one.second.last_end >= run_retention; });
    if (runs_.size() >= max_known_items && runs_.count(item) == 0)
        return;
    granted_runs& runs = runs_[item];
    runs.previous_end = std::exchange(runs.last_end, now);
    if (!alone)
        return;
    runs.crashes += failed ? 1 : 0;
    runs.alone_until = now;
}

// The endpoint of the last run may have ended before the run began, which the item's gateway sees.
// So the item may have been idle since the run before it.
retry_history quarantine_retries::bound(const retried_item& item, const retry_history& stated,
                                        instant now) const {
    retry_history bounded = stated;
    auto found = runs_.find(item);
    if (found != runs_.end()) {
        const granted_runs& runs = found->second;
        bounded.idle_since = std::max(bounded.idle_since, runs.previous_end);
        bounded.crashes = std::max(bounded.crashes, runs.crashes);
        bounded.alone_until = std::max(bounded.alone_until, runs.alone_until);
    }
    bounded.idle_since = std::min(bounded.idle_since, now);
    bounded.alone_until = std::min(bounded.alone_until, now);
    return bounded;
}

} // namespace cassia::policy
