#include "cassia/net/raw_server.h"

#include "cassia/base/log.h"
#include "cassia/net/task.h"
#include "cassia/net/tcp_connections.h"

#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace cassia::net {

namespace {
namespace http = boost::beast::http;
using request_parser = http::request_parser<http::string_body>;

constexpr milliseconds sweep_interval(250);
constexpr int status_bad_request = 400;
constexpr int status_too_large = 413;
constexpr int status_header_too_large = 431;
constexpr int status_request_timeout = 408;

struct caller {
    std::string unread; ///< bytes behind the request being served
    std::unique_ptr<request_parser> parser;
    exchange_id exchange; ///< none while a request is awaited
    bool keep_alive = true;
    bool began = false; ///< the answer's head is out
    body_framing framing = body_framing::none;
    instant since{}; ///< when the connection fell idle or its request began to come in
    bool request_began = false;
};
} // namespace

struct raw_server::state {
    task* owner = nullptr;
    raw_server_limits limits;
    raw_server_hooks hooks;
    std::unique_ptr<tcp_connections> sockets;
    std::map<connection_id, caller> callers;
    std::map<exchange_id, connection_id> exchanges;
    std::uint64_t last_exchange = 0;
    bool winding_down = false;
    milliseconds idle_grace{0};
    timer_id sweeper;

    void on_bytes(connection_id id, std::string_view bytes);
    void on_closed(connection_id id, bool clean);
    void parse(connection_id id);
    void hand_over(connection_id id, caller& one);
    void refuse(connection_id id, int status, const std::string& cause);
    void finish(connection_id id);
    void sweep();
    caller* find(exchange_id id, connection_id& connection);
};

static raw_request take_request(request_parser& parser) {
    request_parser::value_type& message = parser.get();
    raw_request request;
    request.method = std::string(message.method_string());
    request.target = std::string(message.target());
    for (const request_parser::value_type::value_type& field : message)
        request.fields.add({field.name_string().data(), field.name_string().size()},
                           {field.value().data(), field.value().size()});
    request.body = std::move(message.body());
    return request;
}

void raw_server::state::on_bytes(connection_id id, std::string_view bytes) {
    auto found = callers.find(id);
    if (found == callers.end())
        return;
    found->second.unread.append(bytes);
    if (found->second.exchange == exchange_id()) {
        parse(id);
        return;
    }
    // More than a whole further request behind the one being served.
    if (found->second.unread.size() > limits.header_bytes + limits.body_bytes) {
        sockets->reset(id);
        on_closed(id, false);
    }
}

void raw_server::state::parse(connection_id id) {
    caller& one = callers.at(id);
    if (one.unread.empty())
        return;
    if (!one.parser) {
        one.parser = std::make_unique<request_parser>();
        one.parser->eager(true);
        one.parser->header_limit(static_cast<std::uint32_t>(limits.header_bytes));
        one.parser->body_limit(limits.body_bytes);
    }
    if (!one.request_began) {
        one.request_began = true;
        one.since = monotonic_now();
    }
    boost::system::error_code problem;
    while (!one.unread.empty() && !one.parser->is_done()) {
        const std::size_t used =
            one.parser->put(boost::asio::buffer(one.unread.data(), one.unread.size()), problem);
        one.unread.erase(0, used);
        if (problem == http::error::need_more)
            return;
        if (problem == http::error::header_limit)
            return refuse(id, status_header_too_large, problem.message());
        if (problem == http::error::body_limit)
            return refuse(id, status_too_large, problem.message());
        if (problem)
            return refuse(id, status_bad_request, problem.message());
    }
    if (one.parser->is_done())
        hand_over(id, one);
}

void raw_server::state::hand_over(connection_id id, caller& one) {
    one.exchange = exchange_id(++last_exchange);
    one.keep_alive = one.parser->keep_alive();
    one.began = false;
    one.request_began = false;
    exchanges[one.exchange] = id;
    raw_request request = take_request(*one.parser);
    one.parser.reset();
    hooks.on_request(one.exchange, std::move(request));
}

void raw_server::state::refuse(connection_id id, int status, const std::string& cause) {
    raw_head head;
    head.status = status;
    head.framing = body_framing::length;
    sockets->write(id, to_bytes(head, true));
    sockets->close(id);
    callers.erase(id);
    log_info("request_unreadable").with("status", status).with("cause", cause);
}

void raw_server::state::on_closed(connection_id id, bool) {
    auto found = callers.find(id);
    if (found == callers.end())
        return;
    const exchange_id exchange = found->second.exchange;
    callers.erase(found);
    if (exchange == exchange_id())
        return;
    exchanges.erase(exchange);
    hooks.on_gone(exchange);
}

// The answer is out: the next request of the connection may already have come in.
void raw_server::state::finish(connection_id id) {
    caller& one = callers.at(id);
    exchanges.erase(one.exchange);
    one.exchange = exchange_id();
    one.since = monotonic_now();
    const bool last = !one.keep_alive || winding_down || one.framing == body_framing::until_close;
    if (last) {
        callers.erase(id);
        sockets->close(id);
        return;
    }
    if (!one.unread.empty())
        owner->post([this, id] {
            auto found = callers.find(id);
            if (found != callers.end() && found->second.exchange == exchange_id())
                parse(id);
        });
}

void raw_server::state::sweep() {
    const instant now = monotonic_now();
    std::vector<connection_id> idle;
    std::vector<connection_id> slow;
    const milliseconds patience = winding_down ? idle_grace : limits.idle_timeout;
    for (const std::pair<const connection_id, caller>& one : callers) {
        if (one.second.exchange != exchange_id())
            continue;
        const microseconds waited = now - one.second.since;
        const milliseconds limit = one.second.request_began ? limits.header_timeout : patience;
        // What has arrived is read first: this process may have been suspended meanwhile.
        if (waited <= limit || sockets->has_unread(one.first))
            continue;
        (one.second.request_began ? slow : idle).push_back(one.first);
    }
    for (const connection_id id : idle) {
        callers.erase(id);
        sockets->close(id);
    }
    for (const connection_id id : slow)
        refuse(id, status_request_timeout, "header didn't come in time");
}

caller* raw_server::state::find(exchange_id id, connection_id& connection) {
    auto found = exchanges.find(id);
    if (found == exchanges.end())
        return nullptr;
    connection = found->second;
    return &callers.at(connection);
}

raw_server::raw_server(task& owner, raw_server_limits limits, raw_server_hooks hooks)
    : state_(std::make_unique<state>()) {
    state* self = state_.get();
    self->owner = &owner;
    self->limits = limits;
    self->hooks = std::move(hooks);
    tcp_hooks socket_hooks;
    socket_hooks.on_accepted = [self](connection_id id) {
        self->callers[id].since = monotonic_now();
    };
    socket_hooks.on_bytes = [self](connection_id id, std::string_view bytes) {
        self->on_bytes(id, bytes);
    };
    socket_hooks.on_closed = [self](connection_id id, bool clean) { self->on_closed(id, clean); };
    self->sockets = std::make_unique<tcp_connections>(owner, tcp_settings(), socket_hooks);
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
    bytes.append(body);
    state_->sockets->write(connection, bytes);
    state_->finish(connection);
}

void raw_server::abort(exchange_id id) {
    connection_id connection;
    if (state_->find(id, connection) == nullptr)
        return;
    state_->exchanges.erase(id);
    state_->callers.erase(connection);
    state_->sockets->reset(connection);
}

void raw_server::wind_down(milliseconds idle_grace) {
    state_->winding_down = true;
    state_->idle_grace = idle_grace;
}

void raw_server::stop_listening() {
    state_->sockets->stop_listening();
}

std::size_t raw_server::open_exchanges() const {
    return state_->exchanges.size();
}

std::size_t raw_server::open_connections() const {
    return state_->callers.size();
}

} // namespace cassia::net
