#include "cassia/net/tcp_connections.h"

#include "cassia/base/log.h"
#include "cassia/net/http_server.h"
#include "cassia/net/task.h"

#include <arpa/inet.h>
#include <glib-unix.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstring>
#include <map>
#include <utility>
#include <vector>

namespace cassia::net {

namespace {
constexpr int listen_backlog = 512;
constexpr std::size_t read_bytes = 64UL * 1024;
constexpr int most_accepted_at_once = 64;
constexpr int most_events_at_once = 256;
constexpr std::uint64_t first_listener = 1ULL << 63U; ///< above all ids of connections
constexpr int keep_alive_probes = 2;
constexpr int ms_per_s = 1000;

struct connection {
    int descriptor = -1;
    bool connecting = false;
    bool closing = false;      ///< closes once `out` is sent
    std::uint32_t watched = 0; ///< epoll events
    std::string out;
};
} // namespace

struct tcp_connections::state {
    task* owner = nullptr;
    tcp_settings settings;
    tcp_hooks hooks;
    /// The event loop's own work grows with the sources and descriptors that it polls, and most
    /// sockets are idle. So it polls one epoll descriptor only.
    int epoll = -1;
    GSource* epoll_source = nullptr;
    std::map<connection_id, int> listeners; ///< descriptors, one for each address
    std::map<connection_id, connection> open;
    std::uint64_t last_id = 0;

    void watch(int operation, connection_id id, int descriptor, std::uint32_t events) const;
    connection_id add(int descriptor, bool connecting);
    /// How the owner of a connection learns of its end.
    enum class farewell { silent, clean, broken, refused };
    void drop(connection_id id, farewell how);
    void dispatch();
    void accept_from(int listening);
    void ready(connection_id id, std::uint32_t events);
    void finish_connect(connection_id id);
    void read(connection_id id);
    void flush(connection_id id);
    void watch_writable(connection_id id, connection& one, bool writable) const;
};

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

void tcp_connections::state::watch(int operation, connection_id id, int descriptor,
                                   std::uint32_t events) const {
    epoll_event event{};
    event.events = events;
    event.data.u64 = id.value();
    if (epoll_ctl(epoll, operation, descriptor, &event) != 0)
        log_warning("epoll_failed").with("cause", strerror(errno));
}

static void set_option(int descriptor, int level, int option, int value) {
    if (setsockopt(descriptor, level, option, &value, sizeof value) != 0)
        log_debug("socket_option_refused").with("option", option).with("cause", strerror(errno));
}

// A peer that lost power or sits behind a partition says nothing: writes to it are buffered and
// reads never end. These limits turn that silence into an error.
static void prepare_socket(int descriptor, milliseconds silence_limit) {
    const int limit_ms = static_cast<int>(silence_limit.count());
    set_option(descriptor, IPPROTO_TCP, TCP_NODELAY, 1);
    set_option(descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT, limit_ms);
    set_option(descriptor, SOL_SOCKET, SO_KEEPALIVE, 1);
    set_option(descriptor, IPPROTO_TCP, TCP_KEEPIDLE, 1);
    set_option(descriptor, IPPROTO_TCP, TCP_KEEPINTVL, std::max(1, limit_ms / ms_per_s / 2));
    set_option(descriptor, IPPROTO_TCP, TCP_KEEPCNT, keep_alive_probes);
}

static bool to_socket_address(const std::string& ip, std::uint16_t port, sockaddr_in& out) {
    std::memset(&out, 0, sizeof out);
    out.sin_family = AF_INET;
    out.sin_port = htons(port);
    return inet_pton(AF_INET, ip.c_str(), &out.sin_addr) == 1;
}

connection_id tcp_connections::state::add(int descriptor, bool connecting) {
    const connection_id id(++last_id);
    connection& one = open[id];
    one.connecting = connecting;
    one.descriptor = descriptor;
    one.watched = connecting ? EPOLLOUT : EPOLLIN;
    watch(EPOLL_CTL_ADD, id, descriptor, one.watched);
    return id;
}

void tcp_connections::state::drop(connection_id id, farewell how) {
    auto found = open.find(id);
    if (found == open.end())
        return;
    ::close(found->second.descriptor);
    open.erase(found);
    if (how == farewell::refused && hooks.on_refused)
        hooks.on_refused(id);
    else if (how != farewell::silent)
        hooks.on_closed(id, how == farewell::clean);
}

// Handlers open and close connections and may stop the listening, so each event's id is looked up
// when its turn comes.
void tcp_connections::state::dispatch() {
    std::array<epoll_event, most_events_at_once> events{};
    const int count = epoll_wait(epoll, events.data(), most_events_at_once, 0);
    for (int i = 0; i < count; ++i) {
        const epoll_event& event = events.at(static_cast<std::size_t>(i));
        const connection_id id(event.data.u64);
        auto listener = listeners.find(id);
        if (listener != listeners.end())
            accept_from(listener->second);
        else
            ready(id, event.events);
    }
}

void tcp_connections::state::accept_from(int listening) {
    for (int i = 0; i < most_accepted_at_once; ++i) {
        const int descriptor = accept4(listening, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (descriptor < 0) {
            const bool drained = errno == EAGAIN || errno == EINTR || errno == ECONNABORTED;
            if (!drained)
                log_warning("accept_failed").with("cause", strerror(errno));
            return;
        }
        prepare_socket(descriptor, settings.silence_limit);
        hooks.on_accepted(add(descriptor, false));
    }
}

void tcp_connections::state::ready(connection_id id, std::uint32_t events) {
    auto found = open.find(id);
    if (found == open.end())
        return;
    if (found->second.connecting) {
        finish_connect(id);
        return;
    }
    if ((events & EPOLLOUT) != 0)
        flush(id);
    if ((events & (EPOLLIN | EPOLLHUP | EPOLLERR)) != 0)
        read(id);
}

void tcp_connections::state::finish_connect(connection_id id) {
    connection& one = open.at(id);
    int problem = 0;
    socklen_t size = sizeof problem;
    getsockopt(one.descriptor, SOL_SOCKET, SO_ERROR, &problem, &size);
    if (problem != 0) {
        drop(id, problem == ECONNREFUSED ? farewell::refused : farewell::broken);
        return;
    }
    one.connecting = false;
    watch_writable(id, one, !one.out.empty());
    hooks.on_connected(id);
    if (open.count(id) > 0)
        flush(id);
}

void tcp_connections::state::read(connection_id id) {
    static thread_local std::array<char, read_bytes> buffer;
    auto found = open.find(id);
    if (found == open.end())
        return;
    const ssize_t got = recv(found->second.descriptor, buffer.data(), buffer.size(), 0);
    if (got > 0) {
        if (!found->second.closing)
            hooks.on_bytes(id, std::string_view(buffer.data(), static_cast<std::size_t>(got)));
        return;
    }
    if (got < 0 && (errno == EAGAIN || errno == EINTR))
        return;
    const farewell how = got == 0 ? farewell::clean : farewell::broken;
    drop(id, found->second.closing ? farewell::silent : how);
}

void tcp_connections::state::watch_writable(connection_id id, connection& one,
                                            bool writable) const {
    const std::uint32_t events = EPOLLIN | (writable ? std::uint32_t{EPOLLOUT} : 0U);
    if (std::exchange(one.watched, events) != events)
        watch(EPOLL_CTL_MOD, id, one.descriptor, events);
}

void tcp_connections::state::flush(connection_id id) {
    auto found = open.find(id);
    if (found == open.end() || found->second.connecting)
        return;
    connection& one = found->second;
    while (!one.out.empty()) {
        const ssize_t sent = send(one.descriptor, one.out.data(), one.out.size(), MSG_NOSIGNAL);
        if (sent < 0 && errno == EINTR)
            continue;
        if (sent < 0 && errno == EAGAIN) {
            watch_writable(id, one, true);
            return;
        }
        if (sent < 0) {
            // Told by the event loop: whoever writes doesn't expect its connection to go away
            // within the call.
            owner->post([this, id] {
                auto gone = open.find(id);
                if (gone != open.end())
                    drop(id, gone->second.closing ? farewell::silent : farewell::broken);
            });
            one.out.clear();
            return;
        }
        one.out.erase(0, static_cast<std::size_t>(sent));
    }
    if (one.closing)
        drop(id, farewell::silent);
    else
        watch_writable(id, one, false);
}

tcp_connections::tcp_connections(task& owner, tcp_settings settings, tcp_hooks hooks)
    : state_(std::make_unique<state>()) {
    state_->owner = &owner;
    state_->settings = settings;
    state_->hooks = std::move(hooks);
    state_->epoll = epoll_create1(EPOLL_CLOEXEC);
    state_->epoll_source = make_epoll_source(*state_);
}

tcp_connections::~tcp_connections() {
    stop_listening();
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
    prepare_socket(descriptor, state_->settings.silence_limit);
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
    const bool idle = found->second.out.empty();
    found->second.out.append(bytes);
    if (idle)
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
    const linger abort_at_close{1, 0};
    setsockopt(found->second.descriptor, SOL_SOCKET, SO_LINGER, &abort_at_close,
               sizeof abort_at_close);
    state_->drop(id, state::farewell::silent);
}

std::size_t tcp_connections::unsent(connection_id id) const {
    auto found = state_->open.find(id);
    return found == state_->open.end() ? 0 : found->second.out.size();
}

bool tcp_connections::has_unread(connection_id id) const {
    auto found = state_->open.find(id);
    char byte = 0;
    return found != state_->open.end() &&
           recv(found->second.descriptor, &byte, sizeof byte, MSG_PEEK | MSG_DONTWAIT) > 0;
}

std::size_t tcp_connections::open() const {
    return state_->open.size();
}

} // namespace cassia::net
