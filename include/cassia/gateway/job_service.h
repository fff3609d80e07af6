/// Batch jobs toward callers: submission, results, bodies, the end, each asked of the leader of the
/// job's group.
#pragma once

#include "cassia/base/ids.h"
#include "cassia/gateway/cluster_client.h"
#include "cassia/schema/messages.pb.h"

#include <cstdint>
#include <functional>
#include <string>

namespace cassia::gateway {

enum class job_outcome {
    done,
    missing,       ///< certainly no such job or item
    over_quota,    ///< nothing of the job was taken
    other_content, ///< the id is taken by a job with other items
    not_taken,     ///< certainly nothing was sent to a keeper
    unknown,       ///< what became of the request can't be told
};

const char* job_outcome_name(job_outcome outcome);

class job_service {
public:
    using done_function = std::function<void(job_outcome, const schema::work_reply&)>;

    job_service(fleet_link& fleet, std::uint32_t work_groups);

    void submit(schema::job_submit submission, done_function done);
    void read_results(const job_id& job, const team_id& team, std::uint32_t from,
                      done_function done);
    void read_item(const job_id& job, const team_id& team, const std::string& item,
                   done_function done);
    void cancel(const job_id& job, const team_id& team, done_function done);

private:
    void ask(const job_id& job, schema::keeper_request request, done_function done);

    fleet_link& fleet_;
    std::uint32_t work_groups_;
};

} // namespace cassia::gateway
