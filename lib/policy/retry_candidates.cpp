#include "cassia/policy/retry_candidates.h"

#include <algorithm>
#include <map>
#include <set>
#include <utility>

namespace cassia::policy {

// One by idle time and one by crashes in turn, up to the limit.
static std::vector<std::size_t> select_of_part(const std::vector<waiting_retry>& waiting,
                                               std::vector<std::size_t> longest_idle,
                                               std::size_t limit) {
    std::vector<std::size_t> least_crashed = longest_idle;
    const auto idle_longer = [&waiting](std::size_t a, std::size_t b) {
        return waiting[a].history.idle_since < waiting[b].history.idle_since;
    };
    const auto crashed_less = [&waiting](std::size_t a, std::size_t b) {
        const retry_history& first = waiting[a].history;
        const retry_history& second = waiting[b].history;
        return std::pair(first.crashes, first.idle_since) <
               std::pair(second.crashes, second.idle_since);
    };
    const std::size_t count = std::min(limit, longest_idle.size());
    const std::ptrdiff_t end = static_cast<std::ptrdiff_t>(count);
    std::partial_sort(longest_idle.begin(), longest_idle.begin() + end, longest_idle.end(),
                      idle_longer);
    std::partial_sort(least_crashed.begin(), least_crashed.begin() + end, least_crashed.end(),
                      crashed_less);
    std::vector<std::size_t> selected;
    std::set<std::size_t> known;
    for (std::size_t i = 0; i < count; ++i) {
        for (const std::size_t index : {longest_idle[i], least_crashed[i]}) {
            if (selected.size() < count && known.insert(index).second)
                selected.push_back(index);
        }
    }
    return selected;
}

std::vector<std::size_t> select_retry_candidates(const std::vector<waiting_retry>& waiting,
                                                 const candidate_limits& limits) {
    std::map<fingerprint, std::vector<std::size_t>> by_part;
    for (std::size_t i = 0; i < waiting.size(); ++i)
        by_part[waiting[i].part].push_back(i);
    std::vector<std::vector<std::size_t>> parts;
    parts.reserve(by_part.size());
    for (std::pair<const fingerprint, std::vector<std::size_t>>& part : by_part)
        parts.push_back(select_of_part(waiting, std::move(part.second), limits.of_part));
    // The first one of each has been idle for longest.
    std::stable_sort(
        parts.begin(), parts.end(),
        [&waiting](const std::vector<std::size_t>& a, const std::vector<std::size_t>& b) {
            return waiting[a.front()].history.idle_since < waiting[b.front()].history.idle_since;
        });
    std::vector<std::size_t> selected;
    for (std::size_t rank = 0; rank < limits.of_part; ++rank) {
        for (const std::vector<std::size_t>& part : parts) {
            if (rank < part.size() && selected.size() < limits.in_all)
                selected.push_back(part[rank]);
        }
    }
    return selected;
}

} // namespace cassia::policy
