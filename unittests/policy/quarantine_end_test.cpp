// When verdicts on parts of prompts end, and which runs others wait for.

#include "cassia/policy/poison_detector.h"
#include "cassia/policy/trial_schedule.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <optional>
#include <set>
#include <string>
#include <vector>

using namespace cassia;
using namespace cassia::policy;

namespace {

constexpr instant start = instant() + milliseconds(1000000);
constexpr milliseconds step(20);
constexpr milliseconds max_untried(20000);
const fingerprint part("part");
const service_id service("llm");

/// A detector, and crashes of a service.
class crashing_service {
public:
    void crash(const fingerprint& request, bool on_trial, instant at, std::uint32_t survived = 0) {
        crash_report report;
        report.process = {endpoint_id("e" + std::to_string(++crashes_)), 1};
        report.service = service;
        report.endpoints = 60;
        report.crashed_at = at;
        report.gateway = entry_id("gateway");
        report.survived_runs = 1000;
        report.parts = {{part, survived}};
        report.runs = {{request, milliseconds(20), false, {part}, on_trial}};
        detector.record_crash(report, at);
        detector.poll(at + milliseconds(50));
    }

    /// Distinct requests with the part crash endpoints. \returns when it was quarantined.
    instant quarantine_part(milliseconds interval, std::uint32_t survived) {
        instant at = start;
        while (!is_quarantined(part, at) && crashes_ < 200) {
            at += interval;
            crash(fingerprint("r" + std::to_string(crashes_)),
                  detector.judge(part, at) == request_verdict::suspect, at, survived);
        }
        return at + milliseconds(50);
    }

    bool is_quarantined(const fingerprint& cause, instant at) const {
        return detector.judge(cause, at) == request_verdict::quarantined;
    }

    poison_detector detector;

private:
    int crashes_ = 0;
};

trial_schedule::choose choose_of(const std::vector<instant>& up_at, const instant& now) {
    return [&up_at, &now](const trial_request&, const std::set<endpoint_id>& excluded) {
        trial_schedule::choice choice{std::nullopt, max_trials(up_at.size()), 8};
        for (std::size_t i = 0; i < up_at.size() && !choice.endpoint; ++i) {
            const endpoint_id id("e" + std::to_string(i));
            if (now >= up_at[i] && excluded.count(id) == 0)
                choice.endpoint = id;
        }
        return choice;
    };
}

/// Items with quarantined parts, each of which crashes its endpoint.
class waiting_items {
public:
    waiting_items(std::size_t items, std::size_t endpoints, milliseconds to_crash,
                  milliseconds restart)
        : items_(items), up_at_(endpoints, start), to_crash_(to_crash), restart_(restart) {}

    /// \returns the longest time in which an item wasn't run.
    milliseconds run(milliseconds length) {
        milliseconds longest(0);
        for (; now_ < start + length; now_ += step) {
            for (std::size_t i = 0; i < items_.size(); ++i)
                advance(i);
            for (const trial_grant& grant : schedule_.poll(now_, choose_of(up_at_, now_))) {
                item& one = items_[grant.key.id.value() - 1];
                longest = std::max(longest, idle_time(one));
                one.endpoint = std::stoul(grant.endpoint.str().substr(1));
                one.began_at = now_;
                one.is_shared = grant.shared;
            }
        }
        for (const item& one : items_)
            longest = std::max(longest, one.endpoint ? milliseconds(0) : idle_time(one));
        return longest;
    }

    std::size_t parts = 1;

private:
    struct item {
        instant idle_since = start;
        std::uint32_t crashes = 0;
        instant alone_until{};
        bool is_shared = false;
        instant began_at{};
        std::optional<std::size_t> endpoint{};
    };

    milliseconds idle_time(const item& one) const {
        return std::chrono::duration_cast<milliseconds>(now_ - one.idle_since);
    }

    void advance(std::size_t index) {
        item& one = items_[index];
        const trial_key key{entry_id("gateway"), trial_id(index + 1)};
        if (one.endpoint && now_ - one.began_at >= to_crash_) {
            up_at_[*one.endpoint] = now_ + restart_;
            one.endpoint.reset();
            one.idle_since = now_;
            one.crashes += one.is_shared ? 0 : 1;
            one.alone_until = one.is_shared ? one.alone_until : now_;
            schedule_.end(key, trial_outcome::crashed, now_);
        }
        schedule_.refresh({key,
                           fingerprint("part" + std::to_string(100 + index % parts)),
                           service,
                           {},
                           work_kind::batch,
                           retry_history{one.idle_since, one.crashes, one.alone_until}},
                          now_);
    }

    std::vector<item> items_;
    std::vector<instant> up_at_;
    milliseconds to_crash_;
    milliseconds restart_;
    instant now_ = start;
    trial_schedule schedule_;
};

} // namespace

// Guards against callers that are rejected for a sound part for as long as items crash endpoints
// that are quarantined by themselves.
TEST_CASE("crashes of quarantined items don't extend the quarantine of their part", "[poison]") {
    crashing_service crashes;
    instant at = crashes.quarantine_part(milliseconds(400), 0);
    std::vector<fingerprint> items;
    for (int i = 0; i < 7; ++i)
        items.emplace_back("item" + std::to_string(i));
    // Each item runs alone until it is quarantined by itself, and then each 18 s.
    for (const fingerprint& item : items) {
        for (int runs = 0; runs < 10 && !crashes.is_quarantined(item, at); ++runs) {
            at += milliseconds(3000);
            crashes.crash(item, true, at);
            at += milliseconds(50);
        }
        REQUIRE(crashes.is_quarantined(item, at));
    }
    const instant blamed_at = at;
    bool has_ended = false;
    for (std::size_t i = 0; at < blamed_at + milliseconds(120000); ++i) {
        at += milliseconds(18000) / items.size();
        has_ended = has_ended || !crashes.is_quarantined(part, at);
        crashes.crash(items[i % items.size()], true, at);
    }
    CHECK(has_ended);
}

// Guards against callers that are rejected for ten minutes for a part that crashed endpoints for
// seconds, as the crashes before its first verdict count as retries that failed.
TEST_CASE("the first quarantine of a part is short however many crashes it took",
          "[.first-quarantine]") {
    crashing_service crashes;
    const std::uint32_t survived = GENERATE(0U, 5U, 10U, 20U, 50U);
    const milliseconds interval(GENERATE(400, 700));
    const instant at = crashes.quarantine_part(interval, survived);
    REQUIRE(crashes.is_quarantined(part, at));
    const poison_record* record = crashes.detector.find(part);
    CAPTURE(survived, interval.count(), record->all_crashes, record->late_crashes,
            std::chrono::duration_cast<milliseconds>(record->quarantined_until - at).count());
    CHECK_FALSE(crashes.is_quarantined(part, at + milliseconds(5000)));
}

// Guards against items that are idle since those of other parts, which were run a moment ago, take
// each endpoint that comes back.
TEST_CASE("items of each quarantined part run in time while endpoints are scarce", "[retries]") {
    constexpr std::size_t parts = 12;
    constexpr std::size_t items = 4 * parts;
    waiting_items waiting(items, 9, milliseconds(60), milliseconds(3000));
    waiting.parts = parts;
    CHECK(waiting.run(milliseconds(120000)) <= max_untried);
}

// Guards against callers that wait for the end of another caller's long response.
TEST_CASE("a suspected part's requests run while one of them has run for long",
          "[.long-online-run]") {
    instant now = start;
    const std::vector<instant> up_at(9, start);
    trial_schedule schedule;
    std::size_t grants = 0;
    for (; now < start + milliseconds(30000); now += step) {
        for (std::uint64_t i = 1; i <= 3; ++i)
            schedule.refresh({{entry_id("gateway" + std::to_string(i)), trial_id(1)},
                              part,
                              service,
                              {},
                              work_kind::online},
                             now);
        grants += schedule.poll(now, choose_of(up_at, now)).size();
    }
    CHECK(grants > 1);
}

// Guards against items that are idle since groups of them run one after the other.
TEST_CASE("62 items with a quarantined part run in time if each needs a second to crash",
          "[retries]") {
    const milliseconds to_crash(GENERATE(1000, 2000, 2900));
    CAPTURE(to_crash.count());
    waiting_items waiting(62, 9, to_crash, milliseconds(1000));
    CHECK(waiting.run(milliseconds(60000)) <= max_untried);
}
