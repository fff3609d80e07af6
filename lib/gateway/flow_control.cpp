#include "cassia/gateway/flow_control.h"

#include "cassia/base/digest.h"
#include "cassia/base/log.h"

#include <utility>
#include <vector>

namespace cassia::gateway {

namespace {
// A refused body comes back when others have been served; not all of them at the same time.
constexpr int min_retry_after_ms = 400;
constexpr int max_retry_after_ms = 1600;
constexpr std::size_t reported_teams = 8;
} // namespace

static policy::caller_id caller_of(net::connection_id id) {
    return policy::caller_id(id.value());
}

flow_control::flow_control(net::raw_client& client, metrics& counts, header_names names,
                           std::uint64_t memory,
                           std::function<team_id(const net::http_fields&)> team_of)
    : client_(client), metrics_(counts), names_(std::move(names)), team_of_(std::move(team_of)),
      budget_(memory), random_(random_bits()) {}

std::optional<net::raw_server_flow> flow_control::server_flow() {
    if (!budget_.is_bounded())
        return std::nullopt;
    net::raw_server_flow flow;
    flow.refuse_body = [this](net::connection_id id, const net::http_fields& fields,
                              std::uint64_t bytes) { return refuse_body(id, fields, bytes); };
    flow.on_released = [this](net::connection_id id) { refresh(id, monotonic_now()); };
    return flow;
}

std::optional<net::http_fields> flow_control::refuse_body(net::connection_id id,
                                                          const net::http_fields& fields,
                                                          std::uint64_t bytes) {
    const team_id team = team_of_(fields);
    const std::string_view request = fields.find(names_.request_id);
    caller_state& one = callers_[id];
    one.team = team;
    one.request_id = std::string(request);
    if (budget_.admits_body(caller_of(id), team, bytes)) {
        const net::caller_bytes held = server_->bytes_of(id);
        budget_.update(caller_of(id), team, {bytes, 0, held.unsent}, held.sent, monotonic_now());
        return std::nullopt;
    }
    std::uniform_int_distribution<int> uniform(min_retry_after_ms, max_retry_after_ms);
    const milliseconds retry_after(uniform(random_));
    metrics_.count("bodies_refused");
    log_info("body_refused")
        .with("request", request)
        .with("team", team.str())
        .with("bytes", bytes)
        .with("held", budget_.bodies() + budget_.responses())
        .with("retry_after_ms", retry_after.count());
    net::http_fields answer;
    if (!request.empty())
        answer.add(names_.request_id, request);
    answer.add("Retry-After", net::to_seconds(retry_after));
    return answer;
}

void flow_control::refresh(net::connection_id id, instant now) {
    auto found = callers_.find(id);
    if (found == callers_.end())
        return;
    caller_state& one = found->second;
    if (!server_->contains(id)) {
        budget_.remove(caller_of(id));
        callers_.erase(found);
        return;
    }
    const net::caller_bytes bytes = server_->bytes_of(id);
    const policy::held_bytes held{bytes.body, one.gathered, bytes.unsent};
    if (held.total() == 0 && one.upstream == call_id()) {
        budget_.remove(caller_of(id));
        callers_.erase(found);
        return;
    }
    switch (budget_.update(caller_of(id), one.team, held, bytes.sent, now)) {
    case policy::response_flow::pause:
        metrics_.count("responses_paused");
        client_.pause(one.upstream);
        break;
    case policy::response_flow::resume:
        client_.resume(one.upstream);
        break;
    case policy::response_flow::unchanged:
        break;
    }
}

flow_control::caller_state* flow_control::find(exchange_id id, net::connection_id& connection) {
    if (!budget_.is_bounded())
        return nullptr;
    connection = server_->connection_of(id);
    auto found = callers_.find(connection);
    return found == callers_.end() ? nullptr : &found->second;
}

void flow_control::on_attempt(const forwarded_attempt& attempt) {
    if (!budget_.is_bounded())
        return;
    const net::connection_id connection = server_->connection_of(attempt.exchange);
    if (connection == net::connection_id())
        return;
    caller_state& one = callers_[connection];
    one = {attempt.request_id, attempt.team, attempt.upstream, 0};
    refresh(connection, monotonic_now());
    if (budget_.is_paused(caller_of(connection)))
        client_.pause(attempt.upstream);
}

void flow_control::on_answer(exchange_id id) {
    const net::connection_id connection =
        budget_.is_bounded() ? server_->connection_of(id) : net::connection_id();
    if (connection != net::connection_id())
        callers_.try_emplace(connection);
}

void flow_control::on_forwarded(exchange_id id) {
    net::connection_id connection;
    if (find(id, connection) != nullptr)
        refresh(connection, monotonic_now());
}

bool flow_control::on_gathered(exchange_id id, std::size_t bytes) {
    net::connection_id connection;
    caller_state* one = find(id, connection);
    if (one == nullptr)
        return false;
    one->gathered = bytes;
    refresh(connection, monotonic_now());
    return bytes > budget_.gather_limit();
}

bool flow_control::on_partial_event(exchange_id id, std::size_t bytes) {
    return on_gathered(id, bytes) && budget_.is_crowded();
}

// The rest of the response is handed to the server after this; the next tick counts it.
void flow_control::on_closed(exchange_id id) {
    net::connection_id connection;
    caller_state* one = find(id, connection);
    if (one == nullptr)
        return;
    one->upstream = call_id();
    one->gathered = 0;
}

bool flow_control::is_paused(exchange_id id) const {
    return budget_.is_bounded() && budget_.is_paused(caller_of(server_->connection_of(id)));
}

void flow_control::drop(const policy::slow_caller& slow) {
    const net::connection_id id(slow.caller.value());
    auto found = callers_.find(id);
    const std::string request = found == callers_.end() ? "" : found->second.request_id;
    metrics_.count("slow_callers_dropped");
    log_warning("slow_caller_dropped")
        .with("request", request)
        .with("team", slow.team.str())
        .with("bytes", slow.bytes)
        .with("age_ms", slow.age.count())
        .with("bytes_per_s", slow.bytes_per_s);
    callers_.erase(id);
    server_->drop(id);
}

// Callers are dropped here only: a drop ends the caller's call, which may be at work when a change
// of its bytes is told.
void flow_control::tick(instant now) {
    if (!budget_.is_bounded())
        return;
    std::vector<net::connection_id> ids;
    ids.reserve(callers_.size());
    for (const std::pair<const net::connection_id, caller_state>& one : callers_)
        ids.push_back(one.first);
    for (const net::connection_id id : ids)
        refresh(id, now);
    for (const policy::slow_caller& slow : budget_.take_slow(now))
        drop(slow);
    for (const policy::caller_id caller : budget_.take_resumed()) {
        auto found = callers_.find(net::connection_id(caller.value()));
        if (found != callers_.end())
            client_.resume(found->second.upstream);
    }
}

void flow_control::set_metrics() {
    metrics_.set("bytes_held_bodies", budget_.bodies());
    metrics_.set("bytes_held_responses", budget_.responses());
    for (const team_id& team : reported_teams_)
        metrics_.set("bytes_held_team_" + team.str(), 0);
    for (const std::pair<team_id, std::uint64_t>& one : budget_.largest_teams(reported_teams)) {
        metrics_.set("bytes_held_team_" + one.first.str(), one.second);
        reported_teams_.insert(one.first);
    }
}

} // namespace cassia::gateway
