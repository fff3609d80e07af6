#include "cassia/policy/slot_forecast.h"

#include <algorithm>
#include <cmath>

namespace cassia::policy {

namespace {
// Averages over the latest ten runs or waits: at 70 gateways, some seconds.
constexpr int averaged = 10;
constexpr double average_weight = 1.0 / averaged;
// Waits differ by about this much through the gateway's own interval of checks.
constexpr double resolution_ms = 20;
constexpr double max_error = 3;
// Standard deviations: about one forecast in six errs by more. In simulations no request that would
// have got a slot within its target was rejected with a third of this.
constexpr double margin_deviations = 1;
// Callers that return sooner find the queue unchanged.
constexpr milliseconds min_retry_after(20);
constexpr std::int64_t max_part_of_time_left = 3;
constexpr double us_per_ms = 1000;
} // namespace

void slot_forecast::record_run(microseconds duration) {
    mean_run_ =
        mean_run_ == microseconds(0) ? duration : mean_run_ + (duration - mean_run_) / averaged;
}

void slot_forecast::record_wait(milliseconds forecast, microseconds actual) {
    const double expected_ms = static_cast<double>(forecast.count()) + resolution_ms;
    const double actual_ms = static_cast<double>(actual.count()) / us_per_ms + resolution_ms;
    const double error = std::clamp(std::log(actual_ms / expected_ms), -max_error, max_error);
    const double deviation = error - mean_error_;
    mean_error_ += average_weight * deviation;
    error_variance_ += average_weight * (deviation * deviation - error_variance_);
}

// By Little's law the fleet releases busy slots divided by the mean run. Queues of other gateways
// are taken to be as long as this one's; where they aren't, the mean error corrects for it.
std::optional<slot_estimate> slot_forecast::estimate(const fleet_slots& fleet,
                                                     std::size_t ahead) const {
    if (mean_run_ == microseconds(0) || fleet.busy == 0)
        return std::nullopt;
    const double releases_per_ms =
        fleet.busy / (static_cast<double>(mean_run_.count()) / us_per_ms);
    const double wait = static_cast<double>(ahead + 1) * fleet.gateways / releases_per_ms;
    const double margin = margin_deviations * std::sqrt(error_variance_);
    const auto to_ms = [](double ms) { return milliseconds(static_cast<std::int64_t>(ms)); };
    return slot_estimate{to_ms(wait * std::exp(mean_error_)),
                         to_ms(wait * std::exp(mean_error_ - margin))};
}

std::vector<queued_request> slot_forecast::hopeless(const std::vector<queued_request>& in_order,
                                                    const fleet_slots& fleet, instant now) const {
    std::vector<queued_request> rejected;
    if (fleet.has_room())
        return rejected;
    std::size_t ahead = 0;
    for (const queued_request& one : in_order) {
        const std::optional<slot_estimate> slot = estimate(fleet, ahead);
        const bool fits = !slot || now + slot->earliest <= one.expires_at ||
                          now + slot->expected <= one.target_deadline;
        if (one.has_run || fits)
            ++ahead;
        else
            rejected.push_back(one);
    }
    return rejected;
}

std::optional<milliseconds> slot_forecast::plan_return(const fleet_slots& fleet, std::size_t queued,
                                                       std::uint32_t priority, milliseconds left,
                                                       milliseconds needed, instant now) {
    std::erase_if(returns_, [now](const planned_return& one) { return one.at <= now; });
    const std::size_t before = static_cast<std::size_t>(
        std::count_if(returns_.begin(), returns_.end(),
                      [priority](const planned_return& one) { return one.priority <= priority; }));
    const std::optional<slot_estimate> slot = estimate(fleet, queued + before);
    if (!slot)
        return std::nullopt;
    const milliseconds longest = left / max_part_of_time_left;
    const milliseconds after = std::min(std::max(slot->expected, min_retry_after), longest);
    if (after < min_retry_after || left - after < needed)
        return std::nullopt;
    returns_.push_back({now + after, priority});
    return after;
}

} // namespace cassia::policy
