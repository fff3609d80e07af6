#include "cassia/entry/online_calls.h"

#include "cassia/base/digest.h"
#include "cassia/state/sharding.h"

#include <boost/json.hpp>

#include <algorithm>
#include <utility>

namespace cassia::entry {

namespace {
constexpr unsigned max_connections_per_endpoint = 4096;
constexpr double retry_ratio = 0.2;
constexpr double retry_reserve = 20;
constexpr milliseconds capacity_interval(50);
constexpr milliseconds attempt_end_rate_interval(200);
// The least time without a first token after which batch is asked for another slot: twice the time
// to first token of a lightly loaded engine (about 30 ms).
constexpr milliseconds min_slot_wait(60);
} // namespace

online_calls::online_calls(http_context& context,
                           std::function<void(batch_capacities)> on_batch_capacities)
    : context_(context), on_batch_capacities_(std::move(on_batch_capacities)),
      client_(context.task, max_connections_per_endpoint,
              net::ip_of(context.settings.http_address())),
      router_(policy::router_settings{zone_id(context.settings.zone()),
                                      entry_id(context.settings.name())},
              random_bits()),
      waiting_(context.settings.max_queue()), retry_budget_(retry_ratio, retry_reserve),
      crash_tracker_(context.task, client_, context.control, [this](const policy::strike& strike) {
          context_.decisions.add(decision_kind::struck, strike.request.str(), strike.endpoint.str(),
                                 "the endpoint died while it ran");
      }) {}

online_calls::~online_calls() = default;

online_calls::call_state* online_calls::find(exchange_id exchange) {
    auto found = calls_.find(exchange);
    return found == calls_.end() ? nullptr : &found->second;
}

group_id online_calls::key_group(const call_state& call) const {
    return state::group_of_key(call.caller.plan->team, call.idempotency_key,
                               context_.settings.cluster().work_groups());
}

// Cancels the call's current attempt and releases its key. Returns whether an endpoint may have
// received the request. That includes an attempt that got no response yet: if it counted as not
// run, the key would be freed and a resend of the request would run it a second time.
bool online_calls::cancel_call(call_state& call) {
    const bool maybe_executed = call.possibly_received || call.running;
    if (call.running) {
        client_.cancel(call.upstream_call);
        end_attempt(call, policy::call_result::cancelled);
    }
    if (call.waiting)
        waiting_.remove(call.exchange);
    if (call.key_claimed)
        release_key(call, maybe_executed && !call.repeatable);
    return maybe_executed;
}

void online_calls::reject(exchange_id exchange, rejection rejected) {
    call_state* call = find(exchange);
    if (call == nullptr)
        return;
    const bool maybe_executed = cancel_call(*call);
    if (maybe_executed && rejected.run == run_state::no)
        rejected.run = run_state::maybe;
    record_decision(decision_kind::refused, *call, rejection_code_name(rejected.code),
                    rejected.message);
    context_.counters.count(std::string("refused_") + rejection_code_name(rejected.code));
    if (call->head_sent) {
        context_.server->stream(exchange, to_sse_event(rejected, call->request_id));
        context_.server->end_stream(exchange);
    } else {
        context_.reject(exchange, rejected, call->request_id);
    }
    remove(exchange);
}

void online_calls::remove(exchange_id exchange) {
    calls_.erase(exchange);
}

void online_calls::on_caller_disconnected(exchange_id exchange) {
    call_state* call = find(exchange);
    if (call == nullptr)
        return;
    // The caller of a request that must not run twice may return with the same key for its
    // response, so the request runs to completion.
    const bool must_complete = call->key_claimed && !call->repeatable;
    if (must_complete)
        return;
    cancel_call(*call);
    record_decision(decision_kind::ended, *call, "abandoned", "the caller went away");
    remove(exchange);
    dispatch_waiting();
}

void online_calls::on_view_changed() {
    router_.set_endpoints(context_.view->endpoints);
    crash_tracker_.merge_strikes(context_.view->strikes);
    for (const std::pair<const endpoint_id, endpoint_use>& use : batch_uses_)
        router_.set_own_batch(use.first, use.second.batch, use.second.suspects);
    refresh_rate_limits();
    dispatch_waiting();
}

void online_calls::refresh_rate_limits() {
    if (context_.view->catalog == nullptr)
        return;
    for (auto limiter = rate_limiters_.begin(); limiter != rate_limiters_.end();) {
        const settings::plan* plan = context_.view->catalog->find(limiter->first);
        if (plan == nullptr) {
            limiter = rate_limiters_.erase(limiter);
            continue;
        }
        limiter->second.configure(plan->rate.per_second, plan->burst.value);
        auto peer_rate = context_.view->peer_rates.find(limiter->first);
        limiter->second.set_remote_rate(
            peer_rate == context_.view->peer_rates.end() ? 0 : peer_rate->second);
        ++limiter;
    }
}

void online_calls::set_batch_uses(const std::vector<endpoint_use>& uses) {
    for (const std::pair<const endpoint_id, endpoint_use>& previous : batch_uses_)
        router_.set_own_batch(previous.first, 0, 0);
    batch_uses_.clear();
    for (const endpoint_use& use : uses) {
        batch_uses_[use.endpoint] = use;
        router_.set_own_batch(use.endpoint, use.batch, use.suspects);
    }
}

// Updates the smoothed rate at which attempts end, from which the queueing time is estimated.
void online_calls::update_attempt_end_rate(instant now) {
    constexpr double smoothing = 0.3;
    constexpr double us_per_second = 1e6;
    const double seconds =
        static_cast<double>((now - attempt_end_rate_updated_at_).count()) / us_per_second;
    attempt_end_rate_ +=
        smoothing * (static_cast<double>(ended_attempts_) / seconds - attempt_end_rate_);
    ended_attempts_ = 0;
    attempt_end_rate_updated_at_ = now;
}

// Two entries may use the same free slot before they learn of each other's calls (gossip interval:
// 200 ms). The later call then queues in the engine behind a batch item until that item ends. A
// call that has no first token in time therefore makes its entry ask the owner for one more slot,
// even if no batch item is known to run there, since that information may be as old. Without this
// the slowest of 40 calls took 409 ms, most of the 520 ms that a batch item ran.
void online_calls::request_slots_for_delayed_calls(instant now) {
    for (std::pair<const exchange_id, call_state>& open_call : calls_) {
        call_state& call = open_call.second;
        if (!call.running || call.has_output || !call.for_engine)
            continue;
        const microseconds min_interval =
            std::max<microseconds>(min_slot_wait, call.expected_first_token);
        if (now - call.slot_requested_at < min_interval)
            continue;
        call.slot_requested_at = now;
        context_.control.request_yield(call.endpoint, 1);
        context_.counters.count("yields_asked_again");
        record_decision(decision_kind::yielded, call, call.endpoint.str(), "no first token yet");
    }
}

void online_calls::tick(instant now) {
    request_slots_for_delayed_calls(now);
    for (const exchange_id expired : waiting_.expired(now)) {
        call_state* call = find(expired);
        if (call == nullptr)
            continue;
        call->waiting = false;
        const bool deadline_passed = call->deadline <= now;
        reject(expired,
               deadline_passed
                   ? rejection{rejection_code::deadline, "the deadline passed while it waited",
                               run_state::no, default_retry_after}
                   : rejection{rejection_code::no_endpoint, "all endpoints are busy", run_state::no,
                               default_retry_after});
    }
    std::vector<exchange_id> overdue;
    for (const std::pair<const exchange_id, call_state>& open_call : calls_) {
        if (open_call.second.running && open_call.second.deadline <= now)
            overdue.push_back(open_call.first);
    }
    for (const exchange_id exchange : overdue)
        reject(exchange, {rejection_code::deadline, "the deadline passed", run_state::maybe});
    if (now - attempt_end_rate_updated_at_ >= attempt_end_rate_interval) {
        update_attempt_end_rate(now);
        report_uses();
    }
    if (now - capacities_published_at_ >= capacity_interval) {
        capacities_published_at_ = now;
        publish_batch_capacities();
    }
}

} // namespace cassia::entry
