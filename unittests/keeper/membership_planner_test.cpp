// Bootstrap and membership changes of a group, and the transfer of snapshots.

#include "cassia/keeper/membership_planner.h"
#include "cassia/keeper/snapshot_transfer.h"
#include "cassia/schema/messages.pb.h"

#include <catch2/catch.hpp>

using namespace cassia;
using namespace cassia::keeper;

namespace {

const instant start = instant(std::chrono::seconds(1000));

keeper_status make_status(const std::string& node, std::uint64_t disk, bool empty,
                          instant last_seen, const std::string& zone = "") {
    return {node, disk_id(disk), "", empty, last_seen, zone};
}

// A group led by disk 1 of node k1, with further members that never respond.
consensus::raft_group make_leader(const consensus::member_list& others) {
    consensus::member_list members{{disk_id(1), "k1", "", true}};
    consensus::raft_group group(group_id(0), disk_id(1), consensus::raft_settings(),
                                {term_number(1), disk_id()},
                                consensus::raft_log({1, term_number(1), members}), 1, start);
    group.tick(start + milliseconds(1500));
    group.persisted(2, group.term());
    members.insert(members.end(), others.begin(), others.end());
    group.propose_members(members, start + milliseconds(1500));
    group.persisted(3, group.term());
    return group;
}

} // namespace

// Guards against a second bootstrap that discards everything accepted so far: two of three VMs come
// back with empty disks and form a majority of their own.
TEST_CASE("a group is bootstrapped only when every initial member reports an empty disk",
          "[keeper]") {
    membership_planner planner({"k1", "k2", "k3"});
    planner.update(make_status("k1", 1, true, start));
    planner.update(make_status("k2", 2, true, start));
    CHECK_FALSE(planner.initial_members(start));
    planner.update(make_status("k3", 3, false, start));
    CHECK_FALSE(planner.initial_members(start));
    planner.update(make_status("k3", 3, true, start));
    CHECK(planner.initial_members(start)->size() == 3);
    CHECK_FALSE(planner.initial_members(start + milliseconds(3500)));
}

TEST_CASE("a new disk joins as a learner before the old one is removed", "[keeper]") {
    const instant now = start + milliseconds(4000);
    membership_planner planner({"k1", "k2"});
    consensus::raft_group group = make_leader({{disk_id(2), "k2", "", false}});
    planner.update(make_status("k2", 22, true, now));
    const std::optional<consensus::member_list> members = planner.next_change(group, now);
    REQUIRE(members);
    REQUIRE(members->size() == 3);
    CHECK_FALSE(members->back().voter);
    CHECK(members->back().disk == disk_id(22));
    REQUIRE(group.propose_members(*members, now));
    group.persisted(4, group.term());
    CHECK_FALSE(planner.next_change(group, now + milliseconds(3500)));
}

TEST_CASE("no standby is added while all voters respond", "[keeper]") {
    const instant now = start + milliseconds(1600);
    membership_planner planner({"k1"});
    const consensus::raft_group group = make_leader({});
    planner.update(make_status("standby", 9, true, now));
    CHECK_FALSE(planner.next_change(group, now));
}

// Guards against a restored member that lacks bodies or returns those of other items, when parts of
// the snapshot are lost or repeated on the way.
TEST_CASE("a snapshot is complete despite lost and repeated parts", "[keeper]") {
    constexpr std::uint32_t body_count = 40;
    std::vector<storage::position> positions;
    for (std::uint32_t i = 0; i < body_count; ++i)
        positions.push_back({7, i});
    snapshot_sender sender({12, term_number(3), {{disk_id(1), "k1", "", true}}}, "state",
                           positions);
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
    snapshot_receiver::part_result last = snapshot_receiver::part_result::rejected;
    for (int i = 0; i < 100 && !sender.complete(); ++i) {
        now += milliseconds(1100);
        const auto part = sender.next_part(now, read);
        REQUIRE(part);
        REQUIRE(part.value());
        if (i % 3 == 0)
            continue; // Lost in transit.
        last = receiver.receive(term_number(4), *part.value(), write);
        REQUIRE(last != snapshot_receiver::part_result::rejected);
        const std::size_t written_once = written.size();
        CHECK(receiver.receive(term_number(4), *part.value(), write) ==
              (part.value()->last() ? last : snapshot_receiver::part_result::repeated));
        CHECK(written.size() == written_once);
        sender.on_acknowledged(part.value()->number());
        sender.on_acknowledged(part.value()->number());
    }
    CHECK(sender.complete());
    CHECK(last == snapshot_receiver::part_result::complete);
    CHECK(receiver.state() == "state");
    REQUIRE(receiver.relocations().size() == body_count);
    for (const auto& relocation : receiver.relocations())
        CHECK(written.at(relocation.second) == read(relocation.first).value());
}

// Guards against a group that is short of a voter for good, because a learner died before it was
// promoted.
TEST_CASE("a learner that died isn't counted as a member to come", "[keeper]") {
    membership_planner planner({"k1"});
    planner.set_target_size(2);
    const consensus::raft_group group = make_leader({{disk_id(2), "k2", "", false}});
    const instant now = start + milliseconds(5000);
    planner.update(make_status("k3", 3, false, now));
    const std::optional<consensus::member_list> members = planner.next_change(group, now);
    REQUIRE(members);
    CHECK(members->back().disk == disk_id(3));
}

// Guards against a group that grows by one with every replacement, because the replaced member is
// replaced again before it is removed.
TEST_CASE("a replaced member is removed before another one is added", "[keeper]") {
    const instant now = start + milliseconds(1600);
    membership_planner planner({"k1", "k2"});
    planner.set_target_size(2);
    planner.set_retiring({disk_id(2)});
    const consensus::raft_group group =
        make_leader({{disk_id(2), "k2", "", true}, {disk_id(3), "k3", "", true}});
    planner.update(make_status("k4", 4, false, now));
    const std::optional<consensus::member_list> members = planner.next_change(group, now);
    REQUIRE(members);
    REQUIRE(members->size() == 2);
    CHECK(members->back().disk == disk_id(3));
}

// Guards against a leader that adds one member after the other while it can't hand over.
TEST_CASE("a retiring leader is replaced once", "[keeper]") {
    const instant now = start + milliseconds(1600);
    membership_planner planner({"k1", "k2"});
    planner.set_target_size(2);
    planner.set_retiring({disk_id(1)});
    const consensus::raft_group group =
        make_leader({{disk_id(2), "k2", "", true}, {disk_id(3), "k3", "", true}});
    planner.update(make_status("k4", 4, false, now));
    CHECK_FALSE(planner.next_change(group, now));
}

// Guards against a group that keeps more voters than intended, which every change then waits for:
// one that was replaced has returned.
TEST_CASE("a surplus voter is removed once all voters have responded to the leader", "[keeper]") {
    const bool older_shares_zone = GENERATE(false, true);
    const instant now = start + milliseconds(1600);
    membership_planner planner({"k1", "k2"});
    planner.set_target_size(2);
    planner.update(make_status("k1", 1, false, now, "zone-a"));
    planner.update(make_status("k2", 2, false, now, older_shares_zone ? "zone-a" : "zone-b"));
    planner.update(make_status("k3", 3, false, now, "zone-c"));
    consensus::raft_group group =
        make_leader({{disk_id(2), "k2", "", true}, {disk_id(3), "k3", "", true}});
    for (const std::uint64_t disk : {2, 3}) {
        CHECK_FALSE(planner.next_change(group, now));
        schema::raft_message reply;
        reply.set_kind(schema::raft_message::append_reply);
        reply.set_from(disk);
        reply.set_to(1);
        reply.set_term(group.term().value());
        reply.set_index(group.log().last_index());
        group.receive(reply, now);
    }
    const std::optional<consensus::member_list> members = planner.next_change(group, now);
    REQUIRE(members);
    REQUIRE(members->size() == 2);
    CHECK(members->back().disk == disk_id(older_shares_zone ? 3 : 2));
}

// Guards against a group that loses its majority with a zone: its members were replaced by others
// in the order of their names.
TEST_CASE("a member is replaced by one of the zone that has fewest", "[keeper]") {
    const instant now = start + milliseconds(1600);
    membership_planner planner({"k1", "k2", "k3"});
    planner.set_target_size(3);
    planner.set_retiring({disk_id(3)});
    planner.update(make_status("k1", 1, false, now, "zone-a"));
    planner.update(make_status("k2", 2, false, now, "zone-b"));
    planner.update(make_status("k3", 3, false, now, "zone-c"));
    planner.update(make_status("k4", 4, false, now, "zone-a"));
    planner.update(make_status("k5", 5, false, now, "zone-b"));
    planner.update(make_status("k6", 6, false, now, "zone-c"));
    const consensus::raft_group group =
        make_leader({{disk_id(2), "k2", "", true}, {disk_id(3), "k3", "", true}});
    const std::optional<consensus::member_list> members = planner.next_change(group, now);
    REQUIRE(members);
    CHECK(members->back().disk == disk_id(6));
}

// Guards against a group that stays as small as its list of seeds: with three seeds and two
// tolerated losses, it must grow from three members to five, one at a time, and no further.
TEST_CASE("a group grows to its target size, one member at a time", "[keeper]") {
    const instant now = start + milliseconds(1600);
    membership_planner planner({"k1"});
    planner.set_target_size(2);
    consensus::raft_group group = make_leader({});
    planner.update(make_status("k2", 2, false, now));
    planner.update(make_status("k3", 3, false, now));
    const std::optional<consensus::member_list> members = planner.next_change(group, now);
    REQUIRE(members);
    REQUIRE(members->size() == 2);
    REQUIRE(group.propose_members(*members, now));
    group.persisted(group.log().last_index(), group.term());
    CHECK_FALSE(planner.next_change(group, now));
}

// A retired keeper is taken away with its disk at once. Guards against removing it from its group
// before its replacement votes: the next loss would then cost acknowledged jobs.
TEST_CASE("a retiring member stays until its replacement has joined", "[keeper]") {
    const instant now = start + milliseconds(1600);
    membership_planner planner({"k1", "k2"});
    planner.set_target_size(2);
    planner.set_retiring({disk_id(2)});
    consensus::raft_group group = make_leader({{disk_id(2), "k2", "", true}});
    planner.update(make_status("k2", 2, false, now));
    CHECK_FALSE(planner.next_change(group, now));
    planner.update(make_status("k3", 3, false, now));
    const std::optional<consensus::member_list> members = planner.next_change(group, now);
    REQUIRE(members);
    CHECK(members->size() == 3);
    CHECK(members->back().disk == disk_id(3));
    CHECK_FALSE(members->back().voter);
}
