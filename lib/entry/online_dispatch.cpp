// Dispatch of online calls to endpoints, relaying of their responses, and retries after failures.

#include "cassia/entry/online_calls.h"

#include "cassia/base/log.h"

#include <boost/json.hpp>

#include <algorithm>
#include <array>
#include <cassert>
#include <utility>

namespace cassia::entry {

namespace {
constexpr int max_attempts = 4;
constexpr int min_server_error_status = 500;
constexpr std::array<std::string_view, 10> unforwarded_headers = {
    "authorization",     "host",   "connection", "content-length", "content-type",
    "transfer-encoding", "expect", "te",         "upgrade",        "accept-encoding"};
} // namespace

// Dispatches waiting calls in fair order. If a call finds no free endpoint, neither do other calls
// with the same demand, so those are skipped in this round. This doesn't apply to calls that must
// avoid some endpoints: suspects, and calls with failed attempts.
void online_calls::dispatch_waiting() {
    if (waiting_.size() == 0)
        return;
    std::set<policy::service_demand> exhausted_demands;
    waiting_.offer([this, &exhausted_demands](exchange_id exchange) {
        call_state* call = find(exchange);
        if (call == nullptr)
            return true;
        const bool unrestricted =
            !crash_tracker_.is_suspect(call->fingerprint) && call->failed_endpoints.empty();
        if (unrestricted && exhausted_demands.count(call->demand) > 0)
            return false;
        const bool dispatched = try_dispatch(exchange);
        if (!dispatched && unrestricted)
            exhausted_demands.insert(call->demand);
        return dispatched;
    });
}

bool online_calls::try_dispatch(exchange_id exchange) {
    call_state& call = *find(exchange);
    const instant now = monotonic_now();
    policy::pick_request request;
    request.demand = call.demand;
    request.prefix = call.prefix_hash;
    request.suspect = crash_tracker_.is_suspect(call.fingerprint);
    request.excluded = call.failed_endpoints;
    const std::optional<policy::pick> chosen = router_.choose(request, now);
    if (!chosen)
        return false;
    call.waiting = false;
    call.suspect = request.suspect;
    dispatch(call, *chosen);
    return true;
}

static bool is_forwarded(const std::string& header) {
    return std::find(unforwarded_headers.begin(), unforwarded_headers.end(), header) ==
               unforwarded_headers.end() &&
           header.compare(0, 7, "cassia-") != 0 && header != "idempotency-key";
}

void online_calls::dispatch(call_state& call, const policy::pick& chosen) {
    const instant now = monotonic_now();
    const policy::endpoint_info* facts = find_endpoint(*context_.view, chosen.endpoint);
    assert(facts != nullptr && "the router picks among the view's endpoints");
    net::http_call request;
    request.method = call.request.method;
    request.to = facts->address;
    request.path = escape_path(call.endpoint_path);
    for (const std::pair<const std::string, std::string>& header : call.request.headers) {
        if (is_forwarded(header.first))
            request.headers[header.first] = header.second;
    }
    std::string query;
    for (const std::pair<const std::string, std::string>& parameter : call.request.query)
        query += (query.empty() ? "?" : "&") + escape_path(parameter.first) + "=" +
                 escape_path(parameter.second);
    request.path += query;
    request.headers["Cassia-Request-Id"] = call.request_id;
    request.headers["Cassia-Attempt"] = std::to_string(++call.attempts);
    const std::string& content_type = call.request.header("content-type");
    request.content_type = content_type.empty() ? "application/json" : content_type;
    request.body = upstream_request_body(call);
    // The endpoint or a middlebox may have dropped the state of a kept-alive connection. A request
    // that must not run twice can't be resent to find out, and a retry must not fail the same way.
    request.fresh_connection = !call.repeatable || call.attempts > 1;
    request.progress_timeout = milliseconds(context_.settings.progress_timeout_ms());

    call.endpoint = chosen.endpoint;
    call.endpoint_software = facts->software;
    call.running = true;
    call.has_output = false;
    call.sent_at = now;
    call.slot_requested_at = now;
    call.expected_first_token = chosen.expected_first_token;
    call.response_head = net::http_head();
    call.splitter = event_splitter();
    auto own_batch = batch_uses_.find(chosen.endpoint);
    call.alongside_batch =
        facts->remote_batch > 0 || (own_batch != batch_uses_.end() && own_batch->second.batch > 0);
    router_.record_start(chosen.endpoint, call.prefix_hash, call.suspect);
    if (chosen.items_to_yield > 0) {
        context_.control.request_yield(chosen.endpoint, chosen.items_to_yield);
        context_.counters.count("yields_asked", chosen.items_to_yield);
        context_.decisions.add(decision_kind::yielded, chosen.endpoint.str(), call.request_id,
                               "online call needs a slot");
    }
    record_decision(decision_kind::routed, call, chosen.endpoint.str(),
                    std::string(pick_reason_name(chosen.reason)) + ", expected first token " +
                        std::to_string(chosen.expected_first_token.count()) + " us");
    const exchange_id exchange = call.exchange;
    net::http_call_hooks hooks;
    hooks.on_head = [this, exchange](const net::http_head& head) { on_head(exchange, head); };
    hooks.on_piece = [this, exchange](std::string_view chunk) { on_chunk(exchange, chunk); };
    hooks.on_end = [this, exchange] { on_end(exchange); };
    hooks.on_failure = [this, exchange](const net::http_failure& failure) {
        on_failure(exchange, failure);
    };
    call.upstream_call = client_.start(request, std::move(hooks));
}

// Engines are always asked for a stream; for a caller that didn't ask for one the response is
// assembled here. Without a stream a long response could not be told from a stalled connection, and
// would have to start over when the connection breaks. An interrupted stream resumes after the
// tokens already received.
std::string online_calls::upstream_request_body(const call_state& call) const {
    if (!call.for_engine || (call.wants_stream && call.token_events.empty()))
        return call.request.body;
    boost::json::object body = call.body;
    body["stream"] = true;
    if (!call.token_events.empty())
        body["resume_from"] = call.token_events.size();
    return boost::json::serialize(body);
}

void online_calls::on_head(exchange_id exchange, const net::http_head& head) {
    call_state& call = *find(exchange);
    call.possibly_received = true;
    call.response_head = head;
}

void online_calls::on_chunk(exchange_id exchange, std::string_view chunk) {
    call_state& call = *find(exchange);
    record_first_token(call);
    if (!is_event_stream(call)) {
        call.response_body.append(chunk);
        return;
    }
    call.splitter.add(chunk);
    forward_events(call);
}

bool online_calls::is_event_stream(const call_state& call) {
    return call.for_engine && call.response_head.status == 200;
}

void online_calls::forward_events(call_state& call) {
    std::string forwarded;
    while (std::optional<std::string> event = call.splitter.next()) {
        if (is_done_event(*event)) {
            call.done_received = true;
            continue;
        }
        if (call.token_events.empty())
            call.demand.software = call.endpoint_software;
        call.token_events.emplace_back(event_data(*event));
        forwarded += *event;
    }
    if (forwarded.empty() || !call.wants_stream)
        return;
    if (!call.head_sent) {
        call.head_sent = true;
        net::http_response response;
        response.content_type = "text/event-stream";
        response.headers["Cassia-Request-Id"] = call.request_id;
        context_.server->begin_stream(call.exchange, response);
    }
    context_.server->stream(call.exchange, forwarded);
}

void online_calls::end_attempt(call_state& call, policy::call_result result) {
    call.running = false;
    router_.record_end(call.endpoint, call.suspect, result, monotonic_now());
    ++ended_attempts_;
}

void online_calls::on_end(exchange_id exchange) {
    call_state& call = *find(exchange);
    if (is_event_stream(call) && !call.done_received) {
        on_failure(exchange,
                   {{net::errc::connection_lost, "the stream ended before its last event"}, true});
        return;
    }
    const bool server_error = call.response_head.status >= min_server_error_status;
    end_attempt(call, server_error ? policy::call_result::failed : policy::call_result::finished);
    if (server_error && call.repeatable && call.attempts < max_attempts && retry_budget_.take()) {
        retry(call, "the endpoint answered " + std::to_string(call.response_head.status));
        return;
    }
    finish(call);
    dispatch_waiting();
}

void online_calls::on_failure(exchange_id exchange, const net::http_failure& failure) {
    call_state& call = *find(exchange);
    call.possibly_received = call.possibly_received || failure.sent;
    context_.counters.count("attempts_failed");
    const policy::endpoint_info* facts = find_endpoint(*context_.view, call.endpoint);
    const bool maybe_crashed = failure.cause.code == net::errc::connection_lost && failure.sent;
    if (maybe_crashed && facts == nullptr) {
        // The endpoint has left the view, so its address is unknown. Count it as crashed.
        handle_failure(exchange, failure, true);
        return;
    }
    if (maybe_crashed) {
        crash_tracker_.probe(facts->address, [this, exchange, failure](bool crashed) {
            if (find(exchange) != nullptr)
                handle_failure(exchange, failure, crashed);
        });
        return;
    }
    handle_failure(exchange, failure, false);
}

void online_calls::record_crash(const endpoint_id& endpoint) {
    std::vector<policy::running_request> running;
    for (const std::pair<const exchange_id, call_state>& open_call : calls_) {
        if (open_call.second.running && open_call.second.endpoint == endpoint)
            running.push_back({open_call.second.fingerprint, open_call.second.has_output});
    }
    if (!crash_tracker_.record_crash(endpoint, running))
        return;
    router_.eject(endpoint, monotonic_now());
    context_.decisions.add(decision_kind::ejected, endpoint.str(), "", "it died");
}

void online_calls::handle_failure(exchange_id exchange, const net::http_failure& failure,
                                  bool crashed) {
    call_state& call = *find(exchange);
    if (crashed)
        record_crash(call.endpoint);
    if (failure.cause.code == net::errc::cannot_connect)
        router_.eject(call.endpoint, monotonic_now());
    call.failed_endpoints.insert(call.endpoint);
    end_attempt(call, policy::call_result::failed);
    if (crash_tracker_.is_quarantined(call.fingerprint)) {
        reject(exchange,
               {rejection_code::quarantined, "this request crashed endpoints", run_state::yes});
        return;
    }
    const bool may_retry = call.repeatable || !failure.sent;
    if (!may_retry) {
        reject(exchange,
               {rejection_code::outcome_unknown,
                "the endpoint was lost while it ran: " + failure.cause.text, run_state::maybe});
        return;
    }
    if (call.attempts >= max_attempts || (failure.sent && !retry_budget_.take())) {
        reject(exchange,
               {rejection_code::endpoint_failed, "endpoints failed: " + failure.cause.text,
                run_state::no, default_retry_after});
        return;
    }
    if (call.demand.software && !router_.can_serve(call.demand)) {
        reject(exchange, {rejection_code::endpoint_failed,
                          "no endpoint of the software version that began the answer is left",
                          run_state::maybe, default_retry_after});
        return;
    }
    retry(call, failure.cause.text);
}

void online_calls::retry(call_state& call, const std::string& reason) {
    call.response_body.clear();
    call.done_received = false;
    record_decision(!call.token_events.empty() ? decision_kind::resumed : decision_kind::retried,
                    call, call.endpoint.str(), reason);
    context_.counters.count(!call.token_events.empty() ? "resumed" : "retried");
    // If no untried endpoint can take the call, endpoints that failed are allowed again.
    policy::pick_request request{call.demand, 0, false, call.failed_endpoints};
    if (!router_.choose(request, monotonic_now()))
        call.failed_endpoints.clear();
    enqueue(call);
}

} // namespace cassia::entry
