/// Chooses the gateways that exchange what all gateways have to know. In a small fleet each sends
/// to all others, in a larger one relays of each zone pass it on. Pure.
#pragma once

#include "cassia/base/ids.h"

#include <cstddef>
#include <map>
#include <vector>

namespace cassia::policy {

/// Another live gateway.
struct fleet_gateway {
    entry_id id;
    zone_id zone;
    bool leaving = false; ///< finishes its requests, and can't be a relay or quota owner

    friend bool operator==(const fleet_gateway&, const fleet_gateway&) = default;
};

/// With more peers than this, gateways use relays instead of sending to each peer.
inline constexpr std::size_t max_mesh_peers = 20;
/// Two, so that a zone whose relay has just failed is still reached.
inline constexpr std::size_t relays_per_zone = 2;

/// Gateways of each zone in order of preference as relay, without those that leave. All gateways
/// rank by the same hashes, so those with the same list agree. A gateway that joins or leaves
/// changes the first one only if it ranks first.
std::map<zone_id, std::vector<entry_id>> rank_by_zone(const std::vector<fleet_gateway>& gateways);

class gossip_topology {
public:
    gossip_topology(entry_id self, zone_id zone);

    /// Replaces the list of other live gateways.
    void set_gateways(std::vector<fleet_gateway> others);
    /// This gateway no longer acts as a relay or coordinator.
    void leave();
    /// Gateways that decide on behalf of all; this one may be among them. There are two, so that
    /// the loss of one loses no decision.
    const std::vector<entry_id>& coordinators() const { return coordinators_; }
    /// Gateways to which this one sends what is new.
    const std::vector<entry_id>& neighbors() const { return neighbors_; }
    /// Whether this gateway passes on what it receives.
    bool is_relay() const { return is_relay_; }

private:
    void update();
    void connect_relays(const std::map<zone_id, std::vector<entry_id>>& ranked);

    entry_id self_;
    zone_id zone_;
    std::vector<fleet_gateway> others_;
    bool leaving_ = false;
    std::vector<entry_id> coordinators_;
    std::vector<entry_id> neighbors_;
    bool is_relay_ = false;
};

} // namespace cassia::policy
