// Requests of the gateway to the work groups: leases, held items and their ends.

#include "cassia/base/log.h"
#include "cassia/gateway/service.h"
#include "cassia/state/sharding.h"

#include <utility>

namespace cassia::gateway {

namespace {
// Item ends that no leader has stored within this time are sent again.
constexpr milliseconds report_timeout(3000);
// A lease request without a reply for this long counts as one that was granted nothing.
constexpr milliseconds lease_timeout(2500);
} // namespace

void service::lease(const std::string& route, const group_id& group, std::uint32_t limit,
                    const item_runner_hooks::lease_done& done) {
    schema::lease_request request;
    schema::lease_want* want = request.add_wants();
    want->set_service(route);
    want->set_limit(limit);
    send_lease(std::move(request), group, done);
}

void service::lease_unrouted(const schema::unrouted_want& want, const group_id& group,
                             const item_runner_hooks::lease_done& done) {
    schema::lease_request request;
    *request.mutable_unrouted() = want;
    send_lease(std::move(request), group, done);
}

void service::send_lease(schema::lease_request lease, const group_id& group,
                         const item_runner_hooks::lease_done& done) {
    schema::keeper_request request;
    const std::uint64_t number = lease_requests_.open(group);
    request.set_group(static_cast<std::uint32_t>(group.value()));
    lease.set_holder(cluster_->lease_holder());
    lease.set_number(number);
    *request.mutable_lease() = std::move(lease);
    entry::request_options options;
    options.timeout = lease_timeout;
    // Not resent: a request that was thought lost could be granted leases in addition to its
    // repetition.
    options.resend = false;
    cluster_->send_request(
        std::move(request), options, [this, number, done](const schema::keeper_reply& reply) {
            lease_requests_.close(number);
            done({reply.work().leased().begin(), reply.work().leased().end()});
            if (reply.result() == schema::keeper_reply::done)
                return;
            metrics_.count("lease_requests_failed");
            log_info("lease_failed")
                .with("request", number)
                .with("result", schema::keeper_reply::outcome_Name(reply.result()));
            send_held_items();
        });
}

void service::send_held_items() {
    const schema::held_items held = items_->held();
    for (std::uint32_t group = 1; group <= settings_.cluster().work_groups(); ++group) {
        schema::held_items part;
        for (const schema::held_job& job : held.jobs()) {
            if (state::group_of_job(job_id(job.job()), settings_.cluster().work_groups()) ==
                group_id(group))
                *part.add_jobs() = job;
        }
        part.set_closed_requests(lease_requests_.closed(group_id(group)));
        cluster_->send_held_items(std::move(part), group_id(group));
    }
}

void service::report(const schema::items_end& ends, const item_runner_hooks::report_done& done) {
    std::map<group_id, schema::items_end> by_group;
    for (const schema::item_end& ended : ends.ends()) {
        const group_id group =
            state::group_of_job(job_id(ended.job()), settings_.cluster().work_groups());
        *by_group[group].add_ends() = ended;
    }
    // Durable only once all groups have stored their part; ends that are reported twice count once.
    std::shared_ptr<std::size_t> pending_groups = std::make_shared<std::size_t>(by_group.size());
    std::shared_ptr<bool> all_durable = std::make_shared<bool>(true);
    entry::request_options options;
    options.timeout = report_timeout;
    for (std::pair<const group_id, schema::items_end>& part : by_group) {
        part.second.set_holder(cluster_->lease_holder());
        part.second.set_at(to_unix_ms(wall_now()));
        schema::keeper_request request;
        request.set_group(static_cast<std::uint32_t>(part.first.value()));
        *request.mutable_work()->mutable_ends() = std::move(part.second);
        cluster_->send_request(
            std::move(request), options,
            [pending_groups, all_durable, done](const schema::keeper_reply& reply) {
                *all_durable = *all_durable && reply.result() == schema::keeper_reply::done;
                if (--*pending_groups == 0)
                    done(*all_durable);
            });
    }
}

} // namespace cassia::gateway
