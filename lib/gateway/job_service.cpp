#include "cassia/gateway/job_service.h"

#include "cassia/state/sharding.h"

#include <utility>

namespace cassia::gateway {

namespace {
// Callers wait 1 to 4 s. A later response would be useless, and after an unknown outcome they can
// retry at another gateway.
constexpr milliseconds request_timeout(1400);
} // namespace

const char* job_outcome_name(job_outcome outcome) {
    switch (outcome) {
    case job_outcome::done:
        return "done";
    case job_outcome::missing:
        return "missing";
    case job_outcome::over_quota:
        return "over_quota";
    case job_outcome::other_content:
        return "other_content";
    case job_outcome::not_taken:
        return "not_taken";
    case job_outcome::unknown:
        return "unknown";
    }
    return "unknown";
}

static job_outcome to_outcome(const schema::keeper_reply& reply) {
    if (reply.result() != schema::keeper_reply::done)
        return job_outcome::unknown;
    switch (reply.work().result()) {
    case schema::work_reply::missing:
        return job_outcome::missing;
    case schema::work_reply::over_quota:
        return job_outcome::over_quota;
    case schema::work_reply::key_reused:
        return job_outcome::other_content;
    default:
        return job_outcome::done;
    }
}

job_service::job_service(cluster_client& cluster, std::uint32_t work_groups)
    : cluster_(cluster), work_groups_(work_groups) {}

void job_service::send_request(const job_id& job, schema::keeper_request request,
                               done_function done) {
    if (!cluster_.knows_work_keepers()) {
        done(job_outcome::not_taken, schema::work_reply());
        return;
    }
    const group_id group = state::group_of_job(job, work_groups_);
    request.set_group(static_cast<std::uint32_t>(group.value()));
    entry::request_options options;
    options.timeout = request_timeout;
    options.is_refusal = [](const schema::keeper_reply& reply) {
        return reply.work().result() == schema::work_reply::over_quota;
    };
    cluster_.send_request(std::move(request), options,
                          [done = std::move(done)](const schema::keeper_reply& reply) {
                              done(to_outcome(reply), reply.work());
                          });
}

void job_service::submit(schema::job_submit submission, done_function done) {
    const job_id job(submission.begin().job());
    schema::keeper_request request;
    *request.mutable_work()->mutable_submit() = std::move(submission);
    send_request(job, std::move(request), std::move(done));
}

// Whose job it is depends on the routing table, which the group's members don't have, so the reply
// names the owner and the gateway decides.
void job_service::send_query(const job_id& job, const job_caller& caller, schema::work_query query,
                             done_function done) {
    schema::keeper_request request;
    query.set_job(job.str());
    query.set_any_owner(true);
    // A leader of an earlier version ignores any_owner and compares the team itself.
    query.set_team(caller.team.empty() ? caller.host : caller.team.str());
    *request.mutable_query() = std::move(query);
    send_request(
        job, std::move(request),
        [caller, done = std::move(done)](job_outcome outcome, const schema::work_reply& reply) {
            const schema::job_view& view = reply.job();
            if (view.has_owner() && !may_access_job(caller, view.owner()))
                done(job_outcome::missing, schema::work_reply());
            else
                done(outcome, reply);
        });
}

void job_service::read_results(const job_id& job, const job_caller& caller, std::uint32_t from,
                               done_function done) {
    schema::work_query query;
    query.set_kind(schema::work_query::listed_results);
    query.set_from(from);
    send_query(job, caller, std::move(query), std::move(done));
}

void job_service::read_item(const job_id& job, const job_caller& caller, const std::string& item,
                            done_function done) {
    schema::work_query query;
    query.set_kind(schema::work_query::item_source);
    query.set_custom_id(item);
    send_query(job, caller, std::move(query), std::move(done));
}

// The command names the job's owner as stored, so that members of all versions apply it alike.
void job_service::cancel(const job_id& job, const job_caller& caller, done_function done) {
    schema::work_query query;
    query.set_kind(schema::work_query::one_job);
    send_query(
        job, caller, std::move(query),
        [this, job, done = std::move(done)](job_outcome outcome, const schema::work_reply& reply) {
            if (outcome == job_outcome::done)
                send_cancel(job, reply.job().team(), done);
            else
                done(outcome, reply);
        });
}

void job_service::send_cancel(const job_id& job, const std::string& owner, done_function done) {
    schema::keeper_request request;
    schema::job_cancel* cancellation = request.mutable_work()->mutable_cancel();
    cancellation->set_job(job.str());
    cancellation->set_team(owner);
    cancellation->set_at(to_unix_ms(wall_now()));
    send_request(job, std::move(request), std::move(done));
}

} // namespace cassia::gateway
