// Gateways that state wrong histories of their items, or ask for too many runs.

#include "cassia/policy/trial_schedule.h"

#include <catch2/catch.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

using namespace cassia;
using namespace cassia::policy;

namespace {

constexpr instant start = instant() + milliseconds(100000000);
constexpr milliseconds step(20);
constexpr milliseconds to_crash(50);
constexpr milliseconds restart(1000);
constexpr milliseconds max_untried(20000);
constexpr std::size_t endpoints = 9;
constexpr std::size_t slots = 8;

/// Items with a quarantined part, each of which crashes its endpoint. One of them is said never to
/// have run.
class stated_items {
public:
    struct result {
        std::size_t runs_of_wrong = 0;
        milliseconds longest_idle{0}; ///< of the others
    };

    /// \param named whether gateways name the items in the ids of their runs.
    stated_items(std::size_t items, bool named) : named_(named), items_(items) {}

    result run(milliseconds length) {
        for (; now_ < start + length; now_ += step) {
            for (std::size_t i = 0; i < items_.size(); ++i)
                advance(i);
            const trial_schedule::choose choose = [this](const trial_request&,
                                                         const std::set<endpoint_id>& excluded) {
                return choose_up(excluded);
            };
            for (const trial_grant& grant : schedule_.poll(now_, choose))
                begin(grant);
        }
        return result_;
    }

private:
    struct item {
        trial_key key;
        instant idle_since = start;
        std::uint32_t crashes = 0;
        instant alone_until{};
        std::uint32_t runs = 0;
        std::optional<trial_grant> granted{};
        instant began_at{};
    };

    trial_schedule::choice choose_up(const std::set<endpoint_id>& excluded) const {
        trial_schedule::choice choice{std::nullopt, max_trials(endpoints), slots};
        for (std::size_t i = 0; i < endpoints && !choice.endpoint; ++i) {
            const endpoint_id id("e" + std::to_string(i));
            auto up_at = up_at_.find(id);
            if ((up_at == up_at_.end() || now_ >= up_at->second) && excluded.count(id) == 0)
                choice.endpoint = id;
        }
        return choice;
    }

    void begin(const trial_grant& grant) {
        for (std::size_t i = 0; i < items_.size(); ++i) {
            item& one = items_[i];
            if (one.key != grant.key)
                continue;
            one.granted = grant;
            one.began_at = now_;
            if (i == 0)
                ++result_.runs_of_wrong;
            else
                result_.longest_idle =
                    std::max(result_.longest_idle,
                             std::chrono::duration_cast<milliseconds>(now_ - one.idle_since));
        }
    }

    void advance(std::size_t index) {
        item& one = items_[index];
        if (one.granted && now_ - one.began_at >= to_crash) {
            up_at_[one.granted->endpoint] = now_ + restart;
            one.crashes += one.granted->shared ? 0 : 1;
            one.alone_until = one.granted->shared ? one.alone_until : now_;
            one.idle_since = now_;
            one.granted.reset();
            ++one.runs;
            schedule_.end(one.key, trial_outcome::crashed, now_);
        }
        if (!one.granted) {
            const std::uint32_t name = named_ ? static_cast<std::uint32_t>(index + 1) : 0;
            const std::uint32_t run = named_ ? one.runs * 1000 : 0;
            one.key = {entry_id("gateway"),
                       make_trial_id(name, run + static_cast<std::uint32_t>(index))};
        }
        retry_history stated{one.idle_since, one.crashes, one.alone_until};
        if (index == 0)
            stated = {instant(), 0, instant()};
        schedule_.refresh(
            {one.key, fingerprint("part"), service_id("llm"), {}, work_kind::batch, stated}, now_);
    }

    bool named_;
    std::vector<item> items_;
    std::map<endpoint_id, instant> up_at_;
    instant now_ = start;
    trial_schedule schedule_;
    result result_;
};

} // namespace

// Guards against an item that is run all the time, as its gateway states that it never ran.
TEST_CASE("an item that is said never to have run is run as rarely as others", "[retries]") {
    const std::size_t items = GENERATE(1U, 2U, 17U, 62U);
    const bool named = GENERATE(true, false);
    constexpr milliseconds length(120000);
    const stated_items::result result = stated_items(items, named).run(length);
    CAPTURE(items, named, result.longest_idle.count());
    // One run each 3 s is alone; of those idle for long each 12 s has two at most.
    CHECK(result.runs_of_wrong <= static_cast<std::size_t>(length / retry_interval));
    CHECK(result.longest_idle <= max_untried);
}

// Guards against a gateway whose requests leave no room for those of others.
TEST_CASE("runs that one gateway asks for leave room for those of others", "[trials]") {
    trial_schedule schedule;
    for (std::uint64_t i = 0; i < 5000; ++i)
        schedule.refresh({{entry_id("a"), trial_id(i)},
                          fingerprint("a" + std::to_string(i)),
                          service_id("llm"),
                          {}},
                         start);
    const trial_request other{
        {entry_id("b"), trial_id(1)}, fingerprint("other"), service_id("llm"), {}};
    const std::size_t before = schedule.size();
    schedule.refresh(other, start);
    CHECK(schedule.size() == before + 1);
}

// Guards against items of gateways of an earlier version, whose numbers of runs name no items, that
// are taken for one item.
TEST_CASE("runs that are asked for at once are of different items", "[retries]") {
    trial_schedule schedule;
    const auto ask = [&schedule](std::uint32_t run, milliseconds idle, instant now) {
        const trial_key key{entry_id("a"), make_trial_id(7, run)};
        schedule.refresh({key,
                          fingerprint("part"),
                          service_id("llm"),
                          {},
                          work_kind::batch,
                          retry_history{now - idle}},
                         now);
        return key;
    };
    const trial_schedule::choose choose = [](const trial_request&, const std::set<endpoint_id>&) {
        return trial_schedule::choice{endpoint_id("e"), 4, 1};
    };
    instant now = start;
    const milliseconds long_idle(15000);
    for (std::uint32_t run = 0; run < 6; ++run, now += milliseconds(500)) {
        const trial_key waiting = ask(100 + run, milliseconds(100), now);
        const trial_key due = ask(run, long_idle, now);
        const std::vector<trial_grant> grants = schedule.poll(now, choose);
        CAPTURE(run);
        REQUIRE(grants.size() == 1);
        CHECK(grants.front().key == due);
        schedule.end(due, trial_outcome::crashed, now);
        schedule.end(waiting, trial_outcome::unused, now);
    }
}

// Guards against a gateway's end after which all its items run at once, and end all endpoints.
TEST_CASE("items that another gateway takes over are due by the runs that they had", "[retries]") {
    constexpr std::uint32_t items = 20;
    constexpr milliseconds pause(2000);
    trial_schedule schedule;
    const auto ask = [&schedule](const std::string& gateway, std::uint32_t item, std::uint32_t run,
                                 milliseconds idle, instant now) {
        schedule.refresh({{entry_id(gateway), make_trial_id(item, run)},
                          fingerprint("part"),
                          service_id("llm"),
                          {},
                          work_kind::batch,
                          retry_history{now - idle}},
                         now);
    };
    const trial_schedule::choose choose = [](const trial_request&, const std::set<endpoint_id>&) {
        return trial_schedule::choice{endpoint_id("e"), 4, items};
    };
    instant now = start;
    for (std::uint32_t run = 1; run <= 2; ++run, now += pause) {
        for (std::uint32_t item = 1; item <= items; ++item)
            ask("a", item, run, milliseconds(12000), now);
        const std::vector<trial_grant> grants = schedule.poll(now, choose);
        // The second time they are due by what their gateway states.
        REQUIRE(grants.size() == items);
        for (const trial_grant& grant : grants)
            schedule.end(grant.key, trial_outcome::crashed, now);
    }
    // The gateway that takes them over doesn't know how long they were idle.
    for (std::uint32_t item = 1; item <= items; ++item)
        ask("b", item, 1, milliseconds(18000), now);
    CHECK(schedule.poll(now, choose).size() <= 1);
    const instant due = start + milliseconds(12000);
    for (std::uint32_t item = 1; item <= items; ++item)
        ask("b", item, 1, milliseconds(18000) + std::chrono::duration_cast<milliseconds>(due - now),
            due);
    CHECK(schedule.poll(due + milliseconds(100), choose).size() >= items - 1);
}
