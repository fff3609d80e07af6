/// Estimates after which pause a stream counts as stalled by a lost packet. Pure.
#pragma once

#include "cassia/base/clock.h"

#include <cstdint>

namespace cassia::policy {

/// Moving statistics of the pauses between events of one service's streams.
class stall_timeout_estimator {
public:
    void record_pause(microseconds pause);
    /// Silence after which a stream is moved to another endpoint, if one has a free slot.
    /// \param longest_pause between two events of this stream so far; 0 if none.
    /// \param allowed_pause longest pause within the latency target; 0 if there is none.
    microseconds stall_timeout(microseconds longest_pause, milliseconds allowed_pause) const;

private:
    std::uint64_t samples_ = 0;
    double mean_us_ = 0;
    double deviation_us_ = 0; ///< mean absolute deviation
};

} // namespace cassia::policy
