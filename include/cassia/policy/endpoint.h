/// What routing knows of an endpoint.
#pragma once

#include "cassia/base/clock.h"
#include "cassia/base/ids.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>

namespace cassia::policy {

struct served_model {
    std::set<std::string> versions;
    std::set<std::string> adapters;
};

/// An endpoint as membership knows it.
struct endpoint_info {
    endpoint_id id;
    std::uint64_t incarnation = 0;
    http_address address;
    zone_id zone;
    service_id service; ///< of a plain service
    bool engine = false;
    std::map<service_id, served_model> models;
    std::uint32_t max_running = 0;
    std::uint32_t reported_running = 0;
    std::uint32_t reported_waiting = 0;
    std::uint32_t remote_online = 0;   ///< online calls of other entries under way
    std::uint32_t remote_batch = 0;    ///< batch items of other entries under way
    std::uint32_t remote_suspects = 0; ///< calls under way that may have crashed an endpoint
    entry_id steward;                  ///< the one entry that sends batch items to it
};

/// What a request asks for.
struct service_demand {
    service_id service;
    std::string version; ///< empty: any
    std::string adapter; ///< empty: none
};

bool serves(const endpoint_info& endpoint, const service_demand& demand);

} // namespace cassia::policy
