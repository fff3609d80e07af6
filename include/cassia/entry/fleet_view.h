/// What an entry's tasks know of the fleet: a snapshot that the control task makes and the others
/// read. Never changed once made.
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
    std::string address; ///< for callers, IP:PORT
    zone_id zone;
};

struct fleet_view {
    std::vector<policy::endpoint_info> endpoints; ///< those that may get new work
    std::vector<listed_entry> entries;            ///< those that take new requests
    std::uint64_t entries_version = 0;
    std::shared_ptr<const settings::catalog> catalog; ///< null before the first configuration
    bool stale = true;
    std::vector<policy::strike> strikes;
    std::map<team_id, double> others_rates;          ///< requests a second through other entries
    std::map<group_id, instant> leader_contacts;     ///< when each work group's leader last spoke
    std::map<group_id, std::uint64_t> keeper_clocks; ///< that leader's own clock then, us
};

/// The endpoint among those that may get new work, or null.
const policy::endpoint_info* find_endpoint(const fleet_view& view, const endpoint_id& id);

using view_pointer = std::shared_ptr<const fleet_view>;

} // namespace cassia::entry
