// When held batch items run, and which items are leased.

#include "item_runner_fixture.h"

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

using namespace cassia;
using namespace cassia::gateway;

// Guards against a suspected item that waits for a run at a service which its route has left.
TEST_CASE("a suspected item runs after its route has moved to another service", "[.][items]") {
    runner_fixture fixture;
    fixture.add_endpoint("first", "v1");
    fixture.runner.set_routes(make_routes(1, {{"jobs", {"first"}}}));
    const schema::leased_item item = fixture.make_item("a", "jobs", 1);
    fixture.suspect(item);
    fixture.grants_trials = false;
    fixture.offer(item);
    fixture.run_for(lease_time);
    REQUIRE(fixture.runner.size() == 1);
    fixture.remove_endpoints("first", "v1");
    endpoint_stub& endpoint = fixture.add_endpoint("second", "v1");
    fixture.runner.set_routes(make_routes(2, {{"jobs", {"second"}}}));
    fixture.grants_trials = true;
    CHECK(fixture.is_received_in_time(endpoint, "a"));
}

// Guards against a suspected item that waits for a run at a version which no endpoint has any more.
TEST_CASE("a suspected item runs after the version that wrote its events has left", "[.][items]") {
    runner_fixture fixture;
    fixture.add_endpoint("first", "v1");
    fixture.runner.set_routes(make_routes(1, {{"jobs", {"first"}}}));
    schema::leased_item item = fixture.make_item("a", "jobs", 1);
    runner_fixture::add_progress(item, "first", "v1");
    fixture.suspect(item);
    fixture.grants_trials = false;
    fixture.offer(item);
    fixture.run_for(lease_time);
    REQUIRE(fixture.runner.size() == 1);
    fixture.remove_endpoints("first", "v1");
    endpoint_stub& endpoint = fixture.add_endpoint("first", "v2");
    fixture.grants_trials = true;
    CHECK(fixture.is_received_in_time(endpoint, "a"));
}

// Guards against a suspected item that waits for a free slot at its version for as long as it
// lives.
TEST_CASE("a suspected item whose version is busy begins again at another one", "[.][items]") {
    runner_fixture fixture;
    fixture.add_full_endpoint("first", "v1");
    endpoint_stub& endpoint = fixture.add_endpoint("first", "v2");
    fixture.runner.set_routes(make_routes(1, {{"jobs", {"first"}}}));
    schema::leased_item item = fixture.make_item("a", "jobs", 1);
    runner_fixture::add_progress(item, "first", "v1");
    fixture.suspect(item);
    fixture.offer(item);
    CHECK(fixture.is_received_in_time(endpoint, "a"));
}

// Guards against an item that waits behind one of another service which has no endpoint.
TEST_CASE("an item without a free slot holds back none of another service", "[.][items]") {
    runner_fixture fixture;
    fixture.add_unreachable_endpoint("first", "v1");
    fixture.runner.set_routes(make_routes(1, {{"early", {"first"}}, {"late", {"second"}}}));
    fixture.offer(fixture.make_item("a", "early", 1));
    fixture.run_for(lease_time);
    REQUIRE(fixture.runner.size() == 1);
    fixture.remove_endpoints("first", "v1");
    endpoint_stub& endpoint = fixture.add_endpoint("second", "v1");
    fixture.offer(fixture.make_item("b", "late", 2));
    CHECK(fixture.is_received_in_time(endpoint, "b"));
}

// Guards against a gateway that leases nothing while two items wait for a service without
// endpoints.
TEST_CASE("items without a free slot keep none of another service from being leased",
          "[.][items]") {
    runner_fixture fixture;
    fixture.add_unreachable_endpoint("first", "v1");
    fixture.runner.set_routes(make_routes(1, {{"early", {"first"}}, {"late", {"second"}}}));
    fixture.offer(fixture.make_item("a", "early", 1));
    fixture.offer(fixture.make_item("b", "early", 2));
    fixture.run_for(lease_time);
    REQUIRE(fixture.runner.size() == 2);
    fixture.remove_endpoints("first", "v1");
    endpoint_stub& endpoint = fixture.add_endpoint("second", "v1");
    fixture.offer(fixture.make_item("c", "late", 3));
    CHECK(fixture.is_received_in_time(endpoint, "c"));
}

// Guards against items that aren't leased since the first target of their route has no room.
TEST_CASE("items are leased while any target of their route has room", "[.][items]") {
    runner_fixture fixture;
    endpoint_stub& endpoint = fixture.add_endpoint("second", "v1");
    fixture.runner.set_routes(make_routes(1, {{"jobs", {"first", "second"}}}));
    fixture.offer(fixture.make_item("a", "jobs", 1));
    CHECK(fixture.is_received_in_time(endpoint, "a"));
}

// Guards against a suspect that waits for a run at a full service while another target has room.
TEST_CASE("a suspected item runs while any target of its route has room", "[.][items]") {
    runner_fixture fixture;
    fixture.add_endpoint("first", "v1");
    fixture.runner.set_routes(make_routes(1, {{"jobs", {"first"}}}));
    const schema::leased_item item = fixture.make_item("a", "jobs", 1);
    fixture.suspect(item);
    fixture.grants_trials = false;
    fixture.offer(item);
    fixture.run_for(lease_time);
    REQUIRE(fixture.runner.size() == 1);
    fixture.remove_endpoints("first", "v1");
    fixture.add_full_endpoint("first", "v1");
    endpoint_stub& endpoint = fixture.add_endpoint("second", "v1");
    fixture.runner.set_routes(make_routes(2, {{"jobs", {"first", "second"}}}));
    fixture.run_for(lease_time);
    fixture.grants_trials = true;
    CHECK(fixture.is_received_in_time(endpoint, "a"));
}

// Guards against a suspect that holds an endpoint without a run, behind an item without a slot.
TEST_CASE("a suspected item doesn't wait behind one without a free slot", "[.][items]") {
    runner_fixture fixture;
    fixture.add_unreachable_endpoint("first", "v1");
    fixture.runner.set_routes(make_routes(1, {{"jobs", {"first"}}}));
    const schema::leased_item item = fixture.make_item("b", "jobs", 2);
    fixture.suspect(item);
    fixture.offer(fixture.make_item("a", "jobs", 1));
    fixture.offer(item);
    fixture.run_for(lease_time);
    REQUIRE(fixture.runner.size() == 2);
    fixture.remove_endpoints("first", "v1");
    // One slot is left, which is kept for requests.
    fixture.use_slots(endpoint_id("full0"), slots_per_endpoint);
    fixture.use_slots(endpoint_id("e1"), slots_per_endpoint - 1);
    fixture.run_for(lease_time);
    fixture.add_full_endpoint("first", "v1");
    endpoint_stub& endpoint = fixture.add_endpoint("first", "v1");
    CHECK(fixture.is_received_in_time(endpoint, "b"));
    CHECK_FALSE(endpoint.has_received("a"));
}

// Guards against items that aren't leased while the window is full of items that may not run yet.
TEST_CASE("quarantined items keep no others from being leased", "[.][items]") {
    runner_fixture fixture;
    endpoint_stub& endpoint = fixture.add_endpoint("first", "v1");
    fixture.runner.set_routes(make_routes(1, {{"jobs", {"first"}}}));
    for (int i = 0; i < 16; ++i) {
        const schema::leased_item item = fixture.make_item("q" + std::to_string(i), "jobs", 1);
        fixture.quarantine(item);
        fixture.offer(item);
    }
    fixture.run_for(std::chrono::seconds(1));
    fixture.offer(fixture.make_item("a", "jobs", 1));
    CHECK(fixture.is_received_in_time(endpoint, "a"));
}

// Guards against a sound item that waits for the quarantine of another one with the same text.
TEST_CASE("a quarantined item holds back none with the same text", "[.][items]") {
    runner_fixture fixture;
    endpoint_stub& endpoint = fixture.add_endpoint("first", "v1");
    fixture.runner.set_routes(make_routes(1, {{"jobs", {"first"}}}));
    const schema::leased_item quarantined = fixture.make_item("a", "jobs", 1);
    schema::leased_item sound = fixture.make_item("b", "jobs", 2);
    sound.mutable_item()->set_body(quarantined.item().body());
    fixture.quarantine(quarantined);
    fixture.offer(quarantined);
    fixture.offer(sound);
    CHECK(fixture.is_received_in_time(endpoint, "b"));
    CHECK_FALSE(endpoint.has_received("a"));
}

// Guards against a quarantined item that is idle for longer as a crash becomes known late, or as
// its gateway ends before the next run: another one holds it some seconds later.
TEST_CASE("a quarantined item runs in time for another gateway to hold it first",
          "[.][quarantined_item]") {
    constexpr milliseconds time_to_crash(9000);
    constexpr milliseconds max_quarantine_wait = max_untried_time - max_handover_time;
    runner_fixture fixture;
    endpoint_stub& endpoint = fixture.add_endpoint("first", "v1");
    fixture.runner.set_routes(make_routes(1, {{"jobs", {"first"}}}));
    const schema::leased_item item = fixture.make_item("a", "jobs", 1);
    fixture.quarantine(item);
    fixture.offer(item);
    const instant began = monotonic_now();
    fixture.run_for(time_to_crash);
    fixture.quarantine(item, 3);
    CHECK_FALSE(endpoint.has_received("a"));
    while (monotonic_now() - began < max_quarantine_wait && !endpoint.has_received("a"))
        fixture.run_for(tick_interval);
    CHECK(endpoint.has_received("a"));
    CHECK(monotonic_now() - began >= min_barred_time);
}

// Guards against an item that is idle for twice as long since it was sent to an endpoint that had
// ended, where nothing ran it.
TEST_CASE("a quarantined item whose endpoint had ended is sent again soon",
          "[.][quarantined_item]") {
    runner_fixture fixture;
    endpoint_stub& endpoint = fixture.add_endpoint("first", "v1");
    endpoint.abort_requests();
    fixture.runner.set_routes(make_routes(1, {{"jobs", {"first"}}}));
    const schema::leased_item item = fixture.make_item("a", "jobs", 1);
    fixture.quarantine(item, 2, min_barred_time);
    fixture.offer(item);
    const auto wait_for_requests = [&fixture, &endpoint](std::size_t count) {
        const instant end = monotonic_now() + max_idle_time;
        while (monotonic_now() < end && endpoint.requests() < count)
            fixture.run_for(tick_interval);
        return endpoint.requests() >= count;
    };
    REQUIRE(wait_for_requests(1));
    fixture.quarantine(item, 3);
    CHECK(wait_for_requests(2));
    // A second one counts as a run, as items may crash endpoints before they respond.
    fixture.quarantine(item, 4);
    CHECK_FALSE(wait_for_requests(3));
}

// Guards against an item that is idle for twice as long since nothing ran it, before it was known
// to be a suspect.
TEST_CASE("an item that was sent to an ended endpoint and is quarantined is sent again soon",
          "[.][quarantined_item]") {
    runner_fixture fixture;
    endpoint_stub& endpoint = fixture.add_endpoint("first", "v1");
    endpoint.abort_requests();
    fixture.runner.set_routes(make_routes(1, {{"jobs", {"first"}}}));
    const schema::leased_item item = fixture.make_item("a", "jobs", 1);
    fixture.offer(item);
    REQUIRE(fixture.is_requested_in_time(endpoint));
    fixture.quarantine(item);
    const std::size_t requests = endpoint.requests();
    const instant end = monotonic_now() + max_idle_time;
    while (monotonic_now() < end && endpoint.requests() == requests)
        fixture.run_for(tick_interval);
    CHECK(endpoint.requests() > requests);
}

// Guards against an item that waits for a quarantined part behind those that ran after it, as
// another gateway held it before.
TEST_CASE("an item of another gateway asks for its retry before later ones", "[.][items]") {
    runner_fixture fixture;
    fixture.grants_trials = false;
    endpoint_stub& endpoint = fixture.add_endpoint("first", "v1");
    fixture.runner.set_routes(make_routes(1, {{"jobs", {"first"}}}));
    fixture.quarantine_part("first", prompt_part_id("bad"));
    for (int i = 0; i < 24; ++i)
        fixture.offer(fixture.make_item("later" + std::to_string(i), "jobs", 1));
    fixture.run_for(std::chrono::seconds(2));
    schema::leased_item taken_over = fixture.make_item("a", "jobs", 2);
    taken_over.set_attempt(2);
    fixture.offer(taken_over);
    fixture.run_for(std::chrono::seconds(1));
    REQUIRE(endpoint.requests() == 0);
    fixture.grants_trials = true;
    REQUIRE(fixture.is_requested_in_time(endpoint));
    CHECK(endpoint.has_received("a"));
}

// Guards against an item that fails at once as its route is removed by mistake, since the route had
// been replaced by one with the same prefix before.
TEST_CASE("an item waits for its route each time that it is missing", "[.][items]") {
    runner_fixture fixture;
    endpoint_stub& endpoint = fixture.add_endpoint("first", "v1");
    fixture.add_full_endpoint("second", "v1");
    const schema::leased_item item = fixture.make_item("a", "jobs", 1);
    fixture.runner.set_routes(make_routes(2, {{"other", {"second"}}}));
    fixture.offer(item);
    fixture.run_for(std::chrono::seconds(1));
    fixture.runner.set_routes(make_routes(3, {{"renamed", {"second"}, "/jobs/"}}));
    fixture.run_for(std::chrono::seconds(6));
    fixture.runner.set_routes(make_routes(4, {{"other", {"second"}}}));
    fixture.run_for(std::chrono::seconds(1));
    CHECK(fixture.reported.empty());
    fixture.runner.set_routes(make_routes(5, {{"jobs", {"first"}}}));
    CHECK(fixture.is_received_in_time(endpoint, "a"));
}

// Guards against items that a gateway is granted after its shutdown began and never returns.
TEST_CASE("items granted during a shutdown are returned", "[.][items]") {
    runner_fixture fixture;
    endpoint_stub& endpoint = fixture.add_endpoint("first", "v1");
    fixture.runner.set_routes(make_routes(1, {{"jobs", {"first"}}}));
    fixture.lease_delay = lease_time;
    fixture.offer(fixture.make_item("a", "jobs", 1));
    fixture.run_for(lease_time / 2);
    fixture.runner.shut_down();
    fixture.run_for(2 * lease_time);
    CHECK(fixture.reported.count("job-a") == 1);
    CHECK_FALSE(endpoint.has_received("a"));
}

// Guards against items that no gateway leases as the requests for their route skip a work group.
TEST_CASE("lease requests of each route reach all work groups", "[.][items]") {
    runner_fixture fixture;
    fixture.add_endpoint("first", "v1");
    fixture.add_endpoint("second", "v1");
    fixture.runner.set_routes(make_routes(1, {{"early", {"first"}}, {"late", {"second"}}}));
    constexpr std::uint32_t groups = 4;
    fixture.runner.set_work_groups(groups);
    fixture.run_for(max_idle_time);
    CHECK(fixture.leased_groups["early"].size() == groups);
    CHECK(fixture.leased_groups["late"].size() == groups);
}

// Guards against items that wait beside idle endpoints since each lease waits for slow disks.
TEST_CASE("leases that take long don't bound the rate of items", "[.][items]") {
    constexpr std::size_t endpoints = 8;
    constexpr std::size_t items = 24;
    runner_fixture fixture;
    std::vector<endpoint_stub*> stubs;
    for (std::size_t i = 0; i < endpoints; ++i) {
        stubs.push_back(&fixture.add_endpoint("first", "v1"));
        stubs.back()->is_silent = true;
    }
    fixture.runner.set_routes(make_routes(1, {{"jobs", {"first"}}}));
    fixture.lease_delay = lease_time;
    for (std::size_t i = 0; i < items; ++i)
        fixture.offer(fixture.make_item(std::to_string(i), "jobs", i));
    const auto count_received = [&stubs] {
        std::size_t received = 0;
        for (std::size_t i = 0; i < items; ++i)
            received += std::any_of(stubs.begin(), stubs.end(), [i](const endpoint_stub* one) {
                return one->has_received(std::to_string(i));
            });
        return received;
    };
    SECTION("they ask for what this gateway can run") {
        fixture.run_for(6 * lease_time);
        CHECK(count_received() == items);
    }
    SECTION("and for its share of a fleet's free slots at most") {
        constexpr std::size_t gateways = 16;
        fixture.runner.set_fleet_size(gateways);
        fixture.run_for(6 * lease_time + lease_time / 2);
        CHECK(count_received() <= 6 * endpoints * slots_per_endpoint / gateways);
    }
}

// Guards against a suspected item that waits too long after an endpoint was silent under it.
TEST_CASE("a suspected item runs again in time after an endpoint was silent", "[.][silent_trial]") {
    runner_fixture fixture;
    endpoint_stub& first = fixture.add_endpoint("first", "v1");
    endpoint_stub& second = fixture.add_endpoint("first", "v1");
    first.is_silent = true;
    second.is_silent = true;
    fixture.runner.set_routes(make_routes(1, {{"jobs", {"first"}}}));
    const schema::leased_item item = fixture.make_item("a", "jobs", 1);
    fixture.suspect(item);
    fixture.offer(item);
    const auto runs = [&] { return first.requests() + second.requests(); };
    const auto wait_until = [&](const std::function<bool()>& is_done) {
        const instant end = monotonic_now() + 2 * max_idle_time;
        while (monotonic_now() < end && !is_done())
            fixture.run_for(tick_interval);
        REQUIRE(is_done());
    };
    wait_until([&] { return runs() == 1; });
    wait_until([&] { return first.abandoned() + second.abandoned() == 1; });
    const instant abandoned_at = monotonic_now();
    first.is_silent = false;
    second.is_silent = false;
    wait_until([&] { return runs() == 2; });
    const milliseconds idle_time =
        std::chrono::duration_cast<milliseconds>(monotonic_now() - abandoned_at);
    CHECK(idle_time < max_idle_time);
}
