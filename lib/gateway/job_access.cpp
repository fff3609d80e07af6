#include "cassia/gateway/job_access.h"

#include "cassia/net/raw_http.h"

#include <algorithm>
#include <vector>

namespace cassia::gateway {

bool has_public_batch_route(const routes::table& table, const std::string& host) {
    const std::vector<const schema::route*> routes = table.of_kind(schema::route::batch);
    return std::any_of(routes.begin(), routes.end(), [&host](const schema::route* route) {
        return route->needs_no_key() && net::equal_ignoring_case(route->host(), host);
    });
}

static const std::string& sending_team(const schema::job_owner& owner) {
    return owner.has_team() ? owner.team() : owner.sender().team();
}

// Null if no team of the table has sent the job. The key leads to teams that were renamed since,
// and to those that the table in force at the submission lacked.
static const teams::team* find_sender(const teams::team_table& teams,
                                      const schema::job_owner& owner) {
    if (const teams::team* by_name = teams.find(team_id(sending_team(owner))))
        return by_name;
    return teams.find_by_digest(teams::key_digest(owner.sender().key_digest()));
}

bool may_access_job(const job_caller& caller, const schema::job_owner& owner) {
    const routes::table& table = *caller.table;
    const bool same_host = net::equal_ignoring_case(owner.host(), caller.host);
    if (!table.needs_keys())
        return same_host;
    if (caller.team.empty())
        return same_host && !owner.has_team();
    if (const teams::team* sender = find_sender(table.teams(), owner))
        return sender->id == caller.team;
    if (!sending_team(owner).empty())
        return false;
    // A job that was sent without a key belongs to its host. Where that still takes calls without a
    // key, one that was sent so although there were teams is left to such calls.
    return same_host &&
           (!owner.sender().teams_known() || !has_public_batch_route(table, caller.host));
}

} // namespace cassia::gateway
