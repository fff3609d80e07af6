/// State of one batch item that this gateway has leased.
#pragma once

#include "cassia/base/clock.h"
#include "cassia/base/ids.h"
#include "cassia/gateway/item_runner.h"
#include "cassia/gateway/sse_parser.h"
#include "cassia/schema/messages.pb.h"

#include <optional>
#include <set>
#include <string>
#include <vector>

namespace cassia::gateway {

/// Jobs stored by earlier versions have no host; their team is the host.
inline const std::string& host_of(const schema::leased_item& item) {
    return item.host().empty() ? item.team() : item.host();
}

/// Interval between runs of an item that will probably fail again. If its gateway ends just before,
/// another one takes up to 8 s to lease and run it, and it has to run within 20 s of its last run.
inline constexpr milliseconds barred_item_interval(12000);

/// In place of a route's name, for requests for items of routes that this gateway lacks.
inline const std::string unrouted;

/// Why an item that is held doesn't run.
enum class item_wait {
    none,       ///< it runs, or hasn't been looked at yet
    retry,      ///< after a run that failed or was rejected
    slot,       ///< no endpoint of its service has a free slot
    memory,     ///< until the memory that it reserved is free
    oversized,  ///< no endpoint of its route can hold it
    version,    ///< no endpoint of the version that wrote its events has a free slot
    trial,      ///< a suspect, until it may run alone
    route,      ///< its route was removed, and may come back
    quarantine, ///< until it may be tried again
};

struct item_runner::held_item {
    schema::leased_item leased;
    std::uint64_t leased_bytes = 0; ///< as it was leased
    call_id upstream_call; ///< the request to the endpoint; none while the item is not running
    endpoint_id endpoint;
    std::uint64_t incarnation = 0;
    http_address address;
    software_version endpoint_version;
    service_id service;
    std::uint64_t tokens = 0; ///< of the prompt and the longest response; 0 if unknown
    instant sent_at{};
    bool runs_alone = false;          ///< as a suspect
    std::optional<trial_id> trial;    ///< while it waits for that, and runs
    cassia::fingerprint retried_part; ///< quarantined, that it waits for; empty if there is none
    bool asks_for_retry = false;      ///< or would, while no run is granted
    std::optional<std::vector<prompt_part_id>> prompt_parts; ///< read when first needed
    bool resumed = false;                                    ///< the current run, behind an event
    bool connection_broke = false;                           ///< of the current run
    std::uint32_t reserved_slots = 0;                        ///< kept free of others meanwhile
    std::optional<cassia::fingerprint> fingerprint;          ///< computed when it is first needed
    std::set<http_address> sent_to;         ///< by this gateway so far, under this lease
    std::set<endpoint_id> failed_endpoints; ///< those that failed or rejected this item
    instant idle_since{};                   ///< when it was leased or its last run ended
    instant ready_at{};                     ///< not started again before then
    instant last_progress_at{};      ///< when it was started or its endpoint last sent something
    std::uint64_t start_number = 0;  ///< grows with each start of any item; the last yields first
    std::uint32_t runs = 0;          ///< starts of this item by this gateway
    bool has_run = false;            ///< at this gateway: one of these reached its endpoint
    std::uint32_t crashed_alone = 0; ///< of these, alone as a suspect, broken off or silent
    instant alone_until{};           ///< end of the last run alone
    /// Nothing was received in its last run, whose endpoint may have ended before it began.
    bool may_not_have_run = false;
    bool unread_alone = false; ///< that run was alone, as a suspect
    int status = 0;            ///< of the response that is being received
    bool not_run = false;      ///< the response says that the item was not run

    std::size_t unused_bytes = 0; ///< received in this run, behind the last complete event
    sse_parser parser;
    instant last_event_at{};
    std::set<endpoint_id> overlong_at; ///< endpoints whose responses to it were too long
    std::uint32_t overlong_runs = 0;   ///< runs that ended so
    std::uint64_t last_event = 0;      ///< id of the last complete event in `text`
    std::uint64_t saved_event = 0;     ///< last event that was reported to the keepers
    instant saved_at{};
    std::string text;            ///< data of all complete events, joined by line feeds
    policy::software written_by; ///< of the endpoints that wrote `text`
    instant waits_for_version_since{};
    item_wait wait = item_wait::none;
    instant waits_since{};
    instant wait_logged_at{};
};

} // namespace cassia::gateway
