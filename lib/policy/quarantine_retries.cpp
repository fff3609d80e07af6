#include "cassia/policy/quarantine_retries.h"

#include <algorithm>
#include <numeric>
#include <set>
#include <utility>

namespace cassia::policy {

namespace {
// An accepted item has to be run again within 20 s, also if others are due at the same time and
// their runs are long.
constexpr milliseconds max_idle_time(12000);
// Items that are idle for so long go with one that is due.
constexpr milliseconds min_idle_time(6000);
// If the last of them would be idle for longer, groups begin before one is due.
constexpr milliseconds early_idle_time(15000);
// If it would be for so long even then, further groups begin beside the first one.
constexpr milliseconds late_idle_time(17000);
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

static std::vector<std::size_t> order_by_idle_time(const std::vector<retry_history>& waiting) {
    std::vector<std::size_t> order(waiting.size());
    std::iota(order.begin(), order.end(), std::size_t{0});
    std::sort(order.begin(), order.end(),
              [&waiting](auto a, auto b) { return waiting[a].idle_since < waiting[b].idle_since; });
    return order;
}

// Each group of items takes as long as the latest one, or the one that runs.
bool quarantine_retries::is_late(const fingerprint& part, const std::vector<retry_history>& waiting,
                                 const retry_endpoints& used, instant now) const {
    auto known = times_.find(part);
    microseconds time = known == times_.end() ? microseconds(0) : known->second.latest;
    std::size_t places = used.places;
    if (known != times_.end())
        places = std::max(places, known->second.places);
    if (places == 0)
        return false;
    for (const instant since : used.running_since)
        time = std::max<microseconds>(time, now - since);
    std::multiset<instant> free_at(used.held_until.begin(), used.held_until.end());
    for (const instant since : used.running_since)
        free_at.insert(std::max(now, since + time));
    const milliseconds limit = free_at.empty() ? early_idle_time : late_idle_time;
    if (free_at.empty())
        free_at.insert(now);
    const std::vector<std::size_t> order = order_by_idle_time(waiting);
    for (std::size_t first = 0; first < order.size(); first += places) {
        const instant begin = *free_at.begin();
        if (begin - waiting[order[first]].idle_since > limit)
            return true;
        free_at.erase(free_at.begin());
        free_at.insert(begin + time);
    }
    return false;
}

std::vector<std::size_t> quarantine_retries::select(const fingerprint& part,
                                                    const std::vector<retry_history>& waiting,
                                                    retry_pace pace, bool with_others,
                                                    instant now) const {
    std::vector<std::size_t> order = order_by_idle_time(waiting);
    if (order.empty())
        return order;
    const milliseconds least = pace == retry_pace::outlasted ? retry_interval : min_idle_time;
    const microseconds longest = now - waiting[order.front()].idle_since;
    const bool is_due = pace == retry_pace::outlasted || longest >= max_idle_time ||
                        (pace == retry_pace::hurried && longest >= least);
    if (is_due) {
        std::erase_if(order, [&waiting, least, now](auto one) {
            return now - waiting[one].idle_since < least;
        });
        return order;
    }
    if (with_others)
        return {};
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

void quarantine_retries::record_time(const fingerprint& part, microseconds time, std::size_t places,
                                     instant now) {
    std::erase_if(times_, [now](const auto& one) { return now - one.second.at >= run_retention; });
    if (times_.size() < max_known_parts || times_.count(part) > 0)
        times_[part] = {time, places, now};
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
