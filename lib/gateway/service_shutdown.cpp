// Graceful shutdown of a gateway.

#include "cassia/base/log.h"
#include "cassia/gateway/service.h"

#include <algorithm>
#include <utility>

namespace cassia::gateway {

namespace {
constexpr milliseconds shutdown_check_interval(50);
// Some callers use a list of gateways for three times its maximum age.
constexpr int max_list_ages = 3;
// Part of the grace period that is reserved for sending the last responses and for the exit.
constexpr milliseconds shutdown_margin(700);
// Part of the margin in which callers may read the last responses.
constexpr milliseconds last_response_time(300);
constexpr int status_unavailable = 503;
constexpr milliseconds idle_connection_grace(250);
constexpr int ms_per_s = 1000;
} // namespace

// Callers may connect for as long as they use a list that contains this gateway. After that no new
// connections are accepted, open requests are completed, and the process exits before the end of
// the grace period, when it would be killed.
void service::shut_down() {
    if (shutting_down_)
        return;
    shutting_down_ = true;
    shutdown_began_at_ = monotonic_now();
    log_info("gateway_stopping").with("open", server_->open_exchanges());
    cluster_->leave();
    crashes_->leave();
    items_->shut_down();
    server_->wind_down(idle_connection_grace);
    const milliseconds grace(static_cast<std::int64_t>(settings_.grace_s() * ms_per_s));
    const instant stop_at = shutdown_began_at_ + std::max(grace - shutdown_margin, milliseconds(0));
    dispatcher_->begin_shutdown(stop_at);
    task_.every(shutdown_check_interval, [this, stop_at] { check_shutdown(stop_at); });
}

void service::check_shutdown(instant stop_at) {
    const instant now = monotonic_now();
    const milliseconds lists_expire_after =
        milliseconds(settings_.list_age_ms()) * max_list_ages + idle_connection_grace;
    if (now >= shutdown_began_at_ + lists_expire_after || now >= stop_at)
        server_->stop_listening();
    else
        return;
    if (now >= stop_at) {
        end_open_requests();
        // Connections whose request was refused are read for a while; see refuse_incomplete().
        const bool all_closed = server_->open_connections() == 0 && server_->unsent() == 0;
        if (all_closed || now >= stop_at + last_response_time)
            task_.quit();
        return;
    }
    const bool is_idle = server_->open_exchanges() == 0 && server_->incomplete_requests() == 0;
    if (is_idle && server_->unsent() == 0 && items_->unreported() == 0 &&
        lease_requests_.all_closed())
        task_.quit();
}

void service::end_open_requests() {
    if (std::exchange(ended_open_requests_, true))
        return;
    log_info("open_requests_ended")
        .with("open", server_->open_exchanges())
        .with("incomplete", server_->incomplete_requests());
    dispatcher_->end_all();
    const std::map<exchange_id, deferred_request> deferred = std::exchange(deferred_, {});
    for (const std::pair<const exchange_id, deferred_request>& one : deferred)
        reject_without_routes(one.first, one.second.request, milliseconds(0));
    // What else is open may have been passed on, as a batch job.
    net::raw_head head;
    head.status = status_bad_gateway;
    server_->respond_to_all(head);
    net::http_fields fields;
    fields.add("Retry-After", "0");
    server_->refuse_incomplete(fields);
}

void service::reject_after_stop(exchange_id id, const net::raw_request& request) {
    net::http_fields fields;
    fields.add(names_.request_id, request.fields.find(names_.request_id));
    fields.add("Retry-After", "0");
    metrics_.count("refused_shutting_down");
    respond(id, status_unavailable, fields, "");
}

} // namespace cassia::gateway
