/// Bounds the bytes that a gateway holds for its callers, by the decisions of policy::byte_budget.
#pragma once

#include "cassia/base/clock.h"
#include "cassia/base/ids.h"
#include "cassia/base/metrics.h"
#include "cassia/gateway/header_names.h"
#include "cassia/net/raw_client.h"
#include "cassia/net/raw_server.h"
#include "cassia/policy/byte_budget.h"

#include <functional>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>

namespace cassia::gateway {

/// An attempt whose response is forwarded to a caller.
struct forwarded_attempt {
    exchange_id exchange;
    std::string request_id;
    team_id team;
    call_id upstream;
};

class flow_control {
public:
    /// \param memory of the process in bytes; 0: nothing is bounded.
    /// \param team_of the team of a request whose head has come; empty if it isn't known.
    flow_control(net::raw_client& client, metrics& counts, header_names names, std::uint64_t memory,
                 std::function<team_id(const net::http_fields&)> team_of);

    /// For the server of the callers; nothing if nothing is bounded.
    std::optional<net::raw_server_flow> server_flow();
    /// The server that has these hooks. Called before anything else.
    void bind(net::raw_server& server) { server_ = &server; }

    void on_attempt(const forwarded_attempt& attempt);
    /// The gateway itself answers a request.
    void on_answer(exchange_id id);
    /// Part of a response was forwarded.
    void on_forwarded(exchange_id id);
    /// So much of a response is held until it is complete.
    /// \returns whether that is more than may be gathered, so that it is to be forwarded now.
    bool on_gathered(exchange_id id, std::size_t bytes);
    /// So much of an event is held until it is complete; it can't be forwarded before.
    /// \returns whether that is more than may be held now, since much is held for others, so that
    /// the attempt is to be given up.
    bool on_partial_event(exchange_id id, std::size_t bytes);
    /// The call is over; what the caller hasn't read yet stays accounted for.
    void on_closed(exchange_id id);
    /// Whether the response isn't read, since its caller doesn't read what is held for it.
    bool is_paused(exchange_id id) const;
    /// Drops callers that read too slowly, if too much is held.
    void tick(instant now);
    void set_metrics();

private:
    struct caller_state {
        std::string request_id;
        team_id team;
        call_id upstream;
        std::uint64_t gathered = 0;
    };

    std::optional<net::http_fields>
    refuse_body(net::connection_id id, const net::http_fields& fields, std::uint64_t bytes);
    /// Takes over what is held for the connection now.
    void refresh(net::connection_id id, instant now);
    caller_state* find(exchange_id id, net::connection_id& connection);
    void drop(const policy::slow_caller& slow);

    net::raw_client& client_;
    net::raw_server* server_ = nullptr;
    metrics& metrics_;
    header_names names_;
    std::function<team_id(const net::http_fields&)> team_of_;
    policy::byte_budget budget_;
    std::map<net::connection_id, caller_state> callers_;
    std::set<team_id> reported_teams_;
    std::mt19937_64 random_;
};

} // namespace cassia::gateway
