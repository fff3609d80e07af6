#include "cassia/policy/send_forecast.h"

#include <algorithm>
#include <chrono>

namespace cassia::policy {

namespace {
constexpr milliseconds count_interval(200);
constexpr double average_weight = 0.2;
// A report shows the effect of the placements before it only, so gateways answer each imbalance
// for about two reports. Half the answer keeps them from swinging between endpoints.
constexpr double damping = 2;
// Parts of an endpoint's slots that become free before the next report: after more than all of
// them, requests would only queue.
constexpr double max_turnover = 1;
} // namespace

void send_forecast::advance(instant now) {
    if (now - counted_from_ < count_interval)
        return;
    const double seconds = std::chrono::duration<double>(now - counted_from_).count();
    sends_per_second_ += average_weight * (sends_ / seconds - sends_per_second_);
    counted_from_ = now;
    sends_ = 0;
}

double send_forecast::unreported_sends(const peer_group& group) const {
    return damping * sends_per_second_ * group.gateways *
           std::chrono::duration<double>(group.usage_age).count();
}

void slot_weights::add(std::int64_t free, std::uint32_t slots) {
    const double known = static_cast<double>(std::max<std::int64_t>(free, 0));
    free_ += known;
    squares_ += known * known;
    slots_ += slots;
}

double slot_weights::weight(std::int64_t free, std::uint32_t slots) const {
    if (free_ <= 0)
        return 0;
    const double known = static_cast<double>(std::max<std::int64_t>(free, 0));
    const double taken = std::min(1.0, unreported_sends_ / free_);
    const double turnover =
        std::clamp((unreported_sends_ - free_) / slots_, 0.0, max_turnover) * slots;
    const double expected = std::max(0.0, static_cast<double>(free) + turnover);
    return (1 - taken) * known * known / squares_ + taken * expected / free_;
}

} // namespace cassia::policy
