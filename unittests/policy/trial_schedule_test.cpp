// When and where requests that may crash their endpoints run.

#include "cassia/policy/trial_schedule.h"

#include <catch2/catch.hpp>

#include <random>

using namespace cassia;
using namespace cassia::policy;

namespace {

constexpr instant start = instant() + milliseconds(1000000);
const service_id service("llm");

trial_request request_of(const std::string& gateway, std::uint64_t id, const std::string& body) {
    return {{entry_id(gateway), trial_id(id)}, fingerprint(body), service, {}};
}

// The first endpoint that isn't excluded.
trial_schedule::choose choose_of(std::size_t endpoints) {
    return [endpoints](const trial_request&, const std::set<endpoint_id>& excluded) {
        trial_schedule::choice choice{std::nullopt, max_trials(endpoints)};
        for (std::size_t i = 0; i < endpoints && !choice.endpoint; ++i) {
            const endpoint_id endpoint("e" + std::to_string(i));
            if (excluded.count(endpoint) == 0)
                choice.endpoint = endpoint;
        }
        return choice;
    };
}

} // namespace

// Guards against a request that still waits as what it was suspected for first, beside a run of the
// part that it is suspected for now.
TEST_CASE("a run that waits is held back by its latest cause", "[trials]") {
    trial_schedule schedule;
    schedule.refresh(request_of("a", 1, "part"), start);
    REQUIRE(schedule.poll(start, choose_of(8)).size() == 1);
    schedule.refresh(request_of("b", 1, "cleared"), start);
    schedule.refresh(request_of("b", 1, "part"), start);
    CHECK(schedule.poll(start, choose_of(8)).empty());
}

// Guards against a suspect that runs at several gateways before one of its crashes is judged.
TEST_CASE("a suspect runs once at a time over all gateways", "[trials]") {
    trial_schedule schedule;
    schedule.refresh(request_of("a", 1, "p"), start);
    schedule.refresh(request_of("b", 1, "p"), start);
    REQUIRE(schedule.poll(start, choose_of(8)).size() == 1);
    CHECK(schedule.poll(start + milliseconds(500), choose_of(8)).empty());
    const instant ended = start + milliseconds(600);
    milliseconds held{0};
    trial_outcome outcome = trial_outcome::completed;
    SECTION("and not before it can't crash its endpoint any more") {
        held = late_crash_time;
    }
    SECTION("and not before its crash is judged") {
        outcome = trial_outcome::crashed;
        held = milliseconds(150);
    }
    SECTION("and not while it may hang its endpoint") {
        outcome = trial_outcome::silent;
        held = milliseconds(5000);
    }
    schedule.end({entry_id("a"), trial_id(1)}, outcome, ended);
    schedule.refresh(request_of("b", 1, "p"), ended + held - milliseconds(1));
    CHECK(schedule.poll(ended + held - milliseconds(1), choose_of(8)).empty());
    CHECK(schedule.poll(ended + held, choose_of(8)).size() == 1);
}

// Guards against an accepted item that is idle for 5 s since the endpoint of its run was silent.
TEST_CASE("a suspected item runs again soon after its endpoint was silent", "[trials]") {
    trial_schedule schedule;
    trial_request item = request_of("a", 1, "p");
    item.kind = work_kind::batch;
    schedule.refresh(item, start);
    REQUIRE(schedule.poll(start, choose_of(8)).at(0).endpoint == endpoint_id("e0"));
    schedule.end(item.key, trial_outcome::silent, start);
    item.key.id = trial_id(2);
    const instant later = start + milliseconds(4000);
    schedule.refresh(item, later);
    CHECK(schedule.poll(later, choose_of(8)).at(0).endpoint == endpoint_id("e1"));
}

// Guards against a choice that is repeated until the caller's time is over.
TEST_CASE("an endpoint that couldn't be used isn't granted again at once", "[trials]") {
    trial_schedule schedule;
    schedule.refresh(request_of("a", 1, "p"), start);
    REQUIRE(schedule.poll(start, choose_of(8)).at(0).endpoint == endpoint_id("e0"));
    schedule.end({entry_id("a"), trial_id(1)}, trial_outcome::unused, start);
    schedule.refresh(request_of("a", 2, "p"), start);
    CHECK(schedule.poll(start, choose_of(8)).at(0).endpoint == endpoint_id("e1"));
}

// Guards against suspects that hide each other, or wait for a gateway that is gone.
TEST_CASE("in random orders, suspects are kept apart and none waits forever", "[trials]") {
    constexpr std::size_t endpoints = 8;
    const std::uint64_t seed = GENERATE(range(1, 21));
    std::mt19937_64 random(seed);
    trial_schedule schedule;
    std::map<trial_key, trial_grant> running;
    std::map<trial_key, std::string> bodies;
    std::uint64_t last = 0;
    for (instant now = start; now < start + milliseconds(20000); now += milliseconds(20)) {
        if (random() % 4 == 0) {
            const std::string body = "p" + std::to_string(random() % 10);
            const trial_request request =
                request_of("g" + std::to_string(random() % 3), ++last, body);
            bodies[request.key] = body;
        }
        for (const std::pair<const trial_key, std::string>& one : bodies)
            schedule.refresh({one.first, fingerprint(one.second), service, {}}, now);
        for (const trial_grant& grant : schedule.poll(now, choose_of(endpoints))) {
            for (const std::pair<const trial_key, trial_grant>& other : running) {
                CHECK(other.second.endpoint != grant.endpoint);
                CHECK(bodies.at(other.first) != bodies.at(grant.key));
            }
            running[grant.key] = grant;
        }
        CHECK(running.size() <= max_trials(endpoints));
        if (running.empty() || random() % 3 != 0)
            continue;
        // Some gateways are lost without a word.
        const trial_key ended =
            std::next(running.begin(), static_cast<std::ptrdiff_t>(random() % running.size()))
                ->first;
        running.erase(ended);
        bodies.erase(ended);
        if (random() % 5 != 0)
            schedule.end(ended, static_cast<trial_outcome>(random() % 4), now);
    }
    CHECK(schedule.poll(start + milliseconds(60000), choose_of(endpoints)).empty());
    CHECK(schedule.size() == 0);
}
