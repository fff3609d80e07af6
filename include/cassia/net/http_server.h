/// HTTP served on one task. Exchanges are addressed by id; an id of a finished exchange is ignored.
#pragma once

#include "cassia/base/ids.h"
#include "cassia/net/error.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace cassia::net {

class task;

struct http_request {
    std::string method;
    std::string path; ///< decoded, without the query
    std::map<std::string, std::string> query;
    std::map<std::string, std::string> headers; ///< names in lower case
    std::string body;
    std::string remote; ///< IP:PORT of the caller's end of the connection

    /// The header's value, or an empty string.
    const std::string& header(const std::string& lower_case_name) const;
    /// The query parameter's value, or an empty string.
    const std::string& parameter(const std::string& name) const;
};

struct http_response {
    int status = 200;
    std::string content_type = "application/json";
    std::map<std::string, std::string> headers;
    std::string body;
};

struct http_limits {
    std::size_t header_bytes = 32768;
    /// Largest body for a method and path.
    std::function<std::size_t(const std::string& method, const std::string& path)> body_bytes;
    /// Most bytes held of all bodies that are coming in or not answered yet. A body over it is
    /// refused, unless it is small or the only one.
    std::size_t all_bodies_bytes = 64UL * 1024 * 1024;
};

struct http_server_hooks {
    /// A whole request has come in.
    std::function<void(exchange_id, http_request)> on_request;
    /// The exchange is over: answered in full, or its caller has gone.
    std::function<void(exchange_id)> on_gone;
    /// A request over a limit: what to answer (413 or 431).
    std::function<http_response(int status)> on_refused;
    /// A request whose body has no place beside the others, without its body: what to answer. If
    /// empty, a 503 with Retry-After.
    std::function<http_response(const http_request&)> on_crowded;
};

class http_server {
public:
    http_server(task& owner, http_limits limits, http_server_hooks hooks);
    ~http_server();

    result<void> listen(const http_address& address);
    /// Accepts no further connection; those open go on.
    void stop_listening();

    /// Answers in one piece; a second answer is ignored, and one to a stream that has begun cuts
    /// it.
    void respond(exchange_id id, const http_response& response);
    /// Answers in pieces: the head, any number of pieces, the end.
    void begin_stream(exchange_id id, const http_response& head);
    void stream(exchange_id id, std::string_view piece);
    void end_stream(exchange_id id);
    /// Breaks the connection of an answer that can't be completed, so that the caller sees it cut.
    void abort_stream(exchange_id id);

    /// Exchanges that are not over.
    std::size_t open_exchanges() const;

    struct state;

private:
    std::unique_ptr<state> state_;
};

/// Splits IP:PORT.
struct ip_and_port {
    std::string ip;
    std::uint16_t port = 0;
};
result<ip_and_port> parse_address(const std::string& address);

/// The IP number of IP:PORT.
std::string ip_of(const std::string& address);

} // namespace cassia::net
