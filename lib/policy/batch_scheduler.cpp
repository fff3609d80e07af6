#include "cassia/policy/batch_scheduler.h"

#include <algorithm>
#include <tuple>

namespace cassia::policy {

namespace {
// Teams take turns in runs of this many items, so that a lease reads neighbouring bodies.
constexpr std::uint32_t items_per_turn = 8;
// With less than this left an item can't be on time even if it is short.
constexpr std::uint64_t least_run_ms = 3000;
// Part of the time that a job has; with less than that left its items are urgent.
constexpr std::uint64_t urgent_part = 2;
} // namespace

void batch_scheduler::set_weight(const team_id& team, double weight) {
    weights_[team] = weight;
}

double batch_scheduler::weight_of(const team_id& team) const {
    auto found = weights_.find(team);
    return found == weights_.end() ? 1.0 : found->second;
}

bool would_miss_deadline(std::uint64_t deadline, std::uint64_t at) {
    return at != 0 && deadline != 0 && deadline < at + least_run_ms;
}

// On a loaded fleet items are interrupted by each wave of online requests. Kept out of the reserve
// in between, those that have waited longest miss their deadline beside slots that nobody uses.
bool is_urgent(std::uint64_t deadline, std::uint64_t due_ms, std::uint64_t at) {
    return deadline != 0 && !would_miss_deadline(deadline, at) &&
           deadline < at + due_ms / urgent_part;
}

// Nearest deadline first, as long as it can be met. Once more waits than can be served, the nearest
// are those just missed, and all jobs would be late one after the other.
static bool is_more_urgent(const job_candidate& a, const job_candidate& b, std::uint64_t at) {
    const std::uint64_t never = UINT64_MAX;
    return std::make_tuple(would_miss_deadline(a.deadline, at),
                           a.deadline == 0 ? never : a.deadline, a.created, a.job) <
           std::make_tuple(would_miss_deadline(b.deadline, at),
                           b.deadline == 0 ? never : b.deadline, b.created, b.job);
}

std::vector<lease_choice> batch_scheduler::choose(std::vector<job_candidate> candidates,
                                                  std::uint32_t limit, std::uint64_t at) {
    std::sort(
        candidates.begin(), candidates.end(),
        [at](const job_candidate& a, const job_candidate& b) { return is_more_urgent(a, b, at); });
    std::map<team_id, std::vector<job_candidate*>> queues;
    for (job_candidate& candidate : candidates) {
        if (candidate.waiting > 0)
            queues[candidate.team].push_back(&candidate);
    }
    // A team that comes back from a pause starts level with the others: time without work
    // earns no claim on later work.
    for (const std::pair<const team_id, std::vector<job_candidate*>>& queue : queues) {
        double& clock = clocks_[queue.first];
        clock = std::max(clock, now_);
    }
    std::map<job_id, std::uint32_t> chosen;
    std::vector<job_id> order;
    while (limit > 0 && !queues.empty()) {
        auto next =
            std::min_element(queues.begin(), queues.end(), [this](const auto& a, const auto& b) {
                return clocks_.at(a.first) < clocks_.at(b.first);
            });
        job_candidate& job = *next->second.front();
        const std::uint32_t items = std::min({limit, job.waiting, items_per_turn});
        if (chosen.count(job.job) == 0)
            order.push_back(job.job);
        chosen[job.job] += items;
        job.waiting -= items;
        limit -= items;
        now_ = clocks_.at(next->first);
        clocks_.at(next->first) += items / weight_of(next->first);
        if (job.waiting == 0)
            next->second.erase(next->second.begin());
        if (next->second.empty())
            queues.erase(next);
    }
    std::vector<lease_choice> choices;
    choices.reserve(order.size());
    for (const job_id& job : order)
        choices.push_back({job, chosen.at(job)});
    return choices;
}

} // namespace cassia::policy
