/// Reads the load that endpoints report with their responses.
#pragma once

#include "cassia/base/metrics.h"
#include "cassia/policy/slot_table.h"

#include <optional>
#include <string_view>

namespace cassia::gateway {

/// Nothing unless the text is three or four decimal numbers, separated by commas: requests running,
/// requests waiting, slots, and how long work takes, where 100 is the usual value (1 to 10,000).
std::optional<policy::load_report> read_load_report(std::string_view text);

/// Records the load header of a response. An absent or malformed one changes nothing.
void record_load(policy::slot_table& slots, metrics& counts, const endpoint_id& endpoint,
                 std::string_view header, instant now);
/// Records a complete run, and logs whether it makes reports of the endpoint untrusted or trusted
/// again. Sets the load in the shape.
void record_run(policy::slot_table& slots, const endpoint_id& endpoint, policy::run_shape shape,
                microseconds duration, instant now);

/// The setting `endpoint_pace`.
policy::pace_source read_pace_source(std::string_view setting);

} // namespace cassia::gateway
