/// HTTP/1.1 served without decoding: requests come whole, answers go out as they are given.
/// Exchanges are addressed by id; an id of a finished exchange is ignored.
#pragma once

#include "cassia/base/clock.h"
#include "cassia/base/ids.h"
#include "cassia/net/error.h"
#include "cassia/net/raw_http.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace cassia::net {

class task;

struct raw_server_limits {
    std::size_t header_bytes = 16384;
    std::size_t body_bytes = 4194304;
    milliseconds header_timeout{3000};
    milliseconds idle_timeout{15000};
};

struct raw_server_hooks {
    std::function<void(exchange_id, raw_request)> on_request;
    /// The caller left before its answer was complete; never after an exchange that was answered.
    std::function<void(exchange_id)> on_gone;
};

class raw_server {
public:
    raw_server(task& owner, raw_server_limits limits, raw_server_hooks hooks);
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

    /// From now on each answer is the last of its connection, and idle connections close.
    void wind_down(milliseconds idle_grace);
    void stop_listening();
    std::size_t open_exchanges() const;
    std::size_t open_connections() const;

    struct state;

private:
    std::unique_ptr<state> state_;
};

} // namespace cassia::net
