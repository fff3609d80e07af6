/// HTTP calls made on one task. Calls are addressed by id; after its last hook a call is gone.
#pragma once

#include "cassia/base/clock.h"
#include "cassia/base/ids.h"
#include "cassia/net/error.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace cassia::net {

class task;

struct http_call {
    std::string method = "GET";
    http_address to;
    std::string path = "/"; ///< with the query, already escaped
    std::map<std::string, std::string> headers;
    std::string content_type = "application/json";
    std::string body;
    /// Uses a connection that carried no request before, and closes it after. A request that must
    /// not run twice needs it: a kept connection may have been closed or forgotten by the other
    /// end, and over one the request may be sent a second time by itself.
    bool fresh_connection = false;
    /// Longest time without a byte from the other end; it starts anew with each piece.
    milliseconds progress_timeout = milliseconds(10000);
};

struct http_head {
    int status = 0;
    std::string content_type;
    std::map<std::string, std::string> headers; ///< names in lower case
};

struct http_failure {
    error cause;
    bool sent = false; ///< false: certainly nothing of the request reached the other end
};

struct http_call_hooks {
    std::function<void(const http_head&)> on_head;
    std::function<void(std::string_view)> on_piece;
    /// The answer is complete. Last.
    std::function<void()> on_end;
    /// The answer won't be completed. Last.
    std::function<void(const http_failure&)> on_failure;
};

class http_client {
public:
    /// \param connections most connections to one address.
    /// \param own_ip IP number to connect from; any if empty.
    http_client(task& owner, unsigned connections, const std::string& own_ip = "");
    ~http_client();

    call_id start(const http_call& call, http_call_hooks hooks);
    /// Drops the call and its connection; no hook runs for it any more.
    void cancel(call_id id);
    std::size_t open_calls() const;

    struct state;

private:
    std::shared_ptr<state> state_;
};

/// An answer in one piece.
struct http_answer {
    http_head head;
    std::string body;
};

/// Makes a call and hands over the whole answer.
call_id fetch(http_client& client, const http_call& call,
              const std::function<void(outcome<http_answer, http_failure>)>& done);

} // namespace cassia::net
