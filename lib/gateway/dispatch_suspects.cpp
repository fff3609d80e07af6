// Requests that are suspected of crashing endpoints, and quarantined ones.

#include "cassia/base/log.h"
#include "cassia/gateway/dispatcher.h"
#include "cassia/gateway/request_fingerprint.h"

#include <optional>
#include <utility>
#include <vector>

namespace cassia::gateway {

namespace {
// Interval at which a suspect that waits for an endpoint of its own looks for one.
constexpr milliseconds place_alone_interval(20);
// A gateway whose coordinators don't answer decides by itself within this time.
constexpr milliseconds max_retry_wait(1000);
// A short run is known to be survived a second after its end, by a report that is sent each 0.2 s.
constexpr milliseconds retry_result_time(1200);
constexpr std::string_view quarantine_text =
    "Endpoints crashed while they ran this request. It was not run again.\n";
constexpr std::string_view part_quarantine_text =
    "Endpoints crashed while they ran requests with a part of this prompt. It was not run.\n";
constexpr std::string_view part_retry_text =
    "Endpoints crashed while they ran requests with a part of this prompt. Another request with it "
    "is being tried. This one was not run.\n";
} // namespace

const fingerprint& dispatcher::fingerprint_of(online_call& call) {
    if (!call.fingerprint)
        call.fingerprint = make_fingerprint(call.team == nullptr ? "" : call.team->id.str(),
                                            call.request.fields.find("Host"), call.request.method,
                                            call.request.target, call.request.whole_body());
    return *call.fingerprint;
}

// While nothing is under suspicion, requests are not hashed.
judged_cause dispatcher::judge(online_call& call) const {
    return crashes_.has_records() ? crashes_.judge(fingerprint_of(call),
                                                   make_part_keys(call.service, call.prompt_parts))
                                  : judged_cause();
}

ended_run dispatcher::run_of(online_call& call) {
    const policy::endpoint_process process{call.endpoint, call.incarnation};
    return {call.request_id,
            fingerprint_of(call),
            process,
            call.address,
            call.service,
            call.sent_at,
            make_part_keys(call.service, call.prompt_parts),
            call.runs_alone,
            true,
            call.resumed};
}

void dispatcher::record_complete_run(online_call& call, bool has_output) {
    ended_run run = run_of(call);
    run.has_output = has_output;
    crashes_.record_ended_run(run, true);
}

bool dispatcher::is_silent(const online_call& call) const {
    return client_.was_sent(call.upstream_call) && !call.not_run &&
           monotonic_now() - call.last_progress_at >= silence_time;
}

std::optional<policy::placement> dispatcher::find_trial_endpoint(online_call& call, instant now) {
    const software_version version = call.required_version();
    const fingerprint cause = judge(call).cause;
    if (call.trial)
        trials_.set_cause(*call.trial, cause);
    else
        call.trial = trials_.begin(cause, call.service, version, policy::work_kind::online);
    if (!call.trial)
        return std::nullopt;
    const trial_exchange::state state = trials_.find(*call.trial);
    if (state.endpoint) {
        std::optional<policy::placement> found =
            slots_.place_at(call.service, *state.endpoint, now, version, call.tokens);
        if (!found)
            end_trial(call);
        return found;
    }
    if (state.is_scheduled || running_alone_.count(call.service) > 0)
        return std::nullopt;
    std::optional<policy::placement> found =
        slots_.place_alone(call.service, call.failed_endpoints, now, version, call.tokens);
    if (!found && !call.failed_endpoints.empty())
        found = slots_.place_alone(call.service, {}, now, version, call.tokens);
    if (found)
        running_alone_[call.service] = call.id;
    return found;
}

// Of the calls of this gateway the first one is the retry, unless another gateway's is granted.
bool dispatcher::depends_on_retry(online_call& call, instant now) {
    const fingerprint cause = judge(call).cause;
    if (!crashes_.awaits_retry(cause))
        return false;
    const part_retry& retry = retries_.try_emplace(cause, part_retry{call.id, now}).first->second;
    if (retry.call != call.id)
        return true;
    const bool is_granted = call.trial && trials_.find(*call.trial).endpoint;
    return !is_granted && now - retry.since >= max_retry_wait;
}

void dispatcher::end_trial(online_call& call) {
    std::erase_if(retries_, [&call](const auto& one) { return one.second.call == call.id; });
    if (!call.trial)
        return;
    policy::trial_outcome outcome = policy::trial_outcome::unused;
    const bool ran = call.upstream_call != call_id() && !call.not_run;
    if (ran && call.connection_broke)
        outcome = policy::trial_outcome::crashed;
    else if (ran)
        outcome =
            is_silent(call) ? policy::trial_outcome::silent : policy::trial_outcome::completed;
    trials_.end(*call.trial, outcome);
    call.trial.reset();
}

void dispatcher::place_alone(online_call& call) {
    const instant now = monotonic_now();
    if (call.runs == 0 && depends_on_retry(call, now)) {
        reject(call, "part_retried", retry_result_time, part_retry_text);
        return;
    }
    const std::optional<policy::placement> found = find_trial_endpoint(call, now);
    if (!found) {
        queue_.remove(call.id);
        call.phase = call.phase == call_phase::responding ? call.phase : call_phase::queued;
        call.retry_at = now + place_alone_interval;
        return;
    }
    const trial_exchange::state state =
        call.trial ? trials_.find(*call.trial) : trial_exchange::state();
    metrics_.count(state.endpoint ? "suspects_placed_granted" : "suspects_placed_unasked");
    log_info("suspect_placed")
        .with("request", call.request_id)
        .with("fingerprint", short_form(fingerprint_of(call)))
        .with("cause", short_form(judge(call).cause))
        .with("endpoint", found->endpoint.str())
        .with("granted_by", state.endpoint ? state.coordinator.str() : "");
    call.runs_alone = true;
    send(call, *found);
    call.reserved_slots = slots_.reserve_free_slots(call.endpoint);
}

void dispatcher::release_reserved_slots(online_call& call) {
    end_trial(call);
    for (; call.reserved_slots > 0; --call.reserved_slots)
        slots_.release(call.endpoint, policy::work_kind::online);
    auto alone = running_alone_.find(call.service);
    if (alone != running_alone_.end() && alone->second == call.id)
        running_alone_.erase(alone);
}

void dispatcher::fail_attempt(online_call& call, const std::string& cause) {
    cancel_attempt(call);
    metrics_.count("attempts_lost");
    fail(call, status_bad_gateway, cause);
}

void dispatcher::stop(online_call& call) {
    const fingerprint cause = judge(call).cause;
    const bool is_part = cause != fingerprint_of(call);
    log_info("request_stopped")
        .with("request", call.request_id)
        .with("fingerprint", short_form(fingerprint_of(call)))
        .with("cause", short_form(cause))
        .with("runs", call.runs);
    if (call.runs == 0)
        reject(call, "quarantined", crashes_.quarantine_left(cause),
               is_part ? part_quarantine_text : quarantine_text);
    else
        fail_attempt(call, "quarantined");
}

void dispatcher::stop_quarantined() {
    std::vector<exchange_id> ids;
    for (const std::pair<const exchange_id, std::unique_ptr<online_call>>& call : calls_) {
        if (judge(*call.second).verdict == policy::request_verdict::quarantined)
            ids.push_back(call.first);
    }
    for (const exchange_id id : ids) {
        auto found = calls_.find(id);
        if (found != calls_.end())
            stop(*found->second);
    }
}

} // namespace cassia::gateway
