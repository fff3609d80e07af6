/// Which endpoint an online call goes to. Pure: it is told of calls and endpoints and the time.
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
    /// Consecutive failures after which an endpoint is left out for a while.
    std::uint32_t consecutive_failures = 3;
    milliseconds base_ejection{2000};
    milliseconds max_ejection{30000};
    /// Most prompt prefixes remembered for each endpoint.
    std::size_t max_prefixes = 512;
};

struct pick_request {
    service_demand demand;
    std::uint64_t prefix = 0;       ///< hash of the prompt's start, 0 for none
    bool suspect = false;           ///< may have crashed an endpoint: only beside no other suspect
    std::set<endpoint_id> excluded; ///< endpoints that failed this request before
};

/// Why an endpoint was picked, for the explanation.
enum class pick_reason { least_cost, prefix, other_zone };
const char* pick_reason_name(pick_reason reason);

struct pick {
    endpoint_id endpoint;
    pick_reason reason = pick_reason::least_cost;
    microseconds expected_first_token{};
    /// Batch items to stop so that this call finds a free slot at once.
    std::uint32_t items_to_yield = 0;
};

enum class call_result { finished, failed, cancelled };

class router {
public:
    router(router_settings settings, std::uint64_t seed);

    /// Takes over what membership knows now; calls under way keep their counts.
    void set_endpoints(const std::vector<endpoint_info>& endpoints);

    /// Whether any endpoint could ever serve it as things are.
    bool can_serve(const service_demand& demand) const;
    /// The endpoint to send the request to, or nothing while all are full.
    std::optional<pick> choose(const pick_request& request, instant now);

    void record_start(const endpoint_id& endpoint, std::uint64_t prefix, bool suspect);
    /// A suspect got through what crashed an endpoint before: another may run beside it.
    void release_suspect(const endpoint_id& endpoint);
    void record_first_token(const endpoint_id& endpoint, microseconds after, instant now);
    void record_end(const endpoint_id& endpoint, bool suspect, call_result result, instant now);
    /// Batch items of this entry under way at an endpoint, and how many of them are suspects.
    void set_own_batch(const endpoint_id& endpoint, std::uint32_t items, std::uint32_t suspects);
    /// The endpoint refused a connection or died: left out at once.
    void eject(const endpoint_id& endpoint, instant now);

    std::uint32_t own_online(const endpoint_id& endpoint) const;
    std::uint32_t own_suspects(const endpoint_id& endpoint) const;
    /// Online calls under way there, of all entries as far as known.
    std::uint32_t online(const endpoint_id& endpoint) const;
    std::vector<endpoint_id> ejected(instant now) const;

private:
    struct tracked {
        endpoint_info facts;
        std::uint32_t own_online = 0;
        std::uint32_t own_batch = 0;
        std::uint32_t own_batch_suspects = 0;
        std::uint32_t own_suspects = 0;
        std::uint32_t failures = 0;  ///< in a row
        std::uint32_t ejections = 0; ///< in a row
        instant ejected_until{};
        double first_token_us = 0; ///< moving average, 0 while unknown
        instant measured_at{};
        std::map<std::uint64_t, std::uint64_t> prefixes; ///< hash to order of use
        std::uint64_t prefix_uses = 0;
    };

    bool is_open(const tracked& one, const pick_request& request, instant now) const;
    bool takes_suspect(const tracked& one, const service_demand& demand) const;
    std::uint32_t running(const tracked& one) const;
    std::uint32_t free_for_online(const tracked& one) const;
    double cost(const tracked& one, const pick_request& request, instant now) const;
    const tracked* better_of_two(const std::vector<const tracked*>& open,
                                 const pick_request& request, instant now);
    pick make_pick(const tracked& one, const pick_request& request, bool own_zone,
                   instant now) const;

    router_settings settings_;
    std::map<endpoint_id, tracked> endpoints_;
    std::mt19937_64 random_;
};

} // namespace cassia::policy
