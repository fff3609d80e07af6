// Placement of requests at endpoints, and the order in which they wait.

#include "cassia/policy/batch_schedule.h"
#include "cassia/policy/request_queue.h"
#include "cassia/policy/slot_table.h"
#include "cassia/policy/stream_pace.h"

#include <catch2/catch.hpp>

#include <random>

using namespace cassia;
using namespace cassia::policy;

namespace {

const instant start = instant(std::chrono::seconds(1000));
const service_id model("model");

slot_endpoint endpoint(const std::string& id, const std::string& zone, std::uint32_t slots) {
    return {endpoint_id(id), 1, http_address(id + ":80"), zone_id(zone), model, slots, {}};
}

slot_table make_two_zones() {
    slot_table table{zone_id("a")};
    table.set_endpoints({endpoint("near", "a", 2), endpoint("far", "b", 2)});
    return table;
}

} // namespace

// Guards against a sum of remote usage that drifts from the reports, when a gateway leaves or
// repeats its report: an endpoint would count as full, or free, for ever.
TEST_CASE("the sum of remote usage follows the latest report of each gateway", "[slots]") {
    slot_table table{zone_id("a")};
    table.set_endpoints({endpoint("e0", "a", 40), endpoint("e1", "a", 40)});
    std::map<int, std::pair<std::uint32_t, instant>> reported;
    std::mt19937 random(20);
    instant now = start;
    for (int step = 0; step < 2000; ++step) {
        now += milliseconds(50);
        const int sender = static_cast<int>(random() % 6);
        const std::uint32_t count = random() % 8;
        slot_usage_map uses;
        if (count > 0)
            uses[endpoint_id("e0")] = {count, 0, 0};
        if (random() % 2 == 0)
            uses[endpoint_id("e1")] = {0, 1, 1};
        table.set_remote_usage(entry_id("g" + std::to_string(sender)), uses, now);
        reported[sender] = {count, now};
        table.expire_remote_usage(now);
        std::uint32_t sum = 0;
        for (const auto& one : reported)
            sum += now - one.second.second > milliseconds(1500) ? 0 : one.second.first;
        CHECK(table.is_full(endpoint_id("e0")) == (sum >= 40));
    }
    table.expire_remote_usage(now + milliseconds(2000));
    CHECK(table.batch_capacity(model, now) == 80 - 80 / 8);
}

// Guards against a read past the end of the sum: the entry of an endpoint without requests was
// erased with the report of one gateway, and looked for with that of the next.
TEST_CASE("reports with endpoints that nobody uses can be replaced", "[slots]") {
    slot_table table = make_two_zones();
    const endpoint_id near("near");
    const slot_usage_map unused{{near, {0, 0, 0}}};
    const slot_usage_map used{{near, {1, 0, 0}}};
    for (const slot_usage_map& next : {unused, slot_usage_map(), unused, used, unused}) {
        for (const char* gateway : {"one", "two"})
            table.set_remote_usage(entry_id(gateway), next, start);
        CHECK(table.is_full(near) == (next == used));
    }
    table.expire_remote_usage(start + milliseconds(2000));
    CHECK(!table.is_full(near));
    slot_usage_map sum;
    add_usage(sum, unused);
    CHECK(sum.empty());
}

// Guards against streams that are restarted though nothing was lost, as their endpoint is slow; and
// against an unreachable endpoint that keeps getting requests, as each stall counts as a lost
// packet.
TEST_CASE("the stall timeout follows the pauses, and two stalls suspend the endpoint", "[slots]") {
    const auto pace_of = [](milliseconds pause) {
        stall_timeout_estimator pace;
        for (int i = 0; i < 400; ++i)
            pace.record_pause(pause + milliseconds(i % 2 == 0 ? 5 : -5));
        return pace;
    };
    const stall_timeout_estimator quick = pace_of(milliseconds(25));
    CHECK(quick.stall_timeout(microseconds(0), milliseconds(250)) == milliseconds(75));
    CHECK(quick.stall_timeout(milliseconds(25), milliseconds(250)) == milliseconds(75));
    CHECK(quick.stall_timeout(milliseconds(100), milliseconds(250)) == milliseconds(250));
    // First pause of a stream on slow engines.
    const microseconds slow =
        pace_of(milliseconds(120)).stall_timeout(microseconds(0), milliseconds(600));
    CHECK(slow > milliseconds(130));
    CHECK(slow < milliseconds(160));
    // No samples yet.
    CHECK(stall_timeout_estimator().stall_timeout(microseconds(0), milliseconds(600)) ==
          milliseconds(300));

    slot_table table = make_two_zones();
    const endpoint_id near("near");
    const auto best = [&table] { return table.place_online(model, {}, start, 0.5)->endpoint; };
    CHECK(table.record_stall(near, start) == milliseconds(0));
    table.record_progress(near);
    CHECK(table.record_stall(near, start) == milliseconds(0));
    CHECK(best() == near);
    CHECK(table.record_stall(near, start) == milliseconds(250));
    CHECK(best() == endpoint_id("far"));
}

// Guards against moving a stalled stream to a place where it waits longer than the retransmission
// of the lost packet would take.
TEST_CASE("a stalled stream moves only to a free slot", "[slots]") {
    slot_table table = make_two_zones();
    CHECK(table.place_stalled(model, {endpoint_id("near")}, start, 0.5)->endpoint ==
          endpoint_id("far"));
    table.set_remote_usage(entry_id("other"), {{endpoint_id("far"), {1, 1}}}, start);
    CHECK(!table.place_stalled(model, {endpoint_id("near")}, start, 0.5));
    CHECK(table.place_online(model, {endpoint_id("near")}, start, 0.5));
}

TEST_CASE("free slots of the own zone are used before those of other zones", "[slots]") {
    slot_table table = make_two_zones();
    for (int i = 0; i < 2; ++i) {
        CHECK(table.place_online(model, {}, start, 0.5)->endpoint == endpoint_id("near"));
        table.acquire(endpoint_id("near"), work_kind::online);
    }
    CHECK(table.place_online(model, {}, start, 0.5)->endpoint == endpoint_id("far"));
    table.set_remote_usage(entry_id("other"), {{endpoint_id("far"), {2, 0}}}, start);
    CHECK(!table.place_online(model, {}, start, 0.5));
}

TEST_CASE("batch items yield to online requests when no slot is free", "[slots]") {
    slot_table table = make_two_zones();
    table.set_remote_usage(entry_id("other"),
                           {{endpoint_id("near"), {1, 1}}, {endpoint_id("far"), {0, 2}}}, start);
    const std::optional<placement> placed = table.place_online(model, {}, start, 0.5);
    REQUIRE(placed);
    CHECK(placed->endpoint == endpoint_id("near"));
    REQUIRE(placed->yielding_gateway);
    CHECK(*placed->yielding_gateway == entry_id("other"));
    CHECK(!table.place_batch(model, {}, start, 0.5));
}

TEST_CASE("batch leaves the reserve free, and a suspended endpoint gets no requests", "[slots]") {
    slot_table table{zone_id("a")};
    table.set_endpoints({endpoint("one", "a", 8), endpoint("two", "a", 8)});
    CHECK(table.batch_capacity(model, start) == 14);
    const milliseconds pause = table.record_failure(endpoint_id("one"), start);
    CHECK(pause == milliseconds(250));
    CHECK(table.batch_capacity(model, start) == 7);
    for (int i = 0; i < 20; ++i)
        CHECK(table.place_online(model, {}, start, i / 20.0)->endpoint == endpoint_id("two"));
    CHECK(table.batch_capacity(model, start + pause) == 14);
    CHECK(table.record_failure(endpoint_id("one"), start + pause) == milliseconds(500));
}

// Guards against a gateway that sends request after request to a full endpoint, as it knows of its
// rejections only per request.
TEST_CASE("an endpoint that rejected a request counts as full for a time", "[slots]") {
    slot_table table = make_two_zones();
    const endpoint_id near("near");
    const endpoint_id far("far");
    table.set_remote_usage(entry_id("other"), {{near, {0, 1, 0}}}, start);
    table.record_rejection(near, start);
    const instant last = start + milliseconds(99);
    for (int i = 0; i < 20; ++i) {
        CHECK(table.place_online(model, {}, last, i / 20.0)->endpoint == far);
        CHECK(table.place_stalled(model, {}, last, i / 20.0)->endpoint == far);
        CHECK(table.place_batch(model, {}, last, i / 20.0)->endpoint == far);
        CHECK(table.place_batch(model, {}, last, i / 20.0, true)->endpoint == far);
    }
    CHECK(table.total_slots(model, last) == 4);
    CHECK(table.batch_capacity(model, last) == 2);
    CHECK(table.own_usage().empty());
    CHECK(table.place_online(model, {}, start + milliseconds(100), 0.5)->endpoint == near);
    // Neither a free slot nor one held by batch: the request waits.
    table.record_rejection(far, start);
    CHECK(!table.place_online(model, {near}, last, 0.5));
    CHECK(!table.place_online(model, {}, last, 0.5));
    CHECK(!table.place_batch(model, {}, last, 0.5, true));
    CHECK(table.total_slots(model, last) == 4);
    CHECK(!table.place_online(model, {far}, last, 0.5));
}

TEST_CASE("the time for which an endpoint counts as full grows until a success", "[slots]") {
    slot_table table{zone_id("a")};
    const slot_endpoint only = endpoint("only", "a", 8);
    table.set_endpoints({only});
    instant now = start;
    const auto full_time = [&table, &now] {
        milliseconds time(0);
        while (!table.place_online(model, {}, now + time, 0.5))
            ++time;
        return time;
    };
    const auto reject = [&table, &now, &only] { table.record_rejection(only.id, now); };
    for (const int expected : {100, 200, 400, 400}) {
        reject();
        now += milliseconds(10);
        reject(); // sent with the first
        CHECK(full_time() == milliseconds(expected - 10));
        table.set_endpoints({only});
        now += full_time();
    }
    reject();
    table.record_success(only.id);
    CHECK(full_time() == milliseconds(100));
    now += full_time();
    reject();
    CHECK(full_time() == milliseconds(100));
    slot_endpoint restarted = only;
    restarted.incarnation = 2;
    table.set_endpoints({restarted});
    CHECK(full_time() == milliseconds(0));
    table.record_rejection(endpoint_id("unknown"), now);
}

TEST_CASE("the usage of a silent gateway expires", "[slots]") {
    slot_table table = make_two_zones();
    table.set_remote_usage(entry_id("other"),
                           {{endpoint_id("near"), {2, 0}}, {endpoint_id("far"), {2, 0}}}, start);
    CHECK(!table.place_online(model, {}, start, 0.5));
    table.expire_remote_usage(start + milliseconds(2000));
    CHECK(table.place_online(model, {}, start, 0.5));
}

// Eight gateways place a wave of 40 requests before any receives the usage of the others. If each
// chose the emptiest endpoint, all 40 would wait at the same one; weighted by the squares of the
// free slots, at most a few exceed the slots of their endpoint.
TEST_CASE("gateways without each other's usage spread a wave over the endpoints", "[slots]") {
    std::mt19937_64 random(7);
    std::uniform_real_distribution<double> draw(0, 1);
    std::map<endpoint_id, int> load;
    for (int entry = 0; entry < 8; ++entry) {
        slot_table table{zone_id("a")};
        std::vector<slot_endpoint> endpoints;
        for (int i = 0; i < 8; ++i)
            endpoints.push_back(endpoint("e" + std::to_string(i), "a", 8));
        table.set_endpoints(endpoints);
        table.set_remote_usage(entry_id("other"), {{endpoint_id("e0"), {0, 1}}}, start);
        for (int i = 0; i < 5; ++i) {
            const std::optional<placement> placed =
                table.place_online(model, {}, start, draw(random));
            REQUIRE(placed);
            table.acquire(placed->endpoint, work_kind::online);
            ++load[placed->endpoint];
        }
    }
    int over = 0;
    for (const std::pair<const endpoint_id, int>& one : load)
        over += std::max(0, one.second - 8);
    CHECK(over <= 3);
}

// Guards against a queue longer than the latency target in which every request is served just too
// late, as the oldest goes first.
TEST_CASE("a queue longer than the target still serves some requests on time", "[slots]") {
    request_queue queue;
    const auto wait = [&queue](std::uint64_t id, milliseconds arrived) {
        queue.add({exchange_id(id),
                   model,
                   team_id(),
                   0,
                   start + arrived,
                   start + arrived + milliseconds(240),
                   start + arrived + milliseconds(3000),
                   false,
                   {}});
    };
    wait(1, milliseconds(0));
    wait(2, milliseconds(300));
    wait(3, milliseconds(310));
    CHECK(*queue.next({model, {}}, start + milliseconds(320)) == exchange_id(2));
    queue.remove(exchange_id(2));
    queue.remove(exchange_id(3));
    CHECK(*queue.next({model, {}}, start + milliseconds(320)) == exchange_id(1));
    CHECK(queue.expired(start + milliseconds(3001)) == std::vector<exchange_id>{exchange_id(1)});
    CHECK(!queue.next({service_id("search"), {}}, start));
}

// Guards against an answer that is cut in the middle and then waits behind new requests until its
// deadline.
TEST_CASE("a request that has run isn't late to the queue", "[slots]") {
    request_queue queue;
    const auto add = [&queue](std::uint64_t id, milliseconds target, std::uint32_t priority,
                              bool has_run) {
        queue.add({exchange_id(id),
                   model,
                   team_id(),
                   priority,
                   start,
                   start + target,
                   start + milliseconds(5000),
                   has_run,
                   {}});
    };
    add(1, milliseconds(200), 1, false);
    add(2, milliseconds(200), 1, true);
    add(3, milliseconds(900), 1, false);
    add(4, milliseconds(900), 0, false);
    std::vector<std::uint64_t> served;
    while (const std::optional<exchange_id> next =
               queue.next({model, {}}, start + milliseconds(500))) {
        served.push_back(next->value());
        queue.remove_served(*next);
    }
    CHECK(served == std::vector<std::uint64_t>{4, 2, 3, 1});
}

TEST_CASE("a large team's wave doesn't delay the requests of a small team", "[policy]") {
    request_queue queue;
    const auto add = [&queue](int id, const std::string& team, std::uint32_t priority) {
        queue.add({exchange_id(id),
                   model,
                   team_id(team),
                   priority,
                   start,
                   start + milliseconds(200 + id),
                   start + milliseconds(3000),
                   false,
                   {}});
    };
    for (int id = 1; id <= 50; ++id)
        add(id, "large", 1);
    add(60, "small", 1);
    add(61, "small", 1);
    add(62, "late and urgent", 0);
    std::vector<std::uint64_t> served;
    while (const std::optional<exchange_id> next = queue.next({model, {}}, start)) {
        served.push_back(next->value());
        queue.remove_served(*next);
    }
    REQUIRE(served.size() == 53);
    // By priority, then teams in turn, each team's requests by their targets.
    CHECK(std::vector<std::uint64_t>(served.begin(), served.begin() + 6) ==
          std::vector<std::uint64_t>{62, 1, 60, 2, 61, 3});
}

TEST_CASE("a team that joins the queue gets no credit for the time before", "[policy]") {
    request_queue queue;
    const auto add = [&queue](int id, const std::string& team) {
        queue.add({exchange_id(id),
                   model,
                   team_id(team),
                   0,
                   start,
                   start + milliseconds(200 + id),
                   start + milliseconds(3000),
                   false,
                   {}});
    };
    for (int id = 1; id <= 20; ++id)
        add(id, "first");
    for (int i = 0; i < 10; ++i)
        queue.remove_served(*queue.next({model, {}}, start));
    for (int id = 31; id <= 40; ++id)
        add(id, "second");
    int of_first = 0;
    for (int i = 0; i < 10; ++i) {
        const exchange_id next = *queue.next({model, {}}, start);
        of_first += next.value() <= 20 ? 1 : 0;
        queue.remove_served(next);
    }
    CHECK(of_first == 5);
}

// Guards against gateways that send all requests to an unreachable endpoint whenever its suspension
// ends: with two such endpoints, 33 answers were late within 4 s. An endpoint that failed is on
// trial: batch tries it first, online only if nothing else is free, and with one request at a time.
TEST_CASE("an endpoint on trial gets one request at a time", "[slots]") {
    slot_table table{zone_id("a")};
    table.set_endpoints({endpoint("dark", "a", 8), endpoint("fine", "a", 2)});
    const instant later = start + table.record_failure(endpoint_id("dark"), start);
    for (int i = 0; i < 20; ++i)
        CHECK(table.place_online(model, {}, later, i / 20.0)->endpoint == endpoint_id("fine"));
    CHECK(table.place_batch(model, {}, later, 0.5)->endpoint == endpoint_id("dark"));
    table.acquire(endpoint_id("dark"), work_kind::batch);
    CHECK(table.place_batch(model, {}, later, 0.5)->endpoint == endpoint_id("fine"));
    table.record_success(endpoint_id("dark"));
    CHECK(table.batch_capacity(model, later) == 8);
}

// Guards against items of a whole fleet that fill an endpoint on trial, so that they wait there
// until it counts as failed again.
TEST_CASE("in a large fleet only gateways where an endpoint failed try it", "[slots]") {
    slot_table table{zone_id("a")};
    table.set_endpoints({endpoint("suspected", "a", 8), endpoint("fine", "a", 8)});
    table.set_peers({69, milliseconds(350)}, {69, milliseconds(350)});
    for (const std::string peer : {"one", "two"})
        table.set_remote_usage(entry_id(peer), {{endpoint_id("suspected"), {0, 0, 1}}}, start);
    for (int i = 0; i < 20; ++i)
        CHECK(table.place_batch(model, {}, start, i / 20.0)->endpoint == endpoint_id("fine"));
    const instant later = start + table.record_failure(endpoint_id("suspected"), start);
    CHECK(table.place_batch(model, {}, later, 0.5)->endpoint == endpoint_id("suspected"));
}

// Guards against endpoints that a large fleet doesn't use for as long as gateways at which they
// failed have nothing to try there.
TEST_CASE("in a large fleet an endpoint is reported as suspected for a limited time", "[slots]") {
    slot_table table{zone_id("a")};
    table.set_endpoints({endpoint("dark", "a", 8)});
    table.set_peers({69, milliseconds(350)}, {69, milliseconds(350)});
    table.record_failure(endpoint_id("dark"), start);
    table.expire_remote_usage(start + milliseconds(1000));
    CHECK(table.own_usage().at(endpoint_id("dark")).suspected_by == 1);
    table.expire_remote_usage(start + milliseconds(5000));
    CHECK(table.own_usage().empty());
}

// Guards against requests that are placed at an endpoint whose process has crashed.
TEST_CASE("an endpoint that crashed is used again when another process runs there", "[slots]") {
    slot_table table{zone_id("a")};
    slot_endpoint crashed = endpoint("crashed", "a", 8);
    table.set_endpoints({crashed});
    table.record_crash(crashed.id, crashed.incarnation + 1, start);
    CHECK(table.place_online(model, {}, start, 0.5));
    table.record_crash(crashed.id, crashed.incarnation, start);
    CHECK_FALSE(table.place_online(model, {}, start + milliseconds(4000), 0.5));
    CHECK(table.place_online(model, {}, start + milliseconds(6000), 0.5));
    ++crashed.incarnation;
    table.set_endpoints({crashed});
    CHECK(table.place_online(model, {}, start + milliseconds(100), 0.5));
}

// Guards against an endpoint that a gateway uses only as a last resort, since requests failed at
// another address that its entry had for a while.
TEST_CASE("failures at another address don't count for an endpoint", "[slots]") {
    slot_table table{zone_id("a")};
    const slot_endpoint fine = endpoint("fine", "a", 8);
    const slot_endpoint sound = endpoint("sound", "a", 8);
    slot_endpoint moved = sound;
    moved.address = http_address("nobody:80");
    table.set_endpoints({fine, sound});
    table.set_endpoints({fine, moved});
    instant now = start;
    for (int i = 0; i < 3; ++i)
        now += table.record_failure(sound.id, now);
    CHECK(table.own_usage().at(sound.id).suspected_by == 1);
    table.set_endpoints({fine, sound});
    CHECK(table.own_usage().empty());
    int of_sound = 0;
    for (int i = 0; i < 20; ++i)
        of_sound += table.place_online(model, {}, now, i / 20.0)->endpoint == sound.id ? 1 : 0;
    CHECK(of_sound == 10);
}

// Guards against an endpoint whose failures another writer hides by a change of its address, and
// one that takes all requests whenever its address changes.
TEST_CASE("failures at an address count again when an endpoint is back there", "[slots]") {
    slot_table table{zone_id("a")};
    const slot_endpoint fine = endpoint("fine", "a", 8);
    const slot_endpoint failed = endpoint("failed", "a", 8);
    slot_endpoint moved = failed;
    moved.address = http_address("nobody:80");
    table.set_endpoints({fine, failed});
    table.record_failure(failed.id, start);
    for (int change = 0; change < 3; ++change) {
        table.set_endpoints({fine, moved});
        if (change == 0)
            table.record_failure(failed.id, start);
        table.set_endpoints({fine, failed});
        table.set_endpoints({fine, failed});
        CHECK(table.own_usage().at(failed.id).suspected_by == 1);
        for (int i = 0; i < 20; ++i)
            CHECK(table.place_online(model, {}, start + milliseconds(300), i / 20.0)->endpoint ==
                  fine.id);
    }
    table.set_endpoints({fine, moved});
    CHECK(table.own_usage().at(failed.id).suspected_by == 1);
    slot_endpoint restarted = failed;
    ++restarted.incarnation;
    table.set_endpoints({fine, restarted});
    CHECK(table.own_usage().empty());
}

TEST_CASE("an endpoint is on trial if two other gateways suspect it, but not if one does",
          "[slots]") {
    slot_table table{zone_id("a")};
    table.set_endpoints({endpoint("dark", "a", 8), endpoint("fine", "a", 1)});
    const slot_usage_map failing{{endpoint_id("dark"), {0, 0, 1}}};
    table.set_remote_usage(entry_id("one"), failing, start);
    int dark = 0;
    for (int i = 0; i < 20; ++i)
        dark += table.place_online(model, {}, start, i / 20.0)->endpoint == endpoint_id("dark");
    CHECK(dark > 10);
    table.set_remote_usage(entry_id("two"), failing, start);
    for (int i = 0; i < 20; ++i)
        CHECK(table.place_online(model, {}, start, i / 20.0)->endpoint == endpoint_id("fine"));
}

TEST_CASE("no batch item has to yield at an endpoint with free slots", "[slots]") {
    slot_table table(zone_id("z1"));
    table.set_endpoints({endpoint("e1", "z1", 8)});
    const endpoint_id there("e1");
    table.acquire(there, work_kind::batch);
    table.acquire(there, work_kind::online);
    CHECK(!table.batch_holder_if_full(there));
    // Other gateways have filled it meanwhile.
    table.set_remote_usage(entry_id("other"), {{there, {6, 0, 0}}}, start);
    CHECK(table.batch_holder_if_full(there) == entry_id());
    table.release(there, work_kind::batch);
    table.set_remote_usage(entry_id("other"), {{there, {6, 1, 0}}}, start);
    CHECK(table.batch_holder_if_full(there) == entry_id("other"));
    table.set_remote_usage(entry_id("other"), {{there, {7, 0, 0}}}, start);
    CHECK(!table.batch_holder_if_full(there));
}

// Guards against batch items that miss their deadline beside idle slots: each wave of online
// requests interrupts them, and between waves the reserve was closed to old items as to new ones.
TEST_CASE("an urgent item may use the online reserve", "[slots]") {
    slot_table table{zone_id("a")};
    table.set_endpoints({endpoint("e0", "a", 8), endpoint("e1", "a", 8)});
    for (int i = 0; i < 7; ++i) {
        table.acquire(endpoint_id("e0"), work_kind::online);
        table.acquire(endpoint_id("e1"), work_kind::batch);
    }
    CHECK(!table.place_batch(model, {}, start, 0.5));
    CHECK(table.place_batch(model, {}, start, 0.5, true));
    table.acquire(endpoint_id("e0"), work_kind::online);
    table.acquire(endpoint_id("e1"), work_kind::online);
    CHECK(!table.place_batch(model, {}, start, 0.5, true));

    const std::uint64_t at = 100000;
    const std::uint64_t due = 18000;
    CHECK(!is_urgent(at + 10000, due, at));
    CHECK(is_urgent(at + 8000, due, at));
    CHECK(!is_urgent(at + 1000, due, at)); // can't be on time any more
    CHECK(!is_urgent(0, due, at));
}

// Two jobs of ten items wait, engines finish an item every 2 s, and the first job has missed its
// deadline. By deadline alone both would end late, so the one that can be on time must go first.
TEST_CASE("a job that has missed its deadline waits for one that can meet it", "[slots]") {
    batch_scheduler schedule;
    const std::uint64_t at = 100000;
    const job_candidate too_late{job_id("missed"), team_id("c"), at - 1, 1, 10};
    const job_candidate reachable{job_id("close"), team_id("c"), at + 20000, 2, 10};
    const std::vector<lease_choice> choices = schedule.choose({too_late, reachable}, 12, at);
    REQUIRE(choices.size() == 2);
    CHECK(choices[0].job == job_id("close"));
    CHECK(choices[0].items == 10);
    CHECK(schedule.choose({too_late}, 4, at).front().items == 4);
}

// Guards against a wave in which all gateways of a zone, having received the same sums, request the
// batch slots of the same endpoint.
TEST_CASE("gateways spread their requests over the endpoints whose batch items yield", "[slots]") {
    constexpr int endpoints = 20;
    constexpr int gateways = 50;
    std::map<endpoint_id, int> chosen;
    std::mt19937 random(3);
    std::uniform_real_distribution<double> draw(0, 1);
    for (int i = 0; i < gateways; ++i) {
        slot_table table{zone_id("a")};
        std::vector<slot_endpoint> all;
        slot_usage_map used;
        for (int e = 0; e < endpoints; ++e) {
            all.push_back(endpoint("e" + std::to_string(e), "a", 8));
            used[all.back().id] = {4, 4, 0};
        }
        table.set_endpoints(all);
        table.set_remote_usage(entry_id("zone a"), used, start);
        const std::optional<placement> placed = table.place_online(model, {}, start, draw(random));
        REQUIRE(placed);
        CHECK(placed->yielding_gateway == entry_id("zone a"));
        ++chosen[placed->endpoint];
    }
    for (const auto& one : chosen)
        CHECK(one.second <= 4 + gateways / endpoints * 2);
}
