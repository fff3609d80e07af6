/// HTTP/1.1 served without decoding: requests come whole, answers go out as they are given.
/// Exchanges are addressed by id; an id of a finished exchange is ignored.
#pragma once

#include "cassia/base/clock.h"
#include "cassia/base/ids.h"
#include "cassia/net/error.h"
#include "cassia/net/raw_http.h"
#include "cassia/net/tcp_connections.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace cassia::net {

class task;

struct raw_server_limits {
    std::size_t header_bytes = 16384;
    std::size_t body_bytes = 4194304;
    milliseconds header_timeout{3000};
    milliseconds idle_timeout{15000};
    /// Most bytes held of the bodies of all requests that are coming in or not answered yet, where
    /// there is no raw_server_flow. A body over it gets a 503, unless it is small or the only one.
    std::size_t all_bodies_bytes = 64UL * 1024 * 1024;
};

struct raw_server_hooks {
    std::function<void(exchange_id, raw_request)> on_request;
    /// The caller left before its answer was complete; never after an exchange that was answered.
    std::function<void(exchange_id)> on_gone;
};

/// What is held for a caller's connection.
struct caller_bytes {
    std::uint64_t body = 0;   ///< of its request, until that is answered; all of it if known before
    std::uint64_t unsent = 0; ///< of its answers
    std::uint64_t sent = 0;   ///< since the connection stands
};

/// Control of what a server holds for its callers. Callers that don't read are then waited for.
struct raw_server_flow {
    /// Called when the head of a request with a body has come, with the body's length, or, if that
    /// isn't known, each time more has come, with all bytes so far.
    /// \returns nothing if the body may be received, or fields of the 503 that the request is
    /// answered with; its body is then discarded.
    std::function<std::optional<http_fields>(connection_id, const http_fields&, std::uint64_t)>
        refuse_body;
    /// What is held for the connection has become less.
    std::function<void(connection_id)> on_released;
};

class raw_server {
public:
    raw_server(task& owner, raw_server_limits limits, raw_server_hooks hooks,
               std::optional<raw_server_flow> flow = std::nullopt);
    ~raw_server();

    result<void> listen(const http_address& address);
    void set_limits(const raw_server_limits& limits);

    /// A whole answer.
    void respond(exchange_id id, raw_head head, std::string_view body);
    /// An answer in pieces: the head, any number of pieces, the end.
    void begin(exchange_id id, const raw_head& head);
    void piece(exchange_id id, std::string_view bytes);
    void end(exchange_id id);
    /// Breaks the connection of an answer that can't be completed: it must not look whole.
    void abort(exchange_id id);
    /// The same, but what was sent of the answer still reaches the caller.
    void break_off(exchange_id id);

    /// The connection of an exchange; none if it is over.
    connection_id connection_of(exchange_id id) const;
    bool contains(connection_id id) const;
    caller_bytes bytes_of(connection_id id) const;
    /// Resets a connection, also one that only sends the rest of its last answer.
    void drop(connection_id id);

    /// From now on each answer is the last of its connection, and idle connections close.
    void wind_down(milliseconds idle_grace);
    void stop_listening();
    /// Gives the same whole answer to each open exchange whose answer hasn't begun.
    void respond_to_all(const raw_head& head);
    /// Answers requests that haven't come in whole with a 503 with these fields.
    void refuse_incomplete(const http_fields& fields);
    std::size_t incomplete_requests() const;
    std::size_t open_exchanges() const;
    std::size_t open_connections() const;
    /// Bytes of answers that callers haven't read yet, also of those that are complete.
    std::size_t unsent() const;

    struct state;

private:
    std::unique_ptr<state> state_;
};

} // namespace cassia::net
