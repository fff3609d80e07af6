/// Encodes and decodes what gateways exchange about poison requests. Times travel as ages. What is
/// decoded is bounded, and none of it lies in the future but the end of a quarantine.
#pragma once

#include "cassia/base/clock.h"
#include "cassia/policy/poison_detector.h"
#include "cassia/policy/quarantine_retries.h"
#include "cassia/schema/messages.pb.h"

#include <cstdint>
#include <optional>

namespace cassia::gateway {

instant decode_crash_time(std::uint32_t age_ms, instant now);
/// Of a request or a part, in one message.
std::uint32_t decode_survived_runs(std::uint32_t runs);
void encode(const policy::part_history& history, schema::part_history& out);
policy::part_history decode(const schema::part_history& history);
void encode(const policy::crash_report& report, instant now, schema::crash_report& out);
policy::crash_report decode(const schema::crash_report& report, instant now);
void encode(const policy::poison_record& record, instant now, schema::poison_record& out);
policy::poison_record decode(const schema::poison_record& record, instant now);
void encode(const policy::retry_history& retry, instant now, schema::trial_request& out);
/// \returns nothing if the request isn't a retry.
std::optional<policy::retry_history> decode(const schema::trial_request& request, instant now);

} // namespace cassia::gateway
