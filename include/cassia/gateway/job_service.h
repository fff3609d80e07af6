/// Batch jobs on behalf of callers: submission, results, bodies of items and cancellation. Each
/// request goes to the leader of the job's group.
#pragma once

#include "cassia/base/ids.h"
#include "cassia/gateway/cluster_client.h"
#include "cassia/gateway/job_access.h"
#include "cassia/schema/messages.pb.h"

#include <cstdint>
#include <functional>
#include <string>

namespace cassia::gateway {

enum class job_outcome {
    done,
    missing,       ///< the job or item certainly doesn't exist
    over_quota,    ///< no part of the job was accepted
    other_content, ///< the id belongs to a job with other items
    not_taken,     ///< certainly nothing was sent to a keeper
    unknown,       ///< the request may or may not have taken effect
};

const char* job_outcome_name(job_outcome outcome);

class job_service {
public:
    using done_function = std::function<void(job_outcome, const schema::work_reply&)>;

    job_service(cluster_client& cluster, std::uint32_t work_groups);

    void submit(schema::job_submit submission, done_function done);
    // The outcome of the following is `missing` if the caller may not access the job.

    /// \param from position in the job's list of results, which grows as items end.
    void read_results(const job_id& job, const job_caller& caller, std::uint32_t from,
                      done_function done);
    /// Reads an item as it was submitted, while it has not ended. \param item its custom id.
    void read_item(const job_id& job, const job_caller& caller, const std::string& item,
                   done_function done);
    void cancel(const job_id& job, const job_caller& caller, done_function done);

private:
    void send_request(const job_id& job, schema::keeper_request request, done_function done);
    void send_query(const job_id& job, const job_caller& caller, schema::work_query query,
                    done_function done);
    void send_cancel(const job_id& job, const std::string& owner, done_function done);

    cluster_client& cluster_;
    std::uint32_t work_groups_;
};

} // namespace cassia::gateway
