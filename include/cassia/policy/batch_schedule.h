/// Chooses which batch jobs run next: weighted fair shares between teams, earliest deadline first
/// within a team.
#pragma once

#include "cassia/base/ids.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace cassia::policy {

/// A job with items that can be leased now.
struct job_candidate {
    job_id job;
    team_id team;
    std::uint64_t deadline = 0; ///< Unix ms, 0 for none
    std::uint64_t created = 0;
    std::uint32_t waiting = 0; ///< items that can be leased
};

/// A number of items to lease from a job.
struct lease_choice {
    job_id job;
    std::uint32_t items = 0;
};

/// Whether an item that starts now cannot finish by its deadline.
bool would_miss_deadline(std::uint64_t deadline, std::uint64_t now_ms);
/// Whether an item can still meet its deadline, but most of the time allotted to its job has
/// passed. \param due_ms time from the submission of its job to the deadline.
bool is_urgent(std::uint64_t deadline, std::uint64_t allotted_ms, std::uint64_t now_ms);

/// Weighted fair queueing by virtual time: each leased item advances its team's virtual time by
/// 1/weight, and the team with the lowest virtual time goes next.
class batch_scheduler {
public:
    void set_weight(const team_id& team, double weight);

    /// Distributes up to `limit` items over the candidates and charges their teams.
    /// \param at Unix time; jobs that can't meet their deadline go last. 0: no job counts as late.
    std::vector<lease_choice> choose(std::vector<job_candidate> candidates, std::uint32_t limit,
                                     std::uint64_t now_ms = 0);

private:
    double weight_of(const team_id& team) const;

    std::map<team_id, double> weights_;
    std::map<team_id, double> virtual_times_;
    double virtual_now_ = 0; ///< virtual time of the team served last
};

} // namespace cassia::policy
