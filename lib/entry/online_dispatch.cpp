// Dispatch of online calls to endpoints, and what follows a failure.

#include "cassia/entry/online_calls.h"

#include "cassia/base/log.h"

#include <boost/json.hpp>

#include <algorithm>
#include <array>
#include <cassert>
#include <utility>

namespace cassia::entry {

namespace {
constexpr int most_attempts = 4;
constexpr int first_server_error = 500;
constexpr std::array<std::string_view, 10> own_headers = {
    "authorization",     "host",   "connection", "content-length", "content-type",
    "transfer-encoding", "expect", "te",         "upgrade",        "accept-encoding"};
} // namespace

// Waiting calls are offered in fair order. Calls that ask for the same are all full together, so
// one that can't go stands for the others of its kind in this round.
void online_calls::offer_waiting() {
    if (waiting_.size() == 0)
        return;
    std::set<std::string> full;
    waiting_.offer([this, &full](exchange_id exchange) {
        call* one = find(exchange);
        if (one == nullptr)
            return true;
        const bool plain = !crash_tracker_.is_suspect(one->print) && one->failed_at.empty();
        const std::string kind =
            one->demand.service.str() + "\n" + one->demand.version + "\n" + one->demand.adapter;
        if (plain && full.count(kind) > 0)
            return false;
        const bool gone = try_dispatch(exchange);
        if (!gone && plain)
            full.insert(kind);
        return gone;
    });
}

bool online_calls::try_dispatch(exchange_id exchange) {
    call& one = *find(exchange);
    const instant now = monotonic_now();
    policy::pick_request wanted;
    wanted.demand = one.demand;
    wanted.prefix = one.prefix;
    wanted.suspect = crash_tracker_.is_suspect(one.print);
    wanted.avoid = one.failed_at;
    const std::optional<policy::pick> chosen = router_.choose(wanted, now);
    if (!chosen)
        return false;
    one.waiting = false;
    one.suspect = wanted.suspect;
    dispatch(one, *chosen);
    return true;
}

static bool is_passed_on(const std::string& header) {
    return std::find(own_headers.begin(), own_headers.end(), header) == own_headers.end() &&
           header.compare(0, 7, "cassia-") != 0 && header != "idempotency-key";
}

void online_calls::dispatch(call& one, const policy::pick& chosen) {
    const instant now = monotonic_now();
    const policy::endpoint_facts* facts = find_endpoint(*context_.view, chosen.endpoint);
    assert(facts != nullptr && "the router picks among the view's endpoints");
    net::http_call out;
    out.method = one.request.method;
    out.to = facts->address;
    out.path = escape_path(one.path);
    for (const std::pair<const std::string, std::string>& header : one.request.headers) {
        if (is_passed_on(header.first))
            out.headers[header.first] = header.second;
    }
    std::string query;
    for (const std::pair<const std::string, std::string>& parameter : one.request.query)
        query += (query.empty() ? "?" : "&") + escape_path(parameter.first) + "=" +
                 escape_path(parameter.second);
    out.path += query;
    out.headers["Cassia-Request-Id"] = one.request_id;
    out.headers["Cassia-Attempt"] = std::to_string(++one.attempts);
    const std::string& type = one.request.header("content-type");
    out.content_type = type.empty() ? "application/json" : type;
    out.body = upstream_body(one);
    // A kept connection may be one that the other end, or something between, has forgotten. A
    // request that must not run twice can't be sent again to find out, and a retry must not fall
    // into the same hole.
    out.fresh_connection = !one.repeatable || one.attempts > 1;
    out.progress_timeout = milliseconds(context_.settings.progress_timeout_ms());

    one.endpoint = chosen.endpoint;
    one.running = true;
    one.has_output = false;
    one.sent_at = now;
    one.room_asked_at = now;
    one.expected_first_token = chosen.expected_first_token;
    one.head = net::http_head();
    one.events = event_splitter();
    auto batch = batch_uses_.find(chosen.endpoint);
    one.beside_batch =
        facts->others_batch > 0 || (batch != batch_uses_.end() && batch->second.batch > 0);
    router_.started(chosen.endpoint, one.prefix, one.suspect);
    if (chosen.yield > 0) {
        context_.control.request_yield(chosen.endpoint, chosen.yield);
        context_.counters.count("yields_asked", chosen.yield);
        context_.decisions.add(decision_kind::yielded, chosen.endpoint.str(), one.request_id,
                               "online call needs a slot");
    }
    explain(decision_kind::routed, one, chosen.endpoint.str(),
            std::string(pick_reason_name(chosen.reason)) + ", expected first token " +
                std::to_string(chosen.expected_first_token.count()) + " us");
    const exchange_id exchange = one.exchange;
    net::http_call_hooks hooks;
    hooks.on_head = [this, exchange](const net::http_head& head) { on_head(exchange, head); };
    hooks.on_piece = [this, exchange](std::string_view piece) { on_piece(exchange, piece); };
    hooks.on_end = [this, exchange] { on_end(exchange); };
    hooks.on_failure = [this, exchange](const net::http_failure& failed) {
        on_failure(exchange, failed);
    };
    one.upstream = client_.start(out, std::move(hooks));
}

// Engines are always asked to stream. A caller that wants one piece gets it assembled here: without
// the tokens a long answer looks the same as a connection that went silent, and could only be begun
// anew when it breaks. A stream that broke off goes on behind the tokens that are here already.
std::string online_calls::upstream_body(const call& one) const {
    if (!one.engine || (one.streams && one.tokens.empty()))
        return one.request.body;
    boost::json::object body = one.body;
    body["stream"] = true;
    if (!one.tokens.empty())
        body["resume_from"] = one.tokens.size();
    return boost::json::serialize(body);
}

void online_calls::on_head(exchange_id exchange, const net::http_head& head) {
    call& one = *find(exchange);
    one.ever_sent = true;
    one.head = head;
}

void online_calls::on_piece(exchange_id exchange, std::string_view piece) {
    call& one = *find(exchange);
    note_first_token(one);
    if (!is_event_stream(one)) {
        one.answer.append(piece);
        return;
    }
    one.events.add(piece);
    take_events(one);
}

bool online_calls::is_event_stream(const call& one) {
    return one.engine && one.head.status == 200;
}

void online_calls::take_events(call& one) {
    std::string out;
    while (std::optional<std::string> event = one.events.next()) {
        if (is_done(*event)) {
            one.done_seen = true;
            continue;
        }
        one.tokens.emplace_back(event_data(*event));
        out += *event;
    }
    if (out.empty() || !one.streams)
        return;
    if (!one.head_sent) {
        one.head_sent = true;
        net::http_response head;
        head.content_type = "text/event-stream";
        head.headers["Cassia-Request-Id"] = one.request_id;
        context_.server->begin_stream(one.exchange, head);
    }
    context_.server->stream(one.exchange, out);
}

void online_calls::end_attempt(call& one, policy::call_result result) {
    one.running = false;
    router_.ended(one.endpoint, one.suspect, result, monotonic_now());
    ++ends_;
}

void online_calls::on_end(exchange_id exchange) {
    call& one = *find(exchange);
    if (is_event_stream(one) && !one.done_seen) {
        on_failure(exchange,
                   {{net::errc::connection_lost, "the stream ended before its last event"}, true});
        return;
    }
    const bool server_error = one.head.status >= first_server_error;
    end_attempt(one, server_error ? policy::call_result::failed : policy::call_result::finished);
    if (server_error && one.repeatable && one.attempts < most_attempts && retries_.take()) {
        retry(one, "the endpoint answered " + std::to_string(one.head.status));
        return;
    }
    finish(one);
    offer_waiting();
}

void online_calls::on_failure(exchange_id exchange, const net::http_failure& failed) {
    call& one = *find(exchange);
    one.ever_sent = one.ever_sent || failed.sent;
    context_.counters.count("attempts_failed");
    const policy::endpoint_facts* facts = find_endpoint(*context_.view, one.endpoint);
    const bool may_be_dead = failed.cause.code == net::errc::connection_lost && failed.sent;
    if (may_be_dead && facts == nullptr) {
        decide_after_failure(exchange, failed, true);
        return;
    }
    if (may_be_dead) {
        crash_tracker_.probe(facts->address, [this, exchange, failed](bool dead) {
            if (find(exchange) != nullptr)
                decide_after_failure(exchange, failed, dead);
        });
        return;
    }
    decide_after_failure(exchange, failed, false);
}

void online_calls::blame_death(const endpoint_id& endpoint) {
    std::vector<policy::running_request> running;
    for (const std::pair<const exchange_id, call>& one : calls_) {
        if (one.second.running && one.second.endpoint == endpoint)
            running.push_back({one.second.print, one.second.has_output});
    }
    if (!crash_tracker_.record_crash(endpoint, running))
        return;
    router_.eject(endpoint, monotonic_now());
    context_.decisions.add(decision_kind::ejected, endpoint.str(), "", "it died");
}

void online_calls::decide_after_failure(exchange_id exchange, const net::http_failure& failed,
                                        bool died) {
    call& one = *find(exchange);
    if (died)
        blame_death(one.endpoint);
    if (failed.cause.code == net::errc::cannot_connect)
        router_.eject(one.endpoint, monotonic_now());
    one.failed_at.insert(one.endpoint);
    end_attempt(one, policy::call_result::failed);
    if (crash_tracker_.is_quarantined(one.print)) {
        refuse(exchange,
               {refusal_code::quarantined, "this request crashed endpoints", run_state::yes});
        return;
    }
    const bool may_run_again = one.repeatable || !failed.sent;
    if (!may_run_again) {
        refuse(exchange,
               {refusal_code::outcome_unknown,
                "the endpoint was lost while it ran: " + failed.cause.text, run_state::maybe});
        return;
    }
    if (one.attempts >= most_attempts || (failed.sent && !retries_.take())) {
        refuse(exchange, {refusal_code::endpoint_failed, "endpoints failed: " + failed.cause.text,
                          run_state::no, come_back_soon});
        return;
    }
    retry(one, failed.cause.text);
}

void online_calls::retry(call& one, const std::string& reason) {
    one.answer.clear();
    one.done_seen = false;
    explain(!one.tokens.empty() ? decision_kind::resumed : decision_kind::retried, one,
            one.endpoint.str(), reason);
    context_.counters.count(!one.tokens.empty() ? "resumed" : "retried");
    // With every endpoint tried, one of them is better than none.
    policy::pick_request wanted{one.demand, 0, false, one.failed_at};
    if (!router_.choose(wanted, monotonic_now()))
        one.failed_at.clear();
    enqueue(one);
}

} // namespace cassia::entry
