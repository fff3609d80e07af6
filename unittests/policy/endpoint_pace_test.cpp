// Placement by the speed of endpoints.

#include "pace_simulation.h"

#include <catch2/catch.hpp>

#include <cmath>
#include <cstdio>
#include <random>

using namespace cassia;
using namespace cassia::policy;

namespace {

const instant start = instant(std::chrono::seconds(1000));
const endpoint_id one("one");
const service_id model("model");
constexpr std::uint32_t seeds = 4;

endpoint_pace make_pace() {
    endpoint_pace pace;
    pace.set_endpoints({{one, model}, {endpoint_id("two"), model}});
    return pace;
}

load_report report_of(double percent) {
    return {1, 0, 6, percent};
}

/// Means over several seeds.
struct summary {
    double late = 0;
    double p99_ms = 0;
    double mean_ms = 0;
    std::size_t contradictions = 0;
};

const char* name_of(pace_knowledge knowledge) {
    constexpr const char* names[] = {"slots", "reports", "shared", "passed",
                                     "runs",  "known",   "best"};
    return names[static_cast<int>(knowledge)];
}

summary simulate(const std::string& name, pace_settings settings, pace_knowledge knowledge) {
    summary sum;
    settings.knowledge = knowledge;
    for (settings.seed = 1; settings.seed <= seeds; ++settings.seed) {
        pace_result result = pace_simulation(settings).run();
        sum.late += result.late_share() / seeds;
        sum.p99_ms += result.quantile(0.99) / seeds;
        sum.mean_ms += result.mean() / seeds;
        sum.contradictions += result.contradictions;
    }
    std::printf("%-24s %2u gateways %-8s late %.4f 99%% %6.0f mean %6.1f ms contradicted %zu\n",
                name.c_str(), settings.gateways, name_of(knowledge), sum.late, sum.p99_ms,
                sum.mean_ms, sum.contradictions);
    return sum;
}

/// Four times slower in a quarter of all spans.
pace_settings trial_load(std::uint32_t gateways) {
    pace_settings settings;
    settings.gateways = gateways;
    settings.calls_per_s = 150;
    settings.run_time = milliseconds(40);
    settings.slow_factor = 4;
    settings.slow_share = 0.25;
    settings.waves = false;
    settings.duration = milliseconds(30000);
    return settings;
}

/// A slow endpoint takes longer than the target for one call in three.
pace_settings short_calls(std::uint32_t gateways) {
    pace_settings settings;
    settings.gateways = gateways;
    settings.target = milliseconds(90);
    settings.duration = milliseconds(30000);
    return settings;
}

pace_settings engines(std::uint32_t gateways) {
    pace_settings settings;
    settings.gateways = gateways;
    settings.endpoints = 72;
    settings.slots = 8;
    settings.calls_per_s = 334;
    settings.run_time = milliseconds(500);
    settings.target = milliseconds(1300);
    settings.slow_share = 0;
    settings.permanent_factor = 1.3;
    settings.duration = milliseconds(15000);
    return settings;
}

} // namespace

TEST_CASE("the effect of a report decays to the usual value", "[pace]") {
    endpoint_pace pace = make_pace();
    CHECK(pace.factor(one, start) == 1);
    CHECK_FALSE(pace.reports_pace(model));
    pace.record_report(one, {1, 0, 6, std::nullopt}, start);
    CHECK_FALSE(pace.reports_pace(model));
    pace.record_report(one, report_of(250), start);
    CHECK(pace.reports_pace(model));
    CHECK(pace.factor(one, start) == 2.5);
    CHECK(pace.factor(one, start + milliseconds(600)) == Approx(1 + 1.5 / std::exp(1)));
    CHECK(pace.factor(one, start + milliseconds(10000)) == 1);
    CHECK(pace.factor(endpoint_id("two"), start) == 1);
    pace.record_report(one, report_of(100), start - milliseconds(50));
    CHECK(pace.factor(one, start) == 2.5);
    pace.set_source(pace_source::none);
    CHECK(pace.factor(one, start) == 1);
    for (int i = 0; i < 100; ++i)
        CHECK_FALSE(pace.record_run(one, milliseconds(100), milliseconds(100),
                                    start + milliseconds(100 * i)));
}

TEST_CASE("an endpoint that is always slow keeps its factor between reports", "[pace]") {
    endpoint_pace pace = make_pace();
    for (int ms = 0; ms <= 20000; ms += 100)
        pace.record_report(one, report_of(130), start + milliseconds(ms));
    CHECK(pace.factor(one, start + milliseconds(25000)) == Approx(1.3).margin(0.06));
}

// Guards against an endpoint whose reports hide that it is slow, or that keeps away requests by
// reporting that it is.
TEST_CASE("reports that runs contradict are ignored until they agree again", "[pace]") {
    for (const std::pair<double, int>& reported_and_taken :
         {std::pair<double, int>(100, 300), std::pair<double, int>(250, 100)}) {
        endpoint_pace pace = make_pace();
        std::vector<bool> changes;
        const auto run = [&](int from_ms, int to_ms, double percent, int taken) {
            for (int ms = from_ms; ms < to_ms; ms += 100) {
                const instant now = start + milliseconds(ms);
                pace.record_report(one, report_of(percent), now);
                if (const std::optional<pace_contradiction> change =
                        pace.record_run(one, milliseconds(100), milliseconds(taken), now))
                    changes.push_back(change->ignored);
            }
        };
        run(0, 5000, reported_and_taken.first, reported_and_taken.second);
        CHECK(changes == std::vector<bool>{true});
        CHECK(pace.factor(one, start + milliseconds(5000)) ==
              Approx(reported_and_taken.second / 100.0).epsilon(0.1));
        run(5000, 12000, 100, 100);
        CHECK(changes == std::vector<bool>{true, false});
        CHECK(pace.count_contradicted() == 0);
    }
}

// Guards against a gateway that passes on what it received itself, or what its runs contradict.
TEST_CASE("only own reports that runs don't contradict are passed on", "[pace]") {
    endpoint_pace pace = make_pace();
    pace.record_report(one, {3, 1, 6, 250}, start);
    pace.record_shared({{one, {100, start + milliseconds(50)}},
                        {endpoint_id("two"), {300, start + milliseconds(50)}},
                        {endpoint_id("unknown"), {300, start}}});
    CHECK(pace.factor(one, start + milliseconds(50)) == 1);
    CHECK(pace.factor(endpoint_id("two"), start + milliseconds(50)) == 3);
    CHECK(pace.reported_load(one) == 4U);
    pace.record_shared({{one, {400, start + milliseconds(20)}}});
    CHECK(pace.factor(one, start + milliseconds(50)) == 1);
    CHECK(pace.own_reports(start + milliseconds(999)) == pace_report_map{{one, {250, start}}});
    CHECK(pace.own_reports(start + milliseconds(1000)).empty());
    instant now = start + milliseconds(1000);
    for (int i = 0; i < 30; ++i, now += milliseconds(100)) {
        pace.record_report(one, report_of(250), now);
        pace.record_run(one, milliseconds(100), milliseconds(100), now);
    }
    REQUIRE(pace.count_contradicted() == 1);
    CHECK(pace.own_reports(now).empty());
    pace.set_source(pace_source::none);
    pace.record_report(endpoint_id("two"), report_of(250), now);
    CHECK(pace.own_reports(now).empty());
}

// Guards against large requests, or a fuller endpoint, that read as a slow endpoint.
TEST_CASE("size and load of runs don't count as pace", "[pace]") {
    endpoint_pace pace = make_pace();
    pace.set_source(pace_source::runs);
    for (int i = 0; i < 400; ++i) {
        const instant now = start + milliseconds(10 * i);
        const bool large = i % 40 < 4;
        const std::uint32_t load = i % 2 == 0 ? 0 : 5;
        const milliseconds time((large ? 400 : 100) + 10 * load);
        const endpoint_id& endpoint = large || load > 0 ? one : endpoint_id("two");
        pace.record_run(endpoint, run_shape{false, large ? 9000U : 500U, load}, time, now);
    }
    CHECK(pace.factor(one, start + milliseconds(4000)) == 1);
    CHECK(pace.factor(endpoint_id("two"), start + milliseconds(4000)) == 1);
}

// Guards against a change for endpoints whose reports have three fields, or say 100.
TEST_CASE("with the usual pace everywhere, placement is by slots alone", "[pace]") {
    std::mt19937 random(1);
    slot_table plain{zone_id("a")};
    slot_table reported{zone_id("a")};
    std::vector<slot_endpoint> endpoints;
    for (const std::string id : {"0", "1", "2", "3", "4"})
        endpoints.push_back({endpoint_id(id),
                             1,
                             http_address(id + ":80"),
                             zone_id(id < "3" ? "a" : "b"),
                             model,
                             6,
                             {}});
    for (slot_table* table : {&plain, &reported})
        table->set_endpoints(endpoints);
    for (int i = 0; i < 3000; ++i) {
        const instant now = start + milliseconds(i);
        const double draw = std::uniform_real_distribution<double>(0, 1)(random);
        const endpoint_id any(std::to_string(random() % 5));
        reported.pace().record_report(
            any, {1, 0, 6, i % 2 == 0 ? std::nullopt : std::optional<double>(100)}, now);
        const bool batch = i % 5 == 0;
        const auto place = [&](const slot_table& table) {
            const std::optional<placement> found = batch ? table.place_batch(model, {}, now, draw)
                                                         : table.place_online(model, {}, now, draw);
            return found ? found->endpoint : endpoint_id();
        };
        const endpoint_id placed = place(plain);
        REQUIRE(place(reported) == placed);
        REQUIRE(reported.batch_capacity(model, now) == plain.batch_capacity(model, now));
        const work_kind kind = batch ? work_kind::batch : work_kind::online;
        for (slot_table* table : {&plain, &reported}) {
            if (!placed.empty())
                table->acquire(placed, kind);
            table->release(any, kind);
        }
    }
}

TEST_CASE("batch goes to slow endpoints, and their slots count for less", "[pace]") {
    slot_table table{zone_id("a")};
    table.set_endpoints(
        {{one, 1, http_address("1:80"), zone_id("a"), model, 16, {}},
         {endpoint_id("two"), 1, http_address("2:80"), zone_id("a"), model, 16, {}}});
    CHECK(table.batch_capacity(model, start) == 28);
    table.pace().record_report(one, report_of(400), start);
    CHECK(table.batch_capacity(model, start) == 18);
    CHECK(table.place_batch(model, {}, start, 0.5)->endpoint == one);
    CHECK(table.place_batch(model, {}, start, 0.5, true)->endpoint == endpoint_id("two"));
    CHECK(table.place_online(model, {}, start, 0.5)->endpoint == endpoint_id("two"));
}

TEST_CASE("short calls avoid endpoints that are slow for a time", "[.pace-load]") {
    for (const std::uint32_t gateways : {18U, 70U}) {
        for (const bool hard : {true, false}) {
            const std::string name = hard ? "trial" : "deployment B";
            const pace_settings load = hard ? trial_load(gateways) : short_calls(gateways);
            const summary slots = simulate(name, load, pace_knowledge::none);
            const summary reports = simulate(name, load, pace_knowledge::reports);
            const summary shared = simulate(name, load, pace_knowledge::shared);
            const summary passed = simulate(name, load, pace_knowledge::passed);
            const summary known = simulate(name, load, pace_knowledge::known);
            const summary best = simulate(name, load, pace_knowledge::best);
            pace_settings unreported = load;
            unreported.sends_pace = false;
            const summary runs = simulate(name, unreported, pace_knowledge::runs);
            const summary three = simulate(name, unreported, pace_knowledge::reports);
            // A gateway with few calls sees few reports; at 18 gateways it sees enough.
            CHECK(reports.late < (gateways == 18 ? 0.7 : 0.95) * slots.late);
            CHECK(shared.late < 0.5 * slots.late);
            CHECK(passed.late < 0.5 * slots.late);
            CHECK(1 - known.late > 0.98 * (1 - best.late));
            CHECK(1 - reports.late > 0.9 * (1 - best.late));
            CHECK(runs.late < 1.05 * slots.late);
            CHECK(three.late == slots.late);
        }
    }
}

// Guards against placement that is worse than by slots alone if reports mislead.
TEST_CASE("wrong reports don't make short calls later", "[.pace-faults]") {
    for (const std::uint32_t gateways : {18U, 70U}) {
        const summary slots = simulate("slots", trial_load(gateways), pace_knowledge::none);
        for (const int age : {50, 150, 300, 500}) {
            pace_settings late = trial_load(gateways);
            late.report_age = milliseconds(age);
            const std::string name = "reports late by " + std::to_string(age);
            CHECK(simulate(name, late, pace_knowledge::reports).late < 1.1 * slots.late);
            simulate(name, late, pace_knowledge::shared);
            CHECK(simulate(name, late, pace_knowledge::passed).late < 1.1 * slots.late);
        }
        const std::map<report_fault, std::string> faults{
            {report_fault::lost, "half of reports lost"},
            {report_fault::random, "reports random"},
            {report_fault::frozen_slow, "one always reports 250"},
            {report_fault::frozen_usual, "one always reports 100"}};
        for (const std::pair<const report_fault, std::string>& fault : faults) {
            pace_settings wrong = trial_load(gateways);
            wrong.fault = fault.first;
            CHECK(simulate(fault.second, wrong, pace_knowledge::reports).late < 1.1 * slots.late);
            simulate(fault.second, wrong, pace_knowledge::shared);
            CHECK(simulate(fault.second, wrong, pace_knowledge::passed).late < 1.1 * slots.late);
        }
        // The opposite of the truth agrees with the runs on average; its cost is bounded only.
        pace_settings reversed = trial_load(gateways);
        reversed.fault = report_fault::reversed;
        CHECK(simulate("reports reversed", reversed, pace_knowledge::reports).late <
              1.3 * slots.late);
        CHECK(simulate("reports reversed", reversed, pace_knowledge::passed).late <
              1.7 * slots.late);
    }
}

TEST_CASE("engines that are always slower get fewer requests", "[.pace-engines]") {
    for (const std::uint32_t gateways : {18U, 70U}) {
        const summary slots = simulate("72 engines", engines(gateways), pace_knowledge::none);
        const summary reports = simulate("72 engines", engines(gateways), pace_knowledge::reports);
        const summary known = simulate("72 engines", engines(gateways), pace_knowledge::known);
        simulate("72 engines", engines(gateways), pace_knowledge::best);
        pace_settings unreported = engines(gateways);
        unreported.sends_pace = false;
        const summary runs = simulate("72 engines", unreported, pace_knowledge::runs);
        CHECK(reports.late < slots.late);
        CHECK(1 - reports.late > 0.9 * (1 - known.late));
        CHECK(runs.late < 1.05 * slots.late);
    }
}
