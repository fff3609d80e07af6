#include "cassia/net/tcp_connections.h"

#include "cassia/base/log.h"
#include "cassia/net/http_server.h"
#include "cassia/net/task.h"

#include <arpa/inet.h>
#include <glib.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstring>
#include <list>
#include <map>
#include <utility>
#include <vector>

namespace cassia::net {

namespace {
constexpr int listen_backlog = 512;
constexpr std::size_t read_bytes = 64UL * 1024;
constexpr int most_accepted_at_once = 64;
constexpr int keep_alive_probes = 2;
constexpr int ms_per_s = 1000;

struct socket_watch {
    GSource source;
    tcp_connections::state* owner;
};

struct connection {
    GPollFD poll{-1, 0, 0};
    bool connecting = false;
    bool closing = false; ///< closes once `out` is sent
    std::string out;
};
} // namespace

struct tcp_connections::state {
    task* owner = nullptr;
    tcp_settings settings;
    tcp_hooks hooks;
    /// For all sockets: the event loop's own work grows with its sources, and most sockets are
    /// idle.
    GSource* watch = nullptr;
    std::list<GPollFD> listeners; ///< one an address, few
    std::map<connection_id, connection> open;
    std::uint64_t last_id = 0;

    connection_id add(int descriptor, bool connecting);
    /// How the owner of a connection learns of its end.
    enum class farewell { silent, clean, broken };
    void drop(connection_id id, farewell how);
    bool any_ready() const;
    void dispatch();
    void accept_from(int listening);
    void ready(connection_id id, unsigned what);
    void finish_connect(connection_id id);
    void read(connection_id id);
    void flush(connection_id id);
    static void watch_for(connection& one, bool writable);
};

static int check_watch(GSource* source) {
    return reinterpret_cast<socket_watch*>(source)->owner->any_ready() ? TRUE : FALSE;
}

static int dispatch_watch(GSource* source, GSourceFunc, void*) {
    reinterpret_cast<socket_watch*>(source)->owner->dispatch();
    return G_SOURCE_CONTINUE;
}

static GSourceFuncs watch_functions = {nullptr, check_watch, dispatch_watch,
                                       nullptr, nullptr,     nullptr};

static GSource* make_watch(tcp_connections::state& state) {
    GSource* source = g_source_new(&watch_functions, sizeof(socket_watch));
    reinterpret_cast<socket_watch*>(source)->owner = &state;
    g_source_attach(source, state.owner->context());
    return source;
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
    one.poll.fd = descriptor;
    one.poll.events = connecting ? G_IO_OUT : G_IO_IN;
    g_source_add_poll(watch, &one.poll);
    return id;
}

void tcp_connections::state::drop(connection_id id, farewell how) {
    auto found = open.find(id);
    if (found == open.end())
        return;
    g_source_remove_poll(watch, &found->second.poll);
    ::close(found->second.poll.fd);
    open.erase(found);
    if (how != farewell::silent)
        hooks.on_closed(id, how == farewell::clean);
}

bool tcp_connections::state::any_ready() const {
    return std::any_of(listeners.begin(), listeners.end(),
                       [](const GPollFD& one) { return one.revents != 0; }) ||
           std::any_of(open.begin(), open.end(),
                       [](const auto& one) { return one.second.poll.revents != 0; });
}

void tcp_connections::state::dispatch() {
    // Collected first: handlers open and close connections and may stop the listening.
    std::vector<std::pair<connection_id, unsigned>> ready_now;
    for (std::pair<const connection_id, connection>& one : open) {
        if (one.second.poll.revents != 0)
            ready_now.emplace_back(one.first, std::exchange(one.second.poll.revents, 0));
    }
    std::vector<int> accepting;
    for (GPollFD& one : listeners) {
        if (std::exchange(one.revents, 0) != 0)
            accepting.push_back(one.fd);
    }
    for (const int listening : accepting)
        accept_from(listening);
    for (const std::pair<connection_id, unsigned>& one : ready_now)
        ready(one.first, one.second);
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

void tcp_connections::state::ready(connection_id id, unsigned what) {
    auto found = open.find(id);
    if (found == open.end())
        return;
    if (found->second.connecting) {
        finish_connect(id);
        return;
    }
    if ((what & G_IO_OUT) != 0)
        flush(id);
    if ((what & (G_IO_IN | G_IO_HUP | G_IO_ERR)) != 0)
        read(id);
}

void tcp_connections::state::finish_connect(connection_id id) {
    connection& one = open.at(id);
    int problem = 0;
    socklen_t size = sizeof problem;
    getsockopt(one.poll.fd, SOL_SOCKET, SO_ERROR, &problem, &size);
    if (problem != 0) {
        drop(id, farewell::broken);
        return;
    }
    one.connecting = false;
    watch_for(one, !one.out.empty());
    hooks.on_connected(id);
    if (open.count(id) > 0)
        flush(id);
}

void tcp_connections::state::read(connection_id id) {
    static thread_local std::array<char, read_bytes> buffer;
    auto found = open.find(id);
    if (found == open.end())
        return;
    const ssize_t got = recv(found->second.poll.fd, buffer.data(), buffer.size(), 0);
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

// The event loop reads the events before each poll.
void tcp_connections::state::watch_for(connection& one, bool writable) {
    const unsigned what = G_IO_IN | (writable ? static_cast<unsigned>(G_IO_OUT) : 0U);
    one.poll.events = static_cast<gushort>(what);
}

void tcp_connections::state::flush(connection_id id) {
    auto found = open.find(id);
    if (found == open.end() || found->second.connecting)
        return;
    connection& one = found->second;
    while (!one.out.empty()) {
        const ssize_t sent = send(one.poll.fd, one.out.data(), one.out.size(), MSG_NOSIGNAL);
        if (sent < 0 && errno == EINTR)
            continue;
        if (sent < 0 && errno == EAGAIN) {
            watch_for(one, true);
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
        watch_for(one, false);
}

tcp_connections::tcp_connections(task& owner, tcp_settings settings, tcp_hooks hooks)
    : state_(std::make_unique<state>()) {
    state_->owner = &owner;
    state_->settings = settings;
    state_->hooks = std::move(hooks);
    state_->watch = make_watch(*state_);
}

tcp_connections::~tcp_connections() {
    stop_listening();
    while (!state_->open.empty())
        state_->drop(state_->open.begin()->first, state::farewell::silent);
    g_source_destroy(state_->watch);
    g_source_unref(state_->watch);
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
    state_->listeners.push_back({descriptor, G_IO_IN, 0});
    g_source_add_poll(state_->watch, &state_->listeners.back());
    return success();
}

void tcp_connections::stop_listening() {
    for (GPollFD& one : state_->listeners) {
        g_source_remove_poll(state_->watch, &one);
        ::close(one.fd);
    }
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
    const bool failed = !known || (started != 0 && errno != EINPROGRESS);
    const connection_id id = state_->add(descriptor, true);
    if (failed)
        state_->owner->post([this, id] { state_->drop(id, state::farewell::broken); });
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
    setsockopt(found->second.poll.fd, SOL_SOCKET, SO_LINGER, &abort_at_close,
               sizeof abort_at_close);
    state_->drop(id, state::farewell::silent);
}

std::size_t tcp_connections::unsent(connection_id id) const {
    auto found = state_->open.find(id);
    return found == state_->open.end() ? 0 : found->second.out.size();
}

std::size_t tcp_connections::open() const {
    return state_->open.size();
}

} // namespace cassia::net
