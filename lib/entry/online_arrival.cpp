// Arrival of online calls: what is checked before one may wait for an endpoint.

#include "cassia/base/digest.h"
#include "cassia/entry/online_calls.h"
#include "cassia/state/sharding.h"

#include <boost/json.hpp>

#include <algorithm>
#include <charconv>
#include <utility>

namespace cassia::entry {

namespace {
constexpr std::size_t longest_key = 255;
constexpr std::size_t prefix_chars = 256;
constexpr std::string_view services_path = "/v1/services/";
} // namespace

// A call that isn't in the table yet is refused this way.
void online_calls::refuse_early(const call& one, const refusal& refused) {
    explain(decision_kind::refused, one, code_name(refused.code), refused.message);
    context_.counters.count(std::string("refused_") + code_name(refused.code));
    context_.refuse(one.exchange, refused, one.request_id);
}

void online_calls::serve_model(exchange_id exchange, net::http_request request, const caller& from,
                               const std::string& request_id) {
    call one;
    one.exchange = exchange;
    one.request_id = request_id;
    one.from = from;
    one.path = request.path;
    one.request = std::move(request);
    if (read_model_body(one) && read_headers(one))
        admit(std::move(one));
}

void online_calls::serve_service(exchange_id exchange, net::http_request request,
                                 const caller& from, const std::string& request_id) {
    call one;
    one.exchange = exchange;
    one.request_id = request_id;
    one.from = from;
    one.engine = false;
    const std::string rest = request.path.substr(services_path.size());
    const std::size_t slash = rest.find('/');
    one.demand.service = service_id(rest.substr(0, slash));
    one.path = slash == std::string::npos ? "/" : rest.substr(slash);
    one.repeatable = from.catalog->is_repeatable(one.demand.service, request.method);
    one.request = std::move(request);
    if (read_headers(one))
        admit(std::move(one));
}

static std::string text_member(const boost::json::object& body, const char* name) {
    const boost::json::value* member = body.if_contains(name);
    if (member == nullptr || !member->is_string())
        return "";
    return std::string(member->as_string());
}

static std::uint64_t prefix_hash(const boost::json::object& body) {
    std::string text = text_member(body, "prompt");
    if (const boost::json::value* messages = body.if_contains("messages"))
        text = boost::json::serialize(*messages);
    return text.empty() ? 0 : stable_hash(std::string_view(text).substr(0, prefix_chars));
}

bool online_calls::read_model_body(call& one) {
    if (one.request.method != "POST") {
        refuse_early(one, {refusal_code::bad_method, "expected POST"});
        return false;
    }
    json_parse_result parsed = parse_json(one.request.body);
    if (!parsed.value || !parsed.value->is_object()) {
        const std::string what = parsed.value ? "expected an object" : parsed.error;
        refuse_early(one, {refusal_code::bad_request, "body is no JSON request: " + what});
        return false;
    }
    one.body = std::move(parsed.value->as_object());
    one.demand = {service_id(text_member(one.body, "model")), text_member(one.body, "version"),
                  text_member(one.body, "adapter")};
    if (one.demand.service.empty()) {
        refuse_early(one, {refusal_code::bad_request, "model: expected a string"});
        return false;
    }
    const boost::json::value* stream = one.body.if_contains("stream");
    if (stream != nullptr && !stream->is_bool()) {
        refuse_early(one, {refusal_code::bad_request, "stream: expected true or false"});
        return false;
    }
    one.streams = stream != nullptr && stream->as_bool();
    one.prefix = prefix_hash(one.body);
    return true;
}

bool online_calls::read_headers(call& one) {
    const std::string& repeatable = one.request.header("cassia-repeatable");
    if (!repeatable.empty() && repeatable != "yes" && repeatable != "no") {
        refuse_early(one, {refusal_code::bad_request, "Cassia-Repeatable: expected yes or no"});
        return false;
    }
    if (!repeatable.empty())
        one.repeatable = repeatable == "yes";
    one.key = one.request.header("idempotency-key");
    if (one.key.size() > longest_key) {
        refuse_early(one, {refusal_code::bad_request, "Idempotency-Key: at most 255 characters"});
        return false;
    }
    one.arrived = monotonic_now();
    one.deadline = instant::max();
    const std::string& deadline = one.request.header("cassia-deadline");
    if (deadline.empty())
        return true;
    std::uint32_t left = 0;
    const char* last = deadline.data() + deadline.size();
    const std::from_chars_result read = std::from_chars(deadline.data(), last, left);
    if (read.ec != std::errc() || read.ptr != last || left == 0) {
        refuse_early(one, {refusal_code::bad_request,
                           "Cassia-Deadline: expected milliseconds from now, above 0"});
        return false;
    }
    one.deadline = one.arrived + milliseconds(left);
    return true;
}

bool online_calls::is_allowed(const call& one) const {
    const settings::allowance& plan = *one.from.plan->allowed;
    if (!one.engine)
        return plan.services.count(one.demand.service) > 0;
    auto allowed = plan.models.find(one.demand.service);
    if (allowed == plan.models.end())
        return false;
    const std::set<std::string>& versions = allowed->second.versions;
    const std::set<std::string>& adapters = allowed->second.adapters;
    const bool version =
        one.demand.version.empty() || versions.empty() || versions.count(one.demand.version) > 0;
    const bool adapter =
        one.demand.adapter.empty() || adapters.empty() || adapters.count(one.demand.adapter) > 0;
    return version && adapter;
}

bool online_calls::within_rate(call& one) {
    auto found = rates_.find(one.from.plan->team);
    if (found == rates_.end()) {
        found = rates_.emplace(one.from.plan->team, policy::rate_limiter()).first;
        found->second.configure(one.from.plan->rate.per_second, one.from.plan->burst.value);
    }
    const milliseconds wait = found->second.admit(one.arrived);
    if (wait.count() == 0)
        return true;
    refuse_early(one,
                 {refusal_code::over_share, "the plan's rate is used up", run_state::no, wait});
    return false;
}

void online_calls::admit(call one) {
    if (!is_allowed(one)) {
        refuse_early(
            one, {refusal_code::not_allowed, "the plan doesn't allow '" + one.demand.service.str() +
                                                 "' in this version or with this adapter"});
        return;
    }
    if (context_.view->stale) {
        refuse_early(one, {refusal_code::stale, "this entry is cut off from the configuration",
                           run_state::no, come_back_soon});
        return;
    }
    if (!within_rate(one))
        return;
    one.print = cassia::fingerprint(sha256_hex(one.from.plan->team.str() + "\n" +
                                               one.request.method + "\n" + one.request.path + "\n" +
                                               canonical_body(one.request.body)));
    if (crash_tracker_.is_quarantined(one.print)) {
        refuse_early(one, {refusal_code::quarantined, "this request crashed endpoints"});
        return;
    }
    context_.counters.count("online_calls");
    retries_.request_started();
    const exchange_id exchange = one.exchange;
    call& kept = calls_.emplace(exchange, std::move(one)).first->second;
    if (kept.key.empty())
        enqueue(kept);
    else
        claim(kept);
}

void online_calls::claim(call& one) {
    schema::keeper_request request;
    request.set_group(static_cast<std::uint32_t>(key_group(one).value()));
    schema::key_claim* claimed = request.mutable_work()->mutable_claim();
    claimed->set_team(one.from.plan->team.str());
    claimed->set_key(one.key);
    claimed->set_fingerprint(one.print.str());
    claimed->set_holder(context_.control.holder());
    claimed->set_request(one.request_id);
    claimed->set_repeatable(one.repeatable);
    claimed->set_at(to_unix_ms(wall_now()));
    claimed->set_retention_ms(one.from.plan->retention_ms);
    const exchange_id exchange = one.exchange;
    context_.control.send_request(
        std::move(request), request_options(), context_.task,
        [this, exchange](const schema::keeper_reply& reply) { on_claimed(exchange, reply); });
}

void online_calls::on_claimed(exchange_id exchange, const schema::keeper_reply& reply) {
    call* one = find(exchange);
    if (one == nullptr)
        return;
    if (reply.result() != schema::keeper_reply::done) {
        // The claim may still be committed. It is given back; should that get lost as well, the
        // key is freed or marked unknown once this process is gone.
        one->claimed = true;
        refuse(exchange, {refusal_code::no_quorum, "the durable state can't be reached",
                          run_state::no, come_back_soon});
        return;
    }
    switch (reply.work().result()) {
    case schema::work_reply::done:
        one->claimed = true;
        enqueue(*one);
        return;
    case schema::work_reply::replay: {
        net::http_response response;
        response.status = static_cast<int>(reply.work().answer().status());
        response.content_type = reply.work().answer().content_type();
        response.body = reply.work().answer().body();
        response.headers["Cassia-Replayed"] = "true";
        response.headers["Cassia-Request-Id"] = one->request_id;
        explain(decision_kind::ended, *one, "replayed", "the key's answer was stored");
        context_.counters.count("replayed");
        context_.server->respond(exchange, response);
        remove(exchange);
        return;
    }
    case schema::work_reply::in_progress:
        refuse(exchange, {refusal_code::in_progress, "a request with this key is running",
                          run_state::no, come_back_soon});
        return;
    case schema::work_reply::key_reused:
        refuse(exchange,
               {refusal_code::key_reused, "this key belongs to another request", run_state::no});
        return;
    default:
        refuse(exchange,
               {refusal_code::outcome_unknown,
                "an earlier run of this request was lost; it won't run again", run_state::maybe});
        return;
    }
}

double online_calls::expected_wait_s() const {
    return static_cast<double>(waiting_.size()) / ends_per_second_;
}

// Better refused now than after a wait that can't succeed.
bool online_calls::can_make_deadline(const call& one) const {
    if (one.deadline == instant::max() || ends_per_second_ <= 0 || waiting_.size() == 0)
        return true;
    const double left_s = static_cast<double>((one.deadline - monotonic_now()).count()) / 1e6;
    return expected_wait_s() < left_s;
}

void online_calls::enqueue(call& one) {
    if (!router_.can_serve(one.demand)) {
        refuse(one.exchange,
               {refusal_code::no_endpoint, "no endpoint serves '" + one.demand.service.str() + "'",
                run_state::no, come_back_soon});
        return;
    }
    if (!can_make_deadline(one)) {
        refuse(one.exchange,
               {refusal_code::deadline, "the deadline would pass while it waits", run_state::no,
                milliseconds(static_cast<std::int64_t>(expected_wait_s() * 1000))});
        return;
    }
    // A suspect waits for its turn alone; refused as soon as the others it would share the fate of
    // the request that crashed the endpoint.
    constexpr int suspect_patience = 10;
    const instant now = monotonic_now();
    const milliseconds usual(context_.settings.queue_wait_ms());
    const bool suspect = crash_tracker_.is_suspect(one.print);
    const instant patience = now + (suspect ? usual * suspect_patience : usual);
    one.waiting = waiting_.add({one.exchange, one.from.plan->team, one.from.plan->weight,
                                std::min(patience, one.deadline)});
    if (!one.waiting) {
        refuse(one.exchange, {refusal_code::over_share, "too many of the plan's requests wait",
                              run_state::no, come_back_soon});
        return;
    }
    const exchange_id exchange = one.exchange;
    offer_waiting();
    call* still = find(exchange);
    if (still != nullptr && still->waiting)
        explain(decision_kind::queued, *still, still->demand.service.str(),
                "no free slot; " + std::to_string(waiting_.size()) + " wait");
}

} // namespace cassia::entry
