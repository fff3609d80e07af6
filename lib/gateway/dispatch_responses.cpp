// Responses of endpoints to online requests, and how they are forwarded.

#include "cassia/base/log.h"
#include "cassia/gateway/dispatcher.h"
#include "cassia/gateway/load_report.h"

#include <algorithm>
#include <utility>

namespace cassia::gateway {

namespace {
constexpr int status_request_timeout = 408;
constexpr int status_misdirected = 421;
constexpr int status_too_many_requests = 429;
constexpr int status_unavailable = 503;
constexpr int status_redirection = 300;
constexpr int status_server_error = 500;
// The mean time between fewer events than this says little about the endpoint.
constexpr std::uint64_t min_timed_events = 5;
// More events than this fill several packets: holding them back saves none.
constexpr std::size_t max_buffered_events = 16UL * 1024;
} // namespace

static bool is_success(int status) {
    return status >= 200 && status < status_redirection;
}

// To callers these say that the request has not run and never will.
static bool promises_not_run(int status) {
    return status == status_request_timeout || status == status_misdirected ||
           status == status_too_many_requests || status == status_unavailable;
}

// Runs of several attempts, and streams that began elsewhere, say nothing about one endpoint.
static void record_run_time(policy::slot_table& slots, const online_call& call, bool resumed) {
    if (call.sends > 1 || resumed || call.forwards_error)
        return;
    policy::run_shape shape;
    shape.is_stream = call.is_stream();
    microseconds duration =
        std::chrono::duration_cast<microseconds>(call.last_progress_at - call.sent_at);
    if (!shape.is_stream)
        shape.bytes = call.request.body.size() + call.body.size();
    else if (call.last_event >= min_timed_events)
        duration =
            std::chrono::duration_cast<microseconds>(call.last_event_at - call.response_began_at) /
            static_cast<std::int64_t>(call.last_event - 1);
    else
        return;
    record_run(slots, call.endpoint, shape, duration, call.last_progress_at);
}

void dispatcher::on_head(exchange_id id, const net::raw_head& head) {
    auto found = calls_.find(id);
    if (found == calls_.end())
        return;
    online_call& call = *found->second;
    call.last_progress_at = monotonic_now();
    // Another process at the address says so.
    if (head.status != status_misdirected) {
        crashes_.record_received(call.endpoint, call.incarnation);
        record_load(slots_, metrics_, call.endpoint, head.fields.find(names_.load),
                    call.last_progress_at);
    }
    const bool not_run = head.fields.has(names_.not_run) || head.status == status_misdirected;
    if (not_run) {
        call.not_run = true;
        call.rejection_status = head.status;
        slots_.record_rejection(call.endpoint, call.last_progress_at);
        return;
    }
    call.rejections = 0;
    call.stopped_run.reset();
    slots_.record_success(call.endpoint);
    // Endpoints stamp their responses: one without the stamp may come from another program. The
    // events of an encoded body can't be read.
    if (!head.fields.has(names_.stamp) || head.fields.has("Content-Encoding")) {
        retry_or_fail(call, "unproved_answer");
        return;
    }
    // The endpoint doesn't say that it hasn't run the request.
    if (!call.is_repeatable() && promises_not_run(head.status)) {
        retry_or_fail(call, "unproved_rejection");
        return;
    }
    const bool resumes = call.phase == call_phase::responding;
    if (resumes && !is_success(head.status)) {
        retry_or_fail(call, "resume_failed");
        return;
    }
    call.forwards_error = !is_success(head.status);
    if (!resumes)
        call.head = head;
}

void dispatcher::on_body(exchange_id id, std::string_view bytes) {
    auto found = calls_.find(id);
    if (found == calls_.end())
        return;
    online_call& call = *found->second;
    call.unused_bytes += bytes.size();
    if (call.unused_bytes > max_unused_bytes) {
        eject_endpoint(call, monotonic_now());
        if (call.not_run)
            retry_not_run(call, "response_too_long");
        else
            retry_or_fail(call, "response_too_long");
        return;
    }
    if (call.not_run)
        return;
    call.last_progress_at = monotonic_now();
    crashes_.record_received(call.endpoint, call.incarnation);
    slots_.record_progress(call.endpoint);
    if (call.first_byte_at < call.sent_at)
        call.first_byte_at = call.last_progress_at;
    if (!call.is_stream() || call.forwards_error) {
        call.body.append(bytes);
        forward_part(call);
        return;
    }
    if (!forward_events(call, bytes)) {
        retry_or_fail(call, "event_out_of_order");
        return;
    }
    call.unused_bytes = call.parser.partial_size();
    if (flow_ != nullptr && flow_->on_partial_event(call.id, call.unused_bytes)) {
        eject_endpoint(call, monotonic_now());
        retry_or_fail(call, "event_too_long");
    }
}

void dispatcher::begin_response(online_call& call) {
    if (call.phase == call_phase::responding)
        return;
    call.phase = call_phase::responding;
    call.response_began_at = call.last_progress_at;
    net::raw_head head = call.head;
    head.framing = net::body_framing::chunked;
    server_.begin(call.id, head);
    metrics_.observe("first_event", call.last_progress_at - call.arrived_at);
}

// Events are forwarded in small groups. A lost packet delays all data after it by about 200 ms;
// with three events to a packet a third as many streams are affected, and the added delay is too
// short for a reader to notice.
void dispatcher::buffer_event(online_call& call, const std::string& event) {
    const instant now = monotonic_now();
    // The caller is waiting for the first event, and for one that follows a long pause.
    const bool is_caller_waiting = now - call.last_event_at >= max_event_delay;
    if (call.buffered_events.empty())
        call.buffered_since = now;
    call.buffered_events.append(event);
    if (is_caller_waiting || now - call.buffered_since >= max_event_delay ||
        call.buffered_events.size() >= max_buffered_events)
        flush_events(call);
}

void dispatcher::flush_events(online_call& call) {
    if (call.buffered_events.empty())
        return;
    server_.piece(call.id, call.buffered_events);
    // With its capacity, which may be that of a whole read.
    call.buffered_events = std::string();
    if (flow_ != nullptr)
        flow_->on_forwarded(call.id);
}

void dispatcher::control_flow(const online_call& call) {
    if (flow_ != nullptr)
        flow_->on_attempt({call.id, call.request_id, team_of(call), call.upstream_call});
}

// A response that is kept until it is whole can be repeated elsewhere if its endpoint fails; one of
// more than a call's share of the memory can't be kept.
void dispatcher::forward_part(online_call& call) {
    if (flow_ == nullptr)
        return;
    const std::size_t other = call.hedge.other ? call.hedge.other->body.size() : 0;
    if (!call.forwards_parts && !flow_->on_gathered(call.id, call.body.size() + other))
        return;
    if (!call.forwards_parts) {
        keep_current(call);
        call.forwards_parts = true;
        call.phase = call_phase::responding;
        call.response_began_at = call.last_progress_at;
        if (call.head.framing == net::body_framing::until_close)
            call.head.framing = net::body_framing::chunked;
        server_.begin(call.id, call.head);
    }
    server_.piece(call.id, std::exchange(call.body, std::string()));
    flow_->on_gathered(call.id, 0);
}

bool dispatcher::is_paused(const online_call& call) const {
    return flow_ != nullptr && flow_->is_paused(call.id);
}

// The endpoint isn't to blame, and neither is the request. A stream that may be taken up goes on
// once its caller has read what is held for it.
void dispatcher::on_unread_response(online_call& call) {
    cancel_attempt(call);
    metrics_.count("responses_unread");
    if (!call.is_stream() || !may_retry(call)) {
        fail(call, status_bad_gateway, "response_unread");
        return;
    }
    log_info("request_retried")
        .with("request", call.request_id)
        .with("endpoint", call.endpoint.str())
        .with("behind_event", call.last_event)
        .with("cause", "response_unread");
    call.retry_at = monotonic_now();
}

// Only complete events are forwarded: a stream that breaks within an event is resumed after the
// last complete one, and the caller must not receive the start of the broken event twice.
bool dispatcher::forward_events(online_call& call, std::string_view bytes) {
    for (const sse_event& event : call.parser.feed(bytes)) {
        // The first event of a new stream may have any id. Later events, and those of a resumed
        // stream, must follow without a gap.
        const bool numbered = event.id != 0;
        const bool expected = event.id == call.last_event + 1;
        if (numbered && !expected && (call.last_event != 0 || event.id < call.last_event))
            return false;
        if (!call.origin_version)
            on_first_event(call);
        begin_response(call);
        buffer_event(call, event.bytes);
        if (!numbered)
            continue;
        call.last_event = event.id;
        if (call.last_event_at != instant()) {
            const microseconds pause = std::chrono::duration_cast<microseconds>(
                call.last_progress_at - call.last_event_at);
            call.longest_pause = std::max(call.longest_pause, pause);
            paces_[call.service].record_pause(pause);
        }
        call.last_event_at = call.last_progress_at;
    }
    return true;
}

void dispatcher::on_end(exchange_id id) {
    auto found = calls_.find(id);
    if (found == calls_.end())
        return;
    online_call& call = *found->second;
    if (call.not_run) {
        retry_not_run(call, "refused_by_endpoint");
        return;
    }
    if (!call.is_stream() || call.forwards_error) {
        forward_complete_response(call);
        return;
    }
    if (call.parser.has_partial_event()) {
        crashes_.record_broken_run(run_of(call));
        if (!defer_end_to_migration(call))
            retry_or_fail(call, "stream_cut_within_event");
        return;
    }
    begin_response(call);
    flush_events(call);
    record_complete_run(call, true);
    record_run_time(slots_, call, call.request.fields.has(names_.last_event));
    note_run_time(call, monotonic_now());
    log_outcome(call, call.head.status, "answered");
    metrics_.count("answered");
    metrics_.observe("answer", monotonic_now() - call.arrived_at);
    close(id);
    server_.end(id);
}

void dispatcher::forward_complete_response(online_call& call) {
    const bool allowed = may_retry(call) && monotonic_now() < call.send_deadline;
    const bool retry =
        call.head.status >= status_server_error && (allowed || call.hedge.other.has_value());
    if (retry) {
        retry_or_fail(call, "endpoint_failed");
        return;
    }
    if (!call.forwards_parts)
        call.response_began_at = call.last_progress_at;
    record_response_time(call, is_success(call.head.status));
    record_complete_run(call, is_success(call.head.status));
    record_run_time(slots_, call, false);
    note_run_time(call, monotonic_now());
    log_outcome(call, call.head.status, "answered");
    metrics_.count("answered");
    metrics_.observe("answer", monotonic_now() - call.arrived_at);
    const net::raw_head head = std::move(call.head);
    const std::string body = std::move(call.body);
    const exchange_id id = call.id;
    const bool ends_parts = call.forwards_parts;
    close(id);
    if (ends_parts)
        server_.end(id);
    else
        server_.respond(id, head, body);
}

void dispatcher::on_foreign_response(online_call& call) {
    crashes_.record_ended_run(run_of(call), false);
    // The run may have begun and used up its copy.
    call.stopped_run.reset();
    eject_endpoint(call, monotonic_now());
    retry_or_fail(call, "answer_of_another_request");
}

void dispatcher::on_failure(exchange_id id, const net::raw_failure& failure) {
    auto found = calls_.find(id);
    if (found == calls_.end())
        return;
    online_call& call = *found->second;
    if (failure.paused && call.phase == call_phase::responding) {
        on_unread_response(call);
        return;
    }
    if (failure.foreign) {
        on_foreign_response(call);
        return;
    }
    call.connection_broke = failure.sent && !call.not_run;
    if (call.connection_broke)
        crashes_.record_broken_run(run_of(call));
    if (defer_end_to_migration(call))
        return;
    const bool not_run = !failure.sent || call.not_run;
    const bool stale_connection = failure.kept && !failure.answered;
    if (!call.not_run && !stale_connection)
        eject_endpoint(call, monotonic_now());
    call.not_run = not_run;
    call.unreached += failure.sent ? 0 : 1;
    if (not_run)
        retry_not_run(call, failure.cause.text);
    else if (!call.hedge.other && judge(call).verdict == policy::request_verdict::suspect)
        fail_attempt(call, failure.cause.text);
    else
        retry_or_fail(call, failure.cause.text);
}

} // namespace cassia::gateway
