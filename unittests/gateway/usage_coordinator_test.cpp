// Messages about the use of slots by teams.

#include "cassia/gateway/usage_coordinator.h"

#include "cassia/base/log.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <memory>
#include <string>
#include <vector>

using namespace cassia;
using namespace cassia::gateway;

namespace {

/// Gateways of one zone whose messages arrive at once.
struct zone {
    std::vector<std::unique_ptr<usage_coordinator>> gateways;
    std::vector<std::map<entry_id, policy::team_use_map>> received;

    explicit zone(std::size_t count) : received(count) {
        for (std::size_t i = 0; i < count; ++i) {
            usage_hooks hooks;
            hooks.send = [this](const entry_id& to, schema::envelope& envelope) {
                gateways.at(std::stoul(to.str()))->receive(envelope);
                return true;
            };
            hooks.on_usage = [](const entry_id&, const policy::slot_usage_map&) {};
            hooks.on_team_use = [this, i](const entry_id& holder, policy::team_use_map use) {
                received[i][holder] = std::move(use);
            };
            gateways.push_back(std::make_unique<usage_coordinator>(entry_id(std::to_string(i)),
                                                                   zone_id("z"), std::move(hooks)));
        }
        for (std::size_t i = 0; i < count; ++i) {
            std::vector<policy::fleet_gateway> others;
            for (std::size_t j = 0; j < count; ++j) {
                if (j != i)
                    others.push_back({entry_id(std::to_string(j)), zone_id("z")});
            }
            gateways[i]->set_gateways(std::move(others));
        }
    }

    void share(const policy::team_use_map& teams) {
        policy::slot_usage_map usage;
        usage[endpoint_id("e")].online = 1;
        for (const std::unique_ptr<usage_coordinator>& one : gateways)
            one->share(usage, teams);
    }
};

} // namespace

// Guards against use of teams that is lost on the wire, or that a gateway gets back as that of
// others.
TEST_CASE("gateways learn the use of teams at all others", "[usage]") {
    start_logs("test", log_level::error, "");
    const team_id team("a");
    SECTION("from each") {
        zone small(3);
        small.share({{team, 700}});
        REQUIRE(small.received[0].size() == 2);
        CHECK(small.received[0].at(entry_id("1")).at(team) == 700);
    }
    SECTION("from their relay") {
        zone large(30);
        large.share({{team, 700}});
        large.share({{team, 700}});
        for (const std::map<entry_id, policy::team_use_map>& received : large.received) {
            for (const auto& one : received)
                CHECK(one.second.at(team) <= 29 * 700);
            CHECK(received.size() <= 1);
        }
        CHECK(std::any_of(large.received.begin(), large.received.end(),
                          [](const auto& received) { return !received.empty(); }));
    }
    SECTION("nothing without teams") {
        zone small(3);
        small.share({});
        CHECK(small.received[0].empty());
    }
}
