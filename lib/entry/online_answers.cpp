// Answers of online calls: delivered whole, and stored first where a key asks for it.

#include "cassia/entry/online_calls.h"

#include "cassia/base/log.h"

#include <boost/json.hpp>

#include <utility>

namespace cassia::entry {

void online_calls::note_first_token(call& one) {
    one.has_output = true;
    // What crashes an engine mostly does so before its first token.
    if (std::exchange(one.suspect, false))
        router_.release_suspect(one.endpoint);
    if (one.first_token_seen)
        return;
    one.first_token_seen = true;
    if (!one.engine)
        return;
    const instant now = monotonic_now();
    const microseconds after = now - one.sent_at;
    router_.first_token(one.endpoint, after, now);
    auto slots = slots_.find(one.endpoint);
    if (slots != slots_.end())
        slots->second.first_token(after, one.beside_batch);
    context_.counters.observe("first_token", now - one.arrived);
}

// The stream as its caller saw it, for a replay.
std::string online_calls::whole_stream(const call& one) const {
    std::string out;
    for (const std::string& data : one.tokens)
        out += "data: " + data + "\n\n";
    return out + "data: [DONE]\n\n";
}

void online_calls::finish(call& one) {
    if (is_event_stream(one) && one.streams)
        one.answer = whole_stream(one);
    else if (is_event_stream(one))
        one.answer = assemble_answer(one.tokens, one.request.path == "/v1/chat/completions");
    if (is_event_stream(one) && !one.streams)
        one.head.content_type = "application/json";
    explain(decision_kind::ended, one, one.endpoint.str(),
            "status " + std::to_string(one.head.status));
    context_.counters.observe("online_call", monotonic_now() - one.arrived);
    if (one.claimed)
        store_answer(one);
    else
        deliver(one);
}

void online_calls::deliver(call& one) {
    const exchange_id exchange = one.exchange;
    if (one.head_sent) {
        context_.server->stream(exchange, "data: [DONE]\n\n");
        context_.server->end_stream(exchange);
        remove(exchange);
        return;
    }
    net::http_response response;
    response.status = one.head.status;
    response.content_type = one.head.content_type;
    response.body = std::move(one.answer);
    response.headers["Cassia-Request-Id"] = one.request_id;
    response.headers["Cassia-Run"] = run_name(run_state::yes);
    context_.server->respond(exchange, response);
    remove(exchange);
}

schema::keeper_request online_calls::finish_request(const call& one) const {
    schema::keeper_request request;
    request.set_group(static_cast<std::uint32_t>(key_group(one).value()));
    schema::key_finish* finished = request.mutable_work()->mutable_finish();
    finished->set_team(one.from.plan->team.str());
    finished->set_key(one.key);
    finished->set_holder(context_.control.holder());
    finished->set_request(one.request_id);
    finished->set_at(to_unix_ms(wall_now()));
    return request;
}

// Stored before the caller gets it: a caller that loses the answer then finds it under its key.
void online_calls::store_answer(const call& one) {
    schema::keeper_request request = finish_request(one);
    schema::stored_answer* answer = request.mutable_work()->mutable_finish()->mutable_answer();
    answer->set_status(static_cast<std::uint32_t>(one.head.status));
    answer->set_content_type(one.head.content_type);
    answer->set_body(one.answer);
    const exchange_id exchange = one.exchange;
    context_.control.send_request(
        std::move(request), request_options(), context_.task,
        [this, exchange](const schema::keeper_reply& reply) {
            call* kept = find(exchange);
            if (kept == nullptr)
                return;
            // The answer is real even if it couldn't be stored; the key then
            // ends as unknown, so the request still never runs twice.
            if (reply.result() != schema::keeper_reply::done)
                log_warning("answer_not_stored").with("request", kept->request_id);
            deliver(*kept);
        });
}

void online_calls::release_key(const call& one, bool outcome_unknown) {
    schema::keeper_request request = finish_request(one);
    request.mutable_work()->mutable_finish()->set_release(!outcome_unknown);
    request.mutable_work()->mutable_finish()->set_outcome_unknown(outcome_unknown);
    context_.control.send_request(std::move(request), request_options(), context_.task,
                                  [](const schema::keeper_reply&) {});
}

void online_calls::explain(decision_kind kind, const call& one, const std::string& object,
                           const std::string& reason) {
    context_.decisions.add(kind, one.request_id, object, reason);
}

// The plans say what matters more to their teams; by weight, the larger side decides for the
// engines that they share.
static double tolerated_slowdown(const settings::catalog* lists) {
    constexpr double for_throughput = 1.5;
    constexpr double for_online_tail = 1.05;
    const bool tail = lists == nullptr || lists->prefers_online_tail();
    return tail ? for_online_tail : for_throughput;
}

void online_calls::publish_batch_offers() {
    batch_offers offers;
    const instant now = monotonic_now();
    const double slowdown = tolerated_slowdown(context_.view->catalog.get());
    for (const policy::endpoint_facts& facts : context_.view->endpoints) {
        if (facts.steward.str() != context_.settings.name())
            continue;
        policy::batch_slots_settings wanted;
        wanted.least_reserve = context_.settings.online_reserve();
        auto slots = slots_.emplace(facts.id, policy::batch_slots(wanted)).first;
        slots->second.set_tolerated_slowdown(slowdown);
        batch_offer& offer = offers[facts.id];
        offer.slots = slots->second.allowed(facts.max_running, router_.online(facts.id), now);
        offer.suspect_running = router_.own_suspects(facts.id) + facts.others_suspects > 0;
    }
    on_batch_offers_(std::move(offers));
}

void online_calls::report_uses() {
    std::vector<endpoint_use> uses;
    for (const policy::endpoint_facts& facts : context_.view->endpoints) {
        endpoint_use use;
        use.endpoint = facts.id;
        use.online = router_.own_online(facts.id);
        use.suspects = router_.own_suspects(facts.id);
        if (use.online > 0)
            uses.push_back(std::move(use));
    }
    const instant now = monotonic_now();
    std::map<team_id, double> rates;
    constexpr double least_told = 0.5;
    for (const std::pair<const team_id, policy::rate_limiter>& one : rates_) {
        const double rate = one.second.own_rate(now);
        if (rate >= least_told)
            rates[one.first] = rate;
    }
    context_.control.report_online(std::move(uses), std::move(rates));
}

boost::json::object online_calls::dump(instant now) const {
    boost::json::object out;
    out["open_calls"] = calls_.size();
    out["waiting"] = waiting_.size();
    out["ends_per_second"] = ends_per_second_;
    boost::json::array ejected;
    for (const endpoint_id& one : router_.ejected(now))
        ejected.push_back(boost::json::string(one.str()));
    out["ejected"] = std::move(ejected);
    boost::json::array endpoints;
    for (const policy::endpoint_facts& facts : context_.view->endpoints) {
        boost::json::object one;
        one["id"] = facts.id.str();
        one["own_online"] = router_.own_online(facts.id);
        one["online"] = router_.online(facts.id);
        auto slots = slots_.find(facts.id);
        if (slots != slots_.end())
            one["batch_reserve"] = slots->second.reserve();
        endpoints.push_back(std::move(one));
    }
    out["endpoints"] = std::move(endpoints);
    return out;
}

} // namespace cassia::entry
