// What endpoints answer, and how it is passed on.

#include "cassia/base/log.h"
#include "cassia/gateway/dispatcher.h"

#include <algorithm>
#include <utility>

namespace cassia::gateway {

namespace {
constexpr int status_misdirected = 421;
constexpr int status_first_failure = 300;
constexpr int status_server_error = 500;
} // namespace

static bool is_success(int status) {
    return status >= 200 && status < status_first_failure;
}

// An endpoint may send a second answer, late, where the next one is expected. The request id that
// it repeats tells whose it is.
bool dispatcher::is_own_answer(const online_call& call, const net::raw_head& head) const {
    return head.fields.find(names_.request_id) == call.request_id;
}

void dispatcher::on_head(exchange_id id, const net::raw_head& head) {
    auto found = calls_.find(id);
    if (found == calls_.end())
        return;
    online_call& call = *found->second;
    call.progress_at = monotonic_now();
    const bool not_run = head.fields.has(names_.not_run) || head.status == status_misdirected;
    if (not_run) {
        call.refused_by_endpoint = true;
        return;
    }
    slots_.record_success(call.endpoint);
    if (!is_own_answer(call, head)) {
        suspect(call, call.progress_at);
        retry_or_fail(call, "answer_of_another_request");
        return;
    }
    // The endpoint proves its answers; bytes without the proof may come from anywhere.
    if (!head.fields.has(names_.stamp) || head.fields.has("Content-Encoding")) {
        retry_or_fail(call, "unproved_answer");
        return;
    }
    const bool resumes = call.phase == call_phase::answering;
    if (resumes && !is_success(head.status)) {
        retry_or_fail(call, "resume_failed");
        return;
    }
    call.passes_failure = !is_success(head.status);
    if (!resumes)
        call.head = head;
}

void dispatcher::on_piece(exchange_id id, std::string_view bytes) {
    auto found = calls_.find(id);
    if (found == calls_.end() || found->second->refused_by_endpoint)
        return;
    online_call& call = *found->second;
    call.progress_at = monotonic_now();
    slots_.record_progress(call.endpoint);
    if (call.first_byte_at < call.sent_at)
        call.first_byte_at = call.progress_at;
    if (!call.is_stream() || call.passes_failure) {
        call.body.append(bytes);
        return;
    }
    if (!pass_events(call, bytes))
        retry_or_fail(call, "event_out_of_order");
}

void dispatcher::begin_answer(online_call& call) {
    if (call.phase == call_phase::answering)
        return;
    call.phase = call_phase::answering;
    call.answer_began = call.progress_at;
    net::raw_head head = call.head;
    head.framing = net::body_framing::chunked;
    server_.begin(call.id, head);
    metrics_.observe("first_event", call.progress_at - call.arrived);
}

// Events go on in small groups: each packet may get lost on its way, and its loss holds up all
// behind it for about 200 ms. With three events to a packet a third as many streams meet that, and
// no event waits for longer than a reader can tell.
void dispatcher::gather(online_call& call, const std::string& event) {
    const instant now = monotonic_now();
    // The first one, and one that comes after a long pause, is waited for.
    const bool first = now - call.last_event_at >= gather_limit;
    if (call.gathered.empty())
        call.gathered_since = now;
    call.gathered.append(event);
    if (first || now - call.gathered_since >= gather_limit)
        flush(call);
}

void dispatcher::flush(online_call& call) {
    if (call.gathered.empty())
        return;
    server_.piece(call.id, call.gathered);
    call.gathered.clear();
}

// Only whole events go on: a run that breaks off within one is resumed behind the last whole one,
// and the caller must not see its beginning twice.
bool dispatcher::pass_events(online_call& call, std::string_view bytes) {
    for (const stream_event& event : call.events.feed(bytes)) {
        const bool numbered = event.id != 0;
        const bool expected = event.id == call.last_event + 1;
        if (numbered && !expected && (call.last_event != 0 || event.id < call.last_event))
            return false;
        begin_answer(call);
        gather(call, event.bytes);
        if (!numbered)
            continue;
        call.last_event = event.id;
        if (call.last_event_at != instant()) {
            const microseconds pause =
                std::chrono::duration_cast<microseconds>(call.progress_at - call.last_event_at);
            call.longest_pause = std::max(call.longest_pause, pause);
            paces_[call.service].record_pause(pause);
        }
        call.last_event_at = call.progress_at;
    }
    return true;
}

void dispatcher::on_end(exchange_id id) {
    auto found = calls_.find(id);
    if (found == calls_.end())
        return;
    online_call& call = *found->second;
    if (call.refused_by_endpoint) {
        retry_unrun(call, "refused_by_endpoint");
        return;
    }
    if (!call.is_stream() || call.passes_failure) {
        finish_plain(call);
        return;
    }
    if (call.events.has_rest()) {
        if (!ends_by_move(call))
            retry_or_fail(call, "stream_cut_within_event");
        return;
    }
    begin_answer(call);
    flush(call);
    log_outcome(call, call.head.status, "answered");
    metrics_.count("answered");
    metrics_.observe("answer", monotonic_now() - call.arrived);
    close(id);
    server_.end(id);
}

void dispatcher::finish_plain(online_call& call) {
    const bool again = call.head.status >= status_server_error && call.is_repeatable() &&
                       call.runs < call.route->max_attempts() && monotonic_now() < call.give_up_at;
    if (again) {
        retry_or_fail(call, "endpoint_failed");
        return;
    }
    call.answer_began = call.progress_at;
    log_outcome(call, call.head.status, "answered");
    metrics_.count("answered");
    metrics_.observe("answer", monotonic_now() - call.arrived);
    const net::raw_head head = std::move(call.head);
    const std::string body = std::move(call.body);
    const exchange_id id = call.id;
    close(id);
    server_.respond(id, head, body);
}

void dispatcher::on_failure(exchange_id id, const net::raw_failure& failure) {
    auto found = calls_.find(id);
    if (found == calls_.end())
        return;
    online_call& call = *found->second;
    if (ends_by_move(call))
        return;
    const bool unrun = !failure.sent || call.refused_by_endpoint;
    const bool stale_connection = failure.kept && !failure.answered;
    if (!call.refused_by_endpoint && !stale_connection)
        suspect(call, monotonic_now());
    if (unrun)
        retry_unrun(call, failure.cause.text);
    else
        retry_or_fail(call, failure.cause.text);
}

} // namespace cassia::gateway
