/// Endpoints as the router sees them.
#pragma once

#include "cassia/base/clock.h"
#include "cassia/base/ids.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace cassia::policy {

struct served_model {
    std::set<std::string> versions;
    std::set<std::string> adapters;
};

/// An endpoint as membership reports it.
struct endpoint_info {
    endpoint_id id;
    std::uint64_t incarnation = 0;
    http_address address;
    zone_id zone;
    service_id service; ///< for a plain service
    bool engine = false;
    software_version software; ///< endpoints that name none count as having one version together
    std::map<service_id, served_model> models;
    std::uint32_t max_running = 0;
    std::uint32_t reported_running = 0;
    std::uint32_t reported_waiting = 0;
    std::uint32_t remote_online = 0; ///< online calls in flight from other entries
    std::uint32_t remote_batch = 0;  ///< batch items in flight from other entries
    std::uint32_t remote_suspects =
        0;            ///< in-flight requests of other entries that may have crashed an endpoint
    entry_id steward; ///< the only entry that sends batch items to it
};

/// Service, version and adapter that a request needs.
struct service_demand {
    service_id service;
    std::string version; ///< of the weights; empty: any
    std::string adapter; ///< empty: none
    /// Of the endpoint that wrote the first token; nothing before that.
    std::optional<software_version> software{};

    friend auto operator<=>(const service_demand&, const service_demand&) = default;
};

bool serves(const endpoint_info& endpoint, const service_demand& demand);

} // namespace cassia::policy
