// Graceful shutdown of a gateway.

#include "cassia/base/log.h"
#include "cassia/gateway/service.h"

#include <algorithm>

namespace cassia::gateway {

namespace {
constexpr milliseconds shutdown_check_interval(50);
// Some callers use a list of gateways for three times its maximum age.
constexpr int max_list_ages = 3;
// Part of the grace period that is reserved for sending the last responses and for the exit.
constexpr milliseconds shutdown_margin(700);
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
    const bool done = server_->open_exchanges() == 0 && server_->unsent() == 0 &&
                      items_->unreported() == 0 && lease_requests_.all_closed();
    if (done || now >= stop_at)
        task_.quit();
}

} // namespace cassia::gateway
