#include "cassia/entry/crash_tracker.h"

#include <utility>

namespace cassia::entry {

namespace {
constexpr milliseconds probe_timeout(400);
// Further reports within this time of the first are taken to be about the same crash.
constexpr milliseconds same_crash_window(1000);
// An exiting process closes its sockets one by one; after this delay its listening socket is closed
// as well.
constexpr milliseconds probe_retry_delay(50);
constexpr int max_probes = 2;
} // namespace

crash_tracker::crash_tracker(net::task& task, net::http_client& client, control_task& control,
                             std::function<void(const policy::strike&)> on_strike)
    : task_(task), client_(client), control_(control), on_strike_(std::move(on_strike)),
      strikes_(policy::strike_retention) {}

void crash_tracker::probe(const http_address& address,
                          std::function<void(bool crashed)> on_result) {
    send_probe(address, std::move(on_result), max_probes);
}

// Sends a probe, and another one if its connection is lost. A probe sent after the exiting process
// has closed the request's connection, but before it closes its listening socket, is accepted and
// then reset. Counting that as a sign of life would leave the request that caused the crash without
// a strike, and it could go on to crash a third engine.
void crash_tracker::send_probe(const http_address& address,
                               std::function<void(bool crashed)> on_result, int probes_left) {
    net::http_call probe_request;
    probe_request.to = address;
    probe_request.path = "/health";
    probe_request.fresh_connection = true;
    probe_request.progress_timeout = probe_timeout;
    net::fetch(client_, probe_request,
               [this, address, probes_left, on_result = std::move(on_result)](
                   const outcome<net::http_answer, net::http_failure>& response) {
                   const bool broken =
                       !response && response.error().cause.code == net::errc::connection_lost;
                   if (broken && probes_left > 1) {
                       task_.after(probe_retry_delay, [this, address, probes_left, on_result] {
                           send_probe(address, on_result, probes_left - 1);
                       });
                       return;
                   }
                   on_result(!response && response.error().cause.code == net::errc::cannot_connect);
               });
}

bool crash_tracker::record_crash(const endpoint_id& endpoint,
                                 const std::vector<policy::running_request>& running) {
    const instant now = monotonic_now();
    auto known = last_crashes_.find(endpoint);
    if (known != last_crashes_.end() && now - known->second < same_crash_window)
        return false;
    last_crashes_[endpoint] = now;
    const policy::crash_attribution blame = strikes_.attribute_crash(running, now);
    add_strikes(blame.immediate, endpoint, now);
    if (blame.deferred.empty())
        return true;
    // Another entry may know a likelier cause. Wait for its strike before adding any here.
    task_.after(policy::attribution_delay, [this, likely = blame.deferred, endpoint, now] {
        if (!strikes_.has_strike_since(endpoint, now - policy::attribution_delay))
            add_strikes(likely, endpoint, now);
    });
    return true;
}

void crash_tracker::add_strikes(const std::vector<fingerprint>& requests,
                                const endpoint_id& endpoint, instant time) {
    for (const fingerprint& request : requests) {
        const policy::strike new_strike{request, endpoint, time};
        strikes_.add(new_strike);
        control_.add_strike(new_strike);
        if (on_strike_)
            on_strike_(new_strike);
    }
}

void crash_tracker::merge_strikes(const std::vector<policy::strike>& strikes) {
    for (const policy::strike& strike : strikes)
        strikes_.add(strike);
    strikes_.remove_expired(monotonic_now());
}

bool crash_tracker::is_suspect(const fingerprint& request) const {
    return strikes_.is_suspect(request, monotonic_now());
}

bool crash_tracker::is_quarantined(const fingerprint& request) const {
    return strikes_.is_quarantined(request, monotonic_now());
}

} // namespace cassia::entry
