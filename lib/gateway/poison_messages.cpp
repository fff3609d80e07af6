#include "poison_messages.h"

#include <algorithm>
#include <map>
#include <utility>

namespace cassia::gateway {

static std::uint32_t to_ms(microseconds duration) {
    const std::int64_t ms = std::chrono::duration_cast<milliseconds>(duration).count();
    return static_cast<std::uint32_t>(std::max<std::int64_t>(ms, 0));
}

void encode(const policy::part_history& history, schema::part_history& out) {
    out.set_part(history.part.str());
    out.set_survived_runs(history.survived_runs);
}

policy::part_history decode(const schema::part_history& history) {
    return {fingerprint(history.part()), history.survived_runs()};
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
    out.endpoints = report.endpoints();
    out.crashed_at = now - milliseconds(report.age_ms());
    for (const schema::part_history& part : report.parts())
        out.parts.push_back(decode(part));
    for (const schema::crashed_run& run : report.runs()) {
        policy::crashed_run decoded{fingerprint(run.fingerprint()),
                                    milliseconds(run.duration_ms()),
                                    run.was_complete(),
                                    {},
                                    run.on_trial()};
        for (const std::uint32_t position : run.parts()) {
            if (position < out.parts.size())
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
    out.version = record.version();
    // A verdict that this version doesn't know is at least a suspicion.
    out.verdict =
        record.verdict() <= static_cast<std::uint32_t>(policy::request_verdict::quarantined)
            ? static_cast<policy::request_verdict>(record.verdict())
            : policy::request_verdict::suspect;
    out.log_odds = record.log_odds();
    out.crashes = record.crashes();
    if (record.late_crash_probability() > 0)
        out.late_crash_probability = record.late_crash_probability();
    out.quarantines = record.quarantines();
    out.all_crashes = record.all_crashes();
    out.late_crashes = record.late_crashes();
    out.known_at = now - milliseconds(record.known_age_ms());
    out.is_part = record.is_part();
    out.survived_runs = record.survived_runs();
    out.trial_crashes = record.trial_crashes();
    out.last_crash_at = now - milliseconds(record.crash_age_ms());
    if (record.was_cleared())
        out.cleared_at = now - milliseconds(record.cleared_age_ms());
    if (out.verdict == policy::request_verdict::quarantined)
        out.quarantined_until = now + milliseconds(record.quarantine_left_ms());
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
    return policy::retry_history{now - milliseconds(request.idle_ms()), request.crashes(),
                                 now - milliseconds(request.alone_idle_ms())};
}

} // namespace cassia::gateway
