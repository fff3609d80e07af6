// How a cluster forms, and what replaces a lost disk.

#include "cassia/keeper/membership_planner.h"
#include "cassia/keeper/snapshot_transfer.h"
#include "cassia/schema/messages.pb.h"

#include <catch2/catch.hpp>

using namespace cassia;
using namespace cassia::keeper;

namespace {

const instant start = instant(std::chrono::seconds(1000));

keeper_sighting sighting(const std::string& node, std::uint64_t disk, bool empty, instant seen) {
    return {node, disk_id(disk), "", empty, seen};
}

consensus::raft_group lone_leader(const consensus::member_list& more) {
    consensus::member_list list{{disk_id(1), "k1", "", true}};
    consensus::raft_group group(group_id(0), disk_id(1), consensus::raft_settings(),
                                {term_number(1), disk_id()},
                                consensus::raft_log({1, term_number(1), list}), 1, start);
    group.tick(start + milliseconds(1500));
    group.persisted(2, group.term());
    list.insert(list.end(), more.begin(), more.end());
    group.propose_members(list, start + milliseconds(1500));
    group.persisted(3, group.term());
    return group;
}

} // namespace

// Story: two of three VMs lose their disks, come back, and print an empty fleet's lists as if
// nothing had ever been accepted.
TEST_CASE("a cluster forms only when every founder says it is empty", "[keeper]") {
    founding one({"k1", "k2", "k3"});
    one.saw(sighting("k1", 1, true, start));
    one.saw(sighting("k2", 2, true, start));
    CHECK_FALSE(one.first_members(start));
    one.saw(sighting("k3", 3, false, start));
    CHECK_FALSE(one.first_members(start));
    one.saw(sighting("k3", 3, true, start));
    CHECK(one.first_members(start)->size() == 3);
    CHECK_FALSE(one.first_members(start + milliseconds(3500)));
}

TEST_CASE("a new disk joins as a learner and replaces the old one last", "[keeper]") {
    const instant now = start + milliseconds(4000);
    founding one({"k1", "k2"});
    consensus::raft_group group = lone_leader({{disk_id(2), "k2", "", false}});
    one.saw(sighting("k2", 22, true, now));
    const std::optional<consensus::member_list> learner = one.next_change(group, now);
    REQUIRE(learner);
    REQUIRE(learner->size() == 3);
    CHECK_FALSE(learner->back().voter);
    CHECK(learner->back().disk == disk_id(22));
    REQUIRE(group.propose_members(*learner, now));
    group.persisted(4, group.term());
    CHECK_FALSE(one.next_change(group, now + milliseconds(3500)));
}

TEST_CASE("a spare joins only while a voter is silent", "[keeper]") {
    const instant now = start + milliseconds(1600);
    founding one({"k1"});
    const consensus::raft_group group = lone_leader({});
    one.saw(sighting("spare", 9, true, now));
    CHECK_FALSE(one.next_change(group, now));
}

// Story: a repaired keeper serves results with other items' bodies, or misses some.
TEST_CASE("a snapshot arrives whole, with lost and doubled parts", "[keeper]") {
    constexpr std::uint32_t bodies = 40;
    std::vector<storage::position> places;
    for (std::uint32_t i = 0; i < bodies; ++i)
        places.push_back({7, i});
    snapshot_sender sender({12, term_number(3), {{disk_id(1), "k1", "", true}}}, "state", places);
    snapshot_receiver receiver;
    std::map<storage::position, std::string> written;
    const auto read = [](const storage::position& at) -> storage::result<std::string> {
        return std::string(100000, 'b') + std::to_string(at.offset);
    };
    const auto write = [&written](const std::string& body) {
        const storage::position at{1, written.size()};
        written[at] = body;
        return at;
    };
    instant now = start;
    snapshot_receiver::progress last = snapshot_receiver::progress::refused;
    for (int i = 0; i < 100 && !sender.complete(); ++i) {
        now += milliseconds(1100);
        const auto part = sender.next_part(now, read);
        REQUIRE(part);
        REQUIRE(part.value());
        if (i % 3 == 0)
            continue; // Lost on the way.
        last = receiver.take(*part.value(), write);
        REQUIRE(last != snapshot_receiver::progress::refused);
        CHECK(receiver.take(*part.value(), write) ==
              (part.value()->number() == 0 ? last : snapshot_receiver::progress::refused));
        sender.taken(part.value()->number());
        sender.taken(part.value()->number());
    }
    CHECK(sender.complete());
    CHECK(last == snapshot_receiver::progress::complete);
    CHECK(receiver.state() == "state");
    REQUIRE(receiver.places().size() == bodies);
    for (const auto& place : receiver.places())
        CHECK(written.at(place.second) == read(place.first).value());
}

// Story: seeds name three keepers, but two VMs with disks may be lost at once. A group of three
// founders must grow to five, one member after the other, and no further.
TEST_CASE("a group grows to its target, one joining member at a time", "[keeper]") {
    const instant now = start + milliseconds(1600);
    founding one({"k1"});
    one.set_target(2);
    consensus::raft_group group = lone_leader({});
    one.saw(sighting("k2", 2, false, now));
    one.saw(sighting("k3", 3, false, now));
    const std::optional<consensus::member_list> grown = one.next_change(group, now);
    REQUIRE(grown);
    REQUIRE(grown->size() == 2);
    REQUIRE(group.propose_members(*grown, now));
    group.persisted(group.log().last_index(), group.term());
    CHECK_FALSE(one.next_change(group, now));
}

// Story: a store is taken away with its disk as soon as it is said to be empty. Were its group to
// put it out before another member is in its place, the next loss would cost acknowledged jobs.
TEST_CASE("a retiring member leaves only when another one is in its place", "[keeper]") {
    const instant now = start + milliseconds(1600);
    founding one({"k1", "k2"});
    one.set_target(2);
    one.set_retiring({disk_id(2)});
    consensus::raft_group group = lone_leader({{disk_id(2), "k2", "", true}});
    one.saw(sighting("k2", 2, false, now));
    CHECK_FALSE(one.next_change(group, now));
    one.saw(sighting("k3", 3, false, now));
    const std::optional<consensus::member_list> joined = one.next_change(group, now);
    REQUIRE(joined);
    CHECK(joined->size() == 3);
    CHECK(joined->back().disk == disk_id(3));
    CHECK_FALSE(joined->back().voter);
}
