#include "cassia/policy/gossip_topology.h"

#include "cassia/base/digest.h"

#include <algorithm>
#include <utility>

namespace cassia::policy {

namespace {
constexpr std::size_t coordinator_count = 2;
} // namespace

static bool ranks_before(const entry_id& a, const entry_id& b) {
    return std::make_pair(stable_hash(a.str()), a) < std::make_pair(stable_hash(b.str()), b);
}

std::map<zone_id, std::vector<entry_id>> rank_by_zone(const std::vector<fleet_gateway>& gateways) {
    std::map<zone_id, std::vector<entry_id>> ranked;
    for (const fleet_gateway& one : gateways) {
        if (!one.leaving)
            ranked[one.zone].push_back(one.id);
    }
    for (std::pair<const zone_id, std::vector<entry_id>>& zone : ranked)
        std::sort(zone.second.begin(), zone.second.end(), ranks_before);
    return ranked;
}

gossip_topology::gossip_topology(entry_id self, zone_id zone)
    : self_(std::move(self)), zone_(std::move(zone)) {
    update();
}

void gossip_topology::set_gateways(std::vector<fleet_gateway> others) {
    if (others == others_)
        return;
    others_ = std::move(others);
    update();
}

void gossip_topology::leave() {
    leaving_ = true;
    update();
}

void gossip_topology::update() {
    std::vector<fleet_gateway> all = others_;
    all.push_back({self_, zone_, leaving_});
    coordinators_.clear();
    for (const fleet_gateway& one : all) {
        if (!one.leaving)
            coordinators_.push_back(one.id);
    }
    std::sort(coordinators_.begin(), coordinators_.end(), ranks_before);
    coordinators_.resize(std::min(coordinators_.size(), coordinator_count));
    // With only leaving gateways left, each decides for itself.
    if (coordinators_.empty())
        coordinators_.push_back(self_);
    neighbors_.clear();
    is_relay_ = false;
    if (others_.size() > max_mesh_peers) {
        connect_relays(rank_by_zone(all));
        return;
    }
    for (const fleet_gateway& one : others_)
        neighbors_.push_back(one.id);
}

void gossip_topology::connect_relays(const std::map<zone_id, std::vector<entry_id>>& ranked) {
    const auto relays_of = [&ranked](const zone_id& zone) {
        auto found = ranked.find(zone);
        std::vector<entry_id> relays;
        if (found != ranked.end())
            relays = found->second;
        relays.resize(std::min(relays.size(), relays_per_zone));
        return relays;
    };
    const std::vector<entry_id> own = relays_of(zone_);
    is_relay_ = std::find(own.begin(), own.end(), self_) != own.end();
    if (!is_relay_) {
        neighbors_ = own;
        return;
    }
    for (const fleet_gateway& one : others_) {
        if (one.zone == zone_)
            neighbors_.push_back(one.id);
    }
    for (const std::pair<const zone_id, std::vector<entry_id>>& zone : ranked) {
        if (zone.first == zone_)
            continue;
        const std::vector<entry_id> relays = relays_of(zone.first);
        neighbors_.insert(neighbors_.end(), relays.begin(), relays.end());
    }
}

} // namespace cassia::policy
