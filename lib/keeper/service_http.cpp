// The HTTP interface: state dump and metrics.

#include "cassia/base/log.h"
#include "cassia/keeper/service.h"

#include <boost/json.hpp>

#include <utility>

namespace cassia::keeper {

namespace {
constexpr std::size_t max_header_bytes = 32768;
constexpr std::size_t max_body_bytes = 4096;
constexpr int status_not_found = 404;
} // namespace

std::string service::open_http() {
    net::http_server_hooks hooks;
    hooks.on_request = [this](exchange_id id, const net::http_request& request) {
        net::http_response response;
        if (request.path == "/metrics")
            response = {200, "text/plain", {}, metrics_text()};
        else if (request.path == "/debug/dump")
            response.body = dump();
        else
            response = {status_not_found, "application/json", {}, "{}"};
        http_->respond(id, response);
    };
    hooks.on_gone = [](exchange_id) {};
    hooks.on_refused = [](int status) { return net::http_response{status, "text/plain", {}, ""}; };
    const auto body_limit = [](const std::string&, const std::string&) { return max_body_bytes; };
    http_ = std::make_unique<net::http_server>(
        task_, net::http_limits{max_header_bytes, body_limit}, std::move(hooks));
    for (const std::string& address : {settings_.http_address(), settings_.metrics_address()}) {
        if (address.empty())
            continue;
        const net::result<void> listening = http_->listen(http_address(address));
        if (!listening)
            return listening.error().text;
    }
    return "";
}

std::string service::metrics_text() {
    const instant now = monotonic_now();
    std::size_t serving = 0;
    for (const std::pair<const std::string, known_gateway>& gateway : gateways_)
        serving += gateway.second.serving ? 1 : 0;
    metrics_.set("entries_listed", serving);
    metrics_.set("endpoints_serving", directory_.serving(now).size());
    metrics_.set("routes_version", control_state_.routes().version());
    metrics_.set("log_lines_dropped", dropped_log_lines());
    std::size_t jobs = 0;
    std::size_t groups_led = 0;
    for (const std::pair<const group_id, std::unique_ptr<group_replica>>& replica : replicas_)
        groups_led += replica.second->raft().leads() ? 1 : 0;
    for (const std::pair<const group_id, work_group>& group : work_groups_)
        jobs += group.second.state.jobs().size();
    metrics_.set("groups_led", groups_led);
    metrics_.set("jobs_held", jobs);
    hub_->count_sent(metrics_);
    return metrics_.to_text("cassia_keeper_");
}

std::string service::dump() const {
    const instant now = monotonic_now();
    boost::json::object out;
    out["keeper"] = settings_.name();
    out["zone"] = settings_.zone();
    out["disk"] = recovered_.disk.value();
    out["config_version"] = control_state_.version();
    out["beacon"] = beacon_counter_;
    out["log_bytes"] = store_.log().bytes_on_disk();
    boost::json::array groups;
    for (const std::pair<const group_id, std::unique_ptr<group_replica>>& replica : replicas_) {
        const consensus::raft_group& raft = replica.second->raft();
        boost::json::object group;
        group["group"] = replica.first.value();
        group["leads"] = raft.leads();
        group["may_read"] = raft.may_read(now);
        group["leader"] = leader_node(*replica.second);
        group["term"] = raft.term().value();
        group["commit"] = raft.commit_index();
        group["applied"] = raft.applied_index();
        group["log_base"] = raft.log().base_index();
        boost::json::array members;
        for (const consensus::member& member : raft.log().members())
            members.push_back(
                {{"node", member.node},
                 {"disk", member.disk.value()},
                 {"voter", member.voter},
                 {"active", member.disk == raft.self() || raft.is_active(member.disk, now)}});
        group["members"] = std::move(members);
        auto work = work_groups_.find(replica.first);
        if (work != work_groups_.end()) {
            group["jobs"] = work->second.state.jobs().size();
            group["keys"] = work->second.state.key_count();
            boost::json::array holders;
            for (const std::string& holder : work->second.state.holders())
                holders.push_back(boost::json::string(holder));
            group["holders"] = std::move(holders);
        }
        groups.push_back(std::move(group));
    }
    out["groups"] = std::move(groups);
    boost::json::array gateways;
    for (const std::pair<const std::string, known_gateway>& gateway : gateways_)
        gateways.push_back({{"entry", gateway.first},
                            {"incarnation", gateway.second.heartbeat.incarnation()},
                            {"config_version", gateway.second.heartbeat.config_version()},
                            {"silent_ms", (now - gateway.second.last_seen).count() / 1000}});
    out["entries"] = std::move(gateways);
    return boost::json::serialize(out);
}

} // namespace cassia::keeper
