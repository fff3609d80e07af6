// Incremental distribution of the list of entries.

#include "cassia/membership/entry_roster.h"

#include <catch2/catch.hpp>

#include <random>
#include <set>

using namespace cassia;
using namespace cassia::membership;

namespace {

constexpr milliseconds unresponsive_after(3000);
const peer_address first_keeper("10.0.0.1:1");
const peer_address second_keeper("10.0.0.2:1");

schema::entry_hello heartbeat_of(int number, std::uint64_t incarnation = 1) {
    schema::entry_hello heartbeat;
    heartbeat.set_entry("g" + std::to_string(number));
    heartbeat.set_incarnation(incarnation);
    heartbeat.set_peer_address("10.1.0." + std::to_string(number) + ":7");
    heartbeat.set_zone("a");
    return heartbeat;
}

schema::keeper_beacon beacon_for(const entry_roster& roster, const roster_copy& copy, instant now) {
    schema::entry_hello request;
    copy.write(request);
    schema::keeper_beacon beacon;
    roster.write(request.entries_epoch(), request.entries_revision(), beacon, now);
    return beacon;
}

} // namespace

// Guards against sending the whole list, which grows with the cluster, whenever one entry joins or
// leaves.
TEST_CASE("a copy that has the list gets only the change", "[roster]") {
    instant now(std::chrono::seconds(100));
    entry_roster roster(7, unresponsive_after);
    for (int i = 0; i < 250; ++i)
        roster.observe(heartbeat_of(i), now);
    roster_copy copy("g0");
    copy.follow(first_keeper);
    CHECK(copy.apply_beacon(first_keeper, beacon_for(roster, copy, now)));
    CHECK(copy.entries().size() == 249);
    roster.observe(heartbeat_of(3, 2), now);
    const schema::keeper_beacon beacon = beacon_for(roster, copy, now);
    CHECK(beacon.entries_size() == 1);
    CHECK(copy.apply_beacon(first_keeper, beacon));
    CHECK(copy.entries().at(entry_id("g3")).incarnation() == 2);
    CHECK_FALSE(copy.apply_beacon(first_keeper, beacon_for(roster, copy, now)));
}

// Guards against a copy that mixes the lists of two keepers: it would keep entries that the newly
// followed keeper doesn't list, or restore entries lost in between.
TEST_CASE("another keeper's list replaces the copy", "[roster]") {
    instant now(std::chrono::seconds(100));
    entry_roster first_roster(1, unresponsive_after);
    entry_roster second_roster(2, unresponsive_after);
    for (int i = 1; i < 5; ++i)
        first_roster.observe(heartbeat_of(i), now);
    second_roster.observe(heartbeat_of(2), now);
    roster_copy copy("g0");
    copy.follow(first_keeper);
    copy.apply_beacon(first_keeper, beacon_for(first_roster, copy, now));
    const schema::keeper_beacon late = beacon_for(first_roster, copy, now);
    now += milliseconds(1000);
    copy.follow(second_keeper);
    CHECK(copy.apply_beacon(second_keeper, beacon_for(second_roster, copy, now)));
    CHECK(copy.entries().size() == 1);
    CHECK_FALSE(copy.apply_beacon(first_keeper, late));
}

// Guards against copies that diverge: entries join, leave, restart and drain in random order,
// beacons are lost or late, keepers restart, and another keeper is followed.
TEST_CASE("under random events the copy converges to the list of its source", "[roster]") {
    std::mt19937 random(GENERATE(range(1U, 21U)));
    instant now(std::chrono::seconds(100));
    std::uint64_t epoch = 1;
    std::map<peer_address, entry_roster> rosters;
    rosters.emplace(first_keeper, entry_roster(epoch++, unresponsive_after));
    rosters.emplace(second_keeper, entry_roster(epoch++, unresponsive_after));
    std::map<int, schema::entry_hello> alive;
    std::vector<std::pair<peer_address, schema::keeper_beacon>> late;
    roster_copy copy("g0");
    peer_address followed = first_keeper;
    const auto exchange = [&](bool lossy) {
        const peer_address source = followed;
        copy.follow(source);
        const schema::keeper_beacon beacon = beacon_for(rosters.at(source), copy, now);
        if (!lossy || random() % 3 != 0)
            copy.apply_beacon(source, beacon);
        else
            late.emplace_back(source, beacon);
        if (lossy && !late.empty() && random() % 4 == 0) {
            copy.apply_beacon(late.front().first, late.front().second);
            late.erase(late.begin());
        }
    };
    for (int step = 0; step < 1500; ++step) {
        now += milliseconds(250);
        const int number = 1 + static_cast<int>(random() % 12);
        switch (random() % 8) {
        case 0:
            alive[number] = heartbeat_of(number, static_cast<std::uint64_t>(step) + 1);
            break;
        case 1:
            alive.erase(number);
            break;
        case 2:
            if (alive.count(number) > 0)
                alive[number].set_draining(true);
            break;
        case 3:
            if (random() % 20 == 0) {
                const peer_address restarted = random() % 2 == 0 ? first_keeper : second_keeper;
                rosters.insert_or_assign(restarted, entry_roster(epoch++, unresponsive_after));
            }
            break;
        case 4:
            if (random() % 10 == 0)
                followed = random() % 2 == 0 ? first_keeper : second_keeper;
            break;
        default:
            break;
        }
        for (auto& roster : rosters) {
            for (const auto& entry : alive)
                roster.second.observe(entry.second, now);
            roster.second.mark_lost(now);
        }
        exchange(true);
    }
    for (int i = 0; i < 20; ++i) {
        now += milliseconds(250);
        for (auto& roster : rosters) {
            for (const auto& entry : alive)
                roster.second.observe(entry.second, now);
            roster.second.mark_lost(now);
        }
        exchange(false);
    }
    std::set<std::string> expected;
    for (const auto& entry : alive)
        expected.insert(entry.second.entry() + (entry.second.draining() ? "-" : "+"));
    std::set<std::string> copied;
    for (const auto& entry : copy.entries())
        copied.insert(entry.first.str() + (entry.second.draining() ? "-" : "+"));
    CHECK(copied == expected);
}
