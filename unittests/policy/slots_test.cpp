// Where forwarded requests go, and in which order they wait.

#include "cassia/policy/batch_scheduler.h"
#include "cassia/policy/request_queue.h"
#include "cassia/policy/slot_table.h"
#include "cassia/policy/stall_timeout_estimator.h"

#include <catch2/catch.hpp>

#include <random>

using namespace cassia;
using namespace cassia::policy;

namespace {

const instant start = instant(std::chrono::seconds(1000));
const service_id model("model");

slot_endpoint endpoint(const std::string& id, const std::string& zone, std::uint32_t slots) {
    return {endpoint_id(id), 1, http_address(id + ":80"), zone_id(zone), model, slots};
}

slot_table two_zones() {
    slot_table book{zone_id("a")};
    book.set_endpoints({endpoint("near", "a", 2), endpoint("far", "b", 2)});
    return book;
}

} // namespace

// Story: a gateway believes an endpoint full, or free, for ever: the sum of what others have under
// way there drifted from what they said, by one of them that went away or repeated itself.
TEST_CASE("the sum of the others' work follows what each said last", "[slots]") {
    slot_table book{zone_id("a")};
    book.set_endpoints({endpoint("e0", "a", 40), endpoint("e1", "a", 40)});
    std::map<int, std::pair<std::uint32_t, instant>> said;
    std::mt19937 random(20);
    instant now = start;
    for (int step = 0; step < 2000; ++step) {
        now += milliseconds(50);
        const int who = static_cast<int>(random() % 6);
        const std::uint32_t count = random() % 8;
        slot_usage_map uses;
        if (count > 0)
            uses[endpoint_id("e0")] = {count, 0, 0};
        if (random() % 2 == 0)
            uses[endpoint_id("e1")] = {0, 1, 1};
        book.set_remote_usage(entry_id("g" + std::to_string(who)), uses, now);
        said[who] = {count, now};
        book.expire_remote_usage(now);
        std::uint32_t sum = 0;
        for (const auto& one : said)
            sum += now - one.second.second > milliseconds(1500) ? 0 : one.second.first;
        CHECK(book.is_full(endpoint_id("e0")) == (sum >= 40));
    }
    book.expire_remote_usage(now + milliseconds(2000));
    CHECK(book.batch_capacity(model, now) == 80 - 80 / 8);
}

// Story: streams are begun anew all the time though nothing is lost, as their endpoint is slow; or
// an endpoint that went dark keeps getting requests, as each pause is taken for a lost packet.
TEST_CASE("a pause is measured by the stream's pace, two at once by the endpoint", "[slots]") {
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
    // The first pause of a stream on slow engines.
    const microseconds slow =
        pace_of(milliseconds(120)).stall_timeout(microseconds(0), milliseconds(600));
    CHECK(slow > milliseconds(130));
    CHECK(slow < milliseconds(160));
    // Nothing known yet.
    CHECK(stall_timeout_estimator().stall_timeout(microseconds(0), milliseconds(600)) ==
          milliseconds(300));

    slot_table book = two_zones();
    const endpoint_id near("near");
    const auto best = [&book] { return book.place_online(model, {}, start, 0.5)->endpoint; };
    CHECK(book.record_stall(near, start) == milliseconds(0));
    book.record_progress(near);
    CHECK(book.record_stall(near, start) == milliseconds(0));
    CHECK(best() == near);
    CHECK(book.record_stall(near, start) == milliseconds(250));
    CHECK(best() == endpoint_id("far"));
}

// Story: a stream that stalled is moved where it waits longer than the lost packet would have
// taken.
TEST_CASE("a stalled stream moves only where a slot is free at once", "[slots]") {
    slot_table book = two_zones();
    CHECK(book.place_stalled(model, {endpoint_id("near")}, start, 0.5)->endpoint ==
          endpoint_id("far"));
    book.set_remote_usage(entry_id("other"), {{endpoint_id("far"), {1, 1}}}, start);
    CHECK(!book.place_stalled(model, {endpoint_id("near")}, start, 0.5));
    CHECK(book.place_online(model, {endpoint_id("near")}, start, 0.5));
}

TEST_CASE("free slots of the own zone go first, then those further off", "[slots]") {
    slot_table book = two_zones();
    for (int i = 0; i < 2; ++i) {
        CHECK(book.place_online(model, {}, start, 0.5)->endpoint == endpoint_id("near"));
        book.acquire(endpoint_id("near"), work_kind::online);
    }
    CHECK(book.place_online(model, {}, start, 0.5)->endpoint == endpoint_id("far"));
    book.set_remote_usage(entry_id("other"), {{endpoint_id("far"), {2, 0}}}, start);
    CHECK(!book.place_online(model, {}, start, 0.5));
}

TEST_CASE("a full fleet makes batch yield to online requests", "[slots]") {
    slot_table book = two_zones();
    book.set_remote_usage(entry_id("other"),
                          {{endpoint_id("near"), {1, 1}}, {endpoint_id("far"), {0, 2}}}, start);
    const std::optional<placement> place = book.place_online(model, {}, start, 0.5);
    REQUIRE(place);
    CHECK(place->endpoint == endpoint_id("near"));
    REQUIRE(place->yielding_gateway);
    CHECK(*place->yielding_gateway == entry_id("other"));
    CHECK(!book.place_batch(model, {}, start, 0.5));
}

TEST_CASE("batch keeps away from the reserve, and endpoints that failed get nothing", "[slots]") {
    slot_table book{zone_id("a")};
    book.set_endpoints({endpoint("one", "a", 8), endpoint("two", "a", 8)});
    CHECK(book.batch_capacity(model, start) == 14);
    const milliseconds pause = book.record_failure(endpoint_id("one"), start);
    CHECK(pause == milliseconds(250));
    CHECK(book.batch_capacity(model, start) == 7);
    for (int i = 0; i < 20; ++i)
        CHECK(book.place_online(model, {}, start, i / 20.0)->endpoint == endpoint_id("two"));
    CHECK(book.batch_capacity(model, start + pause) == 14);
    CHECK(book.record_failure(endpoint_id("one"), start + pause) == milliseconds(500));
}

TEST_CASE("what a silent entry had under way is forgotten", "[slots]") {
    slot_table book = two_zones();
    book.set_remote_usage(entry_id("other"),
                          {{endpoint_id("near"), {2, 0}}, {endpoint_id("far"), {2, 0}}}, start);
    CHECK(!book.place_online(model, {}, start, 0.5));
    book.expire_remote_usage(start + milliseconds(2000));
    CHECK(book.place_online(model, {}, start, 0.5));
}

// Eight entries place a wave of 40 requests before any of them hears of the others' choices. Taking
// the emptiest endpoint always, all 40 land on one and wait; drawn by the squares of the free
// slots, no endpoint gets more than it can run besides a few.
TEST_CASE("entries that don't hear of each other spread a wave", "[slots]") {
    std::mt19937_64 random(7);
    std::uniform_real_distribution<double> draw(0, 1);
    std::map<endpoint_id, int> load;
    for (int entry = 0; entry < 8; ++entry) {
        slot_table book{zone_id("a")};
        std::vector<slot_endpoint> endpoints;
        for (int i = 0; i < 8; ++i)
            endpoints.push_back(endpoint("e" + std::to_string(i), "a", 8));
        book.set_endpoints(endpoints);
        book.set_remote_usage(entry_id("other"), {{endpoint_id("e0"), {0, 1}}}, start);
        for (int i = 0; i < 5; ++i) {
            const std::optional<placement> place =
                book.place_online(model, {}, start, draw(random));
            REQUIRE(place);
            book.acquire(place->endpoint, work_kind::online);
            ++load[place->endpoint];
        }
    }
    int over = 0;
    for (const std::pair<const endpoint_id, int>& one : load)
        over += std::max(0, one.second - 8);
    CHECK(over <= 3);
}

// Callers wait in a line that has grown longer than their target. Oldest first would serve each
// just too late; those that can still be on time go first, and the late ones after them.
TEST_CASE("a line longer than the target still serves some on time", "[slots]") {
    request_queue line;
    const auto wait = [&line](std::uint64_t id, milliseconds arrived) {
        line.add({exchange_id(id), model, team_id(), 0, start + arrived,
                  start + arrived + milliseconds(240), start + arrived + milliseconds(3000)});
    };
    wait(1, milliseconds(0));
    wait(2, milliseconds(300));
    wait(3, milliseconds(310));
    CHECK(*line.next(model, start + milliseconds(320)) == exchange_id(2));
    line.remove(exchange_id(2));
    line.remove(exchange_id(3));
    CHECK(*line.next(model, start + milliseconds(320)) == exchange_id(1));
    CHECK(line.expired(start + milliseconds(3001)) == std::vector<exchange_id>{exchange_id(1)});
    CHECK(!line.next(service_id("search"), start));
}

TEST_CASE("a large team's wave doesn't push a small one's requests out of the queue", "[policy]") {
    request_queue line;
    const auto add = [&line](int id, const std::string& team, std::uint32_t priority) {
        line.add({exchange_id(id), model, team_id(team), priority, start,
                  start + milliseconds(200 + id), start + milliseconds(3000)});
    };
    for (int id = 1; id <= 50; ++id)
        add(id, "large", 1);
    add(60, "small", 1);
    add(61, "small", 1);
    add(62, "late and urgent", 0);
    std::vector<std::uint64_t> served;
    while (const std::optional<exchange_id> next = line.next(model, start)) {
        served.push_back(next->value());
        line.remove_served(*next);
    }
    REQUIRE(served.size() == 53);
    // By priority first, then one of each team in turn, each team's by its targets.
    CHECK(std::vector<std::uint64_t>(served.begin(), served.begin() + 6) ==
          std::vector<std::uint64_t>{62, 1, 60, 2, 61, 3});
}

TEST_CASE("a team that joins the queue is owed nothing for the time before", "[policy]") {
    request_queue line;
    const auto add = [&line](int id, const std::string& team) {
        line.add({exchange_id(id), model, team_id(team), 0, start, start + milliseconds(200 + id),
                  start + milliseconds(3000)});
    };
    for (int id = 1; id <= 20; ++id)
        add(id, "first");
    for (int i = 0; i < 10; ++i)
        line.remove_served(*line.next(model, start));
    for (int id = 31; id <= 40; ++id)
        add(id, "second");
    int of_first = 0;
    for (int i = 0; i < 10; ++i) {
        const exchange_id next = *line.next(model, start);
        of_first += next.value() <= 20 ? 1 : 0;
        line.remove_served(next);
    }
    CHECK(of_first == 5);
}

// Story: two runners fall silent. Each time their suspension ends, every gateway sends them all
// that looks for a free slot, and callers wait for connections that never stand: 33 late answers in
// 4 s. An endpoint that failed is on trial: batch tries it first, and online only if nothing else
// is free, with one request at a time.
TEST_CASE("an endpoint that failed is tried by one request at a time", "[slots]") {
    slot_table book{zone_id("a")};
    book.set_endpoints({endpoint("dark", "a", 8), endpoint("fine", "a", 2)});
    const instant later = start + book.record_failure(endpoint_id("dark"), start);
    for (int i = 0; i < 20; ++i)
        CHECK(book.place_online(model, {}, later, i / 20.0)->endpoint == endpoint_id("fine"));
    CHECK(book.place_batch(model, {}, later, 0.5)->endpoint == endpoint_id("dark"));
    book.acquire(endpoint_id("dark"), work_kind::batch);
    CHECK(book.place_batch(model, {}, later, 0.5)->endpoint == endpoint_id("fine"));
    book.record_success(endpoint_id("dark"));
    CHECK(book.batch_capacity(model, later) == 8);
}

TEST_CASE("what two others suspect is on trial here too, what one does isn't", "[slots]") {
    slot_table book{zone_id("a")};
    book.set_endpoints({endpoint("dark", "a", 8), endpoint("fine", "a", 1)});
    const slot_usage_map failing{{endpoint_id("dark"), {0, 0, 1}}};
    book.set_remote_usage(entry_id("one"), failing, start);
    int dark = 0;
    for (int i = 0; i < 20; ++i)
        dark += book.place_online(model, {}, start, i / 20.0)->endpoint == endpoint_id("dark");
    CHECK(dark > 10);
    book.set_remote_usage(entry_id("two"), failing, start);
    for (int i = 0; i < 20; ++i)
        CHECK(book.place_online(model, {}, start, i / 20.0)->endpoint == endpoint_id("fine"));
}

TEST_CASE("a request that begins late cuts no batch item where slots are free", "[slots]") {
    slot_table book(zone_id("z1"));
    book.set_endpoints({endpoint("e1", "z1", 8)});
    const endpoint_id there("e1");
    book.acquire(there, work_kind::batch);
    book.acquire(there, work_kind::online);
    CHECK(!book.batch_holder_if_full(there));
    // Others have filled it meanwhile.
    book.set_remote_usage(entry_id("other"), {{there, {6, 0, 0}}}, start);
    CHECK(book.batch_holder_if_full(there) == entry_id());
    book.release(there, work_kind::batch);
    book.set_remote_usage(entry_id("other"), {{there, {6, 1, 0}}}, start);
    CHECK(book.batch_holder_if_full(there) == entry_id("other"));
    book.set_remote_usage(entry_id("other"), {{there, {7, 0, 0}}}, start);
    CHECK(!book.batch_holder_if_full(there));
}

// Story: summaries come after their job was due, beside slots that nobody uses. Each wave of online
// requests interrupted them, and in between new and old items alike kept out of the reserve.
TEST_CASE("an item with little time left may use the reserve", "[slots]") {
    slot_table book{zone_id("a")};
    book.set_endpoints({endpoint("e0", "a", 8), endpoint("e1", "a", 8)});
    for (int i = 0; i < 7; ++i) {
        book.acquire(endpoint_id("e0"), work_kind::online);
        book.acquire(endpoint_id("e1"), work_kind::batch);
    }
    CHECK(!book.place_batch(model, {}, start, 0.5));
    CHECK(book.place_batch(model, {}, start, 0.5, true));
    book.acquire(endpoint_id("e0"), work_kind::online);
    book.acquire(endpoint_id("e1"), work_kind::online);
    CHECK(!book.place_batch(model, {}, start, 0.5, true));

    const std::uint64_t at = 100000;
    const std::uint64_t due = 18000;
    CHECK(!is_urgent(at + 10000, due, at));
    CHECK(is_urgent(at + 8000, due, at));
    CHECK(!is_urgent(at + 1000, due, at)); // late whatever is done
    CHECK(!is_urgent(0, due, at));
}

// Two jobs of ten items wait, engines finish an item every 2 s, and the first job is already too
// late. Nearest deadline first, both end late; the one that can be on time must go first.
TEST_CASE("a job that can't be on time waits for one that can", "[slots]") {
    batch_scheduler schedule;
    const std::uint64_t at = 100000;
    const job_candidate missed{job_id("missed"), team_id("c"), at - 1, 1, 10};
    const job_candidate close{job_id("close"), team_id("c"), at + 20000, 2, 10};
    const std::vector<lease_choice> choices = schedule.choose({missed, close}, 12, at);
    REQUIRE(choices.size() == 2);
    CHECK(choices[0].job == job_id("close"));
    CHECK(choices[0].items == 10);
    CHECK(schedule.choose({missed}, 4, at).front().items == 4);
}

// Guards against a wave in which all gateways of a zone, who were told the same, ask batch for the
// slots of one endpoint.
TEST_CASE("gateways spread over the endpoints whose batch items yield", "[slots]") {
    constexpr int endpoints = 20;
    constexpr int gateways = 50;
    std::map<endpoint_id, int> chosen;
    std::mt19937 random(3);
    std::uniform_real_distribution<double> draw(0, 1);
    for (int i = 0; i < gateways; ++i) {
        slot_table book{zone_id("a")};
        std::vector<slot_endpoint> all;
        slot_usage_map used;
        for (int e = 0; e < endpoints; ++e) {
            all.push_back(endpoint("e" + std::to_string(e), "a", 8));
            used[all.back().id] = {4, 4, 0};
        }
        book.set_endpoints(all);
        book.set_remote_usage(entry_id("zone a"), used, start);
        const std::optional<placement> place = book.place_online(model, {}, start, draw(random));
        REQUIRE(place);
        CHECK(place->yielding_gateway == entry_id("zone a"));
        ++chosen[place->endpoint];
    }
    for (const auto& one : chosen)
        CHECK(one.second <= 4 + gateways / endpoints * 2);
}
