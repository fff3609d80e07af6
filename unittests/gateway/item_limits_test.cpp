// Batch items whose endpoints send more, or for longer, than an item may return.

#include "cassia/gateway/item_limits.h"
#include "item_runner_fixture.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

using namespace cassia;
using namespace cassia::gateway;

namespace {

constexpr std::size_t mib = 1024UL * 1024;

struct event_plan {
    std::size_t event_bytes = 20000;
    milliseconds interval{1};
    std::size_t count = 0; ///< of a whole output; 0: without an end
    std::size_t events_in_piece = 1;
    std::string comment = ""; ///< sent in place of events
};

/// Sends events with rising ids, or comments.
class event_sender {
public:
    event_sender(net::task& owner, endpoint_stub& endpoint, const event_plan& plan)
        : owner_(owner), endpoint_(endpoint), plan_(plan) {
        endpoint.respond = [this](exchange_id id, const net::raw_request& request) {
            endpoint_.begin_response(id, request);
            const std::string_view last = request.fields.find("Last-Event-Id");
            const std::size_t behind = last.empty() ? 0 : std::stoul(std::string(last));
            resumed_behind.push_back(behind);
            send(id, behind + 1);
        };
    }
    std::size_t sent_bytes = 0;
    std::vector<std::size_t> resumed_behind; ///< the last event that each request names

private:
    void send(exchange_id id, std::size_t number) {
        if (endpoint_.server().connection_of(id) == net::connection_id())
            return;
        std::string piece = plan_.comment;
        for (std::size_t i = 0;
             piece.empty() || (plan_.comment.empty() && i < plan_.events_in_piece); ++i) {
            if (plan_.count > 0 && number > plan_.count) {
                endpoint_.server().piece(id, piece);
                endpoint_.server().end(id);
                return;
            }
            piece += "id: " + std::to_string(number++) +
                     "\ndata: " + std::string(plan_.event_bytes, 'x') + "\n\n";
        }
        endpoint_.server().piece(id, piece);
        sent_bytes += piece.size();
        owner_.after(plan_.interval, [this, id, number] { send(id, number); });
    }

    net::task& owner_;
    endpoint_stub& endpoint_;
    event_plan plan_;
};

bool run_until(runner_fixture& fixture, milliseconds time, const std::function<bool()>& is_done) {
    const instant end = monotonic_now() + time;
    while (monotonic_now() < end && !is_done())
        fixture.run_for(tick_interval);
    return is_done();
}

// Progress is reported with the status of a lease.
bool ends_as(runner_fixture& fixture, schema::item_status status, milliseconds time) {
    return run_until(fixture, time, [&] {
        const auto found = fixture.statuses.find("job-a");
        return found != fixture.statuses.end() && found->second == status;
    });
}

} // namespace

// Guards against an item that is kept whole however much its endpoint sends.
TEST_CASE("an item whose events have no end runs elsewhere", "[.][item_limits]") {
    runner_fixture fixture;
    event_sender endless(fixture.task(), fixture.add_endpoint("first", "v1"),
                         {20000, milliseconds(1), 0, 3});
    fixture.runner.set_routes(make_routes(1, {{"jobs", {"first"}}}));
    fixture.offer(fixture.make_item("a", "jobs", 1));
    run_until(fixture, max_idle_time, [&] { return endless.sent_bytes > mib; });
    event_sender sound(fixture.task(), fixture.add_endpoint("first", "v1"),
                       {100, milliseconds(1), 20});
    CHECK(ends_as(fixture, schema::completed, max_idle_time));
    CHECK(fixture.texts["job-a"].size() == 20 * 100 + 19);
    CHECK(endless.sent_bytes < 16 * mib);
    // What the endless run brought isn't gone on with.
    REQUIRE(sound.resumed_behind.size() == 1);
    CHECK(sound.resumed_behind[0] == 0);
}

// Guards against an item without an end that runs for as long as its job may, or ends as done.
TEST_CASE("an item whose events have no end anywhere fails", "[.][item_limits]") {
    std::size_t endpoints = 4;
    std::size_t runs = 3;
    SECTION("at several endpoints") {}
    SECTION("at the only one") {
        endpoints = 1;
    }
    SECTION("in tiny events") {
        endpoints = 2;
    }
    runner_fixture fixture;
    std::vector<std::unique_ptr<event_sender>> senders;
    for (std::size_t i = 0; i < endpoints; ++i)
        senders.push_back(std::make_unique<event_sender>(
            fixture.task(), fixture.add_endpoint("first", "v1"),
            endpoints == 2 ? event_plan{0, milliseconds(1), 0, 8000}
                           : event_plan{20000, milliseconds(1), 0, 3}));
    fixture.runner.set_routes(make_routes(1, {{"jobs", {"first"}}}));
    fixture.offer(fixture.make_item("a", "jobs", 1));
    CHECK(ends_as(fixture, schema::failed, 2 * max_idle_time));
    CHECK(fixture.texts["job-a"].empty());
    CHECK(fixture.runner.size() == 0);
    std::size_t begun = 0;
    for (const std::unique_ptr<event_sender>& one : senders)
        begun += one->resumed_behind.size();
    CHECK(begun == runs);
}

// Guards against items that hold more together than the gateway may.
TEST_CASE("the item that holds most is returned when items hold too much", "[.][item_limits]") {
    runner_fixture fixture;
    event_sender endless(fixture.task(), fixture.add_endpoint("first", "v1"),
                         {20000, milliseconds(10)});
    event_sender sound(fixture.task(), fixture.add_endpoint("second", "v1"),
                       {1000, milliseconds(10), 150});
    fixture.runner.set_memory_share(mib);
    fixture.runner.set_routes(make_routes(1, {{"jobs", {"first"}}, {"small", {"second"}}}));
    fixture.offer(fixture.make_item("b", "small", 1));
    fixture.offer(fixture.make_item("a", "jobs", 1));
    CHECK(ends_as(fixture, schema::pending, max_idle_time));
    CHECK(fixture.texts["job-a"].size() < mib);
    CHECK(run_until(fixture, max_idle_time,
                    [&] { return fixture.statuses["job-b"] == schema::completed; }));
    CHECK(fixture.texts["job-b"].size() == 150 * 1000 + 149);
    CHECK(endless.sent_bytes < 2 * mib);
}

// Guards against a limit that cuts long sound answers, or counts what was resumed twice.
TEST_CASE("an item of 1 MB is listed whole", "[.][item_limits]") {
    runner_fixture fixture;
    endpoint_stub& endpoint = fixture.add_endpoint("first", "v1");
    event_sender sound(fixture.task(), endpoint, {3500, milliseconds(10), 300});
    fixture.runner.set_routes(make_routes(1, {{"jobs", {"first"}}}));
    fixture.offer(fixture.make_item("a", "jobs", 1));
    SECTION("in one run") {}
    SECTION("in several runs") {
        for (int i = 0; i < 4; ++i) {
            fixture.run_for(milliseconds(700));
            fixture.runner.yield(endpoint_id("e1"), slots_per_endpoint);
        }
    }
    CHECK(ends_as(fixture, schema::completed, 4 * max_idle_time));
    CHECK(fixture.texts["job-a"].size() == 300 * 3500 + 299);
}

// Guards against a slot that is held by an endpoint that sends bytes, but no events.
TEST_CASE("an item whose endpoint drips runs elsewhere", "[.][item_limits]") {
    event_plan plan{0, milliseconds(50)};
    SECTION("comments") {
        plan.comment = ": on\n\n";
    }
    SECTION("single bytes") {
        plan.comment = "x";
    }
    runner_fixture fixture;
    event_sender drips(fixture.task(), fixture.add_endpoint("first", "v1"), plan);
    fixture.runner.set_routes(make_routes(1, {{"jobs", {"first"}}}));
    fixture.offer(fixture.make_item("a", "jobs", 1));
    run_until(fixture, max_idle_time, [&] { return drips.sent_bytes > 0; });
    event_sender sound(fixture.task(), fixture.add_endpoint("first", "v1"),
                       {100, milliseconds(1), 20});
    CHECK(ends_as(fixture, schema::completed, milliseconds(8000)));
    CHECK(fixture.texts["job-a"].size() == 20 * 100 + 19);
}

// Guards against an accepted item that is given up before its time limit.
TEST_CASE("an item with a time limit whose events have no end is kept until then",
          "[.][item_limits]") {
    runner_fixture fixture;
    const event_plan plan{20000, milliseconds(1), 0, 3};
    event_sender endless(fixture.task(), fixture.add_endpoint("first", "v1"), plan);
    fixture.runner.set_routes(make_routes(1, {{"jobs", {"first"}}}));
    schema::leased_item item = fixture.make_item("a", "jobs", 1);
    item.set_abandon_at(to_unix_ms(wall_now()) + 60000);
    fixture.offer(item);
    CHECK_FALSE(ends_as(fixture, schema::failed, milliseconds(4000)));
    CHECK(endless.resumed_behind.size() == usual_overlong_runs);
}

// Guards against such an item that is idle for too long as its gateway ends before its next run.
TEST_CASE("an item whose events have no end runs in time for another gateway to hold it first",
          "[.][item_limits]") {
    runner_fixture fixture;
    const event_plan plan{20000, milliseconds(1), 0, 3};
    event_sender endless(fixture.task(), fixture.add_endpoint("first", "v1"), plan);
    fixture.runner.set_routes(make_routes(1, {{"jobs", {"first"}}}));
    schema::leased_item item = fixture.make_item("a", "jobs", 1);
    item.set_abandon_at(to_unix_ms(wall_now()) + 60000);
    fixture.offer(item);
    const auto run_until = [&fixture, &endless](std::size_t runs, milliseconds time) {
        const instant began = monotonic_now();
        while (monotonic_now() - began < time && endless.resumed_behind.size() < runs)
            fixture.run_for(tick_interval);
        return endless.resumed_behind.size() >= runs;
    };
    REQUIRE(run_until(usual_overlong_runs, max_idle_time));
    CHECK_FALSE(run_until(usual_overlong_runs + 1, min_barred_time));
    CHECK(
        run_until(usual_overlong_runs + 1, max_untried_time - max_handover_time - min_barred_time));
}
