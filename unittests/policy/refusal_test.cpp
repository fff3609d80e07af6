// Holding and refusing requests while a gateway has no route table.

#include "cassia/policy/refusal.h"

#include <catch2/catch.hpp>

using namespace cassia;
using namespace cassia::policy;

// After a power loss of all VMs, gateways are up at once, but get the route table half a second
// later, when the control group has a leader. Without a Retry-After, callers would retry at once,
// be refused again and never be served; with a full second they would be late without need.
TEST_CASE("retries are spread over the time after the route table is expected", "[refusal]") {
    const milliseconds soonest = *route_table_retry_after(milliseconds(5000), 0);
    const milliseconds latest = *route_table_retry_after(milliseconds(5000), 0.999);
    CHECK(soonest > milliseconds(500));
    CHECK(latest <= milliseconds(1100));
    CHECK(latest > soonest + milliseconds(400));
    CHECK(latest <= milliseconds(5000) / 3);
    CHECK(*route_table_retry_after(milliseconds(3300), 0.999) <= milliseconds(1100));
}

TEST_CASE("a caller without time for a retry gets no Retry-After", "[refusal]") {
    CHECK_FALSE(route_table_retry_after(milliseconds(1500), 0.5));
}

// A request arrives at a gateway some 100 ms before the route table. Refused for 0.6 to 1.1 s it
// would be late, and a caller whose attempts are used up by then would never be served.
TEST_CASE("a request is held for as long as the route table usually takes", "[refusal]") {
    CHECK(route_table_wait(milliseconds(5000), true) == milliseconds(200));
    CHECK(route_table_wait(milliseconds(100), true) == milliseconds(100));
    CHECK(route_table_wait(milliseconds(1000), false) == milliseconds(800));
}
