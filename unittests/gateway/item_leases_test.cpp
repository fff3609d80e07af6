// Which routes and work groups delay leases of others.

#include "item_runner_fixture.h"

#include "cassia/gateway/lease_requests.h"

namespace cassia::gateway {

namespace {

constexpr std::size_t items = 200;

void offer_items(runner_fixture& fixture, const std::string& route) {
    for (std::size_t i = 0; i < items; ++i)
        fixture.offer(fixture.make_item(route + std::to_string(i), route, i));
}

} // namespace

// Guards against a route without items that delays each lease of the others.
TEST_CASE("a route without items delays no other", "[.][items]") {
    runner_fixture fixture;
    fixture.add_endpoint("first", "v1").complete_items();
    fixture.add_endpoint("second", "v1");
    fixture.runner.set_routes(
        make_routes(1, {{"early", {"second"}}, {"jobs", {"first"}}, {"late", {"second"}}}));
    offer_items(fixture, "jobs");
    fixture.run_for(max_idle_time);
    CHECK(fixture.reported.size() == items);
}

// Guards against a work group without a leader that delays the leases of all others.
TEST_CASE("a work group that doesn't reply delays no other", "[.][items]") {
    runner_fixture fixture;
    fixture.add_endpoint("first", "v1").complete_items();
    fixture.runner.set_work_groups(2);
    fixture.unresponsive_group = group_id(1);
    fixture.runner.set_routes(make_routes(1, {{"jobs", {"first"}}}));
    offer_items(fixture, "jobs");
    fixture.run_for(max_idle_time);
    CHECK(fixture.reported.size() == items);
}

// Guards against leases that are lost with their reply and not returned, as another group is slow.
TEST_CASE("requests to one group are closed while another doesn't reply", "[items]") {
    lease_requests requests;
    const std::uint64_t unanswered = requests.open(group_id(1));
    const std::uint64_t answered = requests.open(group_id(2));
    requests.close(answered);
    CHECK(requests.closed(group_id(1)) < unanswered);
    CHECK(requests.closed(group_id(2)) == answered);
    CHECK_FALSE(requests.all_closed());
}

} // namespace cassia::gateway
