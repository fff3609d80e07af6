#include "cassia/net/raw_server.h"

#include "raw_server_state.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace cassia::net {

namespace {
// A larger body is written behind its head instead of being joined with it.
constexpr std::size_t max_joined_body = 16UL * 1024;
constexpr milliseconds sweep_interval(250);
} // namespace

// The answer is out: the next request of the connection may already have come in.
void raw_server::state::finish(connection_id id) {
    caller& one = callers.at(id);
    exchanges.erase(one.exchange);
    one.exchange = exchange_id();
    one.since = monotonic_now();
    release_body(id, one);
    const bool last = !one.keep_alive || winding_down || one.framing == body_framing::until_close;
    if (last) {
        callers.erase(id);
        sockets->close(id);
        return;
    }
    sockets->resume_reading(id);
    if (!one.unread.empty())
        owner->post([this, id] {
            auto found = callers.find(id);
            if (found != callers.end() && found->second.exchange == exchange_id())
                parse(id);
        });
}

caller* raw_server::state::find(exchange_id id, connection_id& connection) {
    auto found = exchanges.find(id);
    if (found == exchanges.end())
        return nullptr;
    connection = found->second;
    return &callers.at(connection);
}

raw_server::raw_server(task& owner, raw_server_limits limits, raw_server_hooks hooks,
                       std::optional<raw_server_flow> flow)
    : state_(std::make_unique<state>()) {
    state* self = state_.get();
    self->owner = &owner;
    self->limits = limits;
    self->hooks = std::move(hooks);
    self->flow = std::move(flow);
    tcp_hooks socket_hooks;
    socket_hooks.on_accepted = [self](connection_id id) {
        self->callers[id].since = monotonic_now();
    };
    socket_hooks.on_bytes = [self](connection_id id, std::string_view bytes) {
        self->on_bytes(id, bytes);
    };
    socket_hooks.on_closed = [self](connection_id id, bool clean) { self->on_closed(id, clean); };
    tcp_settings socket_settings;
    socket_settings.waits_for_readers = self->flow.has_value();
    socket_hooks.on_drained = [self](connection_id id) { self->on_drained(id); };
    self->sockets = std::make_unique<tcp_connections>(owner, socket_settings, socket_hooks);
    self->sweeper = owner.every(sweep_interval, [self] { self->sweep(); });
}

raw_server::~raw_server() {
    state_->owner->cancel(state_->sweeper);
}

result<void> raw_server::listen(const http_address& address) {
    return state_->sockets->listen(address);
}

void raw_server::set_limits(const raw_server_limits& limits) {
    state_->limits = limits;
}

void raw_server::begin(exchange_id id, const raw_head& head) {
    connection_id connection;
    caller* one = state_->find(id, connection);
    if (one == nullptr)
        return;
    one->began = true;
    one->framing = head.framing;
    const bool last = !one->keep_alive || state_->winding_down;
    state_->sockets->write(connection, to_bytes(head, last));
}

void raw_server::piece(exchange_id id, std::string_view bytes) {
    connection_id connection;
    caller* one = state_->find(id, connection);
    if (one == nullptr || bytes.empty())
        return;
    if (one->framing == body_framing::chunked)
        state_->sockets->write(connection, to_chunk(bytes));
    else
        state_->sockets->write(connection, bytes);
}

void raw_server::end(exchange_id id) {
    connection_id connection;
    caller* one = state_->find(id, connection);
    if (one == nullptr)
        return;
    if (one->framing == body_framing::chunked)
        state_->sockets->write(connection, last_chunk);
    state_->finish(connection);
}

void raw_server::respond(exchange_id id, raw_head head, std::string_view body) {
    connection_id connection;
    caller* one = state_->find(id, connection);
    if (one == nullptr || one->began)
        return;
    head.framing = body_framing::length;
    head.length = body.size();
    one->began = true;
    one->framing = head.framing;
    const bool last = !one->keep_alive || state_->winding_down;
    std::string bytes = to_bytes(head, last);
    const bool joined = body.size() <= max_joined_body;
    if (joined)
        bytes.append(body);
    state_->sockets->write(connection, bytes);
    if (!joined)
        state_->sockets->write(connection, body);
    state_->finish(connection);
}

void raw_server::abort(exchange_id id) {
    connection_id connection;
    if (state_->find(id, connection) == nullptr)
        return;
    state_->exchanges.erase(id);
    state_->callers.erase(connection);
    state_->sockets->reset(connection);
    if (state_->flow)
        state_->flow->on_released(connection);
}

void raw_server::break_off(exchange_id id) {
    connection_id connection;
    if (state_->find(id, connection) == nullptr)
        return;
    state_->exchanges.erase(id);
    state_->callers.erase(connection);
    state_->sockets->close(connection);
    if (state_->flow)
        state_->flow->on_released(connection);
}

connection_id raw_server::connection_of(exchange_id id) const {
    auto found = state_->exchanges.find(id);
    return found == state_->exchanges.end() ? connection_id() : found->second;
}

bool raw_server::contains(connection_id id) const {
    return state_->sockets->contains(id);
}

caller_bytes raw_server::bytes_of(connection_id id) const {
    auto found = state_->callers.find(id);
    caller_bytes bytes;
    bytes.body = found == state_->callers.end() ? 0 : found->second.body;
    bytes.unsent = state_->sockets->unsent(id);
    bytes.sent = state_->sockets->sent(id);
    return bytes;
}

void raw_server::drop(connection_id id) {
    state_->sockets->reset(id);
    state_->on_closed(id, false);
}

void raw_server::wind_down(milliseconds idle_grace) {
    state_->winding_down = true;
    state_->idle_grace = idle_grace;
}

void raw_server::stop_listening() {
    state_->sockets->stop_listening();
}

void raw_server::respond_to_all(const raw_head& head) {
    const std::map<exchange_id, connection_id> open = state_->exchanges;
    for (const std::pair<const exchange_id, connection_id>& one : open)
        respond(one.first, head, "");
}

void raw_server::refuse_incomplete(const http_fields& fields) {
    std::vector<connection_id> incomplete;
    for (const std::pair<const connection_id, caller>& one : state_->callers) {
        if (one.second.request_began && !one.second.discards_until)
            incomplete.push_back(one.first);
    }
    for (const connection_id id : incomplete) {
        auto found = state_->callers.find(id);
        if (found != state_->callers.end())
            state_->refuse_body(id, found->second, fields);
    }
}

std::size_t raw_server::incomplete_requests() const {
    return static_cast<std::size_t>(
        std::count_if(state_->callers.begin(), state_->callers.end(), [](const auto& one) {
            const caller& known = one.second;
            return known.request_began && !known.discards_until;
        }));
}

std::size_t raw_server::open_exchanges() const {
    return state_->exchanges.size();
}

std::size_t raw_server::open_connections() const {
    return state_->callers.size();
}

std::size_t raw_server::unsent() const {
    return state_->sockets->unsent();
}

} // namespace cassia::net
