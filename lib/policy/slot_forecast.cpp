#include "cassia/policy/slot_forecast.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace cassia::policy {

namespace {
// Averages over the latest ten runs or waits: at 70 gateways, some seconds.
constexpr int averaged = 10;
constexpr double average_weight = 1.0 / averaged;
// Waits differ by about this much through the gateway's own interval of checks.
constexpr double resolution_ms = 20;
constexpr double max_error = 3;
// Standard deviations: about one forecast in six errs by more. Nothing that a slot would have
// reached within the target is rejected with it (slot_forecast_test); with two, requests wait in
// vain longer.
constexpr double margin_deviations = 1;
// Callers that return sooner find the queue unchanged.
constexpr milliseconds min_retry_after(20);
constexpr std::int64_t max_part_of_time_left = 3;
constexpr double us_per_ms = 1000;
constexpr double ms_per_s = 1000;
// Time constant of the rate of arrivals, shorter than a load wave.
constexpr double arrivals_averaged_s = 1;
// Least rate at which late requests get slots; bounds their estimate.
constexpr double min_late_per_s = 0.05;
} // namespace

double slot_forecast::arrivals_per_s(instant now) const {
    const double elapsed_s = std::chrono::duration<double>(now - arrived_at_).count();
    return arrivals_per_s_ * std::exp(-elapsed_s / arrivals_averaged_s);
}

void slot_forecast::record_arrival(instant now) {
    arrivals_per_s_ = arrivals_per_s(now) + 1 / arrivals_averaged_s;
    arrived_at_ = now;
}

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

// By Little's law the fleet releases busy slots divided by the mean run.
double slot_forecast::releases_per_s(const fleet_slots& fleet) const {
    const double run_s = std::chrono::duration<double>(mean_run_).count();
    return fleet.busy / run_s / fleet.gateways;
}

static milliseconds to_wait(double requests, double per_s) {
    return milliseconds(static_cast<std::int64_t>(ms_per_s * requests / per_s));
}

// Queues of other gateways are taken to be as long as this one's; where they aren't, the mean error
// corrects for it.
std::optional<slot_estimate> slot_forecast::estimate(const fleet_slots& fleet,
                                                     std::size_t ahead) const {
    if (mean_run_ == microseconds(0) || fleet.busy == 0)
        return std::nullopt;
    const double requests = static_cast<double>(ahead + 1) * std::exp(mean_error_);
    const double margin = std::exp(-margin_deviations * std::sqrt(error_variance_));
    const double per_s = releases_per_s(fleet);
    return slot_estimate{to_wait(requests, per_s), to_wait(requests * margin, per_s)};
}

// The learned error is that of requests that got their slots on time, and doesn't apply here. The
// error of the rate of arrivals is that of a count within its time constant.
std::optional<slot_estimate> slot_forecast::estimate_late(const fleet_slots& fleet,
                                                          std::size_t ahead, instant now) const {
    if (mean_run_ == microseconds(0) || fleet.busy == 0)
        return std::nullopt;
    const double requests = static_cast<double>(ahead + 1);
    const double arrivals = arrivals_per_s(now);
    const double fewest = std::max(0.0, arrivals - std::sqrt(arrivals / arrivals_averaged_s));
    const double releases = releases_per_s(fleet);
    return slot_estimate{to_wait(requests, std::max(releases - arrivals, min_late_per_s)),
                         to_wait(requests, std::max(releases - fewest, min_late_per_s))};
}

std::optional<slot_estimate> slot_forecast::estimate_for(const queued_request& request,
                                                         const fleet_slots& fleet,
                                                         std::size_t ahead, instant now) const {
    return now > request.target_deadline ? estimate_late(fleet, ahead, now)
                                         : estimate(fleet, ahead);
}

std::vector<queued_request>
slot_forecast::missing_deadline(const std::vector<queued_request>& in_order,
                                const fleet_slots& fleet, instant now) const {
    std::vector<queued_request> rejected;
    if (fleet.has_room())
        return rejected;
    std::size_t ahead = 0;
    for (const queued_request& one : in_order) {
        const std::optional<slot_estimate> slot = estimate_for(one, fleet, ahead, now);
        const bool fits = !slot || now + slot->earliest <= one.expires_at ||
                          now + slot->expected <= one.target_deadline;
        if (one.has_run || fits)
            ++ahead;
        else
            rejected.push_back(one);
    }
    std::sort(
        rejected.begin(), rejected.end(), [](const queued_request& a, const queued_request& b) {
            return std::tie(a.priority, a.arrived, a.id) < std::tie(b.priority, b.arrived, b.id);
        });
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
