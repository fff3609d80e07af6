// Gateways that follow a keeper, leave it and follow it again.

#include "cassia/keeper/service.h"
#include "cassia/net/peer_hub.h"
#include "lone_keeper_settings.h"

#include <catch2/catch.hpp>
#include <glib.h>

#include <functional>
#include <string>

using namespace cassia;

namespace {

constexpr int endpoint_count = 20;
const std::string keeper_address("127.79.2.1:9100");
const std::string gateway_address("127.79.2.2:9100");

/// A keeper with its endpoints, and the other end of its messages to a gateway.
class followed_again_fixture {
public:
    followed_again_fixture()
        : keeper(make_lone_keeper_settings("127.79.2.1")),
          hub_(gateway_, {"gateway", peer_address(gateway_address), peer_address(), "", false},
               [this](schema::envelope& message) {
                   ++beacons;
                   listed += message.beacon().endpoints_size();
               }) {
        REQUIRE(keeper.open().empty());
        REQUIRE(hub_.open());
        for (int i = 0; i < endpoint_count; ++i) {
            schema::endpoint_record record;
            record.set_id("engine-" + std::to_string(i));
            record.set_address("127.79.2.3:" + std::to_string(1000 + i));
            record.set_incarnation(1);
            keeper.announce_endpoint(record, [](bool) {});
        }
    }
    /// The gateway never has a list, as one that has just begun to follow.
    void send_heartbeat(bool follows) {
        schema::envelope envelope;
        schema::entry_hello* heartbeat = envelope.mutable_hello();
        heartbeat->set_entry("gateway");
        heartbeat->set_incarnation(1);
        heartbeat->set_peer_address(gateway_address);
        heartbeat->set_follows(follows);
        heartbeat->set_sent_at_us(to_us(monotonic_now()));
        hub_.send(peer_address(keeper_address), envelope);
    }
    bool run_until(const std::function<bool()>& done) {
        const instant limit = monotonic_now() + milliseconds(2000);
        while (!done() && monotonic_now() < limit) {
            g_main_context_iteration(keeper.owner().context(), FALSE);
            g_main_context_iteration(gateway_.context(), FALSE);
        }
        return done();
    }

    keeper::service keeper;
    int beacons = 0;
    int listed = 0; ///< endpoints in all beacons

private:
    net::task gateway_{"gateway"};
    net::peer_hub hub_;
};

} // namespace

// Guards against gateways that wait for a list that they dropped before they acknowledged it.
TEST_CASE("a gateway that left and returns gets the whole list, also if both wait to be read",
          "[news]") {
    followed_again_fixture fixture;
    fixture.send_heartbeat(true);
    REQUIRE(fixture.run_until([&fixture] { return fixture.beacons == 1; }));
    fixture.send_heartbeat(true);
    REQUIRE(fixture.run_until([&fixture] { return fixture.beacons == 2; }));
    CHECK(fixture.listed == endpoint_count);
    fixture.send_heartbeat(false);
    fixture.send_heartbeat(true);
    CHECK(fixture.run_until([&fixture] { return fixture.listed == 2 * endpoint_count; }));
}
