/// One online request on its way.
#pragma once

#include "cassia/base/clock.h"
#include "cassia/base/ids.h"
#include "cassia/gateway/event_splitter.h"
#include "cassia/gateway/run_moves.h"
#include "cassia/net/raw_http.h"
#include "cassia/policy/quota_enforcer.h"
#include "cassia/policy/slot_table.h"
#include "cassia/routes/table.h"

#include <memory>
#include <set>
#include <string>

namespace cassia::gateway {

enum class call_phase : std::uint8_t {
    waiting,   ///< for a slot
    sent,      ///< to an endpoint, nothing passed back yet
    answering, ///< part of the answer is with the caller
};

/// The move of a run to another endpoint; see run_moves.h.
struct run_move {
    bool tried = false;
    call_id asked; ///< the question to the endpoint, while it is open
    policy::placement to;
    int status = 0;
    std::string body;
    bool run_ended = false; ///< the stream of the run ended meanwhile
};

/// A request that may be forwarded.
struct admitted_request {
    exchange_id id;
    net::raw_request request;
    std::shared_ptr<const routes::table> table; ///< keeps `route` and `team` alive
    const schema::route* route = nullptr;
    const teams::team* team = nullptr; ///< none where no key is needed
    policy::quota_grant grant;
    instant arrived{};
};

struct online_call {
    exchange_id id;
    net::raw_request request;
    std::string request_id;
    std::shared_ptr<const routes::table> table; ///< keeps `route` and `team` alive
    const schema::route* route = nullptr;
    const teams::team* team = nullptr;
    policy::quota_grant grant; ///< given back if it never runs
    service_id service;
    instant arrived{};
    instant deadline{};   ///< the final answer is due
    instant give_up_at{}; ///< a first send later than this is in vain

    call_phase phase = call_phase::waiting;
    std::uint32_t runs = 0; ///< sends that an endpoint may have run
    std::uint32_t sends = 0;
    std::set<endpoint_id> avoided; ///< endpoints that failed this request
    bool holds_slot = false;
    endpoint_id endpoint;
    http_address address;
    call_id attempt;
    instant first_sent_at{};
    instant sent_at{};       ///< the attempt under way
    instant hurried_at{};    ///< when a batch item was last asked to make room for it
    instant progress_at{};   ///< when the endpoint last sent something
    instant first_byte_at{}; ///< of the attempt under way
    instant answer_began{};

    bool refused_by_endpoint = false; ///< the answer coming in says that it did not run
    bool passes_failure = false;      ///< the answer is the endpoint's own failure
    net::raw_head head;               ///< of the first attempt that began to answer
    std::string body;                 ///< of an answer that isn't a stream
    event_splitter events;
    std::string gathered; ///< events that wait for others to go with them
    instant gathered_since{};
    std::uint64_t last_event = 0; ///< passed on to the caller
    instant last_event_at{};
    microseconds longest_pause{0}; ///< between two events
    run_move move;
    run_copy copy; ///< the next attempt goes on from it

    std::uint32_t priority() const {
        return team != nullptr && team->priority ? *team->priority : route->priority();
    }
    bool is_stream() const { return route->kind() == schema::route::stream; }
    /// Whether it may run again after it may have run.
    bool is_repeatable() const {
        return route->kind() == schema::route::repeatable || (is_stream() && route->resumable());
    }
};

} // namespace cassia::gateway
