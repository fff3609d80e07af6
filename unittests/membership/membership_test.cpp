// Who lives, who leaves, and whether an entry may trust what it knows.

#include "cassia/membership/beacon_freshness.h"
#include "cassia/membership/endpoint_directory.h"
#include "cassia/membership/entry_list.h"

#include <catch2/catch.hpp>

#include <map>

using namespace cassia;
using namespace cassia::membership;

namespace {

const instant start = instant(std::chrono::seconds(1000));

schema::endpoint_record record(std::uint64_t incarnation, bool leaving = false) {
    schema::endpoint_record made;
    made.set_id("engine-1");
    made.set_incarnation(incarnation);
    made.set_leaving(leaving);
    return made;
}

schema::entry_hello hello(const std::string& name, std::uint64_t incarnation,
                          const std::string& zone = "a") {
    schema::entry_hello made;
    made.set_entry(name);
    made.set_incarnation(incarnation);
    made.set_zone(zone);
    return made;
}

} // namespace

TEST_CASE("an endpoint gets no work after three silent seconds", "[membership]") {
    endpoint_directory one{endpoint_directory_settings()};
    one.merge_announcement(record(1), start);
    CHECK(one.serving(start + milliseconds(2900)).size() == 1);
    CHECK(one.serving(start + milliseconds(3000)).empty());
    schema::endpoint_record told = record(1);
    told.set_age_ms(500);
    one.merge_remote(told, start + milliseconds(3000));
    CHECK(one.serving(start + milliseconds(5000)).size() == 1);
    CHECK(one.serving(start + milliseconds(5500)).empty());
}

// Story: an endpoint said that it leaves and still gets calls. An announcement from before, which
// came by way of a slower entry, put it back.
TEST_CASE("leaving holds against older words, and ends with the incarnation", "[membership]") {
    endpoint_directory one{endpoint_directory_settings()};
    one.merge_announcement(record(1), start);
    one.merge_announcement(record(1, true), start + milliseconds(100));
    one.merge_remote(record(1), start + milliseconds(200));
    CHECK(one.serving(start + milliseconds(200)).empty());
    one.merge_announcement(record(2), start + milliseconds(300));
    CHECK(one.serving(start + milliseconds(300)).size() == 1);
    one.merge_announcement(record(1), start + milliseconds(400));
    CHECK(one.serving(start + milliseconds(400))[0]->record.incarnation() == 2);
}

// Story: in a fleet of 60 endpoints and 65 gateways each of 50 announcements a second went whole to
// every gateway from every keeper; gateways had no time left for callers. An announcement that says
// nothing new is passed on as a pulse, and the endpoint stays in service by it.
TEST_CASE("what was heard and didn't change is told as a pulse", "[membership]") {
    endpoint_directory keeper{endpoint_directory_settings()};
    endpoint_directory gateway{endpoint_directory_settings()};
    schema::endpoint_record said = record(1);
    said.set_sequence(1);
    keeper.merge_announcement(said, start);
    const auto pass_on = [&keeper, &gateway](std::uint64_t known, instant now) {
        for (const schema::endpoint_record& one : keeper.records_since(known, now))
            gateway.merge_remote(one, now);
        for (const schema::endpoint_pulse& one : keeper.pulses_since(known, now))
            gateway.merge_remote(one, now);
        return keeper.revision();
    };
    std::uint64_t known = pass_on(0, start);
    REQUIRE(gateway.serving(start).size() == 1);
    const std::uint64_t changes = gateway.changes();

    said.set_sequence(2);
    keeper.merge_announcement(said, start + milliseconds(1200));
    CHECK(keeper.records_since(known, start + milliseconds(1300)).empty());
    CHECK(keeper.pulses_since(known, start + milliseconds(1300)).size() == 1);
    known = pass_on(known, start + milliseconds(1300));
    CHECK(gateway.changes() == changes);
    CHECK(gateway.serving(start + milliseconds(4100)).size() == 1);
    CHECK(gateway.serving(start + milliseconds(4200)).empty());
    CHECK(gateway.misses_any(milliseconds(2000), start + milliseconds(3300)));
    CHECK_FALSE(gateway.misses_any(milliseconds(2000), start + milliseconds(3200)));

    said.set_sequence(3);
    said.set_leaving(true);
    keeper.merge_announcement(said, start + milliseconds(2400));
    CHECK(keeper.records_since(known, start + milliseconds(2500)).size() == 1);
    pass_on(known, start + milliseconds(2500));
    CHECK(gateway.serving(start + milliseconds(2500)).empty());
}

// Story: an endpoint crashed and its address serves another one; a late pulse of the first must not
// bring it back.
TEST_CASE("a pulse of an earlier incarnation counts for nothing", "[membership]") {
    endpoint_directory gateway{endpoint_directory_settings()};
    gateway.merge_remote(record(2), start);
    schema::endpoint_pulse late;
    late.set_id("engine-1");
    late.set_incarnation(1);
    late.set_sequence(9);
    gateway.merge_remote(late, start + milliseconds(2500));
    CHECK(gateway.serving(start + milliseconds(3000)).empty());
}

// Story: two entries are cut off together and serve by an old list for ever, each taking the
// other's word for news.
TEST_CASE("a beacon that is passed around grows old", "[membership]") {
    beacon_freshness one(milliseconds(4000));
    CHECK(one.is_stale(start));
    one.observe(1, 1, milliseconds(0), start);
    CHECK_FALSE(one.is_stale(start + milliseconds(3900)));
    one.observe(1, 1, milliseconds(0), start + milliseconds(3900));
    CHECK(one.is_stale(start + milliseconds(4100)));
    one.observe(1, 2, milliseconds(3000), start + milliseconds(5000));
    CHECK_FALSE(one.is_stale(start + milliseconds(5900)));
    CHECK(one.is_stale(start + milliseconds(6100)));
    one.observe(2, 0, milliseconds(0), start + milliseconds(7000));
    CHECK_FALSE(one.is_stale(start + milliseconds(7000)));
}

TEST_CASE("draining and silent entries leave the list", "[membership]") {
    entry_list list(milliseconds(3000));
    list.observe(hello("x", 1), milliseconds(0), start);
    list.observe(hello("y", 1), milliseconds(0), start);
    const std::uint64_t version = list.version(start);
    CHECK(list.accepting(start).size() == 2);
    schema::entry_hello draining = hello("x", 1);
    draining.set_draining(true);
    list.observe(draining, milliseconds(0), start + milliseconds(10));
    CHECK(list.accepting(start + milliseconds(10)).size() == 1);
    CHECK(list.version(start + milliseconds(10)) > version);
    list.observe(hello("x", 1), milliseconds(50), start + milliseconds(20));
    CHECK(list.accepting(start + milliseconds(20)).size() == 1);
    list.observe(hello("x", 2), milliseconds(0), start + milliseconds(30));
    CHECK(list.accepting(start + milliseconds(30)).size() == 2);
    CHECK(list.alive(start + milliseconds(3015)).size() == 1);
}

TEST_CASE("every entry finds the same steward, few move when one goes", "[membership]") {
    std::vector<schema::entry_hello> hellos;
    for (int i = 0; i < 8; ++i)
        hellos.push_back(hello("entry-" + std::to_string(i), 1, i % 2 == 0 ? "a" : "b"));
    std::vector<const schema::entry_hello*> all;
    for (const schema::entry_hello& one : hellos)
        all.push_back(&one);
    const std::vector<const schema::entry_hello*> fewer(all.begin(), all.end() - 1);
    int moved = 0;
    std::map<std::string, int> load;
    for (int i = 0; i < 1000; ++i) {
        const endpoint_id endpoint("engine-" + std::to_string(i));
        const entry_id steward = steward_of(endpoint, "b", all);
        ++load[steward.str()];
        moved += steward_of(endpoint, "b", fewer) == steward ? 0 : 1;
    }
    CHECK(load.size() == 4);
    for (const std::pair<const std::string, int>& one : load)
        CHECK(one.second > 150);
    CHECK(moved < 350);
}
