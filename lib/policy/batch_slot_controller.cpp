#include "cassia/policy/batch_slot_controller.h"

#include <algorithm>
#include <cmath>

namespace cassia::policy {

namespace {
constexpr double average_weight = 0.1;
constexpr milliseconds adjust_interval(200);
constexpr double reserve_step_down = 0.01;
constexpr double reserve_step_up = 1.3;
constexpr std::uint32_t samples_to_judge = 5;
} // namespace

static void move_average(double& average, double sample) {
    average = average == 0 ? sample : average + average_weight * (sample - average);
}

void batch_slot_controller::record_first_token(microseconds after, bool beside_batch) {
    move_average(beside_batch ? beside_us_ : alone_us_, static_cast<double>(after.count()));
    beside_samples_ += beside_batch ? 1 : 0;
}

std::uint32_t batch_slot_controller::allowed_slots(std::uint32_t slots, std::uint32_t online,
                                                   instant now) {
    if (now - adjusted_at_ >= adjust_interval) {
        adjusted_at_ = now;
        const bool judged = beside_samples_ >= samples_to_judge && alone_us_ > 0;
        const bool slow = judged && beside_us_ > alone_us_ * settings_.tolerated_slowdown;
        if (slow) {
            reserve_ = std::min(settings_.max_reserve,
                                std::max(reserve_, reserve_step_down) * reserve_step_up);
            beside_samples_ = 0;
        } else {
            reserve_ = std::max(settings_.min_reserve, reserve_ - reserve_step_down);
        }
    }
    const double reserved = std::ceil(slots * reserve_);
    const double left = static_cast<double>(slots) - online - reserved;
    return left <= 0 ? 0 : static_cast<std::uint32_t>(left);
}

} // namespace cassia::policy
