// Endpoints of several software versions in one service: placement and queueing.

#include "cassia/policy/request_queue.h"
#include "cassia/policy/slot_table.h"

#include <catch2/catch.hpp>

using namespace cassia;
using namespace cassia::policy;

namespace {
const instant start = instant() + std::chrono::hours(1);
const service_id model("model");
const software_version v1("v1");
const software_version v2("v2");

slot_endpoint endpoint(const std::string& id, const software_version& version) {
    return {endpoint_id(id), 1, http_address(id + ":80"), zone_id("a"), model, 2, version};
}

queued_request waiting(std::uint64_t id, const software_version& version) {
    return {exchange_id(id),
            model,
            team_id(),
            0,
            start,
            start + milliseconds(200),
            start + milliseconds(3000),
            false,
            version};
}
} // namespace

TEST_CASE("requests are placed at the software version they need", "[policy][version]") {
    slot_table table(zone_id("a"));
    table.set_endpoints({endpoint("old", v1), endpoint("new", v2), endpoint("unknown", {})});
    for (int i = 0; i < 20; ++i) {
        const double draw = i / 20.0;
        CHECK(table.place_online(model, {}, start, draw, v1)->endpoint == endpoint_id("old"));
        CHECK(table.place_stalled(model, {}, start, draw, v2)->endpoint == endpoint_id("new"));
        CHECK(table.place_batch(model, {}, start, draw, true, v1)->endpoint == endpoint_id("old"));
        CHECK(table.place_alone(model, {}, start, v2)->version == v2);
    }
    CHECK_FALSE(table.place_online(model, {endpoint_id("old")}, start, 0.5, v1));
    table.acquire(endpoint_id("old"), work_kind::online);
    table.acquire(endpoint_id("old"), work_kind::online);
    CHECK_FALSE(table.place_online(model, {}, start, 0.5, v1));
    CHECK(table.serves(model, v1));
    CHECK_FALSE(table.serves(model, software_version("v3")));
    CHECK_FALSE(table.serves(model, software_version()));
    CHECK_FALSE(table.serves(service_id("other"), v1));
}

// Guards against an endpoint that starts again under its id and keeps its earlier version.
TEST_CASE("an endpoint that starts again has the version of its new process", "[policy][version]") {
    slot_table table(zone_id("a"));
    slot_endpoint one = endpoint("one", v1);
    table.set_endpoints({one});
    ++one.incarnation;
    one.version = v2;
    table.set_endpoints({one});
    CHECK_FALSE(table.place_online(model, {}, start, 0.5, v1));
    CHECK(table.place_online(model, {}, start, 0.5, v2)->version == v2);
}

// Guards against requests that wait for one version holding up those that any endpoint may serve.
TEST_CASE("requests that need a version wait in a line of their own", "[policy][version]") {
    request_queue queue;
    queue.add(waiting(1, {}));
    queue.add(waiting(2, v1));
    queue.add(waiting(3, v2));
    const std::vector<queue_line> lines = queue.lines();
    REQUIRE(lines.size() == 3);
    CHECK(lines.front() == queue_line{model, v1});
    CHECK(lines.back() == queue_line{model, {}});
    CHECK(*queue.next(lines.front(), start) == exchange_id(2));
    CHECK(*queue.next(lines.back(), start) == exchange_id(1));
    queue.remove_served(exchange_id(2));
    CHECK_FALSE(queue.next({model, v1}, start));
}
