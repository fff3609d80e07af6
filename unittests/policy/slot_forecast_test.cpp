// Forecasts of slots, early rejection and the times at which callers return, alone and in fleets
// whose callers compete for too few slots.

#include "scarce_slots_simulation.h"

#include <catch2/catch.hpp>

#include <cstdio>

using namespace cassia;
using namespace cassia::policy;
using namespace cassia::scarce_test;

namespace {

const instant start = instant(std::chrono::seconds(1000));

/// Forecast with runs of 0.7 s, and waits that were as long as forecast.
slot_forecast make_forecast() {
    slot_forecast forecast;
    for (int i = 0; i < 60; ++i) {
        forecast.record_run(milliseconds(700));
        forecast.record_wait(milliseconds(500), milliseconds(500));
    }
    return forecast;
}

fleet_slots full_fleet(std::uint32_t gateways) {
    return {352, 352, 0, gateways};
}

std::vector<queued_request> make_line(std::size_t count) {
    std::vector<queued_request> line;
    for (std::uint64_t id = 1; id <= count; ++id)
        line.push_back({exchange_id(id),
                        service_id("model"),
                        team_id(),
                        1,
                        start,
                        start + milliseconds(240),
                        start + milliseconds(1940),
                        false,
                        {}});
    return line;
}

/// Least share on time of a team that keeps to its usual rate, of those with enough callers.
double worst_team(const outcome& got) {
    double worst = 1;
    for (std::size_t i = 0; i < team_count; ++i) {
        const team_result& team = got.teams[i];
        if (i != hot_team && team.callers >= 40)
            worst = std::min(worst, team.on_time / team.callers);
    }
    return worst;
}

double on_time(const team_result& team) {
    return team.on_time / team.callers;
}

void print(const std::string& name, const outcome& got) {
    const team_result usual = got.all(false);
    const team_result& hot = got.teams[hot_team];
    std::printf("%-40s others: on time %.3f, worst team %.3f, wait %.0f ms; hot: on time %.3f, "
                "served %.3f; of 1,000: rejected %.1f (waited longer than the target: %.1f), "
                "needless %.1f, futile %.1f; bytes/s %.0f, most %.0f\n",
                name.c_str(), on_time(usual), worst_team(got), 1000 * usual.wait_s / usual.callers,
                on_time(hot), hot.served / hot.callers, got.per_1000(got.rejected),
                got.per_1000(got.rejected_late), got.per_1000(got.needless),
                got.per_1000(got.futile), got.team_bytes, got.most_team_bytes);
}

/// Of runs with different seeds, so that a single run's bursts weigh less; of the largest fleet
/// one, for the time it takes.
outcome run(const std::string& name, scenario chosen) {
    outcome got;
    const std::uint64_t runs = chosen.gateways > 100 ? 1 : 2;
    for (chosen.seed = 1; chosen.seed <= runs; ++chosen.seed)
        got.add(simulate(chosen));
    print(name, got);
    return got;
}

outcome run_today(const std::string& name, scenario chosen) {
    chosen.by_share = false;
    chosen.refuse_ahead = false;
    return run(name + ", today's order", chosen);
}

} // namespace

TEST_CASE("a request behind others waits for the slots that they get", "[forecast]") {
    const slot_forecast forecast = make_forecast();
    // 352 slots release 503 a second, a seventieth of them to this gateway's requests.
    CHECK(forecast.estimate(full_fleet(70), 0)->expected.count() == Approx(139).margin(3));
    CHECK(forecast.estimate(full_fleet(70), 9)->expected.count() == Approx(1392).margin(20));
    CHECK(forecast.estimate(full_fleet(18), 9)->expected.count() == Approx(358).margin(5));
    CHECK(!slot_forecast().estimate(full_fleet(70), 0));
}

// Guards against a forecast that stays wrong where other gateways' queues are longer than this
// one's.
TEST_CASE("a forecast learns its error from waits", "[forecast]") {
    slot_forecast forecast = make_forecast();
    const slot_estimate before = *forecast.estimate(full_fleet(70), 9);
    for (int i = 0; i < 60; ++i)
        forecast.record_wait(milliseconds(300), milliseconds(i % 2 == 0 ? 300 : 1200));
    const slot_estimate after = *forecast.estimate(full_fleet(70), 9);
    CHECK(after.expected.count() == Approx(2 * before.expected.count()).epsilon(0.2));
    CHECK(after.earliest < after.expected * 2 / 3);
}

// Guards against rejecting what a free slot, a batch slot or the time left would have served, or
// what has run.
TEST_CASE("only requests without a chance are rejected ahead", "[forecast]") {
    const slot_forecast forecast = make_forecast();
    std::vector<queued_request> line = make_line(30);
    line[29].has_run = true;
    const std::vector<queued_request> missed =
        forecast.missing_deadline(line, full_fleet(70), start);
    REQUIRE(!missed.empty());
    CHECK(missed.front().id.value() >= 14);
    CHECK(missed.back().id == exchange_id(29));
    CHECK(forecast.missing_deadline(line, {352, 350, 2, 70}, start).empty());
    CHECK(forecast.missing_deadline(line, {352, 320, 0, 70}, start).empty());
    for (queued_request& one : line)
        one.target_deadline = start + milliseconds(9000);
    CHECK(forecast.missing_deadline(line, full_fleet(70), start).empty());
}

// Guards against callers that return all at once, after a third of their time, or with no time left
// to be served.
TEST_CASE("rejected callers return one after another", "[forecast]") {
    slot_forecast forecast = make_forecast();
    const fleet_slots fleet = full_fleet(70);
    const auto plan = [&](std::uint32_t priority, int left_ms) {
        return forecast.plan_return(fleet, 4, priority, milliseconds(left_ms), target, start);
    };
    const milliseconds first = *plan(1, 30000);
    const milliseconds second = *plan(1, 30000);
    CHECK(first.count() == Approx(696).margin(10));
    CHECK((second - first).count() == Approx(139).margin(3));
    CHECK(*plan(0, 30000) == first);
    CHECK(plan(1, 1500)->count() == 500);
    CHECK(!plan(1, 400));
    CHECK(!plan(1, 50));
}

TEST_CASE("load of the deployment with one hot team and six times the batch", "[.][scarce]") {
    scenario chosen;
    chosen.hot_factor = 7.5;
    chosen.batch_per_s = 1.9 * 6;
    run_today("174/s, 70 gateways", chosen);
    const outcome got = run("174/s, 70 gateways", chosen);
    CHECK(on_time(got.all(false)) > 0.99);
    CHECK(got.per_1000(got.needless) < 5);
    CHECK(got.per_1000(got.futile) < 5);
}

// Guards against teams within their usual rate that wait because another is hot.
TEST_CASE("a hot team delays no others, at any size of the fleet", "[.][scarce-sizes]") {
    for (const std::size_t gateways : {18, 70, 300}) {
        scenario chosen;
        chosen.gateways = gateways;
        chosen.streams_per_s = 250;
        chosen.hot_factor = 7.5;
        const std::string name = "250/s, " + std::to_string(gateways) + " gateways";
        const outcome today = run_today(name, chosen);
        const outcome got = run(name, chosen);
        CHECK(on_time(got.all(false)) > on_time(today.all(false)));
        CHECK(worst_team(got) > 0.9 * on_time(got.all(false)));
        CHECK(got.per_1000(got.needless) < 5);
        CHECK(got.per_1000(got.futile) < 5);
        // Flat: a mesh sends to each of its 17 peers, larger fleets to relays.
        CHECK(got.team_bytes < 9000);
        CHECK((gateways < 21 || got.team_bytes < 1000));
    }
}

// Guards against a hot team at few gateways, where no other team waits beside it.
TEST_CASE("a hot team at a tenth of the gateways delays no others", "[.][scarce]") {
    scenario chosen;
    chosen.streams_per_s = 250;
    chosen.hot_factor = 7.5;
    chosen.hot_at_one = true;
    const outcome today = run_today("250/s, hot at 7 of 70 gateways", chosen);
    const outcome got = run("250/s, hot at 7 of 70 gateways", chosen);
    CHECK(on_time(got.all(false)) > on_time(today.all(false)));
}

// Guards against an order, or rejections, that depend on a relay that is frozen or gone.
TEST_CASE("the loss of a relay doesn't change who is served", "[.][scarce-relays]") {
    for (const fault relay_fault : {fault::frozen_relay, fault::lost_relay}) {
        scenario chosen;
        chosen.streams_per_s = 250;
        chosen.hot_factor = 7.5;
        chosen.relay_fault = relay_fault;
        const std::string name =
            relay_fault == fault::lost_relay ? "250/s, a relay lost" : "250/s, a relay frozen";
        const outcome today = run_today(name, chosen);
        const outcome got = run(name, chosen);
        CHECK(on_time(got.all(false)) > on_time(today.all(false)));
        CHECK(got.per_1000(got.needless) < 5);
    }
}

TEST_CASE("callers that return at once after a loss are spread", "[.][scarce]") {
    scenario chosen;
    chosen.streams_per_s = 250;
    chosen.returning = 2000;
    const outcome today = run_today("250/s, 2,000 return at once", chosen);
    const outcome got = run("250/s, 2,000 return at once", chosen);
    CHECK(got.per_1000(got.needless) < 5);
    CHECK(on_time(got.all(true)) > 0.98 * on_time(today.all(true)));
}

TEST_CASE("all teams exceed the slots in each wave", "[.][scarce]") {
    for (const double hot : {1.0, 7.5}) {
        scenario chosen;
        chosen.streams_per_s = 320;
        chosen.hot_factor = hot;
        const std::string name = hot > 1 ? "320/s, one hot" : "320/s, none hot";
        run_today(name, chosen);
        const outcome got = run(name, chosen);
        CHECK(got.per_1000(got.needless) < 5);
    }
}
