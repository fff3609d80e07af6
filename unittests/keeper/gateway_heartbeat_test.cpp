// How a keeper responds to the heartbeats of many gateways.

#include "cassia/keeper/heartbeat_queue.h"
#include "cassia/keeper/route_table_delivery.h"

#include <catch2/catch.hpp>

#include <map>

using namespace cassia;
using namespace cassia::keeper;

namespace {

schema::entry_hello make_heartbeat(int number, std::uint64_t sent_at) {
    schema::entry_hello heartbeat;
    heartbeat.set_entry("g" + std::to_string(number));
    heartbeat.set_sent_at_us(sent_at);
    return heartbeat;
}

} // namespace

// Guards against a queue of outdated heartbeats that grows while the keeper is busy.
TEST_CASE("only the latest heartbeat of each gateway is queued", "[heartbeat]") {
    heartbeat_queue queue;
    for (std::uint64_t round = 1; round <= 50; ++round) {
        for (int i = 0; i < 20; ++i)
            queue.add(make_heartbeat(i, round));
    }
    int served = 0;
    while (const std::optional<schema::entry_hello> heartbeat = queue.next()) {
        CHECK(heartbeat->sent_at_us() == 50);
        ++served;
    }
    CHECK(served == 20);
    CHECK(queue.empty());
}

// Guards against starvation: heartbeats arrive four times as fast as they are served, and
// gateways that come last in the order of names must get their turn.
TEST_CASE("an overloaded keeper serves the heartbeats of all gateways equally often",
          "[heartbeat]") {
    heartbeat_queue queue;
    std::map<std::string, int> served;
    for (std::uint64_t round = 0; round < 400; ++round) {
        for (int i = 0; i < 100; ++i)
            queue.add(make_heartbeat(i, round));
        for (int i = 0; i < 25; ++i)
            ++served[queue.next()->entry()];
    }
    CHECK(served.size() == 100);
    for (const auto& gateway : served)
        CHECK(gateway.second == 100);
}

// Guards against sending a large route table with every heartbeat while it is in transit.
TEST_CASE("a route table in transit is not sent again", "[heartbeat]") {
    const instant start(std::chrono::seconds(100));
    route_table_delivery delivery;
    CHECK(delivery.is_due(5, 4, start));
    delivery.on_sent(5, start);
    CHECK_FALSE(delivery.is_due(5, 4, start + milliseconds(400)));
    CHECK(delivery.is_due(5, 4, start + milliseconds(500)));
    CHECK_FALSE(delivery.is_due(5, 5, start + milliseconds(900)));
    CHECK(delivery.is_due(6, 4, start + milliseconds(100)));
    delivery.reset();
    CHECK(delivery.is_due(5, 0, start + milliseconds(100)));
}
