// What a keeper of the control group sends the others of the endpoints that it knows.

#include "cassia/keeper/service.h"
#include "cassia/net/peer_hub.h"
#include "lone_keeper_settings.h"

#include <catch2/catch.hpp>
#include <glib.h>

#include <functional>
#include <string>

using namespace cassia;

namespace {

constexpr int endpoint_count = 500;
const std::string keeper_address("127.79.1.1:9100");

/// The other end of a keeper's messages.
class peer_keeper {
public:
    peer_keeper(net::task& owner, const std::string& address)
        : address_(address),
          hub_(owner, {address, peer_address(address), peer_address(), "", false},
               [this](schema::envelope& message) {
                   if (message.body_case() == schema::envelope::kNews)
                       on_news(message.news());
               }) {
        REQUIRE(hub_.open());
    }

    schema::keeper_hello heartbeat() const {
        schema::keeper_hello own;
        own.set_node(address_);
        own.set_address(address_);
        own.set_control(true);
        own.set_sent_at_us(to_us(monotonic_now()));
        own.set_directory_epoch(epoch_);
        own.set_directory_revision(revision_);
        return own;
    }
    void send_heartbeat() {
        schema::envelope envelope;
        *envelope.mutable_keeper() = heartbeat();
        hub_.send(peer_address(keeper_address), envelope);
    }
    /// Reports another keeper, as that one reported itself to this one.
    void forward(schema::keeper_hello other) {
        other.set_directory_epoch(1);
        other.set_directory_revision(1);
        schema::envelope envelope;
        *envelope.mutable_news()->mutable_self() = heartbeat();
        *envelope.mutable_news()->add_keepers() = std::move(other);
        hub_.send(peer_address(keeper_address), envelope);
    }

    int news = 0;
    int records = 0;
    bool acknowledges = true;

private:
    void on_news(const schema::keeper_news& received) {
        ++news;
        records += received.endpoints_size();
        if (!acknowledges)
            return;
        epoch_ = received.directory_epoch();
        revision_ = received.directory_revision();
    }

    std::string address_;
    net::peer_hub hub_;
    std::uint64_t epoch_ = 0;
    std::uint64_t revision_ = 0;
};

class keeper_fixture {
public:
    keeper_fixture() : keeper(make_lone_keeper_settings("127.79.1.1")) {
        REQUIRE(keeper.open().empty());
        for (int i = 0; i < endpoint_count; ++i)
            announce(i, false);
    }
    void announce(int number, bool leaving) {
        schema::endpoint_record record;
        record.set_id("engine-" + std::to_string(number));
        record.set_address("127.1.1.1:" + std::to_string(1000 + number));
        record.set_incarnation(1);
        record.set_leaving(leaving);
        keeper.announce_endpoint(record, [](bool) {});
    }
    void run_until(const std::function<bool()>& done) {
        const instant limit = monotonic_now() + milliseconds(5000);
        while (!done() && monotonic_now() < limit) {
            g_main_context_iteration(keeper.owner().context(), FALSE);
            g_main_context_iteration(peers.context(), FALSE);
        }
        REQUIRE(done());
    }

    net::task peers{"peers"};
    keeper::service keeper;
};

} // namespace

// Guards against a keeper that repeats its whole list to one that is too busy to acknowledge it.
TEST_CASE("endpoints in transit to a keeper aren't sent again", "[news]") {
    keeper_fixture fixture;
    peer_keeper peer(fixture.peers, "127.79.1.2:9100");
    peer.acknowledges = false;
    constexpr int heartbeats = 10;
    for (int sent = 1; sent <= heartbeats; ++sent) {
        peer.send_heartbeat();
        fixture.run_until([&peer, sent] { return peer.news == sent; });
    }
    CHECK(peer.records == endpoint_count);
}

// Guards against whole lists after a third keeper has reported what it was acknowledged itself.
TEST_CASE("what a keeper acknowledged to others doesn't count", "[news]") {
    keeper_fixture fixture;
    peer_keeper peer(fixture.peers, "127.79.1.2:9100");
    peer_keeper other(fixture.peers, "127.79.1.3:9100");
    for (int sent = 1; sent <= 2; ++sent) {
        peer.send_heartbeat();
        fixture.run_until([&peer, sent] { return peer.news == sent; });
    }
    CHECK(peer.records == endpoint_count);
    const instant expired = monotonic_now() + milliseconds(3100);
    fixture.run_until([expired] { return monotonic_now() > expired; });
    other.forward(peer.heartbeat());
    other.send_heartbeat();
    fixture.run_until([&other] { return other.news == 1; });
    fixture.announce(0, true);
    fixture.run_until([&peer] { return peer.news == 3; });
    CHECK(peer.records == endpoint_count + 1);
}
