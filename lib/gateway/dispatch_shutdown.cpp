// Online requests during a planned shutdown of the gateway.

#include "cassia/gateway/dispatcher.h"

#include <vector>

namespace cassia::gateway {

namespace {
constexpr int status_redirection = 300;
} // namespace

policy::run_kind dispatcher::kind_of(const online_call& call) const {
    return {call.service, call.is_stream(), call.tokens};
}

// A stream that was taken up is shorter than others of its size, and a failure ends early.
void dispatcher::note_run_time(const online_call& call, instant now) {
    const bool failed = now < call.deadline && call.head.status >= status_redirection;
    if (call.first_sent_at == instant() || failed || call.request.fields.has(names_.last_event))
        return;
    shutdown_.record(kind_of(call), now - call.first_sent_at);
}

// A request that has not run is rejected at once, so that its caller can use another gateway. One
// that may have run gets no such promise; its caller may still have time to repeat it.
bool dispatcher::end_too_late(online_call& call, instant now) {
    const bool is_begun = call.phase == call_phase::responding || call.stopped_run.has_value();
    if (is_begun || shutdown_.may_send({kind_of(call), call.deadline, call.is_repeatable()}, now))
        return false;
    if (call.runs == 0)
        reject(call, "shutting_down", milliseconds(0));
    else
        fail(call, status_bad_gateway, "shutting_down");
    return true;
}

// The connection is closed instead of reset: what was sent stays readable.
void dispatcher::break_off(online_call& call) {
    flush_events(call);
    log_outcome(call, 0, "shutting_down");
    metrics_.count("failed");
    metrics_.count("broken_off_at_stop");
    const exchange_id id = call.id;
    close(id);
    server_.break_off(id);
}

void dispatcher::end_all() {
    dispatching_ = true;
    std::vector<exchange_id> ids;
    for (const std::pair<const exchange_id, std::unique_ptr<online_call>>& call : calls_)
        ids.push_back(call.first);
    for (const exchange_id id : ids) {
        auto found = calls_.find(id);
        if (found == calls_.end())
            continue;
        online_call& call = *found->second;
        if (call.phase == call_phase::responding)
            break_off(call);
        else if (call.runs == 0)
            reject(call, "shutting_down", milliseconds(0));
        else
            fail(call, status_bad_gateway, "shutting_down");
    }
    dispatching_ = false;
}

} // namespace cassia::gateway
