// Placement of online requests at endpoints, retries, and how requests end.

#include "cassia/gateway/dispatcher.h"

#include "cassia/base/digest.h"
#include "cassia/base/log.h"
#include "cassia/gateway/caller_identity.h"
#include "cassia/gateway/response_match.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <utility>
#include <vector>

namespace cassia::gateway {

namespace {
// Time from sending to the first event at a free slot under light load: connection, prompt
// processing and the first tokens.
constexpr milliseconds first_event_time(60);
// A request sent with less time left than this reaches its deadline before its response.
constexpr milliseconds min_remaining_time(50);
// Attempts that reach no endpoint cost little, but each may take as long as the connect timeout.
constexpr std::uint32_t max_sends = 6;
// Delay before a request that has run is sent again after a rejection: doubled with each one, and
// drawn from its upper half. Full endpoints have a free slot again after some ten milliseconds.
constexpr milliseconds first_retry_delay(20);
constexpr std::uint32_t max_doublings = 4;
// How long a caller that names no deadline may take its stream up.
constexpr milliseconds retention_without_deadline(60000);
constexpr int status_server_error = 500;
constexpr int status_unavailable = 503;
constexpr int status_timeout = 504;
} // namespace

dispatcher::dispatcher(net::raw_server& server, net::raw_client& client, policy::slot_table& slots,
                       crash_monitor& crashes, trial_exchange& trials, origin_exchange& origins,
                       metrics& counts, header_names names, dispatcher_hooks hooks)
    : server_(server), client_(client), slots_(slots), crashes_(crashes), trials_(trials),
      origins_(origins), metrics_(counts), names_(std::move(names)), hooks_(std::move(hooks)),
      random_(random_bits()) {
    queue_.set_shares(&shares_);
}

dispatcher::~dispatcher() = default;

// Callers of a stream disconnect after waiting for two seconds, four times the target or eight
// times the allowed pause, whichever is longest. A request that starts later would run for nothing.
static milliseconds max_caller_wait(const schema::route& route) {
    constexpr std::int64_t min_ms = 2000;
    constexpr std::int64_t targets = 4;
    constexpr std::int64_t pauses = 8;
    return milliseconds(std::max({min_ms, targets * route.target_ms(), pauses * route.pause_ms()}));
}

void dispatcher::submit(routed_request admitted) {
    std::unique_ptr<online_call> new_call = std::make_unique<online_call>();
    online_call& call = *new_call;
    const schema::route& route = *admitted.route;
    net::raw_request& request = admitted.request;
    call.id = admitted.id;
    call.table = std::move(admitted.table);
    call.route = admitted.route;
    call.team = admitted.team;
    call.grant = std::move(admitted.grant);
    call.request_id = std::string(request.fields.find(names_.request_id));
    call.arrived_at = admitted.arrived_at;
    milliseconds timeout(route.timeout_ms());
    if (const std::optional<milliseconds> requested =
            net::read_milliseconds(request.fields.find(names_.deadline)))
        timeout = std::min(timeout, *requested);
    call.deadline = call.arrived_at + timeout;
    call.caller_deadline =
        call.arrived_at + net::read_milliseconds(request.fields.find(names_.deadline))
                              .value_or(retention_without_deadline);
    call.send_deadline = call.deadline - min_remaining_time;
    if (call.is_stream())
        call.send_deadline = std::min(call.send_deadline,
                                      call.arrived_at + max_caller_wait(route) - first_event_time);
    call.last_event = net::read_number(request.fields.find(names_.last_event)).value_or(0);
    std::uniform_real_distribution<double> uniform(0, 1);
    if (read_request_tokens_)
        call.tokens = read_request_tokens_(request.fields).value_or(0);
    call.service = choose_service(route, slots_, call.tokens, uniform(random_));
    request.fields.erase_hop_by_hop();
    if (call.table->needs_keys())
        set_team_header(request.fields, names_, call.team == nullptr ? "" : call.team->id.str());
    if (read_prompt_parts_)
        call.prompt_parts = read_prompt_parts_(request.fields);
    request.share_body();
    call.request = std::move(request);
    calls_[call.id] = std::move(new_call);
    metrics_.count("requests");
    note_arrival(call);
    if (judge(call).verdict == policy::request_verdict::quarantined)
        stop(call);
    else if (call.is_stream() && call.last_event > 0)
        take_up(call);
    else
        place(call);
}

void dispatcher::place(online_call& call) {
    if (end_too_late(call, monotonic_now()))
        return;
    if (is_unservable(call)) {
        end_unservable(call);
        return;
    }
    if (is_oversized(call)) {
        end_oversized(call);
        return;
    }
    if (call.stopped_run) {
        send(call, call.stopped_run->next);
        return;
    }
    if (judge(call).verdict == policy::request_verdict::suspect) {
        place_alone(call);
        return;
    }
    end_trial(call);
    call.runs_alone = false;
    const instant now = monotonic_now();
    const bool held_back = is_held_back(call, now);
    const std::optional<policy::placement> found =
        held_back ? std::nullopt : find_endpoint(call, now);
    if (found) {
        send(call, *found);
        return;
    }
    call.phase = call.phase == call_phase::responding ? call.phase : call_phase::queued;
    if (!queue_.contains(call.id)) {
        note_queued(call, now);
        log_info("request_queued")
            .with("request", call.request_id)
            .with("service", call.service.str())
            .with("waiting", queue_.size())
            .with("slots", slots_.total_slots(call.service, now))
            .with("forecast_ms", call.slot_forecast.count())
            .with("over_share", call.was_over_share ? 1 : 0);
    }
    queue_.add({call.id, call.service, call.team == nullptr ? team_id() : call.team->id,
                call.priority(), call.arrived_at,
                call.arrived_at + milliseconds(call.route->target_ms()) - first_event_time,
                call.send_deadline, call.runs > 0, call.required_version(),
                slots_.needs_reservation(call.service, call.tokens)});
}

net::raw_request dispatcher::make_upstream_request(const online_call& call,
                                                   const endpoint_id& endpoint) const {
    net::raw_request request = call.request;
    const std::int64_t left_ms =
        std::chrono::duration_cast<milliseconds>(call.deadline - monotonic_now()).count();
    request.fields.set(names_.deadline, std::to_string(std::max<std::int64_t>(left_ms, 1)));
    request.fields.set(names_.expected_endpoint, endpoint.str());
    if (call.is_stream() && call.last_event > 0)
        request.fields.set(names_.last_event, std::to_string(call.last_event));
    if (call.stopped_run)
        migration_protocol_.resume_from_copy(request, call.stopped_run->copy);
    return request;
}

void dispatcher::send(online_call& call, const policy::placement& placement) {
    if (placement.yielding_gateway)
        hooks_.request_yield(*placement.yielding_gateway, placement.endpoint);
    queue_.remove_served(call.id);
    slots_.acquire(placement.endpoint, policy::work_kind::online, call.tokens);
    note_slot(call, true);
    call.endpoint = placement.endpoint;
    call.incarnation = placement.incarnation;
    call.endpoint_version = placement.version;
    call.address = placement.address;
    call.sent_at = monotonic_now();
    call.last_progress_at = call.sent_at;
    call.last_reclaim_at = call.sent_at;
    call.not_run = false;
    call.rejection_status = 0;
    call.connection_broke = false;
    call.resumed = call.stopped_run || (call.is_stream() && call.last_event > 0);
    call.forwards_error = false;
    call.body = std::string();
    call.unused_bytes = 0;
    call.parser.reset();
    ++call.sends;
    ++call.runs;
    if (call.phase == call_phase::queued)
        call.phase = call_phase::sent;
    if (call.sends == 1) {
        call.first_sent_at = call.sent_at;
        metrics_.observe("queued", call.sent_at - call.arrived_at);
    }
    log_info("request_placed")
        .with("request", call.request_id)
        .with("endpoint", placement.endpoint.str())
        .with("version", placement.version.str())
        .with("free", placement.free)
        .with("on_trial", placement.on_trial ? 1 : 0)
        .with("yields", placement.yielding_gateway ? "1" : "0")
        .with("send", call.sends)
        .with("behind_event", call.last_event);
    const exchange_id id = call.id;
    const std::uint32_t attempt = call.attempt = call.sends;
    net::raw_call_hooks hooks;
    hooks.on_head = [this, id, attempt](const net::raw_head& head) {
        select_attempt(id, attempt);
        on_head(id, head);
    };
    hooks.on_piece = [this, id, attempt](std::string_view bytes) {
        select_attempt(id, attempt);
        on_body(id, bytes);
    };
    hooks.on_end = [this, id, attempt] {
        select_attempt(id, attempt);
        on_end(id);
    };
    hooks.on_failure = [this, id, attempt](const net::raw_failure& failure) {
        select_attempt(id, attempt);
        on_failure(id, failure);
    };
    net::raw_call outgoing;
    outgoing.to = placement.address;
    outgoing.request = make_upstream_request(call, placement.endpoint);
    outgoing.find_owner = match_by_id(names_, call.request_id);
    outgoing.request_id = call.request_id;
    // A duplicate of the earlier response on the same connection would have the same id.
    outgoing.fresh_connection = !call.sent_to.insert(placement.address).second;
    call.upstream_call = client_.start(std::move(outgoing), std::move(hooks));
    control_flow(call);
}

void dispatcher::cancel_attempt(online_call& call) {
    if (is_silent(call))
        crashes_.record_silent_run(run_of(call));
    else if (client_.was_sent(call.upstream_call) && !call.not_run)
        crashes_.record_ended_run(run_of(call), false);
    release_reserved_slots(call);
    client_.cancel(call.upstream_call);
    call.upstream_call = call_id();
    if (call.holds_slot) {
        slots_.release(call.endpoint, policy::work_kind::online, call.tokens);
        note_slot(call, false);
    }
}

void dispatcher::eject_endpoint(const online_call& call, instant now) {
    const milliseconds ejection_time = slots_.record_failure(call.endpoint, now);
    client_.forget(call.address);
    log_info("endpoint_suspended")
        .with("endpoint", call.endpoint.str())
        .with("ms", ejection_time.count())
        .with("request", call.request_id);
}

void dispatcher::retry_not_run(online_call& call, const std::string& cause) {
    cancel_attempt(call);
    --call.runs;
    if (call.stopped_run) {
        retry_stopped_run(call, cause);
        return;
    }
    call.failed_endpoints.insert(call.endpoint);
    metrics_.count("attempts_not_run");
    log_info("attempt_not_run")
        .with("request", call.request_id)
        .with("endpoint", call.endpoint.str())
        .with("status", call.rejection_status)
        .with("cause", cause);
    if (continue_with_other(call, cause))
        return;
    if (call.runs > 0)
        retry_later(call);
    else if (call.sends - call.unreached < max_sends && monotonic_now() < call.send_deadline)
        place(call);
    else
        reject(call, cause);
}

// The caller can't be promised any more that the request has not run, so the call stays until its
// deadline.
void dispatcher::retry_later(online_call& call) {
    const std::uint32_t doublings = std::min(call.rejections, max_doublings);
    ++call.rejections;
    std::uniform_real_distribution<double> upper_half(0.5, 1);
    const microseconds delay = first_retry_delay * (1U << doublings);
    call.retry_at =
        monotonic_now() + std::chrono::duration_cast<microseconds>(delay * upper_half(random_));
    if (call.phase == call_phase::sent)
        call.phase = call_phase::queued;
}

void dispatcher::retry_or_fail(online_call& call, const std::string& cause) {
    cancel_attempt(call);
    call.failed_endpoints.insert(call.endpoint);
    metrics_.count("attempts_lost");
    if (continue_with_other(call, cause))
        return;
    if (may_retry(call) && monotonic_now() + min_remaining_time < call.deadline) {
        log_info("request_retried")
            .with("request", call.request_id)
            .with("endpoint", call.endpoint.str())
            .with("behind_event", call.last_event)
            .with("cause", cause);
        place(call);
        return;
    }
    fail(call, status_bad_gateway, cause);
}

void dispatcher::reject(online_call& call, const std::string& cause, milliseconds retry_after,
                        std::string_view text) {
    net::raw_head head;
    head.status = status_unavailable;
    head.fields.add(names_.request_id, call.request_id);
    head.fields.add("Retry-After", net::to_seconds(retry_after));
    reject_with(call, head, cause, text);
}

void dispatcher::reject_with(online_call& call, const net::raw_head& head, const std::string& cause,
                             std::string_view text) {
    log_outcome(call, head.status, cause);
    metrics_.count("refused_" + cause);
    const exchange_id id = call.id;
    close(id);
    server_.respond(id, head, text);
}

void dispatcher::fail(online_call& call, int status, const std::string& cause) {
    log_outcome(call, status, cause);
    metrics_.count("failed");
    metrics_.count("failed_" + std::to_string(status));
    const bool response_began = call.phase == call_phase::responding;
    net::raw_head head;
    head.status = status;
    head.fields.add(names_.request_id, call.request_id);
    const exchange_id id = call.id;
    close(id);
    if (response_began)
        server_.abort(id);
    else
        server_.respond(id, head, "");
}

void dispatcher::on_caller_gone(exchange_id id) {
    auto found = calls_.find(id);
    if (found == calls_.end())
        return;
    log_outcome(*found->second, 0, "caller_left");
    metrics_.count("abandoned");
    close(id);
}

// Removes the call without a response. Cancels its attempt, if there is one, so that the endpoint
// stops working on it.
void dispatcher::close(exchange_id id) {
    auto found = calls_.find(id);
    if (found == calls_.end())
        return;
    cancel_attempt(*found->second);
    cancel_other(*found->second);
    cancel_migration(*found->second);
    cancel_lookup(*found->second);
    unknown_origins_.erase(id);
    if (found->second->runs == 0)
        hooks_.refund_quota(found->second->grant);
    queue_.remove(id);
    if (flow_ != nullptr)
        flow_->on_closed(id);
    calls_.erase(found);
    dispatch_queued();
}

void dispatcher::log_outcome(const online_call& call, int status, const std::string& cause) const {
    const instant now = monotonic_now();
    const auto ms_between = [](instant from, instant to) {
        return from == instant() ? -1 : std::chrono::duration_cast<milliseconds>(to - from).count();
    };
    // Failures are logged as warnings, which take precedence if there are too many lines.
    const bool failed = status >= status_server_error;
    log_event line(failed ? log_level::warning : log_level::info, "request_ended");
    line.with("request", call.request_id)
        .with("route", call.route->name())
        .with("team", call.team == nullptr ? "" : call.team->id.str())
        .with("routes_version", call.table->version())
        .with("status", status)
        .with("cause", cause)
        .with("endpoint", call.endpoint.str())
        .with("sends", call.sends)
        .with("runs", call.runs)
        .with("queued_ms", ms_between(call.arrived_at, call.sends == 0 ? now : call.first_sent_at))
        .with("first_ms", call.response_began_at == instant()
                              ? -1
                              : ms_between(call.arrived_at, call.response_began_at))
        .with("total_ms", ms_between(call.arrived_at, now))
        .with("events", call.last_event)
        .with("pause_ms", std::chrono::duration_cast<milliseconds>(call.longest_pause).count());
}

} // namespace cassia::gateway
