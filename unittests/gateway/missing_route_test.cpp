// Items whose route is removed, renamed or changed while they wait.

#include "item_runner_fixture.h"

#include <functional>

using namespace cassia;
using namespace cassia::gateway;

namespace {

// Of items that can't run any more: they are given up by then.
constexpr milliseconds max_time_without_route(9000);
constexpr int item_count = 20;

std::string name_of(int number) {
    return "i" + std::to_string(number);
}

void offer_items(runner_fixture& fixture) {
    for (int i = 0; i < item_count; ++i)
        fixture.offer(fixture.make_item(name_of(i), "jobs", static_cast<std::uint64_t>(i)));
}

std::size_t ended_as(const runner_fixture& fixture, schema::item_status status) {
    return static_cast<std::size_t>(
        std::count_if(fixture.statuses.begin(), fixture.statuses.end(),
                      [status](const auto& one) { return one.second == status; }));
}

bool waits_for(runner_fixture& fixture, milliseconds limit, const std::function<bool()>& met) {
    const instant end = monotonic_now() + limit;
    while (!met() && monotonic_now() < end)
        fixture.run_for(tick_interval);
    return met();
}

} // namespace

// Guards against items that no gateway asks for by the name of their route, and nobody ends.
TEST_CASE("items whose route is gone are given up", "[items][missing-route]") {
    runner_fixture fixture;
    endpoint_stub& endpoint = fixture.add_endpoint("llm", "v1");
    SECTION("removed") {
        fixture.runner.set_routes(make_routes(2, {{"other", {"llm"}}}));
    }
    SECTION("no batch route any more") {
        fixture.runner.set_routes(
            make_routes(2, {{"jobs", {"llm"}, "", schema::route::stream}, {"other", {"llm"}}}));
    }
    SECTION("another route has a longer prefix") {
        fixture.runner.set_routes(
            make_routes(2, {{"longer", {"llm"}, "/jobs/x/"}, {"shorter", {"llm"}, "/"}}));
    }
    offer_items(fixture);
    CHECK(waits_for(fixture, max_time_without_route,
                    [&] { return ended_as(fixture, schema::failed) == item_count; }));
    CHECK(endpoint.requests() == 0);
}

// Guards against items that are lost, or given up, as their route has another name.
TEST_CASE("items of a renamed route run", "[items][missing-route]") {
    runner_fixture fixture;
    endpoint_stub& endpoint = fixture.add_endpoint("llm", "v1");
    fixture.runner.set_routes(make_routes(2, {{"renamed", {"llm"}, "/jobs/"}}));
    offer_items(fixture);
    CHECK(waits_for(fixture, max_time_without_route, [&] {
        return endpoint.has_received(name_of(0)) && endpoint.has_received(name_of(3));
    }));
    CHECK(ended_as(fixture, schema::failed) == 0);
}

// Guards against items that are given up though their route is back.
TEST_CASE("items of a route that was removed for some seconds run", "[items][missing-route]") {
    runner_fixture fixture;
    endpoint_stub& endpoint = fixture.add_endpoint("llm", "v1");
    fixture.runner.set_routes(make_routes(2, {{"other", {"llm"}}}));
    offer_items(fixture);
    fixture.run_for(milliseconds(4000));
    CHECK(fixture.reported.empty());
    fixture.runner.set_routes(make_routes(3, {{"jobs", {"llm"}}}));
    CHECK(fixture.is_received_in_time(endpoint, name_of(0)));
    CHECK(ended_as(fixture, schema::failed) == 0);
}

// Guards against items that run at the service of a route that only matches their paths.
TEST_CASE("items go to the service of their job's route", "[items][missing-route]") {
    runner_fixture fixture;
    endpoint_stub& own = fixture.add_endpoint("llm", "v1");
    endpoint_stub& other = fixture.add_endpoint("app", "v1");
    schema::route::route_kind kind = schema::route::batch;
    SECTION("a batch route") {}
    SECTION("an online route") {
        kind = schema::route::at_most_once;
    }
    fixture.runner.set_routes(
        make_routes(2, {{"jobs", {"llm"}}, {"longer", {"app"}, "/jobs/x/", kind}}));
    for (int i = 0; i < item_count; ++i) {
        schema::leased_item item = fixture.make_item(name_of(i), "jobs", 0);
        item.mutable_item()->set_url("/jobs/x/" + name_of(i));
        fixture.offer(item);
    }
    CHECK(fixture.is_received_in_time(own, name_of(0)));
    CHECK(other.requests() == 0);
}
