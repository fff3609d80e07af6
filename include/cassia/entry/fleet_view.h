/// Immutable snapshot of what an entry knows of the cluster. The control task publishes it and the
/// other tasks read it.
#pragma once

#include "cassia/base/clock.h"
#include "cassia/base/ids.h"
#include "cassia/policy/endpoint.h"
#include "cassia/policy/strikes.h"
#include "cassia/settings/catalog.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace cassia::entry {

struct listed_entry {
    entry_id id;
    std::string address; ///< IP:PORT for callers
    zone_id zone;
};

struct cluster_view {
    std::vector<policy::endpoint_info> endpoints; ///< endpoints that may get new work
    std::vector<listed_entry> entries;            ///< entries that accept new requests
    std::uint64_t entries_version = 0;
    std::shared_ptr<const settings::catalog> catalog; ///< null until a configuration is received
    instant fresh_until = instant::min();             ///< without a newer quorum proof
    std::vector<policy::strike> strikes;
    std::map<team_id, double> peer_rates; ///< requests per second through the other entries
    /// For each work group, when this entry sent the last heartbeat that its leader replied to.
    std::map<group_id, instant> leader_last_heard;
    /// For each work group, its leader's own clock in its last beacon, in microseconds.
    std::map<group_id, std::uint64_t> leader_clocks;

    /// Whether `catalog` may be out of date: the control group's latest quorum proof is too old.
    bool is_stale(instant now) const { return now > fresh_until; }
};

/// The endpoint with this id, or null if it may not get new work.
const policy::endpoint_info* find_endpoint(const cluster_view& view, const endpoint_id& id);

using cluster_view_ptr = std::shared_ptr<const cluster_view>;

} // namespace cassia::entry
