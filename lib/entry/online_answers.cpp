// Responses to online calls. With an idempotency key the response is stored before it is sent.

#include "cassia/entry/online_calls.h"

#include "cassia/base/log.h"

#include <boost/json.hpp>

#include <utility>

namespace cassia::entry {

void online_calls::record_first_token(call_state& call) {
    call.has_output = true;
    // A request that crashes an engine usually does so before its first token.
    if (std::exchange(call.suspect, false))
        router_.release_suspect(call.endpoint);
    if (call.first_token_seen)
        return;
    call.first_token_seen = true;
    if (!call.for_engine)
        return;
    const instant now = monotonic_now();
    const microseconds first_token_time = now - call.sent_at;
    router_.record_first_token(call.endpoint, first_token_time, now);
    auto endpoint_batch_slots = batch_slots_.find(call.endpoint);
    if (endpoint_batch_slots != batch_slots_.end())
        endpoint_batch_slots->second.record_first_token(first_token_time, call.alongside_batch);
    context_.counters.observe("first_token", now - call.arrived_at);
}

// The whole event stream, rebuilt from the data of its events, so that it can be stored for a
// replay.
std::string online_calls::full_stream(const call_state& call) const {
    std::string stream;
    for (const std::string& data : call.token_events)
        stream += "data: " + data + "\n\n";
    return stream + "data: [DONE]\n\n";
}

void online_calls::finish(call_state& call) {
    if (is_event_stream(call) && call.wants_stream)
        call.response_body = full_stream(call);
    else if (is_event_stream(call))
        call.response_body =
            assemble_completion(call.token_events, call.request.path == "/v1/chat/completions");
    if (is_event_stream(call) && !call.wants_stream)
        call.response_head.content_type = "application/json";
    record_decision(decision_kind::ended, call, call.endpoint.str(),
                    "status " + std::to_string(call.response_head.status));
    context_.counters.observe("online_call", monotonic_now() - call.arrived_at);
    if (call.key_claimed)
        store_response(call);
    else
        respond(call);
}

void online_calls::respond(call_state& call) {
    const exchange_id exchange = call.exchange;
    if (call.head_sent) {
        context_.server->stream(exchange, "data: [DONE]\n\n");
        context_.server->end_stream(exchange);
        remove(exchange);
        return;
    }
    net::http_response response;
    response.status = call.response_head.status;
    response.content_type = call.response_head.content_type;
    response.body = std::move(call.response_body);
    response.headers["Cassia-Request-Id"] = call.request_id;
    response.headers["Cassia-Run"] = run_state_name(run_state::yes);
    context_.server->respond(exchange, response);
    remove(exchange);
}

schema::keeper_request online_calls::make_key_finish_request(const call_state& call) const {
    schema::keeper_request request;
    request.set_group(static_cast<std::uint32_t>(key_group(call).value()));
    schema::key_finish* finish = request.mutable_work()->mutable_finish();
    finish->set_team(call.caller.plan->team.str());
    finish->set_key(call.idempotency_key);
    finish->set_holder(context_.control.holder());
    finish->set_request(call.request_id);
    finish->set_at(to_unix_ms(wall_now()));
    return request;
}

// The response is stored before it is sent, so that a caller whose connection breaks can fetch it
// again with the same key.
void online_calls::store_response(const call_state& call) {
    schema::keeper_request request = make_key_finish_request(call);
    schema::stored_answer* answer = request.mutable_work()->mutable_finish()->mutable_answer();
    answer->set_status(static_cast<std::uint32_t>(call.response_head.status));
    answer->set_content_type(call.response_head.content_type);
    answer->set_body(call.response_body);
    const exchange_id exchange = call.exchange;
    context_.control.send_request(
        std::move(request), request_options(), context_.task,
        [this, exchange](const schema::keeper_reply& reply) {
            call_state* open_call = find(exchange);
            if (open_call == nullptr)
                return;
            // The response is valid even if it could not be stored. The key's
            // outcome then becomes unknown, so the request still never runs twice.
            if (reply.result() != schema::keeper_reply::done)
                log_warning("answer_not_stored").with("request", open_call->request_id);
            respond(*open_call);
        });
}

void online_calls::release_key(const call_state& call, bool outcome_unknown) {
    schema::keeper_request request = make_key_finish_request(call);
    request.mutable_work()->mutable_finish()->set_release(!outcome_unknown);
    request.mutable_work()->mutable_finish()->set_outcome_unknown(outcome_unknown);
    context_.control.send_request(std::move(request), request_options(), context_.task,
                                  [](const schema::keeper_reply&) {});
}

void online_calls::record_decision(decision_kind kind, const call_state& call,
                                   const std::string& object, const std::string& reason) {
    context_.decisions.add(kind, call.request_id, object, reason);
}

// Each plan prefers either online tail latency or batch throughput. Since the teams share engines,
// the preference with the larger total weight applies to all of them.
static double tolerated_slowdown(const settings::catalog* catalog) {
    constexpr double throughput_slowdown = 1.5;
    constexpr double online_tail_slowdown = 1.05;
    const bool prefers_online_tail_latency = catalog == nullptr || catalog->prefers_online_tail();
    return prefers_online_tail_latency ? online_tail_slowdown : throughput_slowdown;
}

void online_calls::publish_batch_capacities() {
    batch_capacities capacities;
    const instant now = monotonic_now();
    const double slowdown = tolerated_slowdown(context_.view->catalog.get());
    for (const policy::endpoint_info& facts : context_.view->endpoints) {
        if (facts.steward.str() != context_.settings.name())
            continue;
        policy::batch_slot_settings slots_settings;
        slots_settings.min_reserve = context_.settings.online_reserve();
        auto endpoint_batch_slots =
            batch_slots_.emplace(facts.id, policy::batch_slot_controller(slots_settings)).first;
        endpoint_batch_slots->second.set_tolerated_slowdown(slowdown);
        batch_capacity& capacity = capacities[facts.id];
        capacity.slots = endpoint_batch_slots->second.allowed_slots(facts.max_running,
                                                                    router_.online(facts.id), now);
        capacity.suspect_running = router_.own_suspects(facts.id) + facts.remote_suspects > 0;
    }
    on_batch_capacities_(std::move(capacities));
}

void online_calls::report_uses() {
    std::vector<endpoint_use> uses;
    for (const policy::endpoint_info& facts : context_.view->endpoints) {
        endpoint_use use;
        use.endpoint = facts.id;
        use.online = router_.own_online(facts.id);
        use.suspects = router_.own_suspects(facts.id);
        if (use.online > 0)
            uses.push_back(std::move(use));
    }
    const instant now = monotonic_now();
    std::map<team_id, double> rates;
    constexpr double min_reported_rate = 0.5;
    for (const std::pair<const team_id, policy::rate_limiter>& limiter : rate_limiters_) {
        const double rate = limiter.second.own_rate(now);
        if (rate >= min_reported_rate)
            rates[limiter.first] = rate;
    }
    context_.control.report_online(std::move(uses), std::move(rates));
}

boost::json::object online_calls::dump(instant now) const {
    boost::json::object dump;
    dump["open_calls"] = calls_.size();
    dump["waiting"] = waiting_.size();
    dump["ends_per_second"] = attempt_end_rate_;
    boost::json::array ejected;
    for (const endpoint_id& endpoint : router_.ejected(now))
        ejected.push_back(boost::json::string(endpoint.str()));
    dump["ejected"] = std::move(ejected);
    boost::json::array endpoints;
    for (const policy::endpoint_info& facts : context_.view->endpoints) {
        boost::json::object endpoint;
        endpoint["id"] = facts.id.str();
        endpoint["own_online"] = router_.own_online(facts.id);
        endpoint["online"] = router_.online(facts.id);
        auto endpoint_batch_slots = batch_slots_.find(facts.id);
        if (endpoint_batch_slots != batch_slots_.end())
            endpoint["batch_reserve"] = endpoint_batch_slots->second.reserve();
        endpoints.push_back(std::move(endpoint));
    }
    dump["endpoints"] = std::move(endpoints);
    return dump;
}

} // namespace cassia::entry
