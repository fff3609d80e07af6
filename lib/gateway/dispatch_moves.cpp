// Runs that may not be repeated and whose events stopped coming go on at another endpoint.

#include "cassia/base/log.h"
#include "cassia/gateway/dispatcher.h"

#include <utility>

namespace cassia::gateway {

namespace {
constexpr int status_ok = 200;
} // namespace

bool dispatcher::may_move_run(const online_call& call) const {
    // An answer that ends with its connection looks whole when the endpoint closes it to hand over.
    const bool ends_visibly = call.head.framing != net::body_framing::until_close;
    if (!moves_.request || !call.is_stream() || call.move.tried || !ends_visibly)
        return false;
    const schema::routed_service* service = call.table->service(call.service.str());
    return service != nullptr && service->moves_runs();
}

// A lost packet holds up all events behind it for 200 ms and more. A run that may not be repeated
// can't be begun elsewhere, but the endpoint, asked over another connection, hands it over.
void dispatcher::move_run(online_call& call, instant now) {
    const std::optional<policy::placement> place = place_elsewhere(call, now);
    if (!place)
        return;
    slots_.record_stall(call.endpoint, now);
    slots_.acquire(place->endpoint, policy::work_kind::online);
    call.move = run_move{};
    call.move.tried = true;
    call.move.to = *place;
    const exchange_id id = call.id;
    net::raw_call_hooks hooks;
    hooks.on_head = [this, id](const net::raw_head& head) {
        auto found = calls_.find(id);
        if (found != calls_.end())
            found->second->move.status = head.status;
    };
    hooks.on_piece = [this, id](std::string_view bytes) {
        auto found = calls_.find(id);
        if (found != calls_.end())
            found->second->move.body.append(bytes);
    };
    hooks.on_end = [this, id] { on_move_answer(id); };
    hooks.on_failure = [this, id](const net::raw_failure&) { on_move_answer(id); };
    net::raw_call out;
    out.to = call.address;
    out.request = moves_.request(call.request_id, place->address);
    call.move.asked = client_.start(std::move(out), std::move(hooks));
    metrics_.count("run_moves_asked");
}

// With a handle the run has stopped, and goes on from the copy; if there was no room for one, at
// the endpoint that still has the memory. Without a handle it goes on where it is.
void dispatcher::on_move_answer(exchange_id id) {
    auto found = calls_.find(id);
    if (found == calls_.end())
        return;
    online_call& call = *found->second;
    const run_move move = std::exchange(call.move, run_move{});
    call.move.tried = true;
    slots_.release(move.to.endpoint, policy::work_kind::online);
    const std::optional<std::string> handle = moves_.handle(move.body);
    log_info("run_moved")
        .with("request", call.request_id)
        .with("endpoint", call.endpoint.str())
        .with("to", move.to.endpoint.str())
        .with("behind_event", call.last_event)
        .with("status", move.status)
        .with("stopped", handle ? 1 : 0);
    if (!handle) {
        if (move.run_ended)
            fail(call, status_bad_gateway, "run_ended_while_moved");
        return;
    }
    metrics_.count("runs_moved");
    policy::placement next = move.to;
    if (move.status != status_ok) {
        next.endpoint = call.endpoint;
        next.address = call.address;
    }
    const run_copy copy{call.address, *handle};
    drop_attempt(call);
    call.copy = copy;
    send(call, next);
    call.copy = run_copy{};
}

// \returns whether the end of the attempt is left to the answer of the move under way.
bool dispatcher::ends_by_move(online_call& call) {
    if (call.move.asked == call_id())
        return false;
    client_.cancel(call.attempt);
    call.attempt = call_id();
    call.move.run_ended = true;
    return true;
}

void dispatcher::drop_move(online_call& call) {
    if (call.move.asked == call_id())
        return;
    client_.cancel(call.move.asked);
    slots_.release(call.move.to.endpoint, policy::work_kind::online);
    call.move = run_move{};
    call.move.tried = true;
}

} // namespace cassia::gateway
