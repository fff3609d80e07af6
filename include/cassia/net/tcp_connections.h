/// TCP connections of one task, addressed by id, without blocking. A closed id is ignored.
#pragma once

#include "cassia/base/clock.h"
#include "cassia/base/ids.h"
#include "cassia/net/error.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace cassia::net {

class task;

using connection_id = number_id<struct connection_tag>;

struct tcp_hooks {
    /// A connection came in over listen().
    std::function<void(connection_id)> on_accepted;
    /// A connection of connect() stands.
    std::function<void(connection_id)> on_connected;
    std::function<void(connection_id, std::string_view bytes)> on_bytes;
    /// Closed by the other end or by an error, before on_connected or after it. Last; not called
    /// after close() or reset(). `clean`: the other end closed in order, with nothing lost.
    std::function<void(connection_id, bool clean)> on_closed;
    /// Called in place of on_closed, if it is set, when the other end refused the connection: its
    /// VM responds, and no process listens there.
    std::function<void(connection_id)> on_refused;
    /// Some of the bytes that the socket didn't take at once have been sent; see unsent(). May be
    /// empty.
    std::function<void(connection_id)> on_drained;
};

struct tcp_settings {
    /// Longest time that sent bytes may stay unacknowledged, and that a silent peer is probed.
    milliseconds silence_limit{1500};
    /// Accepted connections whose peer is there but doesn't read stay open until `unread_limit`;
    /// otherwise they end after `silence_limit`.
    bool waits_for_readers = false;
    /// Longest time in which the peer takes nothing of the bytes that wait for it.
    milliseconds unread_limit{15000};
};

class tcp_connections {
public:
    tcp_connections(task& owner, tcp_settings settings, tcp_hooks hooks);
    ~tcp_connections();

    result<void> listen(const http_address& address);
    /// Accepts no further connection; those open go on.
    void stop_listening();
    /// \param own_ip IP number to connect from; any if empty.
    connection_id connect(const http_address& address, const std::string& own_ip);

    /// Sends now what the socket takes, and the rest as it drains.
    void write(connection_id id, std::string_view bytes);
    /// The same without a copy of the bytes.
    void write_shared(connection_id id, std::shared_ptr<const std::string> bytes);
    /// Leaves what arrives in the socket, whose window then closes: the other end can't send more.
    /// Its orderly close isn't noticed until reading is resumed, its reset is.
    void pause_reading(connection_id id);
    void resume_reading(connection_id id);
    /// Ends the own half of the connection once everything written is sent; the other half is read
    /// on.
    void finish_writing(connection_id id);
    /// Closes once everything written is sent.
    void close(connection_id id);
    /// Closes at once; the other end sees a reset.
    void reset(connection_id id);
    /// Bytes written that the socket didn't take yet.
    std::size_t unsent(connection_id id) const;
    /// Bytes that the socket took since the connection stands.
    std::uint64_t sent(connection_id id) const;
    bool contains(connection_id id) const;
    /// The same as unsent(id) of all connections.
    std::size_t unsent() const;
    /// Whether bytes have arrived that no hook was called for yet.
    bool has_unread(connection_id id) const;
    std::size_t open() const;

    struct state;

private:
    std::unique_ptr<state> state_;
};

} // namespace cassia::net
