// Dispatch of messages, requests from gateways, and heartbeats of other keepers.

#include "cassia/keeper/service.h"

#include "cassia/base/log.h"
#include "cassia/state/sharding.h"

#include <memory>
#include <utility>

namespace cassia::keeper {

using state::control_group;

void service::on_message(schema::envelope& message) {
    const instant now = monotonic_now();
    switch (message.body_case()) {
    case schema::envelope::kRaft:
        for (const schema::raft_message& raft_message : message.raft().messages()) {
            auto replica = replicas_.find(group_id(raft_message.group()));
            if (replica != replicas_.end())
                replica->second->receive(raft_message, now);
        }
        schedule_processing();
        break;
    case schema::envelope::kRequest:
        on_request(message.request(), message.reply_to());
        break;
    case schema::envelope::kHello:
        queue_heartbeat(message.hello());
        break;
    case schema::envelope::kKeeper:
        on_keeper_heartbeat(message.keeper());
        break;
    case schema::envelope::kNews:
        on_news(message.news());
        break;
    default:
        break;
    }
}

std::string service::leader_node(const group_replica& replica) const {
    for (const consensus::member& member : replica.raft().log().members()) {
        if (member.disk == replica.raft().leader())
            return member.node;
    }
    return "";
}

static bool reads_state(const schema::keeper_request& request) {
    return request.has_query() || request.has_history() || request.has_held();
}

static schema::keeper_reply make_refusal(const consensus::raft_group& raft) {
    schema::keeper_reply refusal;
    refusal.set_result(raft.leads() ? schema::keeper_reply::unavailable
                                    : schema::keeper_reply::not_leader);
    return refusal;
}

void service::on_request(const schema::keeper_request& request, const std::string& reply_to) {
    const group_id group(request.group());
    auto replica = replicas_.find(group);
    if (replica == replicas_.end())
        return;
    const std::uint64_t id = request.id();
    const group_replica::reply_callback reply = [this, id, group,
                                                 reply_to](schema::keeper_reply response) {
        response.set_id(id);
        response.set_group(static_cast<std::uint32_t>(group.value()));
        if (response.result() != schema::keeper_reply::done)
            response.set_leader(leader_node(*replicas_.at(group)));
        schema::envelope envelope;
        *envelope.mutable_reply() = std::move(response);
        hub_->send(peer_address(reply_to), envelope);
    };
    const instant now = monotonic_now();
    metrics_.count("requests");
    const consensus::raft_group& raft = replica->second->raft();
    if (!raft.is_ready()) {
        reply(make_refusal(raft));
        return;
    }
    // A command's reply is made once the command is committed, which takes a quorum, so it needs no
    // lease. What reads the state does: another member may lead and have accepted commands.
    if (!reads_state(request) || raft.may_read(now)) {
        serve_request(request, reply_to, reply);
        return;
    }
    const std::shared_ptr<const schema::keeper_request> waiting =
        std::make_shared<schema::keeper_request>(request);
    replica->second->read(
        [this, group, waiting, reply_to, reply](bool may_read) {
            if (may_read)
                serve_request(*waiting, reply_to, reply);
            else
                reply(make_refusal(replicas_.at(group)->raft()));
        },
        now);
}

void service::serve_request(const schema::keeper_request& request, const std::string& reply_to,
                            const group_replica::reply_callback& reply) {
    const group_id group(request.group());
    switch (request.request_case()) {
    case schema::keeper_request::kControl:
        replicas_.at(group)->propose(request.control().SerializeAsString(), reply, monotonic_now());
        break;
    case schema::keeper_request::kHistory:
        serve_history(request, reply);
        break;
    case schema::keeper_request::kHeld:
        if (work_groups_.count(group) > 0)
            reconcile_held_items(request.held(), group, reply_to);
        break;
    default:
        serve_work(request, reply);
        break;
    }
}

void service::reconcile_held_items(const schema::held_items& held, group_id group,
                                   const std::string& reply_to) {
    const schema::stale_items stale =
        work_groups_.at(group).leader->reconcile(held, monotonic_now());
    if (stale.jobs_size() == 0)
        return;
    log_info("stale_items_told").with("holder", held.holder()).with("jobs", stale.jobs_size());
    schema::envelope envelope;
    *envelope.mutable_stale() = stale;
    hub_->send(peer_address(reply_to), envelope);
}

void service::serve_history(const schema::keeper_request&,
                            const group_replica::reply_callback& reply) {
    schema::keeper_reply response;
    for (const schema::change_record& change : control_state_.history()) {
        schema::change_record* summary = response.add_history();
        summary->set_version(change.version());
        summary->set_change_id(change.change_id());
        summary->set_at(change.at());
        summary->set_digest(change.digest());
    }
    if (response.history_size() > 0) {
        schema::change_record* latest = response.mutable_history(response.history_size() - 1);
        latest->set_plans(control_state_.current()->plans());
        latest->set_allowances(control_state_.current()->allowances());
    }
    reply(std::move(response));
}

void service::serve_work(const schema::keeper_request& request,
                         const group_replica::reply_callback& reply) {
    const group_id id(request.group());
    auto group = work_groups_.find(id);
    if (group == work_groups_.end())
        return;
    const instant now = monotonic_now();
    const state::work_state::record_reader read = [this](const storage::position& at) {
        return store_.read_command(at);
    };
    switch (request.request_case()) {
    case schema::keeper_request::kWork:
        if (request.work().has_cancel())
            group->second.leader->cancel(request.work(), reply, now);
        else if (request.work().has_claim())
            propose_claim(request.work(), id, reply);
        else
            replicas_.at(id)->propose(request.work().SerializeAsString(), reply, now);
        break;
    case schema::keeper_request::kQuery: {
        schema::keeper_reply response;
        *response.mutable_work() = group->second.state.query(request.query(), read);
        reply(std::move(response));
        break;
    }
    case schema::keeper_request::kLease:
        group->second.leader->lease(request.lease(), reply, now);
        break;
    default:
        break;
    }
}

void service::propose_claim(const schema::work_command& command, group_id group,
                            const group_replica::reply_callback& reply) {
    const std::string team = command.claim().team();
    const std::string key = command.claim().key();
    replicas_.at(group)->propose(
        command.SerializeAsString(),
        [this, group, team, key, reply](schema::keeper_reply response) {
            if (response.work().result() == schema::work_reply::replay) {
                const state::result<void> completed = work_groups_.at(group).state.fill_answer(
                    *response.mutable_work(), team, key,
                    [this](const storage::position& at) { return store_.read_command(at); });
                if (!completed)
                    response.set_result(schema::keeper_reply::unavailable);
            }
            reply(std::move(response));
        },
        monotonic_now());
}

void service::send_keeper_heartbeat(const peer_address& to) {
    schema::envelope envelope;
    *envelope.mutable_keeper() = own_heartbeat(to);
    hub_->send(to, envelope);
}

void service::send_keeper_heartbeats() {
    for (const peer_address& keeper : heartbeat_targets())
        send_keeper_heartbeat(keeper);
}

void service::acknowledge_news(const peer_address& to) {
    schema::envelope envelope;
    *envelope.mutable_keeper() = own_heartbeat(to);
    envelope.mutable_keeper()->set_only_acknowledges(true);
    hub_->send(to, envelope);
}

void service::on_keeper_heartbeat(const schema::keeper_hello& heartbeat) {
    record_keeper(heartbeat, monotonic_now());
    // An initial member that missed the bootstrap learns the list of members from the other
    // keepers.
    const bool bootstrapped = !hosts_control() || replicas_.at(control_group)->is_bootstrapped();
    if (!bootstrapped && heartbeat.control() && heartbeat.founders().members_size() > 0)
        initial_members_ = consensus::members_from_proto(heartbeat.founders());
    if (uses_seeds() && hosts_control() && !heartbeat.only_acknowledges())
        send_news(peer_address(heartbeat.address()), keepers_.at(heartbeat.node()));
    respond_to_pending_announcements();
    confirm_versions();
}

} // namespace cassia::keeper
