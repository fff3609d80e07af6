// Routing, admission, retry budget, strikes, batch scheduling and batch slots.

#include "cassia/policy/admission.h"
#include "cassia/policy/batch_schedule.h"
#include "cassia/policy/batch_slots.h"
#include "cassia/policy/router.h"
#include "cassia/policy/strikes.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>

using namespace cassia;
using namespace cassia::policy;

namespace {

const instant start = instant(std::chrono::seconds(1000));

endpoint_info engine(const std::string& id, const std::string& zone, std::uint32_t slots) {
    endpoint_info facts;
    facts.id = endpoint_id(id);
    facts.incarnation = 1;
    facts.zone = zone_id(zone);
    facts.engine = true;
    facts.models[service_id("model")].versions = {"v1"};
    facts.max_running = slots;
    return facts;
}

pick_request model_request() {
    return {{service_id("model"), "", ""}, 0, false, {}};
}

router make_router() {
    return router({zone_id("a"), entry_id("self")}, 1);
}

} // namespace

TEST_CASE("the own zone is preferred, other zones are used when it is full", "[policy]") {
    router test_router = make_router();
    test_router.set_endpoints({engine("near", "a", 2), engine("far", "b", 2)});
    for (int i = 0; i < 2; ++i) {
        const std::optional<pick> chosen = test_router.choose(model_request(), start);
        REQUIRE(chosen->endpoint == endpoint_id("near"));
        test_router.record_start(chosen->endpoint, 0, false);
    }
    CHECK(test_router.choose(model_request(), start)->reason == pick_reason::other_zone);
    test_router.record_end(endpoint_id("near"), false, call_result::finished, start);
    CHECK(test_router.choose(model_request(), start)->endpoint == endpoint_id("near"));
}

TEST_CASE("an endpoint serves only the versions and adapters that it has", "[policy]") {
    router test_router = make_router();
    test_router.set_endpoints({engine("near", "a", 2)});
    CHECK(test_router.can_serve({service_id("model"), "v1", ""}));
    CHECK_FALSE(test_router.can_serve({service_id("model"), "v2", ""}));
    CHECK_FALSE(test_router.can_serve({service_id("model"), "", "es"}));
    CHECK_FALSE(test_router.can_serve({service_id("other"), "", ""}));
}

// Guards against an online call that waits for a batch item to end because batch items fill the
// engine.
TEST_CASE("slots that batch holds count as free for online calls", "[policy]") {
    router test_router = make_router();
    test_router.set_endpoints({engine("near", "a", 4)});
    test_router.set_own_batch(endpoint_id("near"), 4, 0);
    const std::optional<pick> chosen = test_router.choose(model_request(), start);
    REQUIRE(chosen);
    CHECK(chosen->items_to_yield == 1);
}

TEST_CASE("endpoints are ejected after consecutive failures, but not all of a service",
          "[policy]") {
    router test_router = make_router();
    test_router.set_endpoints({engine("x", "a", 9), engine("y", "a", 9), engine("z", "a", 9)});
    for (const char* name : {"x", "y", "z"}) {
        for (int i = 0; i < 3; ++i) {
            test_router.record_start(endpoint_id(name), 0, false);
            test_router.record_end(endpoint_id(name), false, call_result::failed, start);
        }
    }
    CHECK(test_router.ejected(start).size() == 2);
    CHECK(test_router.ejected(start + std::chrono::seconds(60)).empty());
}

TEST_CASE("a slow endpoint gets fewer calls than a fast one", "[policy]") {
    router test_router = make_router();
    test_router.set_endpoints({engine("fast", "a", 1000), engine("slow", "a", 1000)});
    test_router.record_first_token(endpoint_id("fast"), microseconds(5000), start);
    test_router.record_first_token(endpoint_id("slow"), microseconds(50000), start);
    std::map<std::string, int> picked;
    for (int i = 0; i < 1000; ++i)
        ++picked[test_router.choose(model_request(), start)->endpoint.str()];
    CHECK(picked["fast"] > 2 * picked["slow"]);
}

TEST_CASE("a call prefers an endpoint with its prefix, a suspect avoids another suspect",
          "[policy]") {
    router test_router = make_router();
    test_router.set_endpoints({engine("x", "a", 100), engine("y", "a", 100)});
    test_router.record_start(endpoint_id("x"), 42, true);
    pick_request wanted = model_request();
    wanted.prefix = 42;
    CHECK(test_router.choose(wanted, start)->endpoint == endpoint_id("x"));
    wanted.suspect = true;
    CHECK(test_router.choose(wanted, start)->endpoint == endpoint_id("y"));
}

TEST_CASE("a rate limit applies to all entries together", "[policy]") {
    rate_limiter limiter;
    limiter.configure(100, 10);
    int passed = 0;
    for (int ms = 0; ms < 2000; ++ms)
        passed += limiter.admit(start + milliseconds(ms)).count() == 0 ? 1 : 0;
    CHECK(passed >= 205);
    CHECK(passed <= 211);
    CHECK(limiter.own_rate(start + milliseconds(2000)) == Approx(100).epsilon(0.4));
    limiter.set_remote_rate(90);
    passed = 0;
    for (int ms = 2000; ms < 4000; ++ms)
        passed += limiter.admit(start + milliseconds(ms)).count() == 0 ? 1 : 0;
    CHECK(passed <= 22);
    CHECK(limiter.admit(start + milliseconds(4000)).count() <= 100);
}

// Guards against a burst of one team that makes the calls of all others time out behind it.
TEST_CASE("a team with many requests delays only its own", "[policy]") {
    fair_queue queue(1000);
    std::uint64_t id = 0;
    for (int i = 0; i < 500; ++i)
        queue.add({exchange_id(++id), team_id("greedy"), 1, start + milliseconds(1000)});
    const exchange_id small_request(++id);
    REQUIRE(queue.add({small_request, team_id("modest"), 1, start + milliseconds(1000)}));
    std::vector<exchange_id> order;
    queue.offer([&order](exchange_id one) {
        order.push_back(one);
        return order.size() <= 3;
    });
    CHECK(std::find(order.begin(), order.begin() + 3, small_request) != order.begin() + 3);
}

TEST_CASE("a queue filled by one team still accepts another team's share", "[policy]") {
    fair_queue queue(100);
    std::uint64_t id = 0;
    int taken = 0;
    for (int i = 0; i < 300; ++i)
        taken += queue.add({exchange_id(++id), team_id("greedy"), 1, start}) ? 1 : 0;
    CHECK(taken == 100);
    CHECK(queue.add({exchange_id(++id), team_id("modest"), 1, start}));
    CHECK(queue.expired(start).size() == 101);
    CHECK(queue.size() == 0);
}

TEST_CASE("retries stay within their fraction of the requests", "[policy]") {
    retry_budget budget(0.1, 5);
    int retried = 0;
    for (int i = 0; i < 1000; ++i) {
        budget.record_request();
        retried += budget.take() ? 1 : 0;
    }
    CHECK(retried <= 106);
    CHECK(retried >= 99);
}

// Guards against innocent calls that are quarantined because they ran beside a request that crashed
// an engine and was sent again.
TEST_CASE("a second crash is attributed to the only suspect", "[policy]") {
    strike_list list(std::chrono::minutes(10));
    const fingerprint poison("poison");
    const fingerprint innocent("innocent");
    for (const fingerprint& one :
         list.attribute_crash({{poison, false}, {innocent, false}}, start).immediate)
        list.add({one, endpoint_id("x"), start});
    CHECK(list.is_suspect(innocent, start));
    const fingerprint other("other");
    for (const fingerprint& one :
         list.attribute_crash({{poison, false}, {other, false}}, start).immediate)
        list.add({one, endpoint_id("y"), start});
    CHECK(list.is_quarantined(poison, start));
    CHECK_FALSE(list.is_quarantined(innocent, start));
    CHECK_FALSE(list.is_suspect(other, start));
    CHECK_FALSE(list.is_quarantined(poison, start + std::chrono::minutes(11)));
}

TEST_CASE("a crash is attributed to requests with output only if there are no others", "[policy]") {
    strike_list list(std::chrono::minutes(10));
    const fingerprint poison("poison");
    const fingerprint innocent("innocent");
    const crash_attribution with_silent_request =
        list.attribute_crash({{poison, false}, {innocent, true}}, start);
    CHECK(with_silent_request.immediate == std::vector<fingerprint>{poison});
    CHECK(with_silent_request.deferred.empty());
    const crash_attribution all_answering = list.attribute_crash({{innocent, true}}, start);
    CHECK(all_answering.immediate.empty());
    CHECK(all_answering.deferred == std::vector<fingerprint>{innocent});
    list.add({poison, endpoint_id("x"), start});
    CHECK(list.has_strike_since(endpoint_id("x"), start));
    CHECK_FALSE(list.has_strike_since(endpoint_id("x"), start + milliseconds(1)));
}

TEST_CASE("batch items are leased by team weight, earliest deadline first", "[policy]") {
    batch_scheduler schedule;
    schedule.set_weight(team_id("heavy"), 3);
    schedule.set_weight(team_id("light"), 1);
    std::map<std::string, std::uint32_t> leased;
    for (int round = 0; round < 100; ++round) {
        const std::vector<lease_choice> choices =
            schedule.choose({{job_id("h"), team_id("heavy"), 0, 1, 1000},
                             {job_id("l"), team_id("light"), 0, 1, 1000}},
                            16);
        for (const lease_choice& choice : choices)
            leased[choice.job.str()] += choice.items;
    }
    CHECK(leased["h"] + leased["l"] == 1600);
    CHECK(leased["h"] == Approx(3.0 * leased["l"]).epsilon(0.05));
    const std::vector<lease_choice> urgent =
        schedule.choose({{job_id("late"), team_id("heavy"), 900, 1, 4},
                         {job_id("soon"), team_id("heavy"), 500, 2, 4},
                         {job_id("never"), team_id("heavy"), 0, 0, 4}},
                        4);
    REQUIRE(urgent.size() == 1);
    CHECK(urgent[0].job == job_id("soon"));
}

TEST_CASE("batch slots shrink while batch slows the first token, and grow back", "[policy]") {
    batch_slot_controller slots({0.05, 0.9, 1.05});
    instant now = start;
    CHECK(slots.allowed_slots(16, 0, now) == 15);
    CHECK(slots.allowed_slots(16, 16, now) == 0);
    for (int i = 0; i < 200; ++i) {
        slots.record_first_token(microseconds(5000), false);
        slots.record_first_token(microseconds(9000), true);
        now += milliseconds(50);
        slots.allowed_slots(16, 2, now);
    }
    CHECK(slots.allowed_slots(16, 2, now) <= 2);
    for (int i = 0; i < 400; ++i) {
        slots.record_first_token(microseconds(5000), true);
        now += milliseconds(50);
        slots.allowed_slots(16, 2, now);
    }
    CHECK(slots.allowed_slots(16, 2, now) >= 12);
}
