// What happens on open connections: bytes that arrive or drain, ends and silence.

#include "socket_options.h"
#include "tcp_state.h"

#include "cassia/base/log.h"

#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <cstring>
#include <utility>
#include <vector>

namespace cassia::net {

namespace {
constexpr std::size_t read_bytes = 64UL * 1024;
constexpr int most_accepted_at_once = 64;
constexpr int most_events_at_once = 256;
} // namespace

void tcp_connections::state::watch(int operation, connection_id id, int descriptor,
                                   std::uint32_t events) const {
    epoll_event event{};
    event.events = events;
    event.data.u64 = id.value();
    if (epoll_ctl(epoll, operation, descriptor, &event) != 0)
        log_warning("epoll_failed").with("cause", strerror(errno));
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

// The kernel reports the error of a socket once. A read after the call that took it returns 0, as
// at an orderly end. EPIPE doesn't count: the peer had ended its half in order before the reset.
void tcp_connections::state::note_error(connection& one, int problem) {
    const bool is_transient = problem == EAGAIN || problem == EINTR;
    one.broken = one.broken || (!is_transient && problem != EPIPE);
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
        prepare_accepted(descriptor, settings);
        const connection_id id = add(descriptor, false);
        open.at(id).accepted = true;
        hooks.on_accepted(id);
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
    const bool paused = found->second.paused;
    if ((events & EPOLLOUT) != 0) {
        const std::uint64_t sent_before = found->second.sent;
        flush(id);
        found = open.find(id);
        if (hooks.on_drained && found != open.end() && found->second.sent > sent_before)
            hooks.on_drained(id);
    }
    // The end of a paused connection is told without what arrived before it: nobody wants it now.
    if (paused && (events & (EPOLLHUP | EPOLLERR)) != 0)
        drop(id, farewell::broken);
    else if ((events & (EPOLLIN | EPOLLHUP | EPOLLERR)) != 0)
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
    update_watched(id, one);
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
    const bool is_clean = got == 0 && !found->second.broken;
    const farewell how = is_clean ? farewell::clean : farewell::broken;
    drop(id, found->second.closing ? farewell::silent : how);
}

void tcp_connections::state::update_watched(connection_id id, connection& one) const {
    const std::uint32_t events = (one.paused ? 0U : std::uint32_t{EPOLLIN}) |
                                 (one.out.empty() ? 0U : std::uint32_t{EPOLLOUT});
    if (std::exchange(one.watched, events) != events)
        watch(EPOLL_CTL_MOD, id, one.descriptor, events);
}

void tcp_connections::state::flush(connection_id id) {
    auto found = open.find(id);
    if (found == open.end() || found->second.connecting)
        return;
    connection& one = found->second;
    const bool sends = !one.out.empty() || one.finishing;
    if (sends && !is_patient(one) && !std::exchange(one.limits_unacknowledged, true))
        limit_unacknowledged(one.descriptor, settings.silence_limit);
    while (!one.out.empty()) {
        const std::string_view bytes = one.out.front();
        const ssize_t sent = send(one.descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (sent < 0 && errno == EINTR)
            continue;
        if (sent < 0 && errno == EAGAIN) {
            update_watched(id, one);
            return;
        }
        if (sent < 0) {
            note_error(one, errno);
            drop_later(id);
            return;
        }
        one.out.consume(static_cast<std::size_t>(sent));
        one.sent += static_cast<std::uint64_t>(sent);
        one.drained_at = monotonic_now();
    }
    if (one.closing) {
        drop(id, farewell::silent);
        return;
    }
    if (std::exchange(one.finishing, false))
        shutdown(one.descriptor, SHUT_WR);
    update_watched(id, one);
}

// Told by the event loop: whoever writes doesn't expect its connection to go away within the call.
void tcp_connections::state::drop_later(connection_id id) {
    open.at(id).out.clear();
    owner->post([this, id] {
        auto gone = open.find(id);
        if (gone != open.end())
            drop(id, gone->second.closing ? farewell::silent : farewell::broken);
    });
}

bool tcp_connections::state::is_patient(const connection& one) const {
    return one.accepted && settings.waits_for_readers;
}

// \returns whether the peer has vanished, or doesn't take anything of what waits for it.
static bool is_lost_reader(connection& one, const tcp_settings& settings, instant now) {
    const peer_silence silence = read_silence(one.descriptor);
    if (silence.retransmissions == 0 && silence.probes == 0)
        one.unanswered_at = instant();
    else if (one.unanswered_at == instant())
        one.unanswered_at = now;
    const milliseconds unanswered =
        one.unanswered_at == instant()
            ? milliseconds(0)
            : std::chrono::duration_cast<milliseconds>(now - one.unanswered_at);
    return has_vanished(silence, unanswered, settings.silence_limit) ||
           (!one.out.empty() && now - one.drained_at >= settings.unread_limit);
}

// TCP_USER_TIMEOUT ends a connection on which nothing is sent after a single lost probe, so it
// holds only while something is.
static bool is_lost_when_quiet(connection& one, const tcp_settings& settings) {
    if (one.connecting || !one.out.empty() || has_unacknowledged(one.descriptor))
        return false;
    if (std::exchange(one.limits_unacknowledged, false))
        limit_unacknowledged(one.descriptor, milliseconds(0));
    return has_ignored_probes(read_silence(one.descriptor), settings);
}

bool tcp_connections::state::is_lost(connection& one, instant now) const {
    return is_patient(one) ? is_lost_reader(one, settings, now) : is_lost_when_quiet(one, settings);
}

void tcp_connections::state::check_silence() {
    const instant now = monotonic_now();
    std::vector<connection_id> lost;
    for (std::pair<const connection_id, connection>& one : open) {
        if (is_lost(one.second, now))
            lost.push_back(one.first);
    }
    for (const connection_id id : lost) {
        auto found = open.find(id);
        if (found == open.end())
            continue;
        const bool is_known = !found->second.closing;
        abort_at_close(found->second.descriptor);
        drop(id, is_known ? farewell::broken : farewell::silent);
    }
}

} // namespace cassia::net
