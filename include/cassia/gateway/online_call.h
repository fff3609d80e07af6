/// State of one online request that the gateway serves.
#pragma once

#include "cassia/base/clock.h"
#include "cassia/base/ids.h"
#include "cassia/gateway/prompt_parts.h"
#include "cassia/gateway/run_migration.h"
#include "cassia/gateway/sse_parser.h"
#include "cassia/gateway/upstream_attempt.h"
#include "cassia/net/raw_http.h"
#include "cassia/policy/quota_enforcer.h"
#include "cassia/policy/slot_table.h"
#include "cassia/routes/table.h"

#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace cassia::gateway {

enum class call_phase : std::uint8_t {
    queued,     ///< waits for a slot
    sent,       ///< sent to an endpoint, nothing forwarded to the caller yet
    responding, ///< forwarding of the response to the caller has begun
};

/// State of the migration of a call's run to another endpoint; see run_migration.h.
struct migration_state {
    bool attempted = false;
    call_id pending_call; ///< the migration request, until its response is complete
    policy::placement target;
    int status = 0;            ///< of the response to the migration request
    std::string body;          ///< of the same response
    bool stream_ended = false; ///< the run's stream ended before that response
};

/// A run that its endpoint stopped for a migration, and that has not been resumed yet.
struct stopped_run {
    kv_cache_copy copy;
    policy::placement next;  ///< to be asked next
    policy::placement other; ///< the other endpoint that has the copy; may be the same
};

/// A request that was matched to a route and whose caller was identified.
struct routed_request {
    exchange_id id;
    net::raw_request request;
    std::shared_ptr<const routes::table> table; ///< owns `route` and `team`
    const schema::route* route = nullptr;
    const teams::team* team = nullptr; ///< null if the route requires no key
    policy::quota_grant grant;
    instant arrived_at{};
};

struct online_call {
    exchange_id id;
    net::raw_request request;
    std::string request_id;
    std::optional<cassia::fingerprint> fingerprint; ///< computed when it is first needed
    std::shared_ptr<const routes::table> table;     ///< owns `route` and `team`
    const schema::route* route = nullptr;
    std::vector<prompt_part_id> prompt_parts;
    std::uint64_t tokens = 0; ///< of the prompt and the longest response; 0 if unknown
    const teams::team* team = nullptr;
    policy::quota_grant grant; ///< refunded if the request never runs
    service_id service;
    instant arrived_at{};
    instant deadline{};      ///< the response must be complete by then
    instant send_deadline{}; ///< sent later than this, the response would come too late

    call_phase phase = call_phase::queued;
    std::uint32_t runs = 0;         ///< sends whose request may have been executed
    std::uint32_t sends = 0;        ///< requests sent to endpoints, including those never executed
    std::uint32_t unreached = 0;    ///< sends of which nothing reached the endpoint
    std::uint32_t rejections = 0;   ///< latest sends that were not run, without another in between
    milliseconds slot_forecast{0};  ///< expected wait for a slot, when it was queued
    bool was_over_share = false;    ///< of its team, when it was queued
    instant retry_at{};             ///< neither sent nor queued before then
    std::set<http_address> sent_to; ///< by attempts so far
    std::set<endpoint_id> failed_endpoints; ///< those that failed or rejected this request
    bool holds_slot = false;
    std::uint32_t reserved_slots = 0; ///< kept free of others while it runs alone
    std::optional<trial_id> trial;    ///< while a suspect waits to run alone, and runs
    bool runs_alone = false;          ///< the current attempt, as a suspect
    bool resumed = false;             ///< the current attempt, behind events or from a copy
    bool connection_broke = false;    ///< of the current attempt
    endpoint_id endpoint;             ///< of the last attempt
    std::uint64_t incarnation = 0;    ///< of that endpoint
    software_version endpoint_version;
    http_address address;
    call_id upstream_call;     ///< the request to the endpoint; none while there is none
    std::uint32_t attempt = 0; ///< number of the current attempt, by `sends`
    hedge_state hedge;
    instant first_sent_at{};
    instant sent_at{};          ///< of the current attempt
    instant last_reclaim_at{};  ///< when the attempt was sent or a batch item last asked to yield
    instant last_progress_at{}; ///< when the attempt was sent or its endpoint last sent something
    instant first_byte_at{};    ///< of the body; earlier than sent_at until the attempt has one
    instant response_began_at{};

    bool not_run = false;         ///< the response says that the request was not run
    int rejection_status = 0;     ///< of that response; 0 if the request wasn't sent
    bool forwards_error = false;  ///< the response is an error, forwarded as it is
    net::raw_head head;           ///< of the response; a resumed stream keeps the first one
    std::string body;             ///< of a response that is an error or isn't a stream
    bool forwards_parts = false;  ///< `body` is forwarded as it comes: it became too long to keep
    std::size_t unused_bytes = 0; ///< received in this attempt, behind the last complete event
    sse_parser parser;
    std::string buffered_events; ///< not yet forwarded, to be sent together with later ones
    instant buffered_since{};
    std::uint64_t last_event = 0; ///< id of the last event that the caller has or that is buffered
    /// Of the endpoint that wrote the stream's first event; none before that event.
    std::optional<software_version> origin_version;
    lookup_id lookup;          ///< of what began the stream; none while there is none
    instant taken_up_at{};     ///< when the caller that has part of the stream came
    instant caller_deadline{}; ///< until then the caller may take the stream up
    instant last_event_at{};
    microseconds longest_pause{0}; ///< between two events
    migration_state migration;
    std::optional<gateway::stopped_run> stopped_run; ///< until an endpoint has resumed it

    /// The version that its next endpoint must have; empty if any will do.
    software_version required_version() const {
        return origin_version.value_or(software_version());
    }
    std::uint32_t priority() const {
        return team != nullptr && team->priority ? *team->priority : route->priority();
    }
    bool is_stream() const { return route->kind() == schema::route::stream; }
    /// Whether the request may be sent again although an endpoint may have run it.
    bool is_repeatable() const {
        return route->kind() == schema::route::repeatable || (is_stream() && route->resumable());
    }
};

} // namespace cassia::gateway
