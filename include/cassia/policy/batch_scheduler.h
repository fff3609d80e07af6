/// Which batch job runs next: fair shares between teams, nearest deadline within one.
#pragma once

#include "cassia/base/ids.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace cassia::policy {

/// A job with items that could be leased now.
struct job_candidate {
    job_id job;
    team_id team;
    std::uint64_t deadline = 0; ///< Unix ms, 0 for none
    std::uint64_t created = 0;
    std::uint32_t waiting = 0; ///< items that could be leased
};

/// A number of items to lease from a job.
struct lease_choice {
    job_id job;
    std::uint32_t items = 0;
};

/// Whether an item that starts now will be done too late.
bool would_miss_deadline(std::uint64_t deadline, std::uint64_t at);
/// Whether an item can still be on time, but has used up most of the time that its job has.
/// \param due_ms from the submission of its job to its deadline.
bool is_urgent(std::uint64_t deadline, std::uint64_t due_ms, std::uint64_t at);

/// Weighted fair queueing by virtual time: each leased item moves its team's clock on by
/// 1/weight, and the team whose clock is furthest back goes next.
class batch_scheduler {
public:
    void set_weight(const team_id& team, double weight);

    /// Splits up to `limit` items among the candidates and charges the teams for them.
    /// \param at Unix ms; jobs that can't be on time any more go last. 0: none is late.
    std::vector<lease_choice> choose(std::vector<job_candidate> candidates, std::uint32_t limit,
                                     std::uint64_t at = 0);

private:
    double weight_of(const team_id& team) const;

    std::map<team_id, double> weights_;
    std::map<team_id, double> clocks_;
    double now_ = 0; ///< the clock of the team served last
};

} // namespace cassia::policy
