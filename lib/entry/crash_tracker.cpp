#include "cassia/entry/crash_tracker.h"

#include <utility>

namespace cassia::entry {

namespace {
constexpr milliseconds probe_timeout(400);
constexpr milliseconds one_death(1000);
// A process that ends closes its connections one by one; after this time its listener is closed
// too.
constexpr milliseconds probe_pause(50);
constexpr int most_probes = 2;
} // namespace

crash_blame::crash_blame(net::task& task, net::http_client& client, control_task& control,
                         std::function<void(const policy::strike&)> on_strike)
    : task_(task), client_(client), control_(control), on_strike_(std::move(on_strike)),
      strikes_(policy::strike_memory) {}

void crash_blame::probe(const http_address& address, std::function<void(bool dead)> done) {
    probe_again(address, std::move(done), most_probes);
}

// A probe that falls between the end of the request's connection and that of the listener is taken
// and then broken. Taken for a sign of life it lets a poisonous request go unblamed and crash a
// third engine.
void crash_blame::probe_again(const http_address& address, std::function<void(bool dead)> done,
                              int probes) {
    net::http_call call;
    call.to = address;
    call.path = "/health";
    call.fresh_connection = true;
    call.progress_timeout = probe_timeout;
    net::fetch(client_, call,
               [this, address, probes, done = std::move(done)](
                   const outcome<net::http_answer, net::http_failure>& answer) {
                   const bool broken =
                       !answer && answer.error().cause.code == net::errc::connection_lost;
                   if (broken && probes > 1) {
                       task_.after(probe_pause, [this, address, probes, done] {
                           probe_again(address, done, probes - 1);
                       });
                       return;
                   }
                   done(!answer && answer.error().cause.code == net::errc::cannot_connect);
               });
}

bool crash_blame::died(const endpoint_id& endpoint,
                       const std::vector<policy::running_request>& running) {
    const instant now = monotonic_now();
    auto known = deaths_.find(endpoint);
    if (known != deaths_.end() && now - known->second < one_death)
        return false;
    deaths_[endpoint] = now;
    const policy::death_blame blame = strikes_.blame(running, now);
    strike(blame.certain, endpoint, now);
    if (blame.likely.empty())
        return true;
    task_.after(policy::blame_delay, [this, likely = blame.likely, endpoint, now] {
        if (!strikes_.knows_death(endpoint, now - policy::blame_delay))
            strike(likely, endpoint, now);
    });
    return true;
}

void crash_blame::strike(const std::vector<fingerprint>& requests, const endpoint_id& endpoint,
                         instant at) {
    for (const fingerprint& request : requests) {
        const policy::strike hit{request, endpoint, at};
        strikes_.add(hit);
        control_.add_strike(hit);
        if (on_strike_)
            on_strike_(hit);
    }
}

void crash_blame::learn(const std::vector<policy::strike>& strikes) {
    for (const policy::strike& one : strikes)
        strikes_.add(one);
    strikes_.forget_old(monotonic_now());
}

bool crash_blame::is_suspect(const fingerprint& request) const {
    return strikes_.is_suspect(request, monotonic_now());
}

bool crash_blame::is_quarantined(const fingerprint& request) const {
    return strikes_.is_quarantined(request, monotonic_now());
}

} // namespace cassia::entry
