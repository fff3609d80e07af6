#include "poison_messages.h"

#include "cassia/gateway/prompt_parts.h"

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <limits>
#include <map>
#include <utility>

namespace cassia::gateway {

namespace {
// What other gateways state is bounded, so that a wrong value of one of them neither overflows nor
// outweighs what the others report. An older crash or longer run shows nothing more.
constexpr milliseconds max_crash_age(60000);
constexpr milliseconds max_run_time(3600000);
constexpr milliseconds max_record_age(3600000);
constexpr milliseconds max_idle_time(600000);
constexpr milliseconds max_quarantine_left(160 * 60000);
constexpr std::uint32_t max_endpoints = 65536;
constexpr std::uint32_t max_count = 1000000;
constexpr std::uint64_t max_version = std::uint64_t{1} << 48U;
// Far beyond the odds of any verdict.
constexpr double max_log_odds = 1000;
constexpr double min_kind_probability = 0.05;
} // namespace

static std::uint32_t to_ms(microseconds duration) {
    const std::int64_t ms = std::chrono::duration_cast<milliseconds>(duration).count();
    return static_cast<std::uint32_t>(
        std::clamp<std::int64_t>(ms, 0, std::numeric_limits<std::uint32_t>::max()));
}

static milliseconds decode_time(std::uint32_t ms, milliseconds limit) {
    return std::min(milliseconds(ms), limit);
}

static std::uint32_t decode_count(std::uint32_t count) {
    return std::min(count, max_count);
}

instant decode_crash_time(std::uint32_t age_ms, instant now) {
    return now - decode_time(age_ms, max_crash_age);
}

std::uint32_t decode_survived_runs(std::uint32_t runs) {
    return std::min(runs, policy::max_survived_runs);
}

void encode(const policy::part_history& history, schema::part_history& out) {
    out.set_part(history.part.str());
    out.set_survived_runs(history.survived_runs);
}

policy::part_history decode(const schema::part_history& history) {
    return {fingerprint(history.part()), decode_survived_runs(history.survived_runs())};
}

void encode(const policy::crash_report& report, instant now, schema::crash_report& out) {
    out.set_endpoint(report.process.endpoint.str());
    out.set_incarnation(report.process.incarnation);
    out.set_service(report.service.str());
    out.set_endpoints(report.endpoints);
    out.set_age_ms(to_ms(now - report.crashed_at));
    std::map<fingerprint, std::uint32_t> positions;
    for (const policy::part_history& part : report.parts) {
        positions.emplace(part.part, out.parts_size());
        encode(part, *out.add_parts());
    }
    for (const policy::crashed_run& run : report.runs) {
        schema::crashed_run* encoded = out.add_runs();
        encoded->set_fingerprint(run.request.str());
        encoded->set_duration_ms(to_ms(run.duration));
        encoded->set_was_complete(run.was_complete);
        encoded->set_on_trial(run.on_trial);
        for (const fingerprint& part : run.parts) {
            auto position = positions.find(part);
            if (position != positions.end())
                encoded->add_parts(position->second);
        }
    }
    out.set_survived_runs(report.survived_runs);
}

policy::crash_report decode(const schema::crash_report& report, instant now) {
    policy::crash_report out;
    out.process = {endpoint_id(report.endpoint()), report.incarnation()};
    out.service = service_id(report.service());
    out.endpoints = std::clamp(report.endpoints(), 1U, max_endpoints);
    out.crashed_at = decode_crash_time(report.age_ms(), now);
    for (const schema::part_history& part : report.parts())
        out.parts.push_back(decode(part));
    for (const schema::crashed_run& run : report.runs()) {
        policy::crashed_run decoded{fingerprint(run.fingerprint()),
                                    decode_time(run.duration_ms(), max_run_time),
                                    run.was_complete(),
                                    {},
                                    run.on_trial()};
        for (const std::uint32_t position : run.parts()) {
            if (position < out.parts.size() && decoded.parts.size() < max_prompt_parts)
                decoded.parts.push_back(out.parts[position].part);
        }
        out.runs.push_back(std::move(decoded));
    }
    out.survived_runs = report.survived_runs();
    return out;
}

void encode(const policy::poison_record& record, instant now, schema::poison_record& out) {
    out.set_fingerprint(record.request.str());
    out.set_version(record.version);
    out.set_verdict(static_cast<std::uint32_t>(record.verdict));
    out.set_log_odds(record.log_odds);
    out.set_crashes(record.crashes);
    out.set_late_crash_probability(record.late_crash_probability);
    out.set_quarantines(record.quarantines);
    out.set_all_crashes(record.all_crashes);
    out.set_late_crashes(record.late_crashes);
    out.set_known_age_ms(to_ms(now - record.known_at));
    out.set_is_part(record.is_part);
    out.set_survived_runs(record.survived_runs);
    out.set_trial_crashes(record.trial_crashes);
    out.set_relapses(record.relapses);
    out.set_survived_retries(record.survived_retries);
    if (record.survived_retries > 0)
        out.set_retry_age_ms(to_ms(now - record.retry_survived_at));
    out.set_crash_age_ms(to_ms(now - record.last_crash_at));
    out.set_was_cleared(record.cleared_at != instant());
    if (out.was_cleared())
        out.set_cleared_age_ms(to_ms(now - record.cleared_at));
    if (record.verdict == policy::request_verdict::quarantined)
        out.set_quarantine_left_ms(
            std::chrono::duration_cast<milliseconds>(record.quarantined_until - now).count());
}

policy::poison_record decode(const schema::poison_record& record, instant now) {
    policy::poison_record out;
    out.request = fingerprint(record.fingerprint());
    // No record changes so often, and one without a version isn't taken over.
    out.version = record.version() <= max_version ? record.version() : 0;
    // A verdict that this version doesn't know is at least a suspicion.
    out.verdict =
        record.verdict() <= static_cast<std::uint32_t>(policy::request_verdict::quarantined)
            ? static_cast<policy::request_verdict>(record.verdict())
            : policy::request_verdict::suspect;
    if (std::isfinite(record.log_odds()))
        out.log_odds = std::clamp(record.log_odds(), -max_log_odds, max_log_odds);
    out.crashes = decode_count(record.crashes());
    if (record.late_crash_probability() > 0)
        out.late_crash_probability = std::clamp(record.late_crash_probability(),
                                                min_kind_probability, 1 - min_kind_probability);
    out.quarantines = decode_count(record.quarantines());
    out.all_crashes = decode_count(record.all_crashes());
    out.late_crashes = decode_count(record.late_crashes());
    out.known_at = now - decode_time(record.known_age_ms(), max_record_age);
    out.is_part = record.is_part();
    out.survived_runs = decode_survived_runs(record.survived_runs());
    out.trial_crashes = decode_count(record.trial_crashes());
    out.relapses = std::min(record.relapses(), policy::max_relapses);
    out.survived_retries = decode_count(record.survived_retries());
    if (out.survived_retries > 0)
        out.retry_survived_at = now - decode_time(record.retry_age_ms(), max_record_age);
    out.last_crash_at = now - decode_time(record.crash_age_ms(), max_record_age);
    if (record.was_cleared())
        out.cleared_at = now - decode_time(record.cleared_age_ms(), max_record_age);
    if (out.verdict == policy::request_verdict::quarantined)
        out.quarantined_until = now + std::clamp(milliseconds(record.quarantine_left_ms()),
                                                 -max_record_age, max_quarantine_left);
    return out;
}

void encode(const policy::retry_history& retry, instant now, schema::trial_request& out) {
    out.set_is_retry(true);
    out.set_idle_ms(to_ms(now - retry.idle_since));
    out.set_crashes(retry.crashes);
    out.set_alone_idle_ms(to_ms(now - retry.alone_until));
}

std::optional<policy::retry_history> decode(const schema::trial_request& request, instant now) {
    if (!request.is_retry())
        return std::nullopt;
    return policy::retry_history{now - decode_time(request.idle_ms(), max_idle_time),
                                 decode_count(request.crashes()),
                                 now - decode_time(request.alone_idle_ms(), max_idle_time)};
}

} // namespace cassia::gateway
