// Batch items that wait for a quarantined part of prompts.

#include "item_runner_fixture.h"

using namespace cassia;
using namespace cassia::gateway;

namespace {

/// Reads the part that an item states in a field.
std::vector<prompt_part_id> read_part(const net::http_fields& fields) {
    const std::string part(fields.find("Part"));
    return part.empty() ? std::vector<prompt_part_id>()
                        : std::vector<prompt_part_id>{prompt_part_id(part)};
}

schema::leased_item with_part(schema::leased_item item, const std::string& part) {
    schema::header_field& field = *item.mutable_item()->add_headers();
    field.set_name("Part");
    field.set_value(part);
    return item;
}

} // namespace

// Guards against a gateway that leases nothing more as it holds many items of a quarantined part.
TEST_CASE("many items with a quarantined part keep no others from being leased", "[.][items]") {
    constexpr int blocked = 300;
    runner_fixture fixture;
    fixture.grants_trials = false;
    endpoint_stub& endpoint = fixture.add_endpoint("first", "v1");
    fixture.runner.set_routes(make_routes(1, {{"jobs", {"first"}}}));
    fixture.quarantine_part("first", prompt_part_id("bad"));
    fixture.runner.set_prompt_parts_reader(read_part);
    for (int i = 0; i < blocked; ++i)
        fixture.offer(with_part(fixture.make_item("q" + std::to_string(i), "jobs", 1), "bad"));
    fixture.offer(fixture.make_item("a", "jobs", 1));
    const instant began = monotonic_now();
    while (fixture.runner.size() < blocked && monotonic_now() - began < max_untried_time)
        fixture.run_for(tick_interval);
    CHECK(fixture.is_received_in_time(endpoint, "a"));
}

// Guards against items that wait for a quarantined part of one service while another is idle.
TEST_CASE("items with a part that is quarantined at one service run at another", "[.][items]") {
    constexpr std::size_t items = 200;
    constexpr std::size_t most_asking = 16;
    runner_fixture fixture;
    fixture.grants_trials = false;
    fixture.add_endpoint("first", "v1");
    endpoint_stub& sound = fixture.add_endpoint("second", "v1");
    sound.complete_items();
    fixture.runner.set_routes(make_routes(1, {{"jobs", {"first", "second"}}}));
    fixture.quarantine_part("first", prompt_part_id("bad"));
    fixture.runner.set_prompt_parts_reader(read_part);
    for (std::size_t i = 0; i < items; ++i)
        fixture.offer(with_part(fixture.make_item("q" + std::to_string(i), "jobs", 1), "bad"));
    const instant began = monotonic_now();
    while (fixture.reported.size() < items - most_asking &&
           monotonic_now() - began < max_untried_time)
        fixture.run_for(tick_interval);
    CHECK(fixture.reported.size() >= items - most_asking);
}

// Guards against a part that stays quarantined while only runs that can't clear it are retried.
TEST_CASE("an item from the start is retried before one that goes on", "[.][items]") {
    runner_fixture fixture;
    fixture.grants_trials = false;
    endpoint_stub& endpoint = fixture.add_endpoint("first", "v1");
    fixture.runner.set_routes(make_routes(1, {{"jobs", {"first"}}}));
    fixture.quarantine_part("first", prompt_part_id("bad"));
    schema::leased_item resumed = fixture.make_item("resumed", "jobs", 1);
    runner_fixture::add_progress(resumed, "first", "v1");
    fixture.offer(resumed);
    fixture.run_for(std::chrono::seconds(1));
    fixture.offer(fixture.make_item("whole", "jobs", 1));
    fixture.run_for(std::chrono::seconds(1));
    REQUIRE(endpoint.requests() == 0);
    fixture.grants_trials = true;
    REQUIRE(fixture.is_requested_in_time(endpoint));
    CHECK(endpoint.has_received("whole"));
}

// Guards against a gateway that leases nothing for an idle service as items whose part was cleared
// wait for slots of another one.
TEST_CASE("items of a cleared part keep none of another service from being leased", "[.][items]") {
    constexpr std::size_t blocked = 48; // three windows of the fixture
    runner_fixture fixture;
    fixture.grants_trials = false;
    fixture.add_endpoint("first", "v1");
    endpoint_stub& idle = fixture.add_endpoint("second", "v1");
    fixture.runner.set_routes(make_routes(1, {{"jobs", {"first"}}, {"others", {"second"}}}));
    fixture.quarantine_part("first", prompt_part_id("bad"));
    for (std::size_t i = 0; i < blocked; ++i)
        fixture.offer(fixture.make_item("q" + std::to_string(i), "jobs", 1));
    const instant began = monotonic_now();
    while (fixture.runner.size() < blocked && monotonic_now() - began < max_untried_time)
        fixture.run_for(tick_interval);
    REQUIRE(fixture.runner.size() == blocked);
    fixture.use_slots(endpoint_id("e1"), slots_per_endpoint);
    fixture.run_for(lease_time);
    fixture.clear_part("first", prompt_part_id("bad"));
    fixture.run_for(lease_time);
    fixture.offer(fixture.make_item("a", "others", 1));
    CHECK(fixture.is_received_in_time(idle, "a"));
}

// Guards against an item that can run at any version and never asks, as those that go on at a busy
// one ask first.
TEST_CASE("items of a busy version leave others with their part to ask", "[.][items]") {
    constexpr std::size_t resumed_items = 160;
    runner_fixture fixture;
    fixture.grants_trials = false;
    fixture.add_endpoint("first", "v1");
    fixture.runner.set_routes(make_routes(1, {{"jobs", {"first"}}}));
    fixture.quarantine_part("first", prompt_part_id("bad"));
    for (std::size_t i = 0; i < resumed_items; ++i) {
        schema::leased_item resumed = fixture.make_item("r" + std::to_string(i), "jobs", 1);
        runner_fixture::add_progress(resumed, "first", "v1");
        fixture.offer(resumed);
    }
    fixture.offer(fixture.make_item("a", "jobs", resumed_items));
    const instant began = monotonic_now();
    while (fixture.runner.size() <= resumed_items && monotonic_now() - began < max_untried_time)
        fixture.run_for(tick_interval);
    REQUIRE(fixture.runner.size() == resumed_items + 1);
    fixture.use_slots(endpoint_id("e1"), slots_per_endpoint);
    fixture.run_for(lease_time);
    endpoint_stub& idle = fixture.add_endpoint("first", "v2");
    fixture.grants_trials = true;
    CHECK(fixture.is_received_in_time(idle, "a"));
}

// Guards against an item that waits as if it had run again, since its gateway couldn't use a
// granted endpoint.
TEST_CASE("a granted retry that can't be used counts as no run", "[.][items]") {
    runner_fixture fixture;
    endpoint_stub& endpoint = fixture.add_endpoint("first", "v1");
    endpoint.respond = [&endpoint](exchange_id id, const net::raw_request& request) {
        endpoint.begin_response(id, request);
        endpoint.server().abort(id);
    };
    fixture.runner.set_routes(make_routes(1, {{"jobs", {"first"}}}));
    fixture.quarantine_part("first", prompt_part_id("bad"));
    fixture.offer(fixture.make_item("a", "jobs", 1));
    REQUIRE(fixture.is_requested_in_time(endpoint));
    const std::size_t requests = endpoint.requests();
    fixture.unusable_grants = 1;
    const instant end = monotonic_now() + max_idle_time;
    while (monotonic_now() < end && endpoint.requests() == requests)
        fixture.run_for(tick_interval);
    CHECK(fixture.unusable_grants == 0);
    CHECK(endpoint.requests() > requests);
}

// Guards against items that wait as if they had run, since the endpoint that they were granted had
// ended before they were sent.
TEST_CASE("a retry that isn't sent counts as no run", "[.][items]") {
    constexpr int items = 12;
    runner_fixture fixture;
    fixture.add_unreachable_endpoint("first", "v1");
    fixture.runner.set_routes(make_routes(1, {{"jobs", {"first"}}}));
    fixture.quarantine_part("first", prompt_part_id("bad"));
    for (int i = 0; i < items; ++i) {
        schema::leased_item taken_over = fixture.make_item("q" + std::to_string(i), "jobs", 1);
        taken_over.set_attempt(2);
        fixture.offer(taken_over);
    }
    fixture.run_for(std::chrono::seconds(2));
    endpoint_stub& endpoint = fixture.add_endpoint("first", "v1");
    endpoint.respond = [&endpoint](exchange_id id, const net::raw_request& request) {
        endpoint.begin_response(id, request);
        endpoint.server().abort(id);
    };
    fixture.run_for(max_idle_time);
    for (int i = 0; i < items; ++i)
        CHECK(endpoint.has_received("q" + std::to_string(i)));
}

// Guards against a gateway that has just started, and runs items that others know as quarantined.
TEST_CASE("no item runs before its gateway knows which are quarantined", "[.][items]") {
    runner_fixture fixture(false);
    endpoint_stub& endpoint = fixture.add_endpoint("first", "v1");
    fixture.runner.set_routes(make_routes(1, {{"jobs", {"first"}}}));
    fixture.offer(fixture.make_item("a", "jobs", 1));
    fixture.run_for(lease_time);
    CHECK(endpoint.requests() == 0);
    fixture.receive_records();
    CHECK(fixture.is_received_in_time(endpoint, "a"));
}
