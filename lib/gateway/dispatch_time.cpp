// What the passing of time does to requests: deadlines, silence, pauses.

#include "cassia/base/log.h"
#include "cassia/gateway/dispatcher.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace cassia::gateway {

namespace {
// An endpoint that begins no answer for this long is taken for silent, if the request may be
// repeated. A free slot answers in some 30 ms and a lost packet takes 200 ms more; where others may
// wait before it, the answer may take as long as they run.
constexpr milliseconds silence_at_free_slot(350);
constexpr milliseconds silence_at_full_endpoint(1000);
// An answer in one piece says nothing while it is made; twice the target is long for it.
constexpr int targets_of_silence = 2;
// Between events the limit is what lets the rest come within the 400 ms that a pause may last:
// a lost packet (200 ms and the usual pace) isn't taken for silence, and a resumed run has 80 ms.
constexpr milliseconds least_silence_between_events(320);
constexpr int silence_paces = 4;
// A calm endpoint begins its answer within some 30 ms.
constexpr milliseconds hurry_after(60);
constexpr int status_timeout = 504;
} // namespace

void dispatcher::check_time(online_call& call, instant now) {
    const bool waits = call.attempt == call_id();
    if (!call.gathered.empty() && now - call.gathered_since >= gather_limit)
        flush(call);
    if (waits && call.phase == call_phase::waiting && now > call.give_up_at) {
        if (call.runs > 0)
            fail(call, status_timeout, "no_slot_in_time");
        else
            refuse(call, "no_slot_in_time");
        return;
    }
    if (now >= call.deadline) {
        if (!waits)
            drop_attempt(call);
        fail(call, status_timeout, "deadline");
        return;
    }
    if (!waits && call.phase == call_phase::sent && now - call.hurried_at >= hurry_after)
        hurry(call, now);
    if (waits)
        return;
    const bool stalls =
        call.phase == call_phase::answering && now - call.progress_at >= stall_limit(call);
    if (!may_go_on_elsewhere(call)) {
        if (stalls && may_move_run(call))
            move_run(call, now);
        return;
    }
    if (stalls) {
        move_stalled(call, now);
        return;
    }
    if (now - call.progress_at < silence_limit(call))
        return;
    suspect(call, now);
    retry_or_fail(call, "endpoint_silent");
}

// The last attempt is left alone: ending it for its silence would help nobody.
bool dispatcher::may_go_on_elsewhere(const online_call& call) const {
    return call.is_repeatable() && call.runs < call.route->max_attempts();
}

std::optional<policy::placement> dispatcher::place_elsewhere(const online_call& call, instant now) {
    std::set<endpoint_id> avoided = call.avoided;
    avoided.insert(call.endpoint);
    std::uniform_real_distribution<double> draw(0, 1);
    return slots_.place_stalled(call.service, avoided, now, draw(random_));
}

// A packet that got lost on its way from the endpoint holds up all events behind it for 200 ms and
// more, and the answer is late by it. Where another endpoint has a free slot the stream goes on
// there at once. Without a free slot it waits as it is.
void dispatcher::move_stalled(online_call& call, instant now) {
    const std::optional<policy::placement> place = place_elsewhere(call, now);
    if (!place) {
        if (now - call.progress_at >= silence_limit(call)) {
            suspect(call, now);
            retry_or_fail(call, "endpoint_silent");
        }
        return;
    }
    const milliseconds suspended = slots_.record_stall(call.endpoint, now);
    metrics_.count("streams_moved");
    log_info("stream_moved")
        .with("request", call.request_id)
        .with("endpoint", call.endpoint.str())
        .with("behind_event", call.last_event)
        .with("silent_ms", std::chrono::duration_cast<milliseconds>(now - call.progress_at).count())
        .with("suspended_ms", suspended.count());
    drop_attempt(call);
    call.avoided.insert(call.endpoint);
    send(call, *place);
}

microseconds dispatcher::stall_limit(const online_call& call) {
    return paces_[call.service].stall_timeout(call.longest_pause,
                                              milliseconds(call.route->pause_ms()));
}

microseconds dispatcher::silence_limit(const online_call& call) const {
    if (!call.is_stream())
        return std::max(silence_at_free_slot,
                        targets_of_silence * milliseconds(call.route->target_ms()));
    if (call.first_byte_at < call.sent_at)
        return slots_.is_full(call.endpoint) ? silence_at_full_endpoint : silence_at_free_slot;
    const microseconds pace = call.longest_pause;
    return std::max<microseconds>(least_silence_between_events, silence_paces * pace);
}

// What this gateway knows of the others is up to a tenth of a second old, so a request may find its
// endpoint full though a slot was free when it was sent. Once that is known, one of the batch items
// there makes room; one that begins late for another reason would gain nothing by it.
void dispatcher::hurry(online_call& call, instant now) {
    const std::optional<entry_id> holder = slots_.batch_holder_if_full(call.endpoint);
    if (!holder)
        return;
    call.hurried_at = now;
    hooks_.yield_slot(*holder, call.endpoint);
}

void dispatcher::tick(instant now) {
    std::vector<exchange_id> ids;
    ids.reserve(calls_.size());
    for (const std::pair<const exchange_id, std::unique_ptr<online_call>>& one : calls_)
        ids.push_back(one.first);
    for (const exchange_id id : ids) {
        auto found = calls_.find(id);
        if (found != calls_.end())
            check_time(*found->second, now);
    }
    serve_waiting();
}

} // namespace cassia::gateway
