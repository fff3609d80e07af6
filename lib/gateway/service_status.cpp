// What a gateway tells of itself: readiness, metrics, the state dump.

#include "cassia/base/log.h"
#include "cassia/gateway/service.h"

#include <boost/json.hpp>

#include <utility>

namespace cassia::gateway {

namespace {
constexpr int status_ok = 200;
constexpr int status_missing = 404;
constexpr int status_unavailable = 503;
} // namespace

void service::on_ready_request(exchange_id id, const net::raw_request& request) {
    const std::string_view path = net::path_of(request.target);
    net::raw_head head;
    std::string body;
    if (path == settings_.ready_path()) {
        head.status = routes_ && !leaving_ ? status_ok : status_unavailable;
    } else if (path == "/metrics") {
        head.status = status_ok;
        body = metrics_text();
    } else if (path == "/debug/dump") {
        head.status = status_ok;
        body = dump();
    } else {
        head.status = status_missing;
    }
    ready_server_->respond(id, head, body);
}

std::string service::metrics_text() {
    metrics_.set("routes_version", routes_ ? routes_->version() : 0);
    metrics_.set("exchanges", server_->open_exchanges());
    metrics_.set("connections", server_->open_connections());
    metrics_.set("online_open", dispatcher_->open());
    metrics_.set("online_waiting", dispatcher_->waiting());
    metrics_.set("quota_waiting", admission_->waiting());
    metrics_.set("items_held", items_->size());
    metrics_.set("items_running", items_->running());
    metrics_.set("endpoint_connections_made", client_->counts().connections_made);
    metrics_.set("endpoint_connections_reused", client_->counts().connections_reused);
    metrics_.set("log_lines_dropped", dropped_log_lines());
    fleet_->peers().count_sent(metrics_);
    return metrics_.to_text("cassia_gateway_");
}

std::string service::dump() const {
    boost::json::object out;
    out["gateway"] = settings_.name();
    out["zone"] = settings_.zone();
    out["routes_version"] = routes_ ? routes_->version() : 0;
    out["leaving"] = leaving_;
    out["exchanges"] = server_->open_exchanges();
    out["connections"] = server_->open_connections();
    out["online_open"] = dispatcher_->open();
    out["online_waiting"] = dispatcher_->waiting();
    out["items_held"] = items_->size();
    out["items_running"] = items_->running();
    out["endpoint_connections_made"] = client_->counts().connections_made;
    out["endpoint_connections_reused"] = client_->counts().connections_reused;
    boost::json::object uses;
    for (const std::pair<const endpoint_id, policy::slot_usage>& one : slots_.own_usage())
        uses[one.first.str()] = {{"online", one.second.online}, {"batch", one.second.batch}};
    out["own_uses"] = std::move(uses);
    return boost::json::serialize(out);
}

} // namespace cassia::gateway
