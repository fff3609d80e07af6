#include "cassia/net/tcp_connections.h"

#include "socket_options.h"
#include "tcp_state.h"

#include "cassia/base/log.h"
#include "cassia/net/http_server.h"

#include <glib-unix.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>
#include <utility>

namespace cassia::net {

namespace {
constexpr int listen_backlog = 512;
constexpr std::uint64_t first_listener = 1ULL << 63U; ///< above all ids of connections
constexpr milliseconds silence_check_interval(250);
} // namespace

static int dispatch_epoll(int, GIOCondition, void* data) {
    static_cast<tcp_connections::state*>(data)->dispatch();
    return G_SOURCE_CONTINUE;
}

static GSource* make_epoll_source(tcp_connections::state& state) {
    GSource* source = g_unix_fd_source_new(state.epoll, G_IO_IN);
    g_source_set_callback(source, G_SOURCE_FUNC(dispatch_epoll), &state, nullptr);
    g_source_attach(source, state.owner->context());
    return source;
}

tcp_connections::tcp_connections(task& owner, tcp_settings settings, tcp_hooks hooks)
    : state_(std::make_unique<state>()) {
    state_->owner = &owner;
    state_->settings = settings;
    state_->hooks = std::move(hooks);
    state_->epoll = epoll_create1(EPOLL_CLOEXEC);
    state_->epoll_source = make_epoll_source(*state_);
    state_->silence_timer =
        owner.every(silence_check_interval, [self = state_.get()] { self->check_silence(); });
}

tcp_connections::~tcp_connections() {
    stop_listening();
    state_->owner->cancel(state_->silence_timer);
    while (!state_->open.empty())
        state_->drop(state_->open.begin()->first, state::farewell::silent);
    g_source_destroy(state_->epoll_source);
    g_source_unref(state_->epoll_source);
    ::close(state_->epoll);
}

result<void> tcp_connections::listen(const http_address& address) {
    const result<ip_and_port> parsed = parse_address(address.str());
    sockaddr_in where{};
    if (!parsed || !to_socket_address(parsed.value().ip, parsed.value().port, where))
        return failure(error{errc::bad_address, address.str()});
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    set_option(descriptor, SOL_SOCKET, SO_REUSEADDR, 1);
    const bool listening =
        descriptor >= 0 &&
        bind(descriptor, reinterpret_cast<const sockaddr*>(&where), sizeof where) == 0 &&
        ::listen(descriptor, listen_backlog) == 0;
    if (!listening) {
        const std::string cause = strerror(errno);
        ::close(descriptor);
        return failure(error{errc::cannot_listen, address.str() + ": " + cause});
    }
    const connection_id id(first_listener + state_->listeners.size());
    state_->listeners[id] = descriptor;
    state_->watch(EPOLL_CTL_ADD, id, descriptor, EPOLLIN);
    return success();
}

void tcp_connections::stop_listening() {
    for (const std::pair<const connection_id, int>& listener : state_->listeners)
        ::close(listener.second);
    state_->listeners.clear();
}

connection_id tcp_connections::connect(const http_address& address, const std::string& own_ip) {
    const result<ip_and_port> parsed = parse_address(address.str());
    sockaddr_in where{};
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    prepare_socket(descriptor, state_->settings);
    sockaddr_in own{};
    if (!own_ip.empty() && to_socket_address(own_ip, 0, own) &&
        bind(descriptor, reinterpret_cast<const sockaddr*>(&own), sizeof own) != 0)
        log_warning("bind_failed").with("ip", own_ip).with("cause", strerror(errno));
    const bool known = parsed && to_socket_address(parsed.value().ip, parsed.value().port, where);
    const int started =
        known ? ::connect(descriptor, reinterpret_cast<const sockaddr*>(&where), sizeof where) : -1;
    const int problem = known && started != 0 ? errno : 0;
    const bool failed = !known || (started != 0 && problem != EINPROGRESS);
    const connection_id id = state_->add(descriptor, true);
    const state::farewell how =
        problem == ECONNREFUSED ? state::farewell::refused : state::farewell::broken;
    if (failed)
        state_->owner->post([this, id, how] { state_->drop(id, how); });
    return id;
}

void tcp_connections::write(connection_id id, std::string_view bytes) {
    auto found = state_->open.find(id);
    if (found == state_->open.end() || found->second.closing)
        return;
    connection& one = found->second;
    const bool idle = one.out.empty();
    if (idle)
        one.drained_at = monotonic_now();
    one.out.append(bytes);
    if (idle)
        state_->flush(id);
}

void tcp_connections::write_shared(connection_id id, std::shared_ptr<const std::string> bytes) {
    auto found = state_->open.find(id);
    if (found == state_->open.end() || found->second.closing)
        return;
    connection& one = found->second;
    const bool idle = one.out.empty();
    if (idle)
        one.drained_at = monotonic_now();
    one.out.append_shared(std::move(bytes));
    if (idle)
        state_->flush(id);
}

void tcp_connections::pause_reading(connection_id id) {
    auto found = state_->open.find(id);
    if (found == state_->open.end())
        return;
    found->second.paused = true;
    if (!found->second.connecting)
        state_->update_watched(id, found->second);
}

void tcp_connections::resume_reading(connection_id id) {
    auto found = state_->open.find(id);
    if (found == state_->open.end())
        return;
    found->second.paused = false;
    if (!found->second.connecting)
        state_->update_watched(id, found->second);
}

void tcp_connections::finish_writing(connection_id id) {
    auto found = state_->open.find(id);
    if (found == state_->open.end())
        return;
    found->second.finishing = true;
    if (found->second.out.empty())
        state_->flush(id);
}

void tcp_connections::close(connection_id id) {
    auto found = state_->open.find(id);
    if (found == state_->open.end())
        return;
    found->second.closing = true;
    if (found->second.out.empty() || found->second.connecting)
        state_->drop(id, state::farewell::silent);
}

void tcp_connections::reset(connection_id id) {
    auto found = state_->open.find(id);
    if (found == state_->open.end())
        return;
    abort_at_close(found->second.descriptor);
    state_->drop(id, state::farewell::silent);
}

std::size_t tcp_connections::unsent(connection_id id) const {
    auto found = state_->open.find(id);
    return found == state_->open.end() ? 0 : found->second.out.size();
}

std::uint64_t tcp_connections::sent(connection_id id) const {
    auto found = state_->open.find(id);
    return found == state_->open.end() ? 0 : found->second.sent;
}

std::size_t tcp_connections::unsent() const {
    std::size_t bytes = 0;
    for (const std::pair<const connection_id, connection>& one : state_->open)
        bytes += one.second.out.size();
    return bytes;
}

bool tcp_connections::contains(connection_id id) const {
    return state_->open.count(id) > 0;
}

bool tcp_connections::has_unread(connection_id id) const {
    auto found = state_->open.find(id);
    if (found == state_->open.end())
        return false;
    char byte = 0;
    const ssize_t got = recv(found->second.descriptor, &byte, sizeof byte, MSG_PEEK | MSG_DONTWAIT);
    if (got < 0)
        state::note_error(found->second, errno);
    return got > 0;
}

std::size_t tcp_connections::open() const {
    return state_->open.size();
}

} // namespace cassia::net
