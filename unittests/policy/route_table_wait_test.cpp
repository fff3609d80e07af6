// When callers that are turned away come back.

#include "cassia/policy/route_table_wait.h"

#include <catch2/catch.hpp>

using namespace cassia;
using namespace cassia::policy;

// Story: all VMs lose power. Gateways are back at once, the table of routes half a second later,
// when the control group has a leader. Callers that are told nothing ask again at once, are turned
// away again, and are never served; callers that are told a second are late for nothing.
TEST_CASE("callers come back once the table can be there, spread out", "[refusal]") {
    const milliseconds soonest = *route_table_retry_after(milliseconds(5000), 0);
    const milliseconds latest = *route_table_retry_after(milliseconds(5000), 0.999);
    CHECK(soonest > milliseconds(500));
    CHECK(latest <= milliseconds(1100));
    CHECK(latest > soonest + milliseconds(400));
    CHECK(latest <= milliseconds(5000) / 3);
    CHECK(*route_table_retry_after(milliseconds(3300), 0.999) <= milliseconds(1100));
}

TEST_CASE("a caller with little time is kept rather than sent away", "[refusal]") {
    CHECK_FALSE(route_table_retry_after(milliseconds(1500), 0.5));
}

// Story: a caller comes to a gateway that is back some 100 ms before the table of routes. Sent away
// for 0.6 to 1.1 s it is late; one that has used up its tries by then is never served.
TEST_CASE("a caller is kept for as long as the table mostly takes", "[refusal]") {
    CHECK(route_table_wait(milliseconds(5000), true) == milliseconds(200));
    CHECK(route_table_wait(milliseconds(100), true) == milliseconds(100));
    CHECK(route_table_wait(milliseconds(1000), false) == milliseconds(800));
}
