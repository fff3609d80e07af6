#include "cassia/policy/admission.h"

#include <algorithm>
#include <cmath>

namespace cassia::policy {

namespace {
constexpr double us_per_second = 1e6;
constexpr double ms_per_second = 1e3;
constexpr double rate_memory_s = 2;
constexpr double least_rate_part = 0.05;
} // namespace

static double seconds_between(instant from, instant to) {
    return static_cast<double>((to - from).count()) / us_per_second;
}

void rate_limiter::configure(double rate, double burst) {
    const bool first = rate_ == 0 && burst_ == 0;
    rate_ = rate;
    burst_ = std::max(1.0, burst);
    tokens_ = first ? burst_ : std::min(tokens_, burst_);
}

milliseconds rate_limiter::admit(instant now) {
    // A small part is always left to this entry: what the others say is some time old.
    const double refill = std::max(rate_ - others_rate_, rate_ * least_rate_part);
    if (filled_at_ != instant())
        tokens_ = std::min(burst_, tokens_ + refill * seconds_between(filled_at_, now));
    filled_at_ = now;
    if (tokens_ < 1) {
        const double wait_s = refill > 0 ? (1 - tokens_) / refill : rate_memory_s;
        return milliseconds(1 + static_cast<std::int64_t>(wait_s * ms_per_second));
    }
    tokens_ -= 1;
    passed_ = passed_ * std::exp(-seconds_between(passed_at_, now) / rate_memory_s) + 1;
    passed_at_ = now;
    return milliseconds(0);
}

double rate_limiter::own_rate(instant now) const {
    return passed_ * std::exp(-seconds_between(passed_at_, now) / rate_memory_s) / rate_memory_s;
}

bool fair_queue::add(const queued_call& request) {
    double weights = request.weight;
    for (const std::pair<const team_id, line>& one : lines_) {
        if (one.first != request.team)
            weights += one.second.weight;
    }
    auto found = lines_.find(request.team);
    const std::size_t own = found == lines_.end() ? 0 : found->second.requests.size();
    const double fair = static_cast<double>(capacity_) * request.weight / weights;
    // A greedy team may fill an otherwise empty room, but not keep the others out of it.
    if (static_cast<double>(own) >= std::max(1.0, fair) || size_ >= 2 * capacity_)
        return false;
    line& own_line = lines_[request.team];
    own_line.weight = request.weight;
    if (own_line.requests.empty())
        own_line.clock = std::max(own_line.clock, now_);
    own_line.requests.push_back(request);
    ++size_;
    return true;
}

void fair_queue::remove(exchange_id exchange) {
    for (auto one = lines_.begin(); one != lines_.end(); ++one) {
        std::deque<queued_call>& requests = one->second.requests;
        auto found =
            std::find_if(requests.begin(), requests.end(), [exchange](const queued_call& request) {
                return request.exchange == exchange;
            });
        if (found == requests.end())
            continue;
        requests.erase(found);
        --size_;
        if (requests.empty())
            lines_.erase(one);
        return;
    }
}

std::vector<exchange_id> fair_queue::expired(instant now) {
    std::vector<exchange_id> late;
    for (const std::pair<const team_id, line>& one : lines_) {
        for (const queued_call& request : one.second.requests) {
            if (request.deadline <= now)
                late.push_back(request.exchange);
        }
    }
    for (const exchange_id exchange : late)
        remove(exchange);
    return late;
}

void fair_queue::offer(const std::function<bool(exchange_id)>& take) {
    // Each team's place in its line, so that a request that can't go is passed by once.
    std::map<team_id, std::size_t> places;
    while (true) {
        auto next = lines_.end();
        for (auto one = lines_.begin(); one != lines_.end(); ++one) {
            const bool exhausted = places[one->first] >= one->second.requests.size();
            const bool earlier = next == lines_.end() || one->second.clock < next->second.clock;
            if (!exhausted && earlier)
                next = one;
        }
        if (next == lines_.end())
            return;
        std::size_t& place = places[next->first];
        const exchange_id exchange = next->second.requests[place].exchange;
        if (!take(exchange)) {
            ++place;
            continue;
        }
        now_ = next->second.clock;
        next->second.clock += 1 / next->second.weight;
        next->second.requests.erase(next->second.requests.begin() +
                                    static_cast<std::ptrdiff_t>(place));
        --size_;
        if (next->second.requests.empty())
            lines_.erase(next);
    }
}

void retry_budget::record_request() {
    left_ = std::min(reserve_, left_ + ratio_);
}

bool retry_budget::take() {
    if (left_ < 1)
        return false;
    left_ -= 1;
    return true;
}

} // namespace cassia::policy
