#include "cassia/policy/stream_pace.h"

#include <algorithm>
#include <cmath>

namespace cassia::policy {

namespace {
// A lost packet is retransmitted after 200 ms at the earliest, and another endpoint with a free
// slot sends the missing event after 40 ms: a loss detected within 75 ms is hardly visible to a
// reader.
constexpr microseconds min_timeout = milliseconds(75);
// Allows for slow endpoints: multiple of the longest pause that the stream has had.
constexpr double stream_pause_factor = 2.5;
// Mean and deviation are smoothed as for TCP retransmission timers, with weights so small that the
// pause after one lost packet doesn't mask the next.
constexpr double mean_weight = 1.0 / 32;
constexpr double deviation_weight = 1.0 / 32;
constexpr double deviation_factor = 4;
// With fewer samples than this, the mean isn't used.
constexpr std::uint64_t min_samples = 64;
constexpr int default_divisor = 2; ///< of the allowed pause, while samples are few
} // namespace

void stall_timeout_estimator::record_pause(microseconds pause) {
    const double pause_us = static_cast<double>(pause.count());
    if (samples_++ == 0) {
        mean_us_ = pause_us;
        return;
    }
    deviation_us_ += deviation_weight * (std::abs(pause_us - mean_us_) - deviation_us_);
    mean_us_ += mean_weight * (pause_us - mean_us_);
}

// Judged by its own pauses alone, each stream on a slow engine would count as stalled at its first
// pause, and streams restarted elsewhere in turn would slow all engines further.
microseconds stall_timeout_estimator::stall_timeout(microseconds longest_pause,
                                                    milliseconds allowed_pause) const {
    const microseconds from_stream(static_cast<std::int64_t>(
        stream_pause_factor * static_cast<double>(longest_pause.count())));
    const microseconds from_service =
        samples_ < min_samples
            ? microseconds(allowed_pause / default_divisor)
            : microseconds(static_cast<std::int64_t>(mean_us_ + deviation_factor * deviation_us_));
    return std::max({min_timeout, from_stream, from_service});
}

} // namespace cassia::policy
