#include "cassia/policy/gossip_topology.h"

#include <catch2/catch.hpp>

#include <map>
#include <memory>
#include <set>
#include <string>

using namespace cassia;
using namespace cassia::policy;

namespace {

std::vector<fleet_gateway> make_fleet(int gateways, int zones) {
    std::vector<fleet_gateway> fleet;
    for (int i = 0; i < gateways; ++i)
        fleet.push_back(
            {entry_id("g" + std::to_string(i)), zone_id("z" + std::to_string(i % zones)), false});
    return fleet;
}

std::map<entry_id, gossip_topology> make_topologies(const std::vector<fleet_gateway>& fleet) {
    std::map<entry_id, gossip_topology> all;
    for (const fleet_gateway& one : fleet) {
        gossip_topology& topology =
            all.emplace(one.id, gossip_topology(one.id, one.zone)).first->second;
        std::vector<fleet_gateway> others;
        for (const fleet_gateway& other : fleet) {
            if (other.id != one.id)
                others.push_back(other);
        }
        topology.set_gateways(others);
    }
    return all;
}

// Floods one message. \returns the gateways that got it and the messages it took.
std::pair<std::set<entry_id>, std::size_t> flood(std::map<entry_id, gossip_topology>& all,
                                                 const entry_id& origin,
                                                 const std::set<entry_id>& lost) {
    std::set<entry_id> reached{origin};
    std::vector<entry_id> senders{origin};
    std::size_t messages = 0;
    while (!senders.empty()) {
        const entry_id sender = senders.back();
        senders.pop_back();
        for (const entry_id& to : all.at(sender).neighbors()) {
            ++messages;
            if (lost.count(to) == 0 && reached.insert(to).second && all.at(to).is_relay())
                senders.push_back(to);
        }
    }
    return {reached, messages};
}

} // namespace

TEST_CASE("news reach every gateway, at a cost that grows with the gateways", "[gossip]") {
    const int gateways = GENERATE(1, 2, 8, 21, 60, 300);
    std::map<entry_id, gossip_topology> all = make_topologies(make_fleet(gateways, 3));
    for (const auto& origin : all) {
        const auto result = flood(all, origin.first, {});
        CHECK(result.first.size() == static_cast<std::size_t>(gateways));
        CHECK(result.second <= static_cast<std::size_t>(3 * gateways + 40));
    }
}

TEST_CASE("news reach the others if a relay of each zone has just failed", "[gossip]") {
    const std::vector<fleet_gateway> fleet = make_fleet(90, 3);
    std::map<entry_id, gossip_topology> all = make_topologies(fleet);
    std::set<entry_id> lost;
    for (const auto& zone : rank_by_zone(fleet))
        lost.insert(zone.second.front());
    for (const auto& origin : all) {
        if (lost.count(origin.first) == 0)
            CHECK(flood(all, origin.first, lost).first.size() == 87);
    }
}

TEST_CASE("all gateways agree on two coordinators, and one that leaves is none", "[gossip]") {
    std::vector<fleet_gateway> fleet = make_fleet(30, 3);
    std::map<entry_id, gossip_topology> all = make_topologies(fleet);
    const std::vector<entry_id> coordinators = all.begin()->second.coordinators();
    REQUIRE(coordinators.size() == 2);
    for (const auto& one : all)
        CHECK(one.second.coordinators() == coordinators);
    for (fleet_gateway& one : fleet)
        one.leaving = one.id == coordinators.front();
    for (const auto& one : make_topologies(fleet)) {
        if (one.first != coordinators.front())
            CHECK(one.second.coordinators().front() == coordinators.back());
    }
    gossip_topology alone(entry_id("g"), zone_id("z"));
    alone.leave();
    CHECK(alone.coordinators() == std::vector<entry_id>{entry_id("g")});
}
