// Which keeper of the control group an entry follows.

#include "cassia/membership/followed_keeper.h"

#include <catch2/catch.hpp>

#include <map>

using namespace cassia;
using namespace cassia::membership;

namespace {

const peer_address own_zone_keeper("10.1.0.1:7");
const peer_address second_keeper("10.2.0.1:7");
const peer_address third_keeper("10.3.0.1:7");
const instant start(std::chrono::seconds(100));

followed_keeper follower_of_all(const std::string& self = "g1") {
    followed_keeper selection(self, zone_id("a"));
    selection.set_zone(own_zone_keeper, zone_id("a"));
    selection.set_zone(second_keeper, zone_id("b"));
    selection.set_zone(third_keeper, zone_id("c"));
    for (const peer_address& keeper : {own_zone_keeper, second_keeper, third_keeper})
        selection.record_reply(keeper, true, start);
    return selection;
}

} // namespace

// Guards against beacons from another zone although a keeper of its own zone could send them.
TEST_CASE("a keeper of the entry's own zone is preferred", "[follow]") {
    CHECK(follower_of_all().choose(start) == own_zone_keeper);
}

// Guards against an entry that gets no updates because the keeper it follows has failed.
TEST_CASE("another keeper is chosen once the followed keeper is unresponsive", "[follow]") {
    followed_keeper selection = follower_of_all();
    CHECK(selection.choose(start) == own_zone_keeper);
    CHECK(selection.choose(start + milliseconds(700)) == own_zone_keeper);
    const instant later = start + milliseconds(1000);
    const peer_address next = selection.choose(later);
    CHECK(next != own_zone_keeper);
    CHECK_FALSE(next.empty());
    selection.record_reply(own_zone_keeper, true, later + milliseconds(6000));
    selection.record_reply(next, true, later + milliseconds(6000));
    CHECK(selection.choose(later + milliseconds(6000)) == own_zone_keeper);
}

// Guards against an entry that follows a keeper partitioned from the rest of its group.
TEST_CASE("a keeper out of touch with its leader is replaced by one in touch", "[follow]") {
    followed_keeper selection = follower_of_all();
    CHECK(selection.choose(start) == own_zone_keeper);
    selection.record_reply(own_zone_keeper, false, start + milliseconds(250));
    CHECK(selection.choose(start + milliseconds(250)) != own_zone_keeper);
    CHECK(selection.is_in_touch());
}

// Guards against an entry that copies the lists of a keeper that is cut off, since both others
// failed for a moment one after the other.
TEST_CASE("a keeper that replies again is preferred to one out of touch", "[follow]") {
    followed_keeper selection = follower_of_all();
    instant now = start;
    const auto reply = [&](const peer_address& keeper) {
        selection.record_reply(keeper, keeper != own_zone_keeper, now);
    };
    reply(own_zone_keeper);
    const peer_address first = selection.choose(now);
    now += milliseconds(900);
    const peer_address second = selection.choose(now);
    CHECK(second != first);
    now += milliseconds(900);
    reply(own_zone_keeper);
    CHECK(selection.choose(now) == own_zone_keeper);
    now += milliseconds(100);
    reply(first);
    CHECK(selection.choose(now) == first);
    CHECK(selection.is_in_touch());
    now += milliseconds(300);
    reply(first);
    CHECK(selection.choose(now) == first);
    now += milliseconds(900);
    reply(own_zone_keeper);
    CHECK(selection.choose(now) == own_zone_keeper);
}

// Guards against an entry that gets no updates at all while the group has no leader.
TEST_CASE("if no keeper is in touch, one is chosen nevertheless", "[follow]") {
    followed_keeper selection = follower_of_all();
    CHECK(selection.choose(start) == own_zone_keeper);
    for (const peer_address& keeper : {own_zone_keeper, second_keeper, third_keeper})
        selection.record_reply(keeper, false, start + milliseconds(250));
    CHECK_FALSE(selection.choose(start + milliseconds(300)).empty());
    CHECK_FALSE(selection.is_in_touch());
}

// Guards against entries in zones without a keeper all choosing the same keeper.
TEST_CASE("entries are distributed over the keepers", "[follow]") {
    std::map<peer_address, int> followers;
    for (int i = 0; i < 300; ++i) {
        followed_keeper selection("g" + std::to_string(i), zone_id("elsewhere"));
        for (const peer_address& keeper : {own_zone_keeper, second_keeper, third_keeper})
            selection.record_reply(keeper, true, start);
        ++followers[selection.choose(start)];
    }
    CHECK(followers.size() == 3);
    for (const auto& count : followers)
        CHECK(count.second > 60);
}
