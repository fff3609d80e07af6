// A gateway's copy of the list of endpoints that a keeper sends it as changes.

#include "cassia/keeper/endpoint_list_delivery.h"
#include "cassia/membership/followed_endpoints.h"

#include <catch2/catch.hpp>

#include <string>

using namespace cassia;
using namespace cassia::membership;

namespace {

const instant start = instant(std::chrono::seconds(1000));
const peer_address first_keeper("127.0.0.1:1");
const peer_address second_keeper("127.0.0.2:1");

schema::endpoint_record announcement(int number, std::uint64_t sequence) {
    schema::endpoint_record record;
    record.set_id("engine-" + std::to_string(number));
    record.set_address("127.1." + std::to_string(number / 256) + "." +
                       std::to_string(number % 256) + ":9000");
    record.set_incarnation(1);
    record.set_sequence(sequence);
    return record;
}

/// A keeper with its directory, and the gateway that follows it.
class followed_pair {
public:
    explicit followed_pair(std::uint64_t epoch) : epoch_(epoch) {}

    void announce(int count, std::uint64_t sequence, instant now, int first = 0) {
        for (int i = first; i < count; ++i)
            directory.merge_announcement(announcement(i, sequence), now);
    }
    /// \returns the number of endpoints that the beacon lists.
    int send_beacon(const peer_address& keeper, followed_endpoints& gateway, instant now,
                    bool lost = false) {
        directory.mark_unresponsive(now);
        schema::entry_hello heartbeat;
        gateway.write(heartbeat);
        const std::uint64_t acknowledged =
            heartbeat.directory_epoch() == epoch_ ? heartbeat.directory_revision() : 0;
        const std::uint64_t base = delivery.base(acknowledged, now);
        schema::keeper_beacon beacon;
        beacon.set_directory_epoch(epoch_);
        beacon.set_endpoints_base(base);
        beacon.set_directory_revision(directory.revision());
        for (schema::endpoint_record& record : directory.records_since(base, now))
            *beacon.add_endpoints() = std::move(record);
        if (beacon.endpoints_size() > 0)
            delivery.on_sent(acknowledged, base, directory.revision(), now);
        if (!lost)
            gateway.apply_beacon(keeper, beacon, now);
        return beacon.endpoints_size();
    }

    endpoint_directory directory{endpoint_directory_settings()};
    keeper::endpoint_list_delivery delivery;

private:
    std::uint64_t epoch_;
};

} // namespace

// Guards against keepers that repeat each endpoint's announcements to each gateway.
TEST_CASE("gateways aren't sent announcements that change nothing", "[membership]") {
    constexpr int endpoints = 3000;
    followed_pair keeper(1);
    followed_endpoints gateway;
    gateway.follow(first_keeper, start);
    keeper.announce(endpoints, 1, start);
    CHECK(keeper.send_beacon(first_keeper, gateway, start) == endpoints);
    int sent = 0;
    for (int quarter = 1; quarter <= 240; ++quarter) {
        const instant now = start + quarter * milliseconds(250);
        if (quarter % 4 == 0)
            keeper.announce(endpoints, 1 + static_cast<std::uint64_t>(quarter), now);
        sent += keeper.send_beacon(first_keeper, gateway, now);
    }
    CHECK(sent == 0);
    CHECK(gateway.serving(start + milliseconds(60000)).size() == endpoints);
}

TEST_CASE("a gateway learns which endpoints the keeper finds unresponsive", "[membership]") {
    followed_pair keeper(1);
    followed_endpoints gateway;
    gateway.follow(first_keeper, start);
    keeper.announce(2, 1, start);
    keeper.send_beacon(first_keeper, gateway, start);
    for (int half = 1; half <= 6; ++half) {
        keeper.announce(1, 1 + static_cast<std::uint64_t>(half), start + half * milliseconds(500));
        keeper.send_beacon(first_keeper, gateway, start + half * milliseconds(500));
    }
    CHECK(gateway.serving(start + milliseconds(3000)).size() == 1);
    keeper.announce(2, 9, start + milliseconds(3500));
    CHECK(keeper.send_beacon(first_keeper, gateway, start + milliseconds(3500)) == 1);
    CHECK(gateway.serving(start + milliseconds(3500)).size() == 2);
}

// Guards against a gateway that misses a change because the beacon with it was lost.
TEST_CASE("changes behind a lost beacon wait until it is sent again", "[membership]") {
    followed_pair keeper(1);
    followed_endpoints gateway;
    gateway.follow(first_keeper, start);
    keeper.announce(1, 1, start);
    CHECK(keeper.send_beacon(first_keeper, gateway, start, true) == 1);
    keeper.announce(2, 1, start + milliseconds(100), 1);
    CHECK(keeper.send_beacon(first_keeper, gateway, start + milliseconds(100)) == 1);
    CHECK(gateway.serving(start + milliseconds(100)).empty());
    CHECK(keeper.send_beacon(first_keeper, gateway, start + milliseconds(2800)) == 0);
    keeper.announce(2, 2, start + milliseconds(2900));
    CHECK(keeper.send_beacon(first_keeper, gateway, start + milliseconds(3000)) == 2);
    CHECK(gateway.serving(start + milliseconds(3000)).size() == 2);
}

// Guards against a keeper under load that repeats whole lists since it reads acknowledgements late.
TEST_CASE("a report that is read late doesn't bring the list again", "[membership]") {
    keeper::endpoint_list_delivery delivery;
    delivery.on_sent(0, 0, 3000, start);
    CHECK(delivery.base(0, start) == 3000);
    CHECK(delivery.base(0, start + milliseconds(250)) == 3000);
    CHECK(delivery.base(3000, start + milliseconds(500)) == 3000);
    CHECK(delivery.base(0, start + milliseconds(3000)) == 0);
}

// Guards against an outage when the keeper that is followed next knows few endpoints yet, and
// against endpoints that are kept for ever because their keeper is gone.
TEST_CASE("endpoints that the next keeper doesn't list are kept for three seconds",
          "[membership]") {
    followed_pair keeper(1);
    followed_pair next(2);
    followed_endpoints gateway;
    gateway.follow(first_keeper, start);
    keeper.announce(3, 1, start);
    keeper.send_beacon(first_keeper, gateway, start);
    const instant switched = start + milliseconds(20000);
    gateway.follow(second_keeper, switched);
    next.announce(1, 20, switched);
    next.send_beacon(second_keeper, gateway, switched);
    CHECK(gateway.serving(switched + milliseconds(2900)).size() == 3);
    CHECK(gateway.serving(switched + milliseconds(3100)).size() == 1);
    keeper.send_beacon(first_keeper, gateway, switched + milliseconds(3200));
    CHECK(gateway.serving(switched + milliseconds(3200)).size() == 1);
}

// Guards against gateways that send to a drained endpoint since their keeper counts the list that
// they dropped as in transit.
TEST_CASE("a gateway that follows a keeper again gets its whole list at once", "[membership]") {
    followed_pair keeper(1);
    followed_pair next(2);
    followed_endpoints gateway;
    gateway.follow(first_keeper, start);
    keeper.announce(2, 1, start);
    CHECK(keeper.send_beacon(first_keeper, gateway, start) == 2);
    keeper.announce(3, 1, start + milliseconds(250), 2);
    CHECK(keeper.send_beacon(first_keeper, gateway, start + milliseconds(250)) == 1);
    CHECK(keeper.send_beacon(first_keeper, gateway, start + milliseconds(500)) == 0);
    gateway.follow(second_keeper, start + milliseconds(600));
    next.announce(3, 1, start + milliseconds(600));
    next.send_beacon(second_keeper, gateway, start + milliseconds(600));
    schema::endpoint_record leaving = announcement(0, 2);
    leaving.set_leaving(true);
    const instant drained = start + milliseconds(700);
    keeper.directory.merge_announcement(leaving, drained);
    gateway.follow(first_keeper, drained);
    CHECK(keeper.send_beacon(first_keeper, gateway, drained) == 3);
    CHECK(gateway.serving(drained).size() == 2);
    CHECK(keeper.send_beacon(first_keeper, gateway, drained + milliseconds(250)) == 0);
}

// Guards against a keeper that was frozen and takes all endpoints out of service after the thaw.
TEST_CASE("a keeper that was suspended waits for announcements anew", "[membership]") {
    followed_pair keeper(1);
    followed_endpoints gateway;
    gateway.follow(first_keeper, start);
    keeper.announce(3, 1, start);
    keeper.send_beacon(first_keeper, gateway, start);
    const instant thawed = start + milliseconds(6000);
    CHECK(keeper.send_beacon(first_keeper, gateway, thawed) == 0);
    CHECK(gateway.serving(thawed).size() == 3);
    for (int round = 1; round <= 30; ++round)
        keeper.send_beacon(first_keeper, gateway, thawed + round * milliseconds(100));
    CHECK(gateway.serving(thawed + milliseconds(3000)).empty());
}

// Guards against a keeper that lost its VM and never gets the endpoints known before.
TEST_CASE("a receiver whose clock begins anew after a restart gets the whole list",
          "[membership]") {
    keeper::endpoint_list_delivery delivery;
    delivery.on_sent(0, 0, 40, start);
    delivery.on_sent(40, 40, 44, start + milliseconds(500));
    CHECK(delivery.base(40, start + milliseconds(600)) == 44);
    const instant after_restart = instant() + milliseconds(200);
    CHECK(delivery.base(0, after_restart) == 0);
    delivery.on_sent(0, 0, 45, after_restart);
    CHECK(delivery.base(0, after_restart + milliseconds(100)) == 45);
    CHECK(delivery.base(45, after_restart + milliseconds(200)) == 45);
}
