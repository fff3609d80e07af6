// The admin server: readiness, metrics and the state dump.

#include "cassia/base/log.h"
#include "cassia/gateway/request_fingerprint.h"
#include "cassia/gateway/service.h"

#include <boost/json.hpp>

#include <algorithm>
#include <map>
#include <utility>
#include <vector>

namespace cassia::gateway {

namespace {
constexpr int status_ok = 200;
constexpr int status_not_found = 404;
constexpr int status_unavailable = 503;
// Endpoints that take at least this many times as long as usual are counted as slow.
constexpr double slow_factor = 1.2;
constexpr std::int64_t ms_in_s = 1000;
constexpr std::size_t max_quarantined_listed = 64;
} // namespace

// Before there are routes no key is known, and all callers share what one team may hold.
void service::make_flow_control() {
    constexpr std::uint64_t bytes_in_mib = 1024ULL * 1024;
    flow_ = std::make_unique<flow_control>(
        *client_, metrics_, names_, settings_.memory_mib() * bytes_in_mib,
        [this](const net::http_fields& fields) {
            if (!routes_)
                return team_id();
            const caller_identity caller = identify_caller(*routes_, nullptr, fields, names_);
            return caller.team == nullptr ? team_id() : caller.team->id;
        });
}

void service::on_admin_request(exchange_id id, const net::raw_request& request) {
    const std::string_view path = net::path_of(request.target);
    net::raw_head head;
    std::string body;
    if (path == settings_.ready_path()) {
        head.status = routes_ && !shutting_down_ ? status_ok : status_unavailable;
    } else if (path == "/metrics") {
        head.status = status_ok;
        body = metrics_text();
    } else if (path == "/debug/dump") {
        head.status = status_ok;
        body = dump();
    } else {
        head.status = status_not_found;
    }
    admin_server_->respond(id, head, body);
}

std::string service::metrics_text() {
    flow_->set_metrics();
    metrics_.set("routes_version", routes_ ? routes_->version() : 0);
    metrics_.set("exchanges", server_->open_exchanges());
    metrics_.set("connections", server_->open_connections());
    metrics_.set("online_open", dispatcher_->open_calls());
    metrics_.set("online_waiting", dispatcher_->queued_calls());
    metrics_.set("stream_origins_kept", origins_->records());
    metrics_.set("quota_waiting", admission_->awaiting_quota());
    metrics_.set("endpoint_tokens_most", slots_.most_tokens_in_use());
    metrics_.set("memory_reservations", slots_.memory_reservations());
    metrics_.set("items_held", items_->size());
    metrics_.set("items_running", items_->running());
    metrics_.set("endpoint_connections_made", client_->counts().connections_made);
    metrics_.set("endpoint_connections_reused", client_->counts().connections_reused);
    metrics_.set("endpoints_slow", slots_.pace().count_slower(slow_factor, monotonic_now()));
    metrics_.set("endpoints_with_ignored_reports", slots_.pace().count_contradicted());
    const std::vector<policy::poison_record> quarantined = crashes_->quarantined();
    metrics_.set("parts_quarantined",
                 static_cast<std::uint64_t>(
                     std::count_if(quarantined.begin(), quarantined.end(),
                                   [](const policy::poison_record& one) { return one.is_part; })));
    metrics_.set("log_lines_dropped", dropped_log_lines());
    cluster_->peers().count_sent(metrics_);
    return metrics_.to_text("cassia_gateway_");
}

std::string service::dump() const {
    boost::json::object out;
    out["gateway"] = settings_.name();
    out["zone"] = settings_.zone();
    out["routes_version"] = routes_ ? routes_->version() : 0;
    out["leaving"] = shutting_down_;
    out["exchanges"] = server_->open_exchanges();
    out["connections"] = server_->open_connections();
    out["online_open"] = dispatcher_->open_calls();
    out["online_waiting"] = dispatcher_->queued_calls();
    out["items_held"] = items_->size();
    out["items_running"] = items_->running();
    out["endpoint_connections_made"] = client_->counts().connections_made;
    out["endpoint_connections_reused"] = client_->counts().connections_reused;
    boost::json::object usage;
    for (const std::pair<const endpoint_id, policy::slot_usage>& endpoint_usage :
         slots_.own_usage())
        usage[endpoint_usage.first.str()] = {{"online", endpoint_usage.second.online},
                                             {"batch", endpoint_usage.second.batch},
                                             {"tokens", endpoint_usage.second.tokens}};
    out["own_uses"] = std::move(usage);
    const std::vector<policy::poison_record> quarantined = crashes_->quarantined();
    const std::map<fingerprint, quarantine_wait> waits = items_->quarantine_waits();
    boost::json::array listed;
    for (std::size_t i = 0; i < std::min(quarantined.size(), max_quarantined_listed); ++i) {
        const policy::poison_record& one = quarantined[i];
        auto wait = waits.find(one.request);
        listed.push_back({{"fingerprint", short_form(one.request)},
                          {"crashes", one.crashes},
                          {"all_crashes", one.all_crashes},
                          {"log_odds", one.log_odds},
                          {"times", one.quarantines},
                          {"left_s", crashes_->quarantine_left(one.request).count() / ms_in_s},
                          {"items_waiting", wait == waits.end() ? 0 : wait->second.items}});
    }
    out["quarantined"] = std::move(listed);
    out["quarantined_in_all"] = quarantined.size();
    return boost::json::serialize(out);
}

void service::share_usage() {
    const instant now = monotonic_now();
    policy::team_shares& shares = dispatcher_->shares();
    slots_.expire_remote_usage(now);
    shares.expire(now);
    cluster_->share_usage(slots_.own_usage(),
                          shares.is_enabled() ? shares.own_use(now) : policy::team_use_map());
}

} // namespace cassia::gateway
