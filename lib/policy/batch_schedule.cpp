#include "cassia/policy/batch_schedule.h"

#include <algorithm>
#include <tuple>

namespace cassia::policy {

namespace {
// Items leased from one team before another gets its turn. Runs let a lease read adjacent bodies.
constexpr std::uint32_t items_per_turn = 8;
// With less time left than this, even a short item misses its deadline.
constexpr std::uint64_t min_run_ms = 3000;
// Items are urgent once less than 1/divisor of the time allotted to their job is left.
constexpr std::uint64_t urgent_divisor = 2;
} // namespace

void batch_scheduler::set_weight(const team_id& team, double weight) {
    weights_[team] = weight;
}

double batch_scheduler::weight_of(const team_id& team) const {
    auto found = weights_.find(team);
    return found == weights_.end() ? 1.0 : found->second;
}

bool would_miss_deadline(std::uint64_t deadline, std::uint64_t now_ms) {
    return now_ms != 0 && deadline != 0 && deadline < now_ms + min_run_ms;
}

// In a loaded fleet each wave of online requests interrupts batch items. If old items were also
// kept out of the online reserve between waves, they would miss their deadlines beside idle slots.
bool is_urgent(std::uint64_t deadline, std::uint64_t allotted_ms, std::uint64_t now_ms) {
    return deadline != 0 && !would_miss_deadline(deadline, now_ms) &&
           deadline < now_ms + allotted_ms / urgent_divisor;
}

// Earliest deadline first, among jobs that can still meet it. Under overload the earliest deadlines
// are those just missed; serving these first would make every job late in turn.
static bool goes_before(const job_candidate& a, const job_candidate& b, std::uint64_t now_ms) {
    const std::uint64_t never = UINT64_MAX;
    return std::make_tuple(would_miss_deadline(a.deadline, now_ms),
                           a.deadline == 0 ? never : a.deadline, a.created, a.job) <
           std::make_tuple(would_miss_deadline(b.deadline, now_ms),
                           b.deadline == 0 ? never : b.deadline, b.created, b.job);
}

std::vector<lease_choice> batch_scheduler::choose(std::vector<job_candidate> candidates,
                                                  std::uint32_t limit, std::uint64_t now_ms) {
    std::sort(candidates.begin(), candidates.end(),
              [now_ms](const job_candidate& a, const job_candidate& b) {
                  return goes_before(a, b, now_ms);
              });
    std::map<team_id, std::vector<job_candidate*>> queues;
    for (job_candidate& candidate : candidates) {
        if (candidate.waiting > 0)
            queues[candidate.team].push_back(&candidate);
    }
    // A team that returns after a pause starts at the current virtual time: idle time earns no
    // credit.
    for (const std::pair<const team_id, std::vector<job_candidate*>>& queue : queues) {
        double& virtual_time = virtual_times_[queue.first];
        virtual_time = std::max(virtual_time, virtual_now_);
    }
    std::map<job_id, std::uint32_t> chosen;
    std::vector<job_id> order;
    while (limit > 0 && !queues.empty()) {
        auto next =
            std::min_element(queues.begin(), queues.end(), [this](const auto& a, const auto& b) {
                return virtual_times_.at(a.first) < virtual_times_.at(b.first);
            });
        job_candidate& job = *next->second.front();
        const std::uint32_t items = std::min({limit, job.waiting, items_per_turn});
        if (chosen.count(job.job) == 0)
            order.push_back(job.job);
        chosen[job.job] += items;
        job.waiting -= items;
        limit -= items;
        virtual_now_ = virtual_times_.at(next->first);
        virtual_times_.at(next->first) += items / weight_of(next->first);
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
