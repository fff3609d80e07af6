/// When a pause in a stream is taken for a lost packet. Pure.
#pragma once

#include "cassia/base/clock.h"

#include <cstdint>

namespace cassia::policy {

/// The pauses between events of one service's streams, as observed.
class stall_timeout_estimator {
public:
    void record_pause(microseconds pause);
    /// Silence after which a stream goes on at another endpoint, if one has a free slot.
    /// \param longest_pause longest one between two events of this stream so far; 0 if none.
    /// \param allowed_pause longest one that is still on time; 0 if that isn't known.
    microseconds stall_timeout(microseconds longest_pause, milliseconds allowed_pause) const;

private:
    std::uint64_t noted_ = 0;
    double mean_us_ = 0;
    double deviation_us_ = 0; ///< mean of the distances from the mean
};

} // namespace cassia::policy
