/// Maps jobs and idempotency keys to the work group that stores them.
#pragma once

#include "cassia/base/digest.h"
#include "cassia/base/ids.h"

#include <string>

namespace cassia::state {

inline constexpr group_id control_group(0);

inline group_id group_of_job(const job_id& job, std::uint32_t groups) {
    return group_id(1 + stable_hash(job.str()) % groups);
}

inline group_id group_of_key(const team_id& team, const std::string& key, std::uint32_t groups) {
    return group_id(1 + stable_hash(team.str() + "\n" + key) % groups);
}

} // namespace cassia::state
