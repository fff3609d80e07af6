/// HTTP/1.1 requests sent on as they are, over connections that are kept where that is safe.
/// Calls are addressed by id; after its last hook a call is gone. Nothing is ever sent twice: a
/// repetition is the caller's decision.
#pragma once

#include "cassia/base/clock.h"
#include "cassia/base/ids.h"
#include "cassia/net/error.h"
#include "cassia/net/raw_http.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace cassia::net {

class task;

enum class response_owner { this_request, another_request, unknown };

struct raw_call {
    http_address to;
    raw_request request;
    /// Uses a connection that carried no request before. Over a kept one the other end may close
    /// just as the request is sent, and whether it ran can't be told.
    bool fresh_connection = false;
    /// A kept connection that carried a request with this id isn't used: a late response to that
    /// one couldn't be told from the call's own. Without a value any is.
    std::optional<std::string> request_id;
    /// Limit for the connection to stand. A dark VM answers nothing at all, and a lost first packet
    /// is sent again after a second; another endpoint answers sooner.
    milliseconds connect_timeout{250};
    /// Tells by its head to which request a response belongs; without the hook, to this one. A late
    /// response to an earlier request of a kept connection is skipped, once. Otherwise the call
    /// fails, unless the response is its own.
    std::function<response_owner(const raw_head&)> find_owner;
};

struct raw_failure {
    error cause;
    bool sent = false;     ///< false: certainly nothing of the request reached the other end
    bool kept = false;     ///< the connection had carried a request before
    bool answered = false; ///< part of an answer had come
    bool paused = false;   ///< reading was paused: the other end may have given the answer up
    bool foreign = false;  ///< the response belongs to another request, or to none
};

struct raw_call_hooks {
    std::function<void(const raw_head&)> on_head;
    std::function<void(std::string_view)> on_piece;
    /// The answer is complete. Last.
    std::function<void()> on_end;
    /// The answer won't be completed. Last.
    std::function<void(const raw_failure&)> on_failure;
};

struct raw_client_counts {
    std::uint64_t connections_made = 0;
    std::uint64_t connections_reused = 0;
    std::uint64_t responses_skipped = 0; ///< late ones, to earlier requests
};

class raw_client {
public:
    /// \param own_ip IP number to connect from; any if empty.
    raw_client(task& owner, std::string own_ip);
    ~raw_client();

    call_id start(raw_call call, raw_call_hooks hooks);
    /// Drops the call and its connection; no hook runs for it any more.
    void cancel(call_id id);
    /// Leaves the rest of the answer unread; at most what was read already still comes.
    void pause(call_id id);
    void resume(call_id id);
    /// Whether the call is open and something of its request was sent.
    bool was_sent(call_id id) const;
    /// Whether the call is open and nothing of its request was sent.
    bool is_unsent(call_id id) const;
    /// Calls the hook when the other end closes an idle connection.
    void on_idle_closed(std::function<void(const http_address&)> hook);
    /// Closes the idle connections to an address.
    void forget(const http_address& address);
    std::size_t open_calls() const;
    const raw_client_counts& counts() const;

    struct state;

private:
    std::unique_ptr<state> state_;
};

} // namespace cassia::net
