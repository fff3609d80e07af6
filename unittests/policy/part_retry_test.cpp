// How long a part of prompts stays quarantined.

#include "cassia/policy/poison_detector.h"

#include <catch2/catch.hpp>

#include <string>
#include <vector>

using namespace cassia;
using namespace cassia::policy;

namespace {

constexpr instant start = instant() + milliseconds(1000000);
const fingerprint part("part");

/// A service in which a part crashes endpoints in runs alone.
class bad_part {
public:
    void crash(instant at) {
        report_crash(at);
        detector.poll(at + milliseconds(50));
    }

    void report_crash(instant at) {
        const std::string number = std::to_string(++crashes_);
        crash_report report;
        report.process = {endpoint_id("e" + number), 1};
        report.service = service_id("llm");
        report.endpoints = 60;
        report.crashed_at = at;
        report.gateway = entry_id("gateway");
        report.survived_runs = 100;
        report.runs = {{fingerprint("r" + number), milliseconds(20), false, {part}, true}};
        detector.record_crash(report, at);
    }

    /// \returns when it was quarantined.
    instant quarantine(instant from = start) {
        instant at = from;
        for (int i = 0; verdict(at) != request_verdict::quarantined && i < 10;
             ++i, at += milliseconds(400))
            crash(at);
        return at;
    }

    /// It is quarantined, cleared by a retry, and quarantined again after `calm`. \returns when a
    /// retry of it may have been survived.
    instant relapse(milliseconds calm) {
        const instant cleared_at = quarantine() + milliseconds(1500);
        detector.record_retry_success(part, cleared_at);
        return quarantine(cleared_at + calm) + milliseconds(1500);
    }

    request_verdict verdict(instant at) const { return detector.judge(part, at); }

    poison_detector detector;

private:
    int crashes_ = 0;
};

} // namespace

// Guards against callers that are rejected for ten minutes for a part that crashed endpoints for
// seconds.
TEST_CASE("a quarantined part is retried after seconds, and less often if it crashes again",
          "[retries]") {
    bad_part series;
    instant at = series.quarantine();
    REQUIRE(series.verdict(at) == request_verdict::quarantined);
    // Up to the fifth crash, and then less often with each one.
    const std::vector<int> pauses_s{5, 5, 5, 15, 45, 135};
    for (const int pause_s : pauses_s) {
        CAPTURE(pause_s);
        const milliseconds pause(1000 * pause_s);
        CHECK(series.verdict(at + pause - milliseconds(500)) == request_verdict::quarantined);
        at += pause + milliseconds(100);
        CHECK(series.verdict(at) == request_verdict::suspect);
        series.crash(at);
        at += milliseconds(50);
        CHECK(series.verdict(at) == request_verdict::quarantined);
    }
}

// Guards against a part that stays quarantined although a run with it was survived.
TEST_CASE("a survived retry ends the quarantine of a part", "[retries]") {
    bad_part series;
    const instant at = series.quarantine() + milliseconds(1000);
    series.detector.record_successes(part, 1, at);
    CHECK(series.verdict(at) == request_verdict::quarantined);
    series.detector.record_retry_success(part, at);
    CHECK(series.verdict(at) == request_verdict::unsuspected);
    CHECK(series.detector.find(part)->cleared_at == at);
}

// Guards against a part that crashes some of its runs, and is cleared by each survived one.
TEST_CASE("a part that crashes endpoints again after it was cleared needs more survived retries",
          "[retries]") {
    bad_part series;
    instant at = series.quarantine();
    for (const int needed : {1, 2, 4, 8, 16, 16}) {
        CAPTURE(needed);
        for (int survived = 1; survived <= needed; ++survived) {
            at += milliseconds(1500);
            CHECK(series.verdict(at) != request_verdict::unsuspected);
            series.detector.record_retry_success(part, at);
        }
        REQUIRE(series.verdict(at) == request_verdict::unsuspected);
        at += milliseconds(5000);
        at = series.quarantine(at);
        REQUIRE(series.verdict(at) == request_verdict::quarantined);
    }
}

// Guards against such a part that is cleared by one run, which several gateways report.
TEST_CASE("reports of one survived retry count once", "[retries]") {
    bad_part series;
    const instant at = series.relapse(milliseconds(5000));
    for (int reports = 0; reports < 3; ++reports)
        series.detector.record_retry_success(part, at + milliseconds(50) * reports);
    CHECK(series.verdict(at + milliseconds(200)) == request_verdict::suspect);
}

// Guards against such a part that is cleared by survived runs before and after its last crash.
TEST_CASE("survived retries before a crash don't count", "[retries]") {
    bad_part series;
    instant at = series.relapse(milliseconds(5000));
    series.detector.record_retry_success(part, at);
    series.crash(at + milliseconds(500));
    at += milliseconds(2000);
    series.detector.record_retry_success(part, at);
    CHECK(series.verdict(at) != request_verdict::unsuspected);
    series.detector.record_retry_success(part, at + milliseconds(1500));
    CHECK(series.verdict(at + milliseconds(1500)) == request_verdict::unsuspected);
}

// Guards against callers that wait for several runs of a part whose first failure was long ago.
TEST_CASE("a part that was sound for a minute needs one survived retry again", "[retries]") {
    bad_part series;
    const instant at = series.relapse(milliseconds(61000));
    series.detector.record_retry_success(part, at);
    CHECK(series.verdict(at) == request_verdict::unsuspected);
}

// Guards against the same right after a machine's start, for a part that an earlier release
// cleared.
TEST_CASE("a part without a known time of clearing hasn't relapsed", "[retries]") {
    constexpr instant soon_after_boot = instant() + milliseconds(10000);
    bad_part series;
    poison_record record;
    record.request = part;
    record.is_part = true;
    record.version = 1;
    record.quarantines = 1;
    record.last_crash_at = soon_after_boot;
    REQUIRE(series.detector.merge(record, soon_after_boot));
    const instant at = series.quarantine(soon_after_boot) + milliseconds(1500);
    REQUIRE(series.verdict(at) == request_verdict::quarantined);
    series.detector.record_retry_success(part, at);
    CHECK(series.verdict(at) == request_verdict::unsuspected);
}

// Guards against a part that is cleared by a run which began before it crashed another endpoint, as
// the gateway of that run doesn't know of the crash yet.
TEST_CASE("a run that began before the last crash doesn't end a quarantine", "[retries]") {
    bad_part series;
    const instant at = series.quarantine() + milliseconds(1000);
    SECTION("that was judged") {
        series.crash(at);
        series.detector.record_retry_success(part, at + milliseconds(200));
    }
    SECTION("that is yet to be judged") {
        series.report_crash(at);
        series.detector.record_retry_success(part, at + milliseconds(10));
        series.detector.poll(at + milliseconds(50));
    }
    CHECK(series.verdict(at + milliseconds(200)) == request_verdict::quarantined);
    series.detector.record_retry_success(part, at + milliseconds(1200));
    CHECK(series.verdict(at + milliseconds(1200)) == request_verdict::unsuspected);
}

// Guards against callers that try a part while items with it still crash endpoints.
TEST_CASE("a part whose retries crash endpoints stays quarantined", "[retries]") {
    bad_part series;
    instant at = series.quarantine();
    for (int retries = 0; retries < 5; ++retries) {
        at += milliseconds(3000);
        CHECK(series.verdict(at) == request_verdict::quarantined);
        series.crash(at);
    }
}
