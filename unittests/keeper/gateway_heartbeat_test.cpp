// What a keeper answers to the heartbeats of many entries.

#include "cassia/keeper/heartbeat_queue.h"
#include "cassia/keeper/route_table_delivery.h"

#include <catch2/catch.hpp>

#include <map>

using namespace cassia;
using namespace cassia::keeper;

namespace {

schema::entry_hello hello_of(int number, std::uint64_t sent_at) {
    schema::entry_hello hello;
    hello.set_entry("g" + std::to_string(number));
    hello.set_sent_at_us(sent_at);
    return hello;
}

} // namespace

// Guards against a queue of old heartbeats that grows while entries go on asking.
TEST_CASE("of each entry only the newest heartbeat waits", "[hello]") {
    heartbeat_queue queue;
    for (std::uint64_t round = 1; round <= 50; ++round) {
        for (int i = 0; i < 20; ++i)
            queue.add(hello_of(i, round));
    }
    int answered = 0;
    while (const std::optional<schema::entry_hello> hello = queue.next()) {
        CHECK(hello->sent_at_us() == 50);
        ++answered;
    }
    CHECK(answered == 20);
    CHECK(queue.empty());
}

// Guards against entries that are never answered: each asks four times as often as can be answered.
TEST_CASE("a keeper that can't answer all answers each in turn", "[hello]") {
    heartbeat_queue queue;
    std::map<std::string, int> answered;
    for (std::uint64_t round = 0; round < 400; ++round) {
        for (int i = 0; i < 100; ++i)
            queue.add(hello_of(i, round));
        for (int i = 0; i < 25; ++i)
            ++answered[queue.next()->entry()];
    }
    CHECK(answered.size() == 100);
    for (const auto& one : answered)
        CHECK(one.second == 100);
}

// Guards against a large table that is sent again to each heartbeat while it is on its way.
TEST_CASE("a table on its way is not sent again", "[hello]") {
    const instant start(std::chrono::seconds(100));
    table_delivery delivery;
    CHECK(delivery.is_due(5, 4, start));
    delivery.sent(5, start);
    CHECK_FALSE(delivery.is_due(5, 4, start + milliseconds(400)));
    CHECK(delivery.is_due(5, 4, start + milliseconds(500)));
    CHECK_FALSE(delivery.is_due(5, 5, start + milliseconds(900)));
    CHECK(delivery.is_due(6, 4, start + milliseconds(100)));
    delivery.restarted();
    CHECK(delivery.is_due(5, 0, start + milliseconds(100)));
}
