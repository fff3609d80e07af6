/// The connections behind tcp_connections.
#pragma once

#include "output_buffer.h"

#include "cassia/net/task.h"
#include "cassia/net/tcp_connections.h"

#include <glib.h>

#include <cstdint>
#include <map>

namespace cassia::net {

struct connection {
    int descriptor = -1;
    bool connecting = false;
    bool closing = false;   ///< closes once `out` is sent
    bool finishing = false; ///< its own half ends once `out` is sent
    bool accepted = false;
    bool paused = false;               ///< isn't read
    bool broken = false;               ///< its error has been taken from the socket
    bool limits_unacknowledged = true; ///< the kernel ends it after `silence_limit`
    std::uint32_t watched = 0;         ///< epoll events
    output_buffer out;
    std::uint64_t sent = 0;
    instant drained_at{};    ///< when `out` was empty last, or some of it was sent
    instant unanswered_at{}; ///< since when something is unacknowledged; none if nothing is
};

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
    /// Keeps the error of a failed call on the socket.
    static void note_error(connection& one, int problem);
    /// How the owner of a connection learns of its end.
    enum class farewell { silent, clean, broken, refused };
    void drop(connection_id id, farewell how);
    void dispatch();
    void accept_from(int listening);
    void ready(connection_id id, std::uint32_t events);
    void finish_connect(connection_id id);
    void read(connection_id id);
    void flush(connection_id id);
    /// Whether check_silence() looks for peers that have vanished, in place of the kernel.
    bool is_patient(const connection& one) const;
    void drop_later(connection_id id);
    void update_watched(connection_id id, connection& one) const;
    bool is_lost(connection& one, instant now) const;
    void check_silence();
    timer_id silence_timer;
};

} // namespace cassia::net
