// Second attempts of calls that are late, beside the first ones.

#include "cassia/base/log.h"
#include "cassia/gateway/dispatcher.h"

#include <cassert>
#include <utility>

namespace cassia::gateway {

static void swap_attempts(online_call& call) {
    assert(call.hedge.other && "a call has another attempt while it is hedged");
    upstream_attempt& other = *call.hedge.other;
    std::swap(call.attempt, other.attempt);
    std::swap(call.holds_slot, other.holds_slot);
    std::swap(call.connection_broke, other.connection_broke);
    std::swap(call.endpoint, other.endpoint);
    std::swap(call.incarnation, other.incarnation);
    std::swap(call.endpoint_version, other.endpoint_version);
    std::swap(call.address, other.address);
    std::swap(call.upstream_call, other.upstream_call);
    std::swap(call.sent_at, other.sent_at);
    std::swap(call.last_reclaim_at, other.last_reclaim_at);
    std::swap(call.last_progress_at, other.last_progress_at);
    std::swap(call.first_byte_at, other.first_byte_at);
    std::swap(call.not_run, other.not_run);
    std::swap(call.rejection_status, other.rejection_status);
    std::swap(call.forwards_error, other.forwards_error);
    std::swap(call.head, other.head);
    std::swap(call.body, other.body);
    std::swap(call.unused_bytes, other.unused_bytes);
}

void dispatcher::select_attempt(exchange_id id, std::uint32_t attempt) {
    auto found = calls_.find(id);
    if (found == calls_.end())
        return;
    const std::optional<upstream_attempt>& other = found->second->hedge.other;
    if (other && other->attempt == attempt)
        swap_attempts(*found->second);
}

bool dispatcher::may_hedge(online_call& call, instant now) const {
    const bool has_response = call.not_run || call.last_progress_at > call.sent_at;
    const bool allowed = hedging_.is_enabled() && call.hedge.attempt == 0 && !call.is_stream() &&
                         may_retry(call) && now < call.send_deadline;
    // Free slots belong to requests that wait for their first attempt.
    const bool slots_are_scarce = queue_.size(call.service) > 0;
    if (!allowed || has_response || slots_are_scarce || !hooks_.reports_pace(call.service))
        return false;
    return !call.runs_alone && !call.trial &&
           judge(call).verdict == policy::request_verdict::unsuspected;
}

bool dispatcher::hedge_if_late(online_call& call, instant now) {
    if (!may_hedge(call, now))
        return false;
    const microseconds running = now - call.sent_at;
    const microseconds target = milliseconds(call.route->target_ms());
    if (!hedging_.is_due({call.service, call.sent_at - call.arrived_at, running, target}))
        return false;
    std::set<endpoint_id> excluded = call.failed_endpoints;
    excluded.insert(call.endpoint);
    std::uniform_real_distribution<double> uniform(0, 1);
    const std::optional<policy::placement> placement =
        slots_.place_stalled(call.service, excluded, now, uniform(random_), {}, call.tokens);
    if (!placement)
        return false;
    hedging_.record_hedge(call.service);
    metrics_.count("hedges");
    log_info("request_hedged")
        .with("request", call.request_id)
        .with("endpoint", placement->endpoint.str())
        .with("after_ms", std::chrono::duration_cast<milliseconds>(running).count());
    call.hedge.other.emplace();
    swap_attempts(call);
    send(call, *placement);
    call.hedge.attempt = call.attempt;
    return true;
}

// The earlier endpoint is ejected when a call without a second attempt would give it up. Its
// attempt goes on if no further one may follow: it may still be the only one that succeeds.
void dispatcher::check_hedged(online_call& call, instant now) {
    if (call.attempt == call.hedge.attempt)
        swap_attempts(call);
    if (now - call.last_progress_at < inactivity_timeout(call))
        return;
    if (!std::exchange(call.hedge.ejected_first, true))
        eject_endpoint(call, now);
    if (may_retry(call))
        retry_or_fail(call, "endpoint_silent");
}

bool dispatcher::continue_with_other(online_call& call, const std::string& cause) {
    if (!call.hedge.other)
        return false;
    log_info("attempt_lost")
        .with("request", call.request_id)
        .with("endpoint", call.endpoint.str())
        .with("cause", cause);
    swap_attempts(call);
    call.hedge.other.reset();
    control_flow(call);
    return true;
}

void dispatcher::cancel_other(online_call& call) {
    if (!call.hedge.other)
        return;
    swap_attempts(call);
    call.hedge.other.reset();
    cancel_attempt(call);
}

void dispatcher::keep_current(online_call& call) {
    if (!call.hedge.other)
        return;
    swap_attempts(call);
    cancel_attempt(call);
    swap_attempts(call);
    call.hedge.other.reset();
    control_flow(call);
}

void dispatcher::record_response_time(const online_call& call, bool is_success) {
    if (!hedging_.is_enabled() || call.is_stream() || !call.is_repeatable())
        return;
    const instant now = monotonic_now();
    hedging_.record_call(call.service);
    if (is_success)
        hedging_.record_response(call.service, now - call.sent_at);
    // Without the times of first attempts that are cancelled, the tail would seem shorter than it
    // is. That of a later attempt says nothing.
    const std::optional<upstream_attempt>& other = call.hedge.other;
    if (other && other->sent_at < call.sent_at)
        hedging_.record_response(call.service, now - other->sent_at);
    if (call.hedge.attempt != 0 && call.attempt == call.hedge.attempt)
        metrics_.count("hedges_won");
}

} // namespace cassia::gateway
