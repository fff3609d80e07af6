// Distribution of slot usage in fleets of several sizes, and while relays fail.

#include "cassia/policy/usage_exchange.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

using namespace cassia;
using namespace cassia::policy;

namespace {

constexpr milliseconds step(50);

entry_id gateway_name(std::size_t i) {
    return entry_id("g" + std::to_string(i));
}

endpoint_id endpoint_name(std::size_t i) {
    return endpoint_id("e" + std::to_string(i));
}

/// Simulated gateways in zones; messages arrive within the same step.
struct fleet {
    struct gateway {
        zone_id zone;
        std::unique_ptr<usage_exchange> exchange;
        slot_usage_map own;
        std::map<entry_id, slot_usage_map> received; ///< usage by sender, as in a slot table
        std::size_t sent = 0;
        std::size_t zone_sums_sent = 0;
        bool frozen = false;
    };
    std::vector<gateway> gateways;
    std::map<entry_id, std::size_t> by_name;
    std::set<entry_id> unlisted;
    instant now = instant(std::chrono::seconds(1000));
    std::function<bool(std::size_t from, std::size_t to)> is_connected =
        [](std::size_t, std::size_t) { return true; };

    fleet(std::size_t count, std::size_t zones) {
        for (std::size_t i = 0; i < count; ++i) {
            gateway one;
            one.zone = zone_id("z" + std::to_string(i % zones));
            one.exchange = std::make_unique<usage_exchange>(gateway_name(i), one.zone);
            by_name[gateway_name(i)] = i;
            gateways.push_back(std::move(one));
        }
        update_lists();
    }

    void update_lists() {
        for (std::size_t i = 0; i < gateways.size(); ++i) {
            std::vector<fleet_gateway> others;
            for (std::size_t j = 0; j < gateways.size(); ++j) {
                if (j != i && unlisted.count(gateway_name(j)) == 0)
                    others.push_back({gateway_name(j), gateways[j].zone});
            }
            gateways[i].exchange->set_gateways(others);
        }
    }

    void deliver(std::size_t from, const usage_message& message) {
        const std::size_t to = by_name.at(message.to);
        if (to != from) {
            ++gateways[from].sent;
            gateways[from].zone_sums_sent += message.zones.size();
            if (gateways[to].frozen || !is_connected(from, to))
                return;
        }
        gateway& target = gateways[to];
        if (message.kind == usage_message::content::own_use) {
            target.received[gateway_name(from)] = message.own;
        } else if (message.kind == usage_message::content::report) {
            target.exchange->receive_report(gateway_name(from), message.own, now);
        } else if (to == from || target.exchange->receive_sums(
                                     gateway_name(from), gateways[from].zone, message.zones, now)) {
            for (const auto& zone : message.zones)
                target.received[usage_exchange::zone_key(zone.first)] = *zone.second;
        }
    }

    void advance(
        milliseconds time, const std::function<void()>& each_step = [] {}) {
        for (const instant end = now + time; now < end; now += step) {
            each_step();
            for (std::size_t i = 0; i < gateways.size(); ++i) {
                if (gateways[i].frozen)
                    continue;
                for (const usage_message& message :
                     gateways[i].exchange->poll(gateways[i].own, now))
                    deliver(i, message);
            }
        }
    }

    /// Online requests of the other gateways at an endpoint, by one gateway's view.
    std::uint32_t remote_online_seen(std::size_t i, const endpoint_id& endpoint) const {
        slot_usage_map sum;
        for (const auto& one : gateways[i].received)
            add_usage(sum, one.second);
        auto found = sum.find(endpoint);
        return found == sum.end() ? 0 : found->second.online;
    }

    std::size_t relay_of(std::size_t i) const {
        const std::optional<entry_id> relay = gateways[i].exchange->relay();
        return relay ? by_name.at(*relay) : i;
    }

    void set_usage(std::size_t i, std::size_t endpoint, std::uint32_t online) {
        gateways[i].own[endpoint_name(endpoint)] = {online, 0, 0};
    }
};

} // namespace

// Guards against usage that some gateway never receives, or counts twice, with and without relays.
TEST_CASE("each gateway counts the usage of all others exactly once", "[usage]") {
    const std::size_t count = GENERATE(2U, 7U, 21U, 22U, 73U);
    fleet sim(count, 3);
    sim.advance(milliseconds(1000));
    for (std::size_t i = 0; i < count; ++i)
        sim.set_usage(i, i % 4, 1 + i % 3);
    sim.advance(milliseconds(1000));
    for (std::size_t e = 0; e < 4; ++e) {
        std::uint32_t sum = 0;
        for (const auto& one : sim.gateways) {
            auto found = one.own.find(endpoint_name(e));
            sum += found == one.own.end() ? 0 : found->second.online;
        }
        for (std::size_t i = 0; i < count; ++i) {
            auto own = sim.gateways[i].own.find(endpoint_name(e));
            const std::uint32_t mine = own == sim.gateways[i].own.end() ? 0 : own->second.online;
            CHECK(sim.remote_online_seen(i, endpoint_name(e)) == sum - mine);
        }
    }
}

// Guards against a number of messages quadratic in the fleet size, while all usage changes
// constantly.
TEST_CASE("the number of messages per gateway doesn't grow with the fleet", "[usage]") {
    const std::size_t count = GENERATE(30U, 300U, 1000U);
    fleet sim(count, 5);
    sim.advance(milliseconds(1000));
    for (auto& one : sim.gateways)
        one.sent = 0;
    std::mt19937 random(7);
    const auto change = [&sim, &random] {
        for (std::size_t i = 0; i < sim.gateways.size(); ++i)
            sim.set_usage(i, i % 5 * 10 + random() % 10, random() % 4);
    };
    sim.advance(milliseconds(2000), change);
    std::size_t sum = 0;
    std::size_t most = 0;
    for (const auto& one : sim.gateways) {
        sum += one.sent;
        most = std::max(most, one.sent);
    }
    // A report and a sum every 50 ms.
    CHECK(sum <= count * 2 * 45);
    // A relay: at most one sum per ms.
    CHECK(most <= 2 * 1000 + 2 * 100);
}

// Guards against an overloaded relay: the sum of another zone is sent only when it has changed.
TEST_CASE("sums of other zones are sent only as often as they change", "[usage]") {
    fleet sim(250, 5);
    sim.advance(milliseconds(1000));
    for (auto& one : sim.gateways)
        one.zone_sums_sent = 0;
    std::mt19937 random(7);
    sim.advance(milliseconds(2000), [&sim, &random] {
        for (std::size_t i = 0; i < sim.gateways.size(); ++i)
            sim.set_usage(i, i % 5 * 10 + random() % 10, random() % 4);
    });
    const std::size_t relay = sim.relay_of(0);
    const std::size_t own_zone = 49 * 2000 / 50;
    const std::size_t other_zones = 49 * 4 * 2000 / 200;
    CHECK(sim.gateways[relay].zone_sums_sent <= (own_zone + other_zones) * 5 / 4);
}

// Guards against the loss of a zone's usage when its relay fails.
TEST_CASE("a failed relay is replaced by another gateway", "[usage]") {
    fleet sim(60, 3);
    sim.advance(milliseconds(1000));
    const std::size_t failed = sim.relay_of(0) == 0 ? 3 : sim.relay_of(0);
    const std::size_t observer = failed == 0 ? 3 : 0;
    REQUIRE(sim.relay_of(observer) == failed);
    sim.gateways[failed].frozen = true;
    sim.advance(milliseconds(1000));
    const std::size_t next = sim.relay_of(observer);
    CHECK(next != failed);
    const std::size_t changed = next == 6 ? 9 : 6;
    sim.set_usage(changed, 1, 5);
    sim.advance(milliseconds(150));
    for (std::size_t i = 0; i < 60; i += 3) {
        if (i != failed && i != changed)
            CHECK(sim.remote_online_seen(i, endpoint_name(1)) == 5);
    }
}

// Guards against a former relay that still acts as relay after a freeze, so that its usage reaches
// nobody.
TEST_CASE("a former relay reports to its successor", "[usage]") {
    fleet sim(60, 3);
    sim.advance(milliseconds(1000));
    const std::size_t failed = sim.relay_of(0) == 0 ? 0 : sim.relay_of(0);
    const std::size_t observer = failed == 0 ? 3 : 0;
    sim.gateways[failed].frozen = true;
    sim.advance(milliseconds(2000));
    sim.gateways[failed].frozen = false;
    sim.set_usage(failed, 1, 5);
    sim.advance(milliseconds(1000));
    CHECK(sim.remote_online_seen(observer, endpoint_name(1)) == 5);
}

// Guards against a relay without connections to its zone that leaves gateways without usage.
TEST_CASE("a relay that its zone can't reach is replaced until it is reachable", "[usage]") {
    fleet sim(60, 3);
    sim.advance(milliseconds(1000));
    const std::size_t cut = sim.relay_of(0);
    sim.is_connected = [cut](std::size_t from, std::size_t to) { return from != cut && to != cut; };
    sim.advance(milliseconds(1500));
    const std::size_t user = cut == 3 ? 9 : 3;
    const std::size_t observer = cut == 6 ? 12 : 6;
    sim.set_usage(user, 2, 4);
    sim.advance(milliseconds(150));
    CHECK(sim.remote_online_seen(observer, endpoint_name(2)) == 4);
    sim.is_connected = [](std::size_t, std::size_t) { return true; };
    sim.advance(milliseconds(7000));
    CHECK(sim.relay_of(observer) == cut);
    CHECK(sim.remote_online_seen(observer, endpoint_name(2)) == 4);
}

// Guards against gateways that disagree on the relay after others have joined and left in any
// order.
TEST_CASE("after random changes of the list all gateways count all usage", "[usage]") {
    std::mt19937 random(GENERATE(1U, 2U, 3U));
    fleet sim(40, 2);
    for (int round = 0; round < 20; ++round) {
        const entry_id changed_gateway = gateway_name(random() % 40);
        const std::size_t index = sim.by_name.at(changed_gateway);
        const bool joins = sim.unlisted.count(changed_gateway) > 0;
        if (joins)
            sim.unlisted.erase(changed_gateway);
        else
            sim.unlisted.insert(changed_gateway);
        sim.gateways[index].frozen = !joins;
        sim.update_lists();
        sim.advance(milliseconds(static_cast<std::int64_t>(random() % 1500)));
    }
    sim.advance(milliseconds(7000));
    for (std::size_t i = 0; i < 40; ++i)
        sim.set_usage(i, 0, 1);
    sim.advance(milliseconds(1000));
    const std::uint32_t live = static_cast<std::uint32_t>(40 - sim.unlisted.size());
    for (std::size_t i = 0; i < 40; ++i) {
        if (!sim.gateways[i].frozen)
            CHECK(sim.remote_online_seen(i, endpoint_name(0)) == live - 1);
    }
}

// Guards against sending every yield request to one gateway while others hold batch items there
// too.
TEST_CASE("yield requests are spread over the gateways that hold batch items", "[usage]") {
    fleet sim(30, 1);
    for (const std::size_t i : {3U, 4U, 5U})
        sim.gateways[i].own[endpoint_name(0)] = {0, 1, 0};
    sim.advance(milliseconds(500));
    usage_exchange& relay = *sim.gateways[sim.relay_of(0)].exchange;
    std::set<entry_id> asked;
    for (int i = 0; i < 3; ++i) {
        const std::optional<yield_target> target =
            relay.choose_yield_target(endpoint_name(0), false);
        REQUIRE(target);
        CHECK(target->holds_item);
        asked.insert(target->gateway);
    }
    CHECK(asked.size() == 3);
}

// Guards against a relay that reads past the end of its sums after the only items at an endpoint
// were asked to yield.
TEST_CASE("a relay publishes sums after batch items were asked to yield", "[usage]") {
    fleet sim(30, 1);
    for (const std::size_t i : {3U, 4U})
        sim.gateways[i].own[endpoint_name(0)] = {0, 1, 0};
    sim.advance(milliseconds(500));
    const std::size_t relay = sim.relay_of(0);
    for (int i = 0; i < 2; ++i)
        CHECK(sim.gateways[relay].exchange->choose_yield_target(endpoint_name(0), true));
    for (const std::size_t i : {3U, 4U})
        sim.gateways[i].own.clear();
    const instant now = sim.now + milliseconds(10);
    for (const usage_message& message : sim.gateways[relay].exchange->poll({}, now)) {
        for (const auto& zone : message.zones)
            CHECK(zone.second->empty());
    }
    sim.advance(milliseconds(500));
    for (const fleet::gateway& one : sim.gateways) {
        for (const auto& sender : one.received)
            CHECK(sender.second.empty());
    }
}

// Guards against yield requests that two relays pass back and forth for ever.
TEST_CASE("a yield request for another zone goes to its relay", "[usage]") {
    fleet sim(40, 2);
    sim.gateways[3].own[endpoint_name(0)] = {0, 1, 0};
    sim.advance(milliseconds(1500));
    usage_exchange& relay = *sim.gateways[sim.relay_of(0)].exchange;
    const std::optional<yield_target> target = relay.choose_yield_target(endpoint_name(0), false);
    REQUIRE(target);
    CHECK_FALSE(target->holds_item);
    CHECK(sim.by_name.at(target->gateway) == sim.relay_of(1));
    CHECK_FALSE(relay.choose_yield_target(endpoint_name(0), true));
}
