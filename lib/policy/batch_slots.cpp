#include "cassia/policy/batch_slots.h"

#include <algorithm>
#include <cmath>

namespace cassia::policy {

namespace {
constexpr double average_weight = 0.1;
constexpr milliseconds adjust_interval(200);
constexpr double reserve_decrease_step = 0.01;
constexpr double reserve_growth_factor = 1.3;
constexpr std::uint32_t min_samples = 5;
} // namespace

static void move_average(double& average, double sample) {
    average = average == 0 ? sample : average + average_weight * (sample - average);
}

void batch_slot_controller::record_first_token(microseconds latency, bool with_batch) {
    move_average(with_batch ? with_batch_us_ : baseline_us_, static_cast<double>(latency.count()));
    with_batch_samples_ += with_batch ? 1 : 0;
}

std::uint32_t batch_slot_controller::allowed_slots(std::uint32_t slots, std::uint32_t online,
                                                   instant now) {
    if (now - adjusted_at_ >= adjust_interval) {
        adjusted_at_ = now;
        const bool judged = with_batch_samples_ >= min_samples && baseline_us_ > 0;
        const bool slow = judged && with_batch_us_ > baseline_us_ * settings_.tolerated_slowdown;
        if (slow) {
            reserve_ = std::min(settings_.max_reserve,
                                std::max(reserve_, reserve_decrease_step) * reserve_growth_factor);
            with_batch_samples_ = 0;
        } else {
            reserve_ = std::max(settings_.min_reserve, reserve_ - reserve_decrease_step);
        }
    }
    const double reserved = std::ceil(slots * reserve_);
    const double left = static_cast<double>(slots) - online - reserved;
    return left <= 0 ? 0 : static_cast<std::uint32_t>(left);
}

} // namespace cassia::policy
