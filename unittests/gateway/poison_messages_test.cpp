// What is decoded of the messages of gateways that state wrong ages, counts and times.

#include "../../lib/gateway/poison_messages.h"

#include <catch2/catch.hpp>

#include <cmath>
#include <cstdint>
#include <limits>
#include <string>

using namespace cassia;
using namespace cassia::gateway;

namespace {

constexpr instant now = instant() + milliseconds(100000000);
constexpr std::uint32_t most = std::numeric_limits<std::uint32_t>::max();

schema::poison_record make_record() {
    schema::poison_record record;
    record.set_fingerprint("cause");
    record.set_version(1);
    record.set_verdict(2);
    record.set_is_part(true);
    return record;
}

} // namespace

// Guards against an item that runs before all others since its gateway states that it never ran.
TEST_CASE("the history of a retry is bounded when it is decoded", "[poison_messages]") {
    schema::trial_request request;
    request.set_is_retry(true);
    request.set_idle_ms(most);
    request.set_alone_idle_ms(most);
    request.set_crashes(most);
    const policy::retry_history retry = decode(request, now).value();
    CHECK(now - retry.idle_since <= milliseconds(600000));
    CHECK(now - retry.alone_until <= milliseconds(600000));
    CHECK(retry.crashes <= 1000000);
}

// Guards against an item that crashed often and is taken for one that did long ago, or just now.
TEST_CASE("ages of more than 49 days are sent as the greatest age", "[poison_messages]") {
    const instant later = instant() + milliseconds(std::int64_t{most} + 5000);
    schema::trial_request request;
    encode(policy::retry_history{later, 0, instant()}, later, request);
    CHECK(request.alone_idle_ms() == most);
}

// Guards against quarantines without an end, and times that overflow.
TEST_CASE("the end of a quarantine is bounded when it is decoded", "[poison_messages]") {
    schema::poison_record record = make_record();
    record.set_quarantine_left_ms(std::numeric_limits<std::int64_t>::max());
    CHECK(decode(record, now).quarantined_until - now <= milliseconds(160 * 60000));
    record.set_quarantine_left_ms(std::numeric_limits<std::int64_t>::min());
    const instant until = decode(record, now).quarantined_until;
    CHECK(until <= now);
    CHECK(now - until <= milliseconds(3600000));
}

// Guards against odds that no run can lower, and those that compare with nothing.
TEST_CASE("odds and probabilities are bounded when they are decoded", "[poison_messages]") {
    schema::poison_record record = make_record();
    for (const double value : {std::numeric_limits<double>::quiet_NaN(),
                               std::numeric_limits<double>::infinity(), 1e300, -1e300}) {
        CAPTURE(value);
        record.set_log_odds(value);
        record.set_late_crash_probability(value);
        const policy::poison_record decoded = decode(record, now);
        CHECK(std::abs(decoded.log_odds) <= 1000);
        CHECK(decoded.late_crash_probability >= 0.05);
        CHECK(decoded.late_crash_probability <= 0.95);
    }
}

// Guards against counts that become 0 with the next crash, and records that none replaces.
TEST_CASE("counts and versions of a record are bounded when they are decoded",
          "[poison_messages]") {
    schema::poison_record record = make_record();
    record.set_crashes(most);
    record.set_quarantines(most);
    record.set_all_crashes(most);
    record.set_late_crashes(most);
    record.set_trial_crashes(most);
    record.set_relapses(most);
    record.set_survived_retries(most);
    record.set_survived_runs(most);
    const policy::poison_record decoded = decode(record, now);
    for (const std::uint32_t count :
         {decoded.crashes, decoded.quarantines, decoded.all_crashes, decoded.late_crashes,
          decoded.trial_crashes, decoded.survived_retries})
        CHECK(count <= 1000000);
    CHECK(decoded.survived_runs <= policy::max_survived_runs);
    CHECK(decoded.relapses <= policy::max_relapses);
    record.set_version(std::numeric_limits<std::uint64_t>::max());
    policy::poison_detector detector;
    CHECK_FALSE(detector.merge(decode(record, now), now));
}

// Guards against a crash that one gateway dates back, so that it explains no other one.
TEST_CASE("ages, counts and parts of a crash are bounded when they are decoded",
          "[poison_messages]") {
    schema::crash_report report;
    report.set_age_ms(most);
    report.set_endpoints(0);
    schema::crashed_run* run = report.add_runs();
    run->set_duration_ms(most);
    for (std::uint32_t i = 0; i < 100; ++i) {
        schema::part_history* part = report.add_parts();
        part->set_part("p" + std::to_string(i));
        part->set_survived_runs(most);
        run->add_parts(i);
    }
    const policy::crash_report decoded = decode(report, now);
    CHECK(now - decoded.crashed_at <= milliseconds(60000));
    CHECK(decoded.endpoints == 1);
    CHECK(decoded.runs.at(0).duration <= milliseconds(3600000));
    CHECK(decoded.runs.at(0).parts.size() <= 16);
    CHECK(decoded.parts.at(0).survived_runs <= policy::max_survived_runs);
    report.set_endpoints(most);
    CHECK(decode(report, now).endpoints <= 65536);
}
