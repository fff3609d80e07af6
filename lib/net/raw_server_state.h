/// The callers behind raw_server.
#pragma once

#include "cassia/net/raw_server.h"
#include "cassia/net/task.h"
#include "cassia/net/tcp_connections.h"

#include "growing_body.h"

#include <boost/beast/http/parser.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace cassia::net {

namespace http = boost::beast::http;
using request_parser = http::request_parser<growing_body>;

struct caller {
    std::string unread; ///< bytes behind the request being served
    std::unique_ptr<request_parser> parser;
    exchange_id exchange; ///< none while a request is awaited
    bool keep_alive = true;
    bool began = false; ///< the answer's head is out
    body_framing framing = body_framing::none;
    instant since{}; ///< when the connection fell idle or its request began to come in
    bool request_began = false;
    std::uint64_t body = 0; ///< bytes held of the request's body, or reserved for it
    /// Its body was refused: what comes of it is discarded until then, and the connection closed.
    std::optional<instant> discards_until;
    std::uint64_t discarded = 0;
};
struct raw_server::state {
    task* owner = nullptr;
    raw_server_limits limits;
    raw_server_hooks hooks;
    std::optional<raw_server_flow> flow;
    std::unique_ptr<tcp_connections> sockets;
    std::map<connection_id, caller> callers;
    std::map<exchange_id, connection_id> exchanges;
    std::uint64_t last_exchange = 0;
    bool winding_down = false;
    milliseconds idle_grace{0};
    timer_id sweeper;

    void on_bytes(connection_id id, std::string_view bytes);
    void on_closed(connection_id id, bool clean);
    void on_drained(connection_id id);
    /// Whether the next request has to wait until the caller has read the answers before it.
    bool awaits_reader(connection_id id, const caller& one) const;
    void parse(connection_id id);
    /// \returns whether the body may be received on.
    bool admit_body(connection_id id, caller& one);
    std::optional<http_fields> refusal_without_flow(const caller& one, std::uint64_t bytes) const;
    void refuse_body(connection_id id, caller& one, http_fields fields);
    void discard(connection_id id, caller& one, std::size_t bytes);
    void release_body(connection_id id, caller& one);
    void hand_over(connection_id id, caller& one);
    void refuse(connection_id id, int status, const std::string& cause);
    void finish(connection_id id);
    void sweep();
    caller* find(exchange_id id, connection_id& connection);
};

} // namespace cassia::net
