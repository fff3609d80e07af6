/// Decides whose batch jobs a caller may read and end.
///
/// A job belongs to the team whose key it was sent with, also where the route needs no key. The
/// routing table may change afterwards: teams are added, renamed and removed, their keys replaced,
/// and routes made public or not.
#pragma once

#include "cassia/base/ids.h"
#include "cassia/routes/table.h"

#include <memory>
#include <string>

namespace cassia::gateway {

/// The caller of a request about a job, accepted by the routing table in force.
struct job_caller {
    std::shared_ptr<const routes::table> table;
    team_id team;     ///< empty if no team's key was sent, or the table needs none
    std::string host; ///< name of the host that the caller addresses, without a port
};

/// Whether the host has a batch route that requires no key.
bool has_public_batch_route(const routes::table& table, const std::string& host);

bool may_access_job(const job_caller& caller, const schema::job_owner& owner);

} // namespace cassia::gateway
