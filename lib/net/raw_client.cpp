#include "cassia/net/raw_client.h"

#include "cassia/base/digest.h"
#include "cassia/base/log.h"
#include "cassia/net/task.h"
#include "cassia/net/tcp_connections.h"

#include "idle_connections.h"
#include "response_reader.h"

#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace cassia::net {

namespace {
constexpr milliseconds sweep_interval(100);
// Larger buffers are given back as soon as they are empty.
constexpr std::size_t max_kept_buffer = 4UL * 1024;
// A larger body is sent from where it is, as a packet of its own.
constexpr std::size_t max_copied_body = 16UL * 1024;
constexpr std::size_t max_skipped_bytes = 1024UL * 1024;
// Servers send one or two 1xx responses before a response, proxies on the way may add theirs.
constexpr std::uint32_t max_informational = 16;

struct call_state {
    raw_call call;
    raw_call_hooks hooks;
    connection_id connection;
    bool kept = false;
    bool sent = false;
    bool head_given = false;
    bool paused = false;
    bool was_paused = false;
    response_owner owner = response_owner::this_request; ///< of the response being read
    bool skipped = false;                                ///< a late response to an earlier request
    std::size_t skipped_bytes = 0;
    std::uint32_t informational = 0;     ///< 1xx responses so far
    std::size_t informational_bytes = 0; ///< of these
    std::string unread;
    milliseconds idle_limit{0}; ///< how long the connection may be kept after this call
    instant connect_by{};
    std::unique_ptr<response_parser> parser;
    std::vector<std::uint64_t> requests; ///< hashes of the ids that the connection carried
};
} // namespace

struct raw_client::state {
    task* owner = nullptr;
    std::string own_ip;
    std::unique_ptr<tcp_connections> sockets;
    std::map<call_id, call_state> calls;
    std::map<connection_id, call_id> users;
    idle_connections idle;
    std::uint64_t last_call = 0;
    raw_client_counts counts;
    std::function<void(const http_address&)> on_idle_closed = [](const http_address&) {};
    timer_id sweeper;

    /// Gives the call a kept connection, if there is one that it may use.
    void take_idle(call_state& one);
    void send_request(call_state& one);
    void on_connected(connection_id id);
    void on_bytes(connection_id id, std::string_view bytes);
    void on_closed(connection_id id, bool clean);
    void receive(call_id id, std::string_view bytes);
    bool skip_response(call_id id);
    /// Goes on to the response behind a 1xx response. \returns false if the call is gone.
    bool skip_informational(call_id id);
    /// Finds out whose response begins, and gives its head if it is the call's own.
    bool take_response(call_id id);
    bool give_body(call_id id);
    void finish(call_id id, bool reusable);
    void fail(call_id id, errc code, const std::string& cause, bool foreign = false);
    void sweep();
};

void raw_client::state::take_idle(call_state& one) {
    std::optional<std::uint64_t> request;
    if (one.call.request_id)
        request = stable_hash(*one.call.request_id);
    if (!one.call.fresh_connection) {
        if (std::optional<idle_connection> kept =
                idle.take(one.call.to, request, monotonic_now())) {
            one.kept = true;
            one.connection = kept->id;
            one.requests = std::move(kept->requests);
        }
    }
    if (request)
        one.requests.push_back(*request);
}

void raw_client::state::send_request(call_state& one) {
    one.sent = true;
    raw_request& request = one.call.request;
    if (request.whole_body().size() <= max_copied_body) {
        sockets->write(one.connection, to_bytes(request));
        return;
    }
    request.share_body();
    sockets->write(one.connection, head_bytes(request));
    sockets->write_shared(one.connection, std::exchange(request.shared_body, nullptr));
}

void raw_client::state::on_connected(connection_id id) {
    auto user = users.find(id);
    if (user == users.end())
        return;
    send_request(calls.at(user->second));
}

void raw_client::state::on_bytes(connection_id id, std::string_view bytes) {
    auto user = users.find(id);
    if (user != users.end()) {
        receive(user->second, bytes);
        return;
    }
    // Bytes that nobody asked for: a second answer, late. The connection can't be trusted.
    log_info("idle_connection_dropped").with("reason", "unexpected_bytes");
    idle.remove(id);
    sockets->reset(id);
}

void raw_client::state::on_closed(connection_id id, bool clean) {
    auto user = users.find(id);
    if (user == users.end()) {
        const http_address closed = idle.remove(id);
        if (!closed.empty())
            on_idle_closed(closed);
        return;
    }
    const call_id call = user->second;
    call_state& one = calls.at(call);
    // A body without a length ends with its connection. Only an orderly close ends it: one that was
    // reset on the way isn't complete and must not look so.
    const bool ends_body = clean && one.head_given && one.parser->need_eof();
    if (ends_body) {
        finish(call, false);
        return;
    }
    fail(call, one.sent ? errc::connection_lost : errc::cannot_connect, "connection closed");
}

void raw_client::state::receive(call_id id, std::string_view bytes) {
    calls.at(id).unread.append(bytes);
    for (;;) {
        auto found = calls.find(id);
        if (found == calls.end())
            return;
        call_state& one = found->second;
        if (one.parser->is_done()) {
            // Bytes behind a whole answer belong to no request: the connection ends here.
            finish(id, one.unread.empty());
            return;
        }
        if (one.unread.empty())
            return;
        boost::system::error_code problem;
        const std::size_t used =
            one.parser->put(boost::asio::buffer(one.unread.data(), one.unread.size()), problem);
        one.unread.erase(0, used);
        if (one.unread.empty() && one.unread.capacity() > max_kept_buffer)
            one.unread = std::string();
        const bool incomplete = problem == http::error::need_more;
        if (problem && !incomplete) {
            fail(id, errc::connection_lost, "unreadable answer: " + problem.message());
            return;
        }
        // The parser leaves a chunk's header unread until it is whole.
        if (incomplete && one.unread.size() > max_header_bytes) {
            fail(id, errc::connection_lost, "unreadable answer: chunk header too long");
            return;
        }
        if (!one.parser->is_header_done())
            return;
        if (!has_valid_status(*one.parser)) {
            fail(id, errc::connection_lost, "unreadable answer: invalid status");
            return;
        }
        if (is_informational(*one.parser)) {
            one.informational_bytes += used;
            if (!skip_informational(id))
                return;
            continue;
        }
        const bool is_new = !one.head_given && one.owner == response_owner::this_request;
        if (is_new && !take_response(id))
            return;
        if (one.head_given ? !give_body(id) : !skip_response(id))
            return;
        if (incomplete || used == 0)
            return;
    }
}

// An endpoint may send them without an end, in place of a response.
bool raw_client::state::skip_informational(call_id id) {
    call_state& one = calls.at(id);
    if (++one.informational > max_informational || one.informational_bytes > max_header_bytes) {
        fail(id, errc::connection_lost, "unreadable answer: too many 1xx responses");
        return false;
    }
    one.parser = make_parser(one.call.request);
    return true;
}

// \returns false if the call is gone.
bool raw_client::state::skip_response(call_id id) {
    call_state& one = calls.at(id);
    const bool is_late = one.kept && one.owner == response_owner::another_request;
    const bool may_skip = is_late && !one.skipped && !one.parser->need_eof();
    one.skipped_bytes += std::exchange(one.parser->get().body(), std::string()).size();
    if (!may_skip || one.skipped_bytes > max_skipped_bytes) {
        fail(id, errc::connection_lost, "answer_of_another_request", true);
        return false;
    }
    if (!one.parser->is_done())
        return true;
    one.owner = response_owner::this_request;
    one.skipped = true;
    one.parser = make_parser(one.call.request);
    ++counts.responses_skipped;
    log_info("late_response_skipped").with("address", one.call.to.str());
    return true;
}

// \returns false if the call is gone.
bool raw_client::state::take_response(call_id id) {
    call_state& one = calls.at(id);
    raw_head head = take_head(*one.parser);
    if (holds_another_head(*one.parser))
        one.owner = response_owner::unknown;
    else if (one.call.find_owner)
        one.owner = one.call.find_owner(head);
    if (one.owner != response_owner::this_request)
        return true;
    one.head_given = true;
    one.idle_limit = idle_limit_of(head.fields);
    head.fields.erase_hop_by_hop();
    const std::function<void(const raw_head&)> on_head = one.hooks.on_head;
    on_head(head);
    return calls.count(id) > 0;
}

bool raw_client::state::give_body(call_id id) {
    call_state& one = calls.at(id);
    if (one.parser->get().body().empty())
        return true;
    const std::string piece = std::exchange(one.parser->get().body(), std::string());
    const std::function<void(std::string_view)> on_piece = one.hooks.on_piece;
    on_piece(piece);
    return calls.count(id) > 0;
}

void raw_client::state::finish(call_id id, bool reusable) {
    auto found = calls.find(id);
    call_state one = std::move(found->second);
    calls.erase(found);
    users.erase(one.connection);
    // An endpoint that has repeated a response may do so again.
    const bool may_keep = reusable && !one.skipped && one.parser->keep_alive() &&
                          !one.parser->need_eof() && one.idle_limit > milliseconds(0);
    const instant until = monotonic_now() + one.idle_limit;
    // The next request would wait behind the rest of a body that the endpoint may never read.
    const bool is_unread = sockets->unsent(one.connection) > 0;
    if (is_unread)
        sockets->reset(one.connection);
    else if (may_keep && idle.add(one.call.to, {one.connection, until, std::move(one.requests)}))
        sockets->resume_reading(one.connection);
    else
        sockets->close(one.connection);
    one.hooks.on_end();
}

void raw_client::state::fail(call_id id, errc code, const std::string& cause, bool foreign) {
    auto found = calls.find(id);
    call_state one = std::move(found->second);
    calls.erase(found);
    users.erase(one.connection);
    sockets->reset(one.connection);
    one.hooks.on_failure(
        {error{code, cause}, one.sent, one.kept, one.head_given, one.was_paused, foreign});
}

void raw_client::state::sweep() {
    const instant now = monotonic_now();
    std::vector<call_id> late;
    for (const std::pair<const call_id, call_state>& one : calls) {
        if (!one.second.sent && now > one.second.connect_by)
            late.push_back(one.first);
    }
    for (const call_id id : late)
        fail(id, errc::cannot_connect, "no connection in time");
    for (const connection_id id : idle.expired(now)) {
        idle.remove(id);
        sockets->close(id);
    }
}

raw_client::raw_client(task& owner, std::string own_ip) : state_(std::make_unique<state>()) {
    state* self = state_.get();
    self->owner = &owner;
    self->own_ip = std::move(own_ip);
    tcp_hooks hooks;
    hooks.on_accepted = [](connection_id) {};
    hooks.on_connected = [self](connection_id id) { self->on_connected(id); };
    hooks.on_bytes = [self](connection_id id, std::string_view bytes) {
        self->on_bytes(id, bytes);
    };
    hooks.on_closed = [self](connection_id id, bool clean) { self->on_closed(id, clean); };
    self->sockets = std::make_unique<tcp_connections>(owner, tcp_settings(), hooks);
    self->sweeper = owner.every(sweep_interval, [self] { self->sweep(); });
}

raw_client::~raw_client() {
    state_->owner->cancel(state_->sweeper);
}

call_id raw_client::start(raw_call call, raw_call_hooks hooks) {
    const call_id id(++state_->last_call);
    call_state& one = state_->calls[id];
    one.parser = make_parser(call.request);
    one.call = std::move(call);
    one.hooks = std::move(hooks);
    one.connect_by = monotonic_now() + one.call.connect_timeout;
    state_->take_idle(one);
    if (!one.kept)
        one.connection = state_->sockets->connect(one.call.to, state_->own_ip);
    state_->users[one.connection] = id;
    ++(one.kept ? state_->counts.connections_reused : state_->counts.connections_made);
    if (one.kept)
        state_->send_request(one);
    return id;
}

void raw_client::cancel(call_id id) {
    auto found = state_->calls.find(id);
    if (found == state_->calls.end())
        return;
    const connection_id connection = found->second.connection;
    state_->users.erase(connection);
    state_->calls.erase(found);
    state_->sockets->reset(connection);
}

void raw_client::pause(call_id id) {
    auto found = state_->calls.find(id);
    if (found == state_->calls.end() || std::exchange(found->second.paused, true))
        return;
    found->second.was_paused = true;
    state_->sockets->pause_reading(found->second.connection);
}

void raw_client::resume(call_id id) {
    auto found = state_->calls.find(id);
    if (found == state_->calls.end() || !std::exchange(found->second.paused, false))
        return;
    state_->sockets->resume_reading(found->second.connection);
}

void raw_client::on_idle_closed(std::function<void(const http_address&)> hook) {
    state_->on_idle_closed = std::move(hook);
}

bool raw_client::was_sent(call_id id) const {
    auto found = state_->calls.find(id);
    return found != state_->calls.end() && found->second.sent;
}

bool raw_client::is_unsent(call_id id) const {
    auto found = state_->calls.find(id);
    return found != state_->calls.end() && !found->second.sent;
}

void raw_client::forget(const http_address& address) {
    for (const connection_id id : state_->idle.remove_all(address))
        state_->sockets->close(id);
}

std::size_t raw_client::open_calls() const {
    return state_->calls.size();
}

const raw_client_counts& raw_client::counts() const {
    return state_->counts;
}

} // namespace cassia::net
