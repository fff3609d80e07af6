// Whether a gateway's copies of the lists of control keepers are recent.

#include "cassia/membership/control_lists.h"

#include <catch2/catch.hpp>

using namespace cassia;
using namespace cassia::membership;

namespace {

const peer_address first("10.1.0.1:7");
const peer_address second("10.2.0.1:7");
const peer_address third("10.3.0.1:7");
const std::set<peer_address> members = {first, second, third};
const instant start(std::chrono::seconds(100));

schema::keeper_beacon list_of(std::uint64_t base, std::uint64_t revision,
                              const std::vector<std::string>& ids) {
    schema::keeper_beacon beacon;
    beacon.set_directory_epoch(7);
    beacon.set_endpoints_base(base);
    beacon.set_directory_revision(revision);
    for (const std::string& id : ids) {
        schema::endpoint_record* record = beacon.add_endpoints();
        record->set_id(id);
        record->set_incarnation(1);
        record->set_address("10.0.0.1:" + std::to_string(id.at(0)));
    }
    return beacon;
}

} // namespace

// Guards against one keeper's list, or lists from before a request, counting as proof.
TEST_CASE("lists are current once a majority and the followed keeper replied", "[control-lists]") {
    control_lists lists;
    lists.note_current(first, start - milliseconds(1), start);
    lists.note_current(second, start, start);
    CHECK_FALSE(lists.are_current(members, second, start));
    lists.note_current(third, start + milliseconds(5), start + milliseconds(9));
    CHECK(lists.are_current(members, second, start));
    CHECK_FALSE(lists.are_current(members, first, start));
    CHECK_FALSE(lists.are_current(members, peer_address(), start));
    CHECK_FALSE(lists.are_current(members, second, start + milliseconds(1)));
    lists.note_current(second, start - milliseconds(50), start + milliseconds(10));
    CHECK(lists.are_current(members, second, start));
}

// Guards against replies meant for a process on a VM that has been restarted since.
TEST_CASE("a reply that echoes a later clock proves nothing", "[control-lists]") {
    control_lists lists;
    for (const peer_address& keeper : members)
        lists.note_current(keeper, start + milliseconds(1), start);
    CHECK_FALSE(lists.are_current(members, first, start));
}

// Guards against a copy that counts as current although it lacks changes.
TEST_CASE("a copy is current only when it has all changes", "[control-lists]") {
    control_lists lists;
    CHECK_FALSE(lists.apply_beacon(first, schema::keeper_beacon(), start));
    CHECK_FALSE(lists.apply_beacon(first, list_of(3, 5, {"b"}), start));
    CHECK(lists.apply_beacon(first, list_of(0, 3, {"a"}), start));
    CHECK_FALSE(lists.apply_beacon(first, list_of(4, 5, {"b"}), start));
    CHECK(lists.apply_beacon(first, list_of(3, 5, {"b"}), start));
    CHECK_FALSE(lists.apply_beacon(first, list_of(0, 4, {}), start));
    CHECK(lists.all(first).size() == 2);
    schema::entry_hello heartbeat;
    lists.write(first, heartbeat);
    CHECK(heartbeat.directory_revision() == 5);
    lists.write(second, heartbeat);
    CHECK(heartbeat.directory_revision() == 0);
    lists.drop_old(start + std::chrono::minutes(1));
    lists.write(first, heartbeat);
    CHECK(heartbeat.directory_revision() == 0);
}
