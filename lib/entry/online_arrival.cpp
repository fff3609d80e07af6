// Validation and admission of online calls, up to their entry into the queue for an endpoint.

#include "cassia/base/digest.h"
#include "cassia/entry/online_calls.h"
#include "cassia/state/sharding.h"

#include <boost/json.hpp>

#include <algorithm>
#include <charconv>
#include <utility>

namespace cassia::entry {

namespace {
constexpr std::size_t max_key_length = 255;
constexpr std::size_t prompt_prefix_bytes = 256;
constexpr std::string_view services_prefix = "/v1/services/";
} // namespace

// Rejects a call that has not been added to `calls_` yet.
void online_calls::reject_before_admission(const call_state& call, const rejection& rejected) {
    record_decision(decision_kind::refused, call, rejection_code_name(rejected.code),
                    rejected.message);
    context_.counters.count(std::string("refused_") + rejection_code_name(rejected.code));
    context_.reject(call.exchange, rejected, call.request_id);
}

void online_calls::serve_model(exchange_id exchange, net::http_request request,
                               const authenticated_caller& caller, const std::string& request_id) {
    call_state call;
    call.exchange = exchange;
    call.request_id = request_id;
    call.caller = caller;
    call.endpoint_path = request.path;
    call.request = std::move(request);
    if (read_model_body(call) && read_headers(call))
        admit(std::move(call));
}

void online_calls::serve_service(exchange_id exchange, net::http_request request,
                                 const authenticated_caller& caller,
                                 const std::string& request_id) {
    call_state call;
    call.exchange = exchange;
    call.request_id = request_id;
    call.caller = caller;
    call.for_engine = false;
    const std::string service_and_path = request.path.substr(services_prefix.size());
    const std::size_t slash = service_and_path.find('/');
    call.demand.service = service_id(service_and_path.substr(0, slash));
    call.endpoint_path = slash == std::string::npos ? "/" : service_and_path.substr(slash);
    call.repeatable = caller.catalog->is_repeatable(call.demand.service, request.method);
    call.request = std::move(request);
    if (read_headers(call))
        admit(std::move(call));
}

static std::string string_member(const boost::json::object& body, const char* name) {
    const boost::json::value* member = body.if_contains(name);
    if (member == nullptr || !member->is_string())
        return "";
    return std::string(member->as_string());
}

static std::uint64_t hash_prompt_prefix(const boost::json::object& body) {
    std::string prompt = string_member(body, "prompt");
    if (const boost::json::value* messages = body.if_contains("messages"))
        prompt = boost::json::serialize(*messages);
    return prompt.empty() ? 0
                          : stable_hash(std::string_view(prompt).substr(0, prompt_prefix_bytes));
}

bool online_calls::read_model_body(call_state& call) {
    if (call.request.method != "POST") {
        reject_before_admission(call, {rejection_code::bad_method, "expected POST"});
        return false;
    }
    json_parse_result parsed = parse_json(call.request.body);
    if (!parsed.value || !parsed.value->is_object()) {
        const std::string error = parsed.value ? "expected an object" : parsed.error;
        reject_before_admission(call,
                                {rejection_code::bad_request, "body is no JSON request: " + error});
        return false;
    }
    call.body = std::move(parsed.value->as_object());
    call.demand = {service_id(string_member(call.body, "model")),
                   string_member(call.body, "version"), string_member(call.body, "adapter")};
    if (call.demand.service.empty()) {
        reject_before_admission(call, {rejection_code::bad_request, "model: expected a string"});
        return false;
    }
    const boost::json::value* stream = call.body.if_contains("stream");
    if (stream != nullptr && !stream->is_bool()) {
        reject_before_admission(call,
                                {rejection_code::bad_request, "stream: expected true or false"});
        return false;
    }
    call.wants_stream = stream != nullptr && stream->as_bool();
    call.prefix_hash = hash_prompt_prefix(call.body);
    return true;
}

bool online_calls::read_headers(call_state& call) {
    const std::string& repeatable = call.request.header("cassia-repeatable");
    if (!repeatable.empty() && repeatable != "yes" && repeatable != "no") {
        reject_before_admission(
            call, {rejection_code::bad_request, "Cassia-Repeatable: expected yes or no"});
        return false;
    }
    if (!repeatable.empty())
        call.repeatable = repeatable == "yes";
    call.idempotency_key = call.request.header("idempotency-key");
    if (call.idempotency_key.size() > max_key_length) {
        reject_before_admission(
            call, {rejection_code::bad_request, "Idempotency-Key: at most 255 characters"});
        return false;
    }
    call.arrived_at = monotonic_now();
    call.deadline = instant::max();
    const std::string& deadline = call.request.header("cassia-deadline");
    if (deadline.empty())
        return true;
    std::uint32_t remaining_ms = 0;
    const char* end = deadline.data() + deadline.size();
    const std::from_chars_result parsed = std::from_chars(deadline.data(), end, remaining_ms);
    if (parsed.ec != std::errc() || parsed.ptr != end || remaining_ms == 0) {
        reject_before_admission(call, {rejection_code::bad_request,
                                       "Cassia-Deadline: expected milliseconds from now, above 0"});
        return false;
    }
    call.deadline = call.arrived_at + milliseconds(remaining_ms);
    return true;
}

bool online_calls::is_allowed(const call_state& call) const {
    const settings::allowance& allowance = *call.caller.plan->allowed;
    if (!call.for_engine)
        return allowance.services.count(call.demand.service) > 0;
    auto model = allowance.models.find(call.demand.service);
    if (model == allowance.models.end())
        return false;
    const std::set<std::string>& versions = model->second.versions;
    const std::set<std::string>& adapters = model->second.adapters;
    const bool version_allowed =
        call.demand.version.empty() || versions.empty() || versions.count(call.demand.version) > 0;
    const bool adapter_allowed =
        call.demand.adapter.empty() || adapters.empty() || adapters.count(call.demand.adapter) > 0;
    return version_allowed && adapter_allowed;
}

bool online_calls::check_rate_limit(call_state& call) {
    auto limiter = rate_limiters_.find(call.caller.plan->team);
    if (limiter == rate_limiters_.end()) {
        limiter = rate_limiters_.emplace(call.caller.plan->team, policy::rate_limiter()).first;
        limiter->second.configure(call.caller.plan->rate.per_second, call.caller.plan->burst.value);
    }
    const milliseconds retry_after = limiter->second.admit(call.arrived_at);
    if (retry_after.count() == 0)
        return true;
    reject_before_admission(call, {rejection_code::over_share, "the plan's rate is used up",
                                   run_state_before_lookup(call.request), retry_after});
    return false;
}

void online_calls::admit(call_state admitted) {
    if (!is_allowed(admitted)) {
        reject_before_admission(admitted,
                                {rejection_code::not_allowed,
                                 "the plan doesn't allow '" + admitted.demand.service.str() +
                                     "' in this version or with this adapter",
                                 run_state_before_lookup(admitted.request)});
        return;
    }
    if (!check_rate_limit(admitted))
        return;
    admitted.fingerprint = cassia::fingerprint(
        sha256_hex(admitted.caller.plan->team.str() + "\n" + admitted.request.method + "\n" +
                   admitted.request.path + "\n" + canonical_body(admitted.request.body)));
    if (crash_tracker_.is_quarantined(admitted.fingerprint)) {
        reject_before_admission(admitted,
                                {rejection_code::quarantined, "this request crashed endpoints",
                                 run_state_before_lookup(admitted.request)});
        return;
    }
    context_.counters.count("online_calls");
    retry_budget_.record_request();
    const exchange_id exchange = admitted.exchange;
    call_state& call = calls_.emplace(exchange, std::move(admitted)).first->second;
    if (call.idempotency_key.empty())
        enqueue(call);
    else
        claim_key(call);
}

void online_calls::claim_key(call_state& call) {
    schema::keeper_request request;
    request.set_group(static_cast<std::uint32_t>(key_group(call).value()));
    schema::key_claim* claim = request.mutable_work()->mutable_claim();
    claim->set_team(call.caller.plan->team.str());
    claim->set_key(call.idempotency_key);
    claim->set_fingerprint(call.fingerprint.str());
    claim->set_holder(context_.control.holder());
    claim->set_request(call.request_id);
    claim->set_repeatable(call.repeatable);
    claim->set_at(to_unix_ms(wall_now()));
    claim->set_retention_ms(call.caller.plan->retention_ms);
    const exchange_id exchange = call.exchange;
    context_.control.send_request(
        std::move(request), request_options(), context_.task,
        [this, exchange](const schema::keeper_reply& reply) { on_key_claimed(exchange, reply); });
}

void online_calls::on_key_claimed(exchange_id exchange, const schema::keeper_reply& reply) {
    call_state* call = find(exchange);
    if (call == nullptr)
        return;
    if (reply.result() != schema::keeper_reply::done) {
        // The claim may still be committed, so reject() releases the key. If that request is lost
        // as well, the key is released or its outcome marked unknown once this process has ended.
        call->key_claimed = true;
        // An earlier transmission may have run.
        reject(exchange, {rejection_code::no_quorum, "the durable state can't be reached",
                          run_state_before_lookup(call->request), default_retry_after});
        return;
    }
    switch (reply.work().result()) {
    case schema::work_reply::done:
        call->key_claimed = true;
        enqueue(*call);
        return;
    case schema::work_reply::replay: {
        net::http_response response;
        response.status = static_cast<int>(reply.work().answer().status());
        response.content_type = reply.work().answer().content_type();
        response.body = reply.work().answer().body();
        response.headers["Cassia-Replayed"] = "true";
        response.headers["Cassia-Request-Id"] = call->request_id;
        record_decision(decision_kind::ended, *call, "replayed", "the key's answer was stored");
        context_.counters.count("replayed");
        context_.server->respond(exchange, response);
        remove(exchange);
        return;
    }
    case schema::work_reply::in_progress:
        // The key names the request: another transmission of it runs.
        reject(exchange, {rejection_code::in_progress, "a request with this key is running",
                          run_state::maybe, default_retry_after});
        return;
    case schema::work_reply::key_reused:
        reject(exchange,
               {rejection_code::key_reused, "this key belongs to another request", run_state::no});
        return;
    default:
        reject(exchange,
               {rejection_code::outcome_unknown,
                "an earlier run of this request was lost; it won't run again", run_state::maybe});
        return;
    }
}

double online_calls::expected_wait_s() const {
    return static_cast<double>(waiting_.size()) / attempt_end_rate_;
}

// Lets a call that would miss its deadline in the queue be rejected immediately instead of after
// the wait.
bool online_calls::can_meet_deadline(const call_state& call) const {
    if (call.deadline == instant::max() || attempt_end_rate_ <= 0 || waiting_.size() == 0)
        return true;
    const double remaining_s = static_cast<double>((call.deadline - monotonic_now()).count()) / 1e6;
    return expected_wait_s() < remaining_s;
}

void online_calls::enqueue(call_state& call) {
    if (!router_.can_serve(call.demand)) {
        reject(call.exchange, {rejection_code::no_endpoint,
                               "no endpoint serves '" + call.demand.service.str() + "'",
                               run_state::no, default_retry_after});
        return;
    }
    if (!can_meet_deadline(call)) {
        reject(call.exchange,
               {rejection_code::deadline, "the deadline would pass while it waits", run_state::no,
                milliseconds(static_cast<std::int64_t>(expected_wait_s() * 1000))});
        return;
    }
    // A suspect may run only where no other suspect runs, so its turn can take much longer. With
    // the usual limit it would be rejected because of the request that really crashed the endpoint.
    constexpr int suspect_wait_factor = 10;
    const instant now = monotonic_now();
    const milliseconds max_wait(context_.settings.queue_wait_ms());
    const bool suspect = crash_tracker_.is_suspect(call.fingerprint);
    const instant give_up_at = now + (suspect ? max_wait * suspect_wait_factor : max_wait);
    call.waiting = waiting_.add({call.exchange, call.caller.plan->team, call.caller.plan->weight,
                                 std::min(give_up_at, call.deadline)});
    if (!call.waiting) {
        reject(call.exchange, {rejection_code::over_share, "too many of the plan's requests wait",
                               run_state::no, default_retry_after});
        return;
    }
    const exchange_id exchange = call.exchange;
    dispatch_waiting();
    call_state* queued_call = find(exchange);
    if (queued_call != nullptr && queued_call->waiting)
        record_decision(decision_kind::queued, *queued_call, queued_call->demand.service.str(),
                        "no free slot; " + std::to_string(waiting_.size()) + " wait");
}

} // namespace cassia::entry
