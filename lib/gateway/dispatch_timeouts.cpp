// Time limits of online requests: deadlines, inactive endpoints and stalled streams.

#include "cassia/base/log.h"
#include "cassia/gateway/dispatcher.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace cassia::gateway {

namespace {
// An endpoint whose response does not begin within this time is considered inactive if the request
// may be repeated. A free slot responds in about 30 ms, and a lost packet adds 200 ms. At a full
// endpoint the request may first wait until others have run.
constexpr milliseconds inactivity_timeout_free_slot(350);
constexpr milliseconds inactivity_timeout_full_endpoint(1000);
// Inactivity timeout of a response that is not a stream, in multiples of the target time: nothing
// is sent before such a response is complete.
constexpr int inactivity_timeout_targets = 2;
// A pause between events may last 400 ms. This limit is longer than a lost packet takes (200 ms
// plus the usual pause) and leaves a resumed run 80 ms for its first event.
constexpr milliseconds min_inactivity_timeout_between_events(320);
// The same limit in multiples of the longest pause of the stream, if that is longer.
constexpr int inactivity_timeout_pauses = 4;
// Time without a response after which a batch item is asked to yield, and interval of further
// requests. An endpoint under light load begins its response within about 30 ms.
constexpr milliseconds reclaim_delay(60);
constexpr int status_timeout = 504;
} // namespace

void dispatcher::check_timeouts(online_call& call, instant now) {
    const bool waits_for_slot = call.upstream_call == call_id();
    if (!call.buffered_events.empty() && now - call.buffered_since >= max_event_delay)
        flush_events(call);
    // Nothing is read from the endpoint: its silence says nothing.
    if (is_paused(call)) {
        call.last_progress_at = now;
        call.last_event_at = instant();
    }
    if (waits_for_slot && call.runs == 0 && now > call.send_deadline) {
        reject(call, "no_slot_in_time", retry_after_wait(call, now));
        return;
    }
    if (now >= call.deadline) {
        if (!waits_for_slot)
            cancel_attempt(call);
        note_run_time(call, now);
        fail(call, status_timeout, "deadline");
        return;
    }
    if (waits_for_slot && end_too_late(call, now))
        return;
    if (!waits_for_slot && call.phase == call_phase::sent &&
        now - call.last_reclaim_at >= reclaim_delay)
        reclaim_slot(call, now);
    if (waits_for_slot) {
        if (call.retry_at != instant() && now >= call.retry_at && !is_paused(call)) {
            call.retry_at = instant();
            place(call);
        }
        return;
    }
    if (call.hedge.other) {
        check_hedged(call, now);
        return;
    }
    if (hedge_if_late(call, now))
        return;
    const bool stalled =
        call.phase == call_phase::responding && now - call.last_progress_at >= stall_timeout(call);
    if (!may_retry(call)) {
        if (stalled && may_migrate(call))
            start_migration(call, now);
        return;
    }
    if (stalled) {
        resume_elsewhere(call, now);
        return;
    }
    if (now - call.last_progress_at < inactivity_timeout(call))
        return;
    eject_endpoint(call, now);
    retry_or_fail(call, "endpoint_silent");
}

// The last attempt is not ended for inactivity: no other attempt could follow it.
bool dispatcher::may_retry(const online_call& call) const {
    return call.is_repeatable() && !call.forwards_parts && call.runs < call.route->max_attempts();
}

// A run that goes on from a copy goes on at its own version, also before its first event.
std::optional<policy::placement> dispatcher::place_elsewhere(const online_call& call, instant now) {
    if (call.endpoint_version.empty())
        return std::nullopt;
    std::set<endpoint_id> excluded = call.failed_endpoints;
    excluded.insert(call.endpoint);
    std::uniform_real_distribution<double> uniform(0, 1);
    return slots_.place_stalled(call.service, excluded, now, uniform(random_),
                                call.endpoint_version, call.tokens);
}

// A lost packet delays all events after it by 200 ms or more. If another endpoint has a free slot,
// the stream is resumed there at once; otherwise it keeps waiting until the inactivity timeout.
void dispatcher::resume_elsewhere(online_call& call, instant now) {
    const std::optional<policy::placement> placement = place_elsewhere(call, now);
    if (!placement) {
        if (now - call.last_progress_at >= inactivity_timeout(call)) {
            eject_endpoint(call, now);
            retry_or_fail(call, "endpoint_silent");
        }
        return;
    }
    const milliseconds ejection_time = slots_.record_stall(call.endpoint, now);
    metrics_.count("streams_moved");
    log_info("stream_moved")
        .with("request", call.request_id)
        .with("endpoint", call.endpoint.str())
        .with("behind_event", call.last_event)
        .with("silent_ms",
              std::chrono::duration_cast<milliseconds>(now - call.last_progress_at).count())
        .with("suspended_ms", ejection_time.count());
    cancel_attempt(call);
    call.failed_endpoints.insert(call.endpoint);
    send(call, *placement);
}

microseconds dispatcher::stall_timeout(const online_call& call) {
    return paces_[call.service].stall_timeout(call.longest_pause,
                                              milliseconds(call.route->pause_ms()));
}

microseconds dispatcher::inactivity_timeout(const online_call& call) const {
    if (!call.is_stream())
        return std::max(inactivity_timeout_free_slot,
                        inactivity_timeout_targets * milliseconds(call.route->target_ms()));
    if (call.first_byte_at < call.sent_at)
        return slots_.is_full(call.endpoint) ? inactivity_timeout_full_endpoint
                                             : inactivity_timeout_free_slot;
    const microseconds pause = call.longest_pause;
    return std::max<microseconds>(min_inactivity_timeout_between_events,
                                  inactivity_timeout_pauses * pause);
}

// The usage reported by other gateways is up to 100 ms old, so an endpoint that seemed to have a
// free slot may be full when the request arrives. Once that is known, one of the batch items there
// is asked to yield. If the endpoint isn't full, another free slot would not help the request.
void dispatcher::reclaim_slot(online_call& call, instant now) {
    const std::optional<entry_id> holder = slots_.batch_holder_if_full(call.endpoint);
    if (!holder)
        return;
    call.last_reclaim_at = now;
    hooks_.request_yield(*holder, call.endpoint);
}

void dispatcher::tick(instant now) {
    std::vector<exchange_id> ids;
    ids.reserve(calls_.size());
    for (const std::pair<const exchange_id, std::unique_ptr<online_call>>& call : calls_)
        ids.push_back(call.first);
    for (const exchange_id id : ids) {
        auto found = calls_.find(id);
        if (found != calls_.end())
            check_timeouts(*found->second, now);
    }
    check_unknown_origins();
    end_unservable();
    dispatch_queued();
    reject_missing_deadline(now);
}

} // namespace cassia::gateway
