// Items that wait for their runs, with others of the same cause.

#include "cassia/policy/trial_schedule.h"

#include <catch2/catch.hpp>

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

using namespace cassia;
using namespace cassia::policy;

namespace {

constexpr instant start = instant() + milliseconds(1000000);
constexpr milliseconds step(100);
constexpr std::size_t endpoints = 3;

trial_request item_of(std::uint64_t id, const std::string& cause) {
    return {
        {entry_id("a"), trial_id(id)}, fingerprint(cause), service_id("llm"), {}, work_kind::batch};
}

// The first endpoint that isn't excluded.
trial_schedule::choice choose_first(const trial_request&, const std::set<endpoint_id>& excluded) {
    trial_schedule::choice choice{std::nullopt, max_trials(endpoints)};
    for (std::size_t i = 0; i < endpoints && !choice.endpoint; ++i) {
        const endpoint_id endpoint("e" + std::to_string(i));
        if (excluded.count(endpoint) == 0)
            choice.endpoint = endpoint;
    }
    return choice;
}

} // namespace

// Guards against an item that loses its turn when another one of its part is interrupted too.
TEST_CASE("each of several items of one cause keeps its turn", "[trials]") {
    trial_schedule schedule;
    schedule.refresh(item_of(1, "part"), start);
    schedule.refresh(item_of(2, "part"), start);
    schedule.refresh(item_of(10, "i"), start + step);
    const instant later = start + 2 * step;
    schedule.end(item_of(1, "part").key, trial_outcome::unused, later);
    schedule.end(item_of(2, "part").key, trial_outcome::unused, later);
    schedule.refresh(item_of(3, "part"), later);
    schedule.refresh(item_of(4, "part"), later);
    const std::vector<trial_grant> first = schedule.poll(later, choose_first);
    REQUIRE(first.at(0).key == item_of(3, "part").key);
    schedule.end(first.at(0).key, trial_outcome::completed, later);
    const instant next = later + late_crash_time;
    schedule.refresh(item_of(4, "part"), next);
    schedule.refresh(item_of(10, "i"), next);
    CHECK(schedule.poll(next, choose_first).at(0).key == item_of(4, "part").key);
}

// Guards against items of a quarantined part that wait for one whose endpoint has no room for it.
TEST_CASE("a retry that wasn't used delays no other item of its part", "[retries]") {
    const auto retry_of = [](std::uint64_t id, milliseconds idle) {
        trial_request item = item_of(id, "part");
        item.retry = retry_history{start - idle};
        return item;
    };
    trial_schedule schedule;
    std::uint64_t large = 1;
    instant large_asks_at = start;
    std::optional<instant> granted_at;
    for (instant now = start; now < start + milliseconds(6000) && !granted_at; now += step / 10) {
        if (now >= large_asks_at)
            schedule.refresh(retry_of(large, milliseconds(1000)), now);
        schedule.refresh(retry_of(0, milliseconds(500)), now);
        for (const trial_grant& grant : schedule.poll(now, choose_first)) {
            if (grant.key.id == trial_id(0)) {
                granted_at = now;
                continue;
            }
            schedule.end(grant.key, trial_outcome::unused, now);
            ++large;
            large_asks_at = now + step;
        }
    }
    REQUIRE(granted_at);
    CHECK(large > 1);
    CHECK(*granted_at - start < retry_interval);
}
