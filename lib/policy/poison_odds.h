/// Odds that the parts of the poison detector share.
#pragma once

#include "cassia/base/clock.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstdint>

namespace cassia::policy {

// One request in a thousand is assumed to be poison.
inline const double prior_log_odds = std::log(1e-3);
inline const double quarantine_log_odds = std::log(400);
inline constexpr std::uint32_t min_crashes_to_quarantine = 3;
// After a quarantine a crash that says this much is enough for the next one.
inline constexpr double repeated_gain = 2;
// Crashes within this time of each other may have one cause, such as a loss of power.
inline constexpr milliseconds same_moment(25);
// Crashes of this time show how often endpoints crash for other reasons.
inline constexpr milliseconds background_window(10000);
inline constexpr milliseconds retention(600000);
// A part that crashes endpoints crashes each that begins to write an answer on it, so a survived
// run says more of a part than of a request.
inline const double part_success_loss = std::log(50);
inline constexpr double max_probability = 0.999;

inline double to_probability(double log_odds) {
    return std::min(max_probability, 1 / (1 + std::exp(-log_odds)));
}

inline double to_seconds(microseconds duration) {
    return std::chrono::duration<double>(duration).count();
}

} // namespace cassia::policy
