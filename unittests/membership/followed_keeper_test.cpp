// Which keeper of the control group an entry follows.

#include "cassia/membership/followed_keeper.h"

#include <catch2/catch.hpp>

#include <map>

using namespace cassia;
using namespace cassia::membership;

namespace {

const peer_address near_keeper("10.1.0.1:7");
const peer_address far_keeper("10.2.0.1:7");
const peer_address third_keeper("10.3.0.1:7");
const instant start(std::chrono::seconds(100));

followed_keeper with_all_heard(const std::string& self = "g1") {
    followed_keeper one(self, zone_id("a"));
    one.set_zone(near_keeper, zone_id("a"));
    one.set_zone(far_keeper, zone_id("b"));
    one.set_zone(third_keeper, zone_id("c"));
    for (const peer_address& keeper : {near_keeper, far_keeper, third_keeper})
        one.record_reply(keeper, true, start);
    return one;
}

} // namespace

// Guards against news that cross zones though a keeper of the own zone has them.
TEST_CASE("a keeper of the own zone is followed", "[follow]") {
    CHECK(with_all_heard().choose(start) == near_keeper);
}

// Guards against an entry that hears nothing new while its keeper is dead.
TEST_CASE("another keeper is followed once one falls silent", "[follow]") {
    followed_keeper one = with_all_heard();
    CHECK(one.choose(start) == near_keeper);
    CHECK(one.choose(start + milliseconds(700)) == near_keeper);
    const instant later = start + milliseconds(1000);
    const peer_address next = one.choose(later);
    CHECK(next != near_keeper);
    CHECK_FALSE(next.empty());
    one.record_reply(near_keeper, true, later + milliseconds(6000));
    one.record_reply(next, true, later + milliseconds(6000));
    CHECK(one.choose(later + milliseconds(6000)) == near_keeper);
}

// Guards against an entry that goes by a keeper cut off from the rest of its group.
TEST_CASE("a keeper that is out of touch is left for one in touch", "[follow]") {
    followed_keeper one = with_all_heard();
    CHECK(one.choose(start) == near_keeper);
    one.record_reply(near_keeper, false, start + milliseconds(250));
    CHECK(one.choose(start + milliseconds(250)) != near_keeper);
    CHECK(one.is_in_touch());
}

// Guards against no news at all while the whole group has no leader.
TEST_CASE("without any in touch one is followed all the same", "[follow]") {
    followed_keeper one = with_all_heard();
    CHECK(one.choose(start) == near_keeper);
    for (const peer_address& keeper : {near_keeper, far_keeper, third_keeper})
        one.record_reply(keeper, false, start + milliseconds(250));
    CHECK_FALSE(one.choose(start + milliseconds(300)).empty());
    CHECK_FALSE(one.is_in_touch());
}

// Guards against all entries of zones without a keeper that follow the same one.
TEST_CASE("entries spread over the keepers", "[follow]") {
    std::map<peer_address, int> followers;
    for (int i = 0; i < 300; ++i) {
        followed_keeper one("g" + std::to_string(i), zone_id("elsewhere"));
        for (const peer_address& keeper : {near_keeper, far_keeper, third_keeper})
            one.record_reply(keeper, true, start);
        ++followers[one.choose(start)];
    }
    CHECK(followers.size() == 3);
    for (const auto& one : followers)
        CHECK(one.second > 60);
}
