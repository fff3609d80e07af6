// Which gateways hear of which slots in use, at several sizes and while relays fail.

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

/// Gateways in zones, with messages that arrive within the same step.
struct fleet {
    struct gateway {
        zone_id zone;
        std::unique_ptr<usage_exchange> exchange;
        slot_usage_map own;
        std::map<entry_id, slot_usage_map> book; ///< as a slot table would keep it
        std::size_t sent = 0;
        std::size_t zones_sent = 0;
        bool frozen = false;
    };
    std::vector<gateway> gateways;
    std::map<entry_id, std::size_t> by_name;
    std::set<entry_id> unlisted;
    instant now = instant(std::chrono::seconds(1000));
    std::function<bool(std::size_t from, std::size_t to)> passes = [](std::size_t, std::size_t) {
        return true;
    };

    fleet(std::size_t count, std::size_t zones) {
        for (std::size_t i = 0; i < count; ++i) {
            gateway one;
            one.zone = zone_id("z" + std::to_string(i % zones));
            one.exchange = std::make_unique<usage_exchange>(gateway_name(i), one.zone);
            by_name[gateway_name(i)] = i;
            gateways.push_back(std::move(one));
        }
        list();
    }

    void list() {
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
            gateways[from].zones_sent += message.zones.size();
            if (gateways[to].frozen || !passes(from, to))
                return;
        }
        gateway& target = gateways[to];
        if (message.kind == usage_message::content::own_use) {
            target.book[gateway_name(from)] = message.own;
        } else if (message.kind == usage_message::content::report) {
            target.exchange->receive_report(gateway_name(from), message.own, now);
        } else if (to == from || target.exchange->receive_sums(
                                     gateway_name(from), gateways[from].zone, message.zones, now)) {
            for (const auto& zone : message.zones)
                target.book[usage_exchange::zone_key(zone.first)] = *zone.second;
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

    /// Online requests at an endpoint that a gateway believes the others to have under way.
    std::uint32_t others_seen(std::size_t i, const endpoint_id& endpoint) const {
        slot_usage_map sum;
        for (const auto& one : gateways[i].book)
            add_usage(sum, one.second);
        auto found = sum.find(endpoint);
        return found == sum.end() ? 0 : found->second.online;
    }

    std::size_t relay_of(std::size_t i) const {
        const std::optional<entry_id> relay = gateways[i].exchange->relay();
        return relay ? by_name.at(*relay) : i;
    }

    void use(std::size_t i, std::size_t endpoint, std::uint32_t online) {
        gateways[i].own[endpoint_name(endpoint)] = {online, 0, 0};
    }
};

} // namespace

// Guards against use that some gateway never hears of, or counts twice, in mesh and relay mode.
TEST_CASE("each gateway hears once what the others use", "[usage]") {
    const std::size_t count = GENERATE(2U, 7U, 21U, 22U, 73U);
    fleet all(count, 3);
    all.advance(milliseconds(1000));
    for (std::size_t i = 0; i < count; ++i)
        all.use(i, i % 4, 1 + i % 3);
    all.advance(milliseconds(1000));
    for (std::size_t e = 0; e < 4; ++e) {
        std::uint32_t sum = 0;
        for (const auto& one : all.gateways) {
            auto found = one.own.find(endpoint_name(e));
            sum += found == one.own.end() ? 0 : found->second.online;
        }
        for (std::size_t i = 0; i < count; ++i) {
            auto own = all.gateways[i].own.find(endpoint_name(e));
            const std::uint32_t mine = own == all.gateways[i].own.end() ? 0 : own->second.online;
            CHECK(all.others_seen(i, endpoint_name(e)) == sum - mine);
        }
    }
}

// Guards against messages that grow with the square of the fleet: all use changes all the time.
TEST_CASE("messages of a gateway don't grow with the fleet", "[usage]") {
    const std::size_t count = GENERATE(30U, 300U, 1000U);
    fleet all(count, 5);
    all.advance(milliseconds(1000));
    for (auto& one : all.gateways)
        one.sent = 0;
    std::mt19937 random(7);
    const auto change = [&all, &random] {
        for (std::size_t i = 0; i < all.gateways.size(); ++i)
            all.use(i, i % 5 * 10 + random() % 10, random() % 4);
    };
    all.advance(milliseconds(2000), change);
    std::size_t sum = 0;
    std::size_t most = 0;
    for (const auto& one : all.gateways) {
        sum += one.sent;
        most = std::max(most, one.sent);
    }
    // A report and a sum each 50 ms.
    CHECK(sum <= count * 2 * 45);
    // A relay: at most one sum a ms.
    CHECK(most <= 2 * 1000 + 2 * 100);
}

// Guards against a relay too busy to relay: what other zones use is sent only once it has changed.
TEST_CASE("sums of other zones are sent as seldom as they change", "[usage]") {
    fleet all(250, 5);
    all.advance(milliseconds(1000));
    for (auto& one : all.gateways)
        one.zones_sent = 0;
    std::mt19937 random(7);
    all.advance(milliseconds(2000), [&all, &random] {
        for (std::size_t i = 0; i < all.gateways.size(); ++i)
            all.use(i, i % 5 * 10 + random() % 10, random() % 4);
    });
    const std::size_t relay = all.relay_of(0);
    const std::size_t own_zone = 49 * 2000 / 50;
    const std::size_t other_zones = 49 * 4 * 2000 / 200;
    CHECK(all.gateways[relay].zones_sent <= (own_zone + other_zones) * 5 / 4);
}

// Guards against the loss of all news of a zone with its relay.
TEST_CASE("another gateway relays once the relay fails", "[usage]") {
    fleet all(60, 3);
    all.advance(milliseconds(1000));
    const std::size_t failed = all.relay_of(0) == 0 ? 3 : all.relay_of(0);
    const std::size_t watcher = failed == 0 ? 3 : 0;
    REQUIRE(all.relay_of(watcher) == failed);
    all.gateways[failed].frozen = true;
    all.advance(milliseconds(1000));
    const std::size_t next = all.relay_of(watcher);
    CHECK(next != failed);
    const std::size_t changed = next == 6 ? 9 : 6;
    all.use(changed, 1, 5);
    all.advance(milliseconds(150));
    for (std::size_t i = 0; i < 60; i += 3) {
        if (i != failed && i != changed)
            CHECK(all.others_seen(i, endpoint_name(1)) == 5);
    }
}

// Guards against a relay that wakes after a freeze, takes itself for the relay and tells nobody.
TEST_CASE("a relay that nobody reports to any more reports to the next", "[usage]") {
    fleet all(60, 3);
    all.advance(milliseconds(1000));
    const std::size_t failed = all.relay_of(0) == 0 ? 0 : all.relay_of(0);
    const std::size_t watcher = failed == 0 ? 3 : 0;
    all.gateways[failed].frozen = true;
    all.advance(milliseconds(2000));
    all.gateways[failed].frozen = false;
    all.use(failed, 1, 5);
    all.advance(milliseconds(1000));
    CHECK(all.others_seen(watcher, endpoint_name(1)) == 5);
}

// Guards against a relay cut off from its zone that keeps part of it uninformed.
TEST_CASE("a relay that its zone can't reach is replaced", "[usage]") {
    fleet all(60, 3);
    all.advance(milliseconds(1000));
    const std::size_t cut = all.relay_of(0);
    all.passes = [cut](std::size_t from, std::size_t to) { return from != cut && to != cut; };
    all.advance(milliseconds(1500));
    const std::size_t user = cut == 3 ? 9 : 3;
    const std::size_t watcher = cut == 6 ? 12 : 6;
    all.use(user, 2, 4);
    all.advance(milliseconds(150));
    CHECK(all.others_seen(watcher, endpoint_name(2)) == 4);
    all.passes = [](std::size_t, std::size_t) { return true; };
    all.advance(milliseconds(7000));
    CHECK(all.relay_of(watcher) == cut);
    CHECK(all.others_seen(watcher, endpoint_name(2)) == 4);
}

// Guards against gateways that join and leave: in any order, all agree and hear of each other.
TEST_CASE("after random changes of the list all hear of all", "[usage]") {
    std::mt19937 random(GENERATE(1U, 2U, 3U));
    fleet all(40, 2);
    for (int round = 0; round < 20; ++round) {
        const entry_id who = gateway_name(random() % 40);
        const std::size_t index = all.by_name.at(who);
        const bool joins = all.unlisted.count(who) > 0;
        if (joins)
            all.unlisted.erase(who);
        else
            all.unlisted.insert(who);
        all.gateways[index].frozen = !joins;
        all.list();
        all.advance(milliseconds(static_cast<std::int64_t>(random() % 1500)));
    }
    all.advance(milliseconds(7000));
    for (std::size_t i = 0; i < 40; ++i)
        all.use(i, 0, 1);
    all.advance(milliseconds(1000));
    const std::uint32_t live = static_cast<std::uint32_t>(40 - all.unlisted.size());
    for (std::size_t i = 0; i < 40; ++i) {
        if (!all.gateways[i].frozen)
            CHECK(all.others_seen(i, endpoint_name(0)) == live - 1);
    }
}

// Guards against one gateway that is asked for each slot, while others hold batch items there too.
TEST_CASE("yields are spread over the gateways that hold items", "[usage]") {
    fleet all(30, 1);
    for (const std::size_t i : {3U, 4U, 5U})
        all.gateways[i].own[endpoint_name(0)] = {0, 1, 0};
    all.advance(milliseconds(500));
    usage_exchange& relay = *all.gateways[all.relay_of(0)].exchange;
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

// Guards against yields that two relays pass to each other for ever.
TEST_CASE("a slot of another zone is asked of its relay", "[usage]") {
    fleet all(40, 2);
    all.gateways[3].own[endpoint_name(0)] = {0, 1, 0};
    all.advance(milliseconds(1500));
    usage_exchange& relay = *all.gateways[all.relay_of(0)].exchange;
    const std::optional<yield_target> target = relay.choose_yield_target(endpoint_name(0), false);
    REQUIRE(target);
    CHECK_FALSE(target->holds_item);
    CHECK(all.by_name.at(target->gateway) == all.relay_of(1));
    CHECK_FALSE(relay.choose_yield_target(endpoint_name(0), true));
}
