/// Selects the endpoint for an online call. Pure: calls, endpoints and the time are passed in.
#pragma once

#include "cassia/policy/endpoint.h"

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <vector>

namespace cassia::policy {

struct router_settings {
    zone_id own_zone;
    entry_id self;
    /// Consecutive failures after which an endpoint is ejected.
    std::uint32_t consecutive_failures = 3;
    milliseconds base_ejection{2000};
    milliseconds max_ejection{30000};
    /// Maximum number of prompt prefixes remembered per endpoint.
    std::size_t max_prefixes = 512;
};

struct pick_request {
    service_demand demand;
    std::uint64_t prefix = 0; ///< hash of the start of the prompt, 0 for none
    bool suspect = false;     ///< may have crashed an endpoint; never runs beside another suspect
    std::set<endpoint_id> excluded; ///< endpoints that have failed this request
};

/// Why an endpoint was picked; recorded in the decision log.
enum class pick_reason { least_cost, prefix, other_zone };
const char* pick_reason_name(pick_reason reason);

struct pick {
    endpoint_id endpoint;
    pick_reason reason = pick_reason::least_cost;
    microseconds expected_first_token{};
    /// Batch items that must yield their slots for this call to start at once.
    std::uint32_t items_to_yield = 0;
};

enum class call_result { finished, failed, cancelled };

class router {
public:
    router(router_settings settings, std::uint64_t seed);

    /// Replaces the endpoints by those membership knows now; counts of calls in flight are kept.
    void set_endpoints(const std::vector<endpoint_info>& endpoints);

    /// Whether any known endpoint serves the demand, even if it is full now.
    bool can_serve(const service_demand& demand) const;
    /// Picks an endpoint for the request; nothing while all are full, ejected or excluded.
    std::optional<pick> choose(const pick_request& request, instant now);

    void record_start(const endpoint_id& endpoint, std::uint64_t prefix, bool suspect);
    /// A suspect got past the point where it might crash the endpoint: another suspect may start.
    void release_suspect(const endpoint_id& endpoint);
    void record_first_token(const endpoint_id& endpoint, microseconds after, instant now);
    void record_end(const endpoint_id& endpoint, bool suspect, call_result result, instant now);
    /// Sets the batch items of this entry running at an endpoint, and how many are suspects.
    void set_own_batch(const endpoint_id& endpoint, std::uint32_t items, std::uint32_t suspects);
    /// Ejects an endpoint that refused a connection or died.
    void eject(const endpoint_id& endpoint, instant now);

    std::uint32_t own_online(const endpoint_id& endpoint) const;
    std::uint32_t own_suspects(const endpoint_id& endpoint) const;
    /// Online calls in flight at the endpoint, of all entries as far as known.
    std::uint32_t online(const endpoint_id& endpoint) const;
    std::vector<endpoint_id> ejected(instant now) const;

private:
    struct endpoint_state {
        endpoint_info info;
        std::uint32_t own_online = 0;
        std::uint32_t own_batch = 0;
        std::uint32_t own_batch_suspects = 0;
        std::uint32_t own_suspects = 0;
        std::uint32_t failures = 0;  ///< consecutive
        std::uint32_t ejections = 0; ///< consecutive
        instant ejected_until{};
        double first_token_us = 0; ///< moving average at idle, 0 while unknown
        instant measured_at{};
        std::map<std::uint64_t, std::uint64_t> prefixes; ///< hash to sequence number of last use
        std::uint64_t prefix_uses = 0;
    };

    bool is_open(const endpoint_state& state, const pick_request& request, instant now) const;
    bool takes_suspect(const endpoint_state& state, const service_demand& demand) const;
    std::uint32_t running(const endpoint_state& state) const;
    std::uint32_t free_for_online(const endpoint_state& state) const;
    double cost(const endpoint_state& state, const pick_request& request, instant now) const;
    const endpoint_state* better_of_two(const std::vector<const endpoint_state*>& open,
                                        const pick_request& request, instant now);
    pick make_pick(const endpoint_state& state, const pick_request& request, bool own_zone,
                   instant now) const;

    router_settings settings_;
    std::map<endpoint_id, endpoint_state> endpoints_;
    std::mt19937_64 random_;
};

} // namespace cassia::policy
