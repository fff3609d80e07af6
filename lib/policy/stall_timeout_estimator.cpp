#include "cassia/policy/stall_timeout_estimator.h"

#include <algorithm>
#include <cmath>

namespace cassia::policy {

namespace {
// A lost packet comes again after 200 ms at the earliest, and another endpoint that has a free slot
// sends the missing event after 40 ms: noticed by then, the loss costs a reader next to nothing.
constexpr microseconds least_stall = milliseconds(75);
// A slow endpoint is known by its pace.
constexpr double paces_of_stall = 2.5;
// As retransmission timers are estimated, with weights so small that the pause of one lost packet
// doesn't hide the next.
constexpr double mean_weight = 1.0 / 32;
constexpr double deviation_weight = 1.0 / 32;
constexpr double deviations = 4;
// With fewer pauses than this the service's pace isn't known.
constexpr std::uint64_t enough_pauses = 64;
constexpr int unknown_part = 2; ///< of the allowed pause, while the pace isn't known
} // namespace

void stall_timeout_estimator::record_pause(microseconds pause) {
    const double us = static_cast<double>(pause.count());
    if (noted_++ == 0) {
        mean_us_ = us;
        return;
    }
    deviation_us_ += deviation_weight * (std::abs(us - mean_us_) - deviation_us_);
    mean_us_ += mean_weight * (us - mean_us_);
}

// By the stream alone, the first pauses of each one on slow engines would be taken for losses, and
// streams begun elsewhere one after the other would slow all of them further.
microseconds stall_timeout_estimator::stall_timeout(microseconds longest_pause,
                                                    milliseconds allowed_pause) const {
    const microseconds own(
        static_cast<std::int64_t>(paces_of_stall * static_cast<double>(longest_pause.count())));
    const microseconds usual =
        noted_ < enough_pauses
            ? microseconds(allowed_pause / unknown_part)
            : microseconds(static_cast<std::int64_t>(mean_us_ + deviations * deviation_us_));
    return std::max({least_stall, own, usual});
}

} // namespace cassia::policy
