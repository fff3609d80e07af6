// The endpoint directory, the entry list, and the freshness of quorum proofs.

#include "cassia/membership/beacon_freshness.h"
#include "cassia/membership/endpoint_directory.h"
#include "cassia/membership/entry_list.h"
#include "cassia/membership/message_age.h"

#include <catch2/catch.hpp>

#include <map>

using namespace cassia;
using namespace cassia::membership;

namespace {

const instant start = instant(std::chrono::seconds(1000));

schema::endpoint_record record(std::uint64_t incarnation, bool leaving = false) {
    schema::endpoint_record built;
    built.set_id("engine-1");
    built.set_incarnation(incarnation);
    built.set_address("10.0.0.1:80");
    built.set_leaving(leaving);
    return built;
}

schema::entry_hello heartbeat_of(const std::string& name, std::uint64_t incarnation,
                                 const std::string& zone = "a") {
    schema::entry_hello built;
    built.set_entry(name);
    built.set_incarnation(incarnation);
    built.set_zone(zone);
    return built;
}

} // namespace

TEST_CASE("an endpoint gets no work after three seconds without an announcement", "[membership]") {
    endpoint_directory directory{endpoint_directory_settings()};
    directory.merge_announcement(record(1), start);
    CHECK(directory.serving(start + milliseconds(2900)).size() == 1);
    CHECK(directory.serving(start + milliseconds(3000)).empty());
    schema::endpoint_record remote = record(1);
    remote.set_age_ms(500);
    directory.merge_remote(remote, start + milliseconds(3000));
    CHECK(directory.serving(start + milliseconds(5000)).size() == 1);
    CHECK(directory.serving(start + milliseconds(5500)).empty());
}

// Guards against a leaving endpoint that still gets calls: an earlier announcement, which arrives
// late by way of another entry, must not put it back into service.
TEST_CASE("a leaving endpoint stays out of service until its next incarnation", "[membership]") {
    endpoint_directory directory{endpoint_directory_settings()};
    directory.merge_announcement(record(1), start);
    directory.merge_announcement(record(1, true), start + milliseconds(100));
    directory.merge_remote(record(1), start + milliseconds(200));
    CHECK(directory.serving(start + milliseconds(200)).empty());
    directory.merge_announcement(record(2), start + milliseconds(300));
    CHECK(directory.serving(start + milliseconds(300)).size() == 1);
    directory.merge_announcement(record(1), start + milliseconds(400));
    CHECK(directory.serving(start + milliseconds(400))[0]->record.incarnation() == 2);
}

// Guards against gateways overloaded by announcements: in a cluster of 60 endpoints and 65
// gateways, every keeper sent each of 50 announcements a second in full to every gateway, which
// left the gateways no time for callers. An announcement without a change is forwarded as a
// liveness report, which is enough to keep the endpoint in service.
TEST_CASE("an announcement without a change is forwarded as a liveness report", "[membership]") {
    endpoint_directory keeper{endpoint_directory_settings()};
    endpoint_directory gateway{endpoint_directory_settings()};
    schema::endpoint_record announcement = record(1);
    announcement.set_sequence(1);
    keeper.merge_announcement(announcement, start);
    const auto pass_on = [&keeper, &gateway](std::uint64_t known_revision, instant now) {
        for (const schema::endpoint_record& changed : keeper.records_since(known_revision, now))
            gateway.merge_remote(changed, now);
        for (const schema::endpoint_pulse& pulse : keeper.pulses_since(known_revision, now))
            gateway.merge_remote(pulse, now);
        return keeper.revision();
    };
    std::uint64_t known_revision = pass_on(0, start);
    REQUIRE(gateway.serving(start).size() == 1);
    const std::uint64_t changes = gateway.changes();

    announcement.set_sequence(2);
    keeper.merge_announcement(announcement, start + milliseconds(1200));
    CHECK(keeper.records_since(known_revision, start + milliseconds(1300)).empty());
    CHECK(keeper.pulses_since(known_revision, start + milliseconds(1300)).size() == 1);
    known_revision = pass_on(known_revision, start + milliseconds(1300));
    CHECK(gateway.changes() == changes);
    CHECK(gateway.serving(start + milliseconds(4100)).size() == 1);
    CHECK(gateway.serving(start + milliseconds(4200)).empty());
    CHECK(gateway.any_unresponsive_for(milliseconds(2000), start + milliseconds(3300)));
    CHECK_FALSE(gateway.any_unresponsive_for(milliseconds(2000), start + milliseconds(3200)));

    announcement.set_sequence(3);
    announcement.set_leaving(true);
    keeper.merge_announcement(announcement, start + milliseconds(2400));
    CHECK(keeper.records_since(known_revision, start + milliseconds(2500)).size() == 1);
    pass_on(known_revision, start + milliseconds(2500));
    CHECK(gateway.serving(start + milliseconds(2500)).empty());
}

// Guards against an endpoint that crashed and whose address another one now uses: a late report of
// the first must not put it back into service.
TEST_CASE("a liveness report of an earlier incarnation is ignored", "[membership]") {
    endpoint_directory gateway{endpoint_directory_settings()};
    gateway.merge_remote(record(2), start);
    schema::endpoint_pulse late;
    late.set_id("engine-1");
    late.set_incarnation(1);
    late.set_sequence(9);
    gateway.merge_remote(late, start + milliseconds(2500));
    CHECK(gateway.serving(start + milliseconds(3000)).empty());
}

// Guards against two entries, partitioned together, that serve by an old configuration forever
// because each takes the quorum proof forwarded by the other as new.
TEST_CASE("a quorum proof keeps its age when it is forwarded", "[membership]") {
    beacon_freshness freshness(milliseconds(4000));
    CHECK(freshness.is_stale(start));
    freshness.observe(1, 1, milliseconds(0), start);
    CHECK_FALSE(freshness.is_stale(start + milliseconds(3900)));
    freshness.observe(1, 1, milliseconds(0), start + milliseconds(3900));
    CHECK(freshness.is_stale(start + milliseconds(4100)));
    freshness.observe(1, 2, milliseconds(3000), start + milliseconds(5000));
    CHECK_FALSE(freshness.is_stale(start + milliseconds(5900)));
    CHECK(freshness.is_stale(start + milliseconds(6100)));
    freshness.observe(2, 0, milliseconds(0), start + milliseconds(7000));
    CHECK_FALSE(freshness.is_stale(start + milliseconds(7000)));
}

// Guards against gossip that was queued while this process was frozen and counts as new.
TEST_CASE("the age of a message is bounded by the echo of what it replies to", "[membership]") {
    constexpr std::uint64_t incarnation = 7;
    const send_time_echo echo{incarnation, start, milliseconds(300)};
    // The peer replied at 300 ms or later, by whatever clock it has.
    CHECK(max_message_age(echo, incarnation, start + milliseconds(302)) == milliseconds(2));
    CHECK(max_message_age(echo, incarnation, start + milliseconds(5300)) == milliseconds(5000));
    CHECK(max_message_age(echo, incarnation, start) == milliseconds(0));
    CHECK_FALSE(max_message_age(echo, incarnation + 1, start + milliseconds(302)));
    CHECK_FALSE(max_message_age(send_time_echo(), incarnation, start));
}

TEST_CASE("draining and unresponsive entries get no new requests", "[membership]") {
    entry_list list(milliseconds(3000));
    list.observe(heartbeat_of("x", 1), milliseconds(0), start);
    list.observe(heartbeat_of("y", 1), milliseconds(0), start);
    const std::uint64_t version = list.version(start);
    CHECK(list.accepting(start).size() == 2);
    schema::entry_hello draining = heartbeat_of("x", 1);
    draining.set_draining(true);
    list.observe(draining, milliseconds(0), start + milliseconds(10));
    CHECK(list.accepting(start + milliseconds(10)).size() == 1);
    CHECK(list.version(start + milliseconds(10)) > version);
    list.observe(heartbeat_of("x", 1), milliseconds(50), start + milliseconds(20));
    CHECK(list.accepting(start + milliseconds(20)).size() == 1);
    list.observe(heartbeat_of("x", 2), milliseconds(0), start + milliseconds(30));
    CHECK(list.accepting(start + milliseconds(30)).size() == 2);
    CHECK(list.alive(start + milliseconds(3015)).size() == 1);
}

TEST_CASE("every entry computes the same owner, and few owners change when an entry leaves",
          "[membership]") {
    std::vector<schema::entry_hello> heartbeats;
    for (int i = 0; i < 8; ++i)
        heartbeats.push_back(heartbeat_of("entry-" + std::to_string(i), 1, i % 2 == 0 ? "a" : "b"));
    std::vector<const schema::entry_hello*> all;
    for (const schema::entry_hello& listed : heartbeats)
        all.push_back(&listed);
    const std::vector<const schema::entry_hello*> remaining(all.begin(), all.end() - 1);
    int changed = 0;
    std::map<std::string, int> endpoints_by_owner;
    for (int i = 0; i < 1000; ++i) {
        const endpoint_id endpoint("engine-" + std::to_string(i));
        const entry_id owner = steward_of(endpoint, "b", all);
        ++endpoints_by_owner[owner.str()];
        changed += steward_of(endpoint, "b", remaining) == owner ? 0 : 1;
    }
    CHECK(endpoints_by_owner.size() == 4);
    for (const std::pair<const std::string, int>& count : endpoints_by_owner)
        CHECK(count.second > 150);
    CHECK(changed < 350);
}
