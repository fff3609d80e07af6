// How a request finds an endpoint, and how it ends.

#include "cassia/gateway/dispatcher.h"

#include "cassia/base/digest.h"
#include "cassia/base/log.h"
#include "cassia/gateway/caller_identity.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <utility>
#include <vector>

namespace cassia::gateway {

namespace {
// Time from a free slot to the first event on a calm endpoint: connection, prompt, first tokens.
constexpr milliseconds first_answer_time(60);
// Sent with less time left than this, a request is cut off before it can be answered.
constexpr milliseconds least_useful_time(50);
// Attempts that reached no endpoint cost little, but each takes up to the connection's time limit.
constexpr std::uint32_t most_sends = 6;
// Slots come free all the time: after this the caller finds one as likely as any other.
constexpr milliseconds retry_after(400);
constexpr int status_server_error = 500;
constexpr int status_unavailable = 503;
constexpr int status_timeout = 504;
} // namespace

dispatcher::dispatcher(net::raw_server& server, net::raw_client& client, policy::slot_table& slots,
                       metrics& counts, field_names names, dispatcher_hooks hooks)
    : server_(server), client_(client), slots_(slots), metrics_(counts), names_(std::move(names)),
      hooks_(std::move(hooks)), random_(random_bits()) {}

dispatcher::~dispatcher() = default;

// Callers of a stream leave after a gap of two seconds, four targets or eight pauses, whichever is
// longest; a request that starts later than that runs for nobody.
static milliseconds patience_of(const schema::route& route) {
    constexpr std::int64_t least_ms = 2000;
    constexpr std::int64_t targets = 4;
    constexpr std::int64_t pauses = 8;
    return milliseconds(
        std::max({least_ms, targets * route.target_ms(), pauses * route.pause_ms()}));
}

void dispatcher::accept(admitted_request admitted) {
    std::unique_ptr<online_call> owned = std::make_unique<online_call>();
    online_call& call = *owned;
    const schema::route& route = *admitted.route;
    net::raw_request& request = admitted.request;
    call.id = admitted.id;
    call.table = std::move(admitted.table);
    call.route = admitted.route;
    call.team = admitted.team;
    call.grant = std::move(admitted.grant);
    call.request_id = std::string(request.fields.find(names_.request_id));
    call.arrived = admitted.arrived;
    milliseconds limit(route.timeout_ms());
    if (const std::optional<milliseconds> wish =
            net::read_milliseconds(request.fields.find(names_.deadline)))
        limit = std::min(limit, *wish);
    call.deadline = call.arrived + limit;
    call.give_up_at = call.deadline - least_useful_time;
    if (call.is_stream())
        call.give_up_at =
            std::min(call.give_up_at, call.arrived + patience_of(route) - first_answer_time);
    call.last_event = net::read_number(request.fields.find(names_.last_event)).value_or(0);
    std::uniform_real_distribution<double> draw(0, 1);
    call.service = service_id(routes::choose_target(route, draw(random_)));
    request.fields.erase_hop_by_hop();
    if (call.table->needs_keys())
        write_team(request.fields, names_, call.team == nullptr ? "" : call.team->id.str());
    call.request = std::move(request);
    calls_[call.id] = std::move(owned);
    metrics_.count("requests");
    place(call);
}

void dispatcher::place(online_call& call) {
    const instant now = monotonic_now();
    std::uniform_real_distribution<double> draw(0, 1);
    const double chance = draw(random_);
    std::optional<policy::placement> found =
        slots_.place_online(call.service, call.avoided, now, chance);
    if (!found && !call.avoided.empty())
        found = slots_.place_online(call.service, {}, now, chance);
    if (found) {
        send(call, *found);
        return;
    }
    call.phase = call.phase == call_phase::answering ? call.phase : call_phase::waiting;
    if (!queue_.contains(call.id))
        log_info("request_queued")
            .with("request", call.request_id)
            .with("service", call.service.str())
            .with("waiting", queue_.size())
            .with("slots", slots_.total_slots(call.service, now));
    queue_.add({call.id, call.service, call.team == nullptr ? team_id() : call.team->id,
                call.priority(), call.arrived,
                call.arrived + milliseconds(call.route->target_ms()) - first_answer_time,
                call.give_up_at});
}

net::raw_request dispatcher::request_for(const online_call& call,
                                         const endpoint_id& endpoint) const {
    net::raw_request request = call.request;
    const std::int64_t left_ms =
        std::chrono::duration_cast<milliseconds>(call.deadline - monotonic_now()).count();
    request.fields.set(names_.deadline, std::to_string(std::max<std::int64_t>(left_ms, 1)));
    request.fields.set(names_.expected_endpoint, endpoint.str());
    if (call.is_stream() && call.last_event > 0)
        request.fields.set(names_.last_event, std::to_string(call.last_event));
    if (!call.copy.handle.empty())
        moves_.resume(request, call.copy);
    return request;
}

void dispatcher::send(online_call& call, const policy::placement& place) {
    if (place.yielding_gateway)
        hooks_.yield_slot(*place.yielding_gateway, place.endpoint);
    queue_.remove_served(call.id);
    slots_.acquire(place.endpoint, policy::work_kind::online);
    call.holds_slot = true;
    call.endpoint = place.endpoint;
    call.address = place.address;
    call.sent_at = monotonic_now();
    call.progress_at = call.sent_at;
    call.hurried_at = call.sent_at;
    call.refused_by_endpoint = false;
    call.passes_failure = false;
    call.body.clear();
    call.events.reset();
    ++call.sends;
    ++call.runs;
    if (call.phase == call_phase::waiting)
        call.phase = call_phase::sent;
    if (call.sends == 1) {
        call.first_sent_at = call.sent_at;
        metrics_.observe("queued", call.sent_at - call.arrived);
    }
    log_info("request_placed")
        .with("request", call.request_id)
        .with("endpoint", place.endpoint.str())
        .with("free", place.free)
        .with("on_trial", place.on_trial ? 1 : 0)
        .with("yields", place.yielding_gateway ? "1" : "0")
        .with("send", call.sends)
        .with("behind_event", call.last_event);
    const exchange_id id = call.id;
    net::raw_call_hooks hooks;
    hooks.on_head = [this, id](const net::raw_head& head) { on_head(id, head); };
    hooks.on_piece = [this, id](std::string_view bytes) { on_piece(id, bytes); };
    hooks.on_end = [this, id] { on_end(id); };
    hooks.on_failure = [this, id](const net::raw_failure& failure) { on_failure(id, failure); };
    net::raw_call out;
    out.to = place.address;
    out.request = request_for(call, place.endpoint);
    call.attempt = client_.start(std::move(out), std::move(hooks));
}

void dispatcher::serve_waiting() {
    const instant now = monotonic_now();
    for (const service_id& service : queue_.services()) {
        while (const std::optional<exchange_id> next = queue_.next(service, now)) {
            online_call& call = *calls_.at(*next);
            const std::size_t before = queue_.size();
            place(call);
            if (queue_.size() == before)
                break;
        }
    }
}

void dispatcher::drop_attempt(online_call& call) {
    client_.cancel(call.attempt);
    call.attempt = call_id();
    if (call.holds_slot)
        slots_.release(call.endpoint, policy::work_kind::online);
    call.holds_slot = false;
}

void dispatcher::suspect(const online_call& call, instant now) {
    const milliseconds pause = slots_.record_failure(call.endpoint, now);
    client_.forget(call.address);
    log_info("endpoint_suspended")
        .with("endpoint", call.endpoint.str())
        .with("ms", pause.count())
        .with("request", call.request_id);
}

void dispatcher::retry_unrun(online_call& call, const std::string& cause) {
    drop_attempt(call);
    --call.runs;
    // Its run was stopped elsewhere and didn't go on here: anything else would be a second one.
    if (call.runs > 0 && !call.is_repeatable()) {
        fail(call, status_bad_gateway, cause);
        return;
    }
    call.avoided.insert(call.endpoint);
    metrics_.count("attempts_not_run");
    log_info("attempt_not_run")
        .with("request", call.request_id)
        .with("endpoint", call.endpoint.str())
        .with("cause", cause);
    const bool in_time = monotonic_now() < call.give_up_at || call.phase == call_phase::answering;
    if (call.sends < most_sends && in_time) {
        place(call);
        return;
    }
    if (call.runs > 0 || call.phase == call_phase::answering)
        fail(call, status_bad_gateway, cause);
    else
        refuse(call, cause);
}

void dispatcher::retry_or_fail(online_call& call, const std::string& cause) {
    drop_attempt(call);
    call.avoided.insert(call.endpoint);
    metrics_.count("attempts_lost");
    const bool allowed = call.is_repeatable() && call.runs < call.route->max_attempts();
    if (allowed && monotonic_now() + least_useful_time < call.deadline) {
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

void dispatcher::refuse(online_call& call, const std::string& cause) {
    net::raw_head head;
    head.status = status_unavailable;
    head.fields.add(names_.request_id, call.request_id);
    head.fields.add("Retry-After", net::to_seconds(retry_after));
    log_outcome(call, head.status, cause);
    metrics_.count("refused_" + cause);
    const exchange_id id = call.id;
    close(id);
    server_.respond(id, head, "");
}

void dispatcher::fail(online_call& call, int status, const std::string& cause) {
    log_outcome(call, status, cause);
    metrics_.count("failed");
    metrics_.count("failed_" + std::to_string(status));
    const bool began = call.phase == call_phase::answering;
    net::raw_head head;
    head.status = status;
    head.fields.add(names_.request_id, call.request_id);
    const exchange_id id = call.id;
    close(id);
    if (began)
        server_.abort(id);
    else
        server_.respond(id, head, "");
}

void dispatcher::abandon(exchange_id id) {
    auto found = calls_.find(id);
    if (found == calls_.end())
        return;
    log_outcome(*found->second, 0, "caller_left");
    metrics_.count("abandoned");
    close(id);
}

// Ends the attempt, if there is one, so that the endpoint stops its work.
void dispatcher::close(exchange_id id) {
    auto found = calls_.find(id);
    if (found == calls_.end())
        return;
    drop_attempt(*found->second);
    drop_move(*found->second);
    if (found->second->runs == 0)
        hooks_.give_back(found->second->grant);
    queue_.remove(id);
    calls_.erase(found);
    serve_waiting();
}

void dispatcher::log_outcome(const online_call& call, int status, const std::string& cause) const {
    const instant now = monotonic_now();
    const auto ms_since = [](instant from, instant to) {
        return from == instant() ? -1 : std::chrono::duration_cast<milliseconds>(to - from).count();
    };
    // What callers got no answer to goes before the rest when there is too much to write.
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
        .with("queued_ms", ms_since(call.arrived, call.sends == 0 ? now : call.first_sent_at))
        .with("first_ms",
              call.answer_began == instant() ? -1 : ms_since(call.arrived, call.answer_began))
        .with("total_ms", ms_since(call.arrived, now))
        .with("events", call.last_event)
        .with("pause_ms", std::chrono::duration_cast<milliseconds>(call.longest_pause).count());
}

} // namespace cassia::gateway
