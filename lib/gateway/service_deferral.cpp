// Requests that arrive before the gateway knows how to handle them.

#include "cassia/base/log.h"
#include "cassia/gateway/service.h"
#include "cassia/net/raw_http.h"
#include "cassia/policy/refusal.h"

#include <utility>

namespace cassia::gateway {

namespace {
// Assumed for a request without a deadline.
constexpr milliseconds default_deadline(5000);
constexpr int status_unavailable = 503;
} // namespace

// Without a routing table a request can't be matched, and one that others know to crash endpoints
// must not run. It is kept until both are known or it expires, and is then rejected without having
// run.
void service::defer(exchange_id id, net::raw_request request, instant arrived_at) {
    const milliseconds remaining =
        net::read_milliseconds(request.fields.find(names_.deadline)).value_or(default_deadline);
    std::uniform_real_distribution<double> uniform(0, 1);
    const std::optional<milliseconds> retry_after =
        policy::route_table_retry_after(remaining, uniform(random_));
    const instant expires_at =
        arrived_at + policy::route_table_wait(remaining, retry_after.has_value());
    log_info("request_kept")
        .with("request", request.fields.find(names_.request_id))
        .with("cause", routes_ ? "no_verdicts" : "no_routes")
        .with("left_ms", remaining.count());
    deferred_[id] = {std::move(request), arrived_at, expires_at, retry_after};
}

void service::resume_deferred() {
    if (deferred_.empty() || !routes_ || !crashes_->is_synchronized())
        return;
    std::map<exchange_id, deferred_request> requests = std::move(deferred_);
    deferred_.clear();
    for (std::pair<const exchange_id, deferred_request>& deferred : requests)
        admit(deferred.first, std::move(deferred.second.request), deferred.second.arrived_at);
}

void service::reject_expired(instant now) {
    for (auto deferred = deferred_.begin(); deferred != deferred_.end();) {
        if (now < deferred->second.expires_at) {
            ++deferred;
            continue;
        }
        reject_without_routes(deferred->first, deferred->second.request,
                              deferred->second.retry_after);
        deferred = deferred_.erase(deferred);
    }
}

void service::reject_without_routes(exchange_id id, const net::raw_request& request,
                                    std::optional<milliseconds> retry_after) {
    log_warning("request_refused")
        .with("request", request.fields.find(names_.request_id))
        .with("cause", "no_routes")
        .with("come_back_ms", retry_after.value_or(milliseconds(0)).count());
    net::http_fields fields;
    if (retry_after)
        fields.add("Retry-After", net::to_seconds(*retry_after));
    metrics_.count("refused_without_routes");
    respond(id, status_unavailable, fields, "");
}

} // namespace cassia::gateway
