#include "cassia/policy/admission.h"

#include <algorithm>
#include <cmath>

namespace cassia::policy {

namespace {
constexpr double us_per_second = 1e6;
constexpr double ms_per_second = 1e3;
constexpr double rate_time_constant_s = 2;
constexpr double min_rate_fraction = 0.05;
} // namespace

static double seconds_between(instant from, instant to) {
    return static_cast<double>((to - from).count()) / us_per_second;
}

void rate_limiter::configure(double rate, double burst) {
    const bool is_first = rate_ == 0 && burst_ == 0;
    rate_ = rate;
    burst_ = std::max(1.0, burst);
    tokens_ = is_first ? burst_ : std::min(tokens_, burst_);
}

milliseconds rate_limiter::admit(instant now) {
    // The other entries' rates are outdated by some time, so this entry always keeps a small part.
    const double refill = std::max(rate_ - remote_rate_, rate_ * min_rate_fraction);
    if (filled_at_ != instant())
        tokens_ = std::min(burst_, tokens_ + refill * seconds_between(filled_at_, now));
    filled_at_ = now;
    if (tokens_ < 1) {
        const double wait_s = refill > 0 ? (1 - tokens_) / refill : rate_time_constant_s;
        return milliseconds(1 + static_cast<std::int64_t>(wait_s * ms_per_second));
    }
    tokens_ -= 1;
    admitted_ =
        admitted_ * std::exp(-seconds_between(admitted_at_, now) / rate_time_constant_s) + 1;
    admitted_at_ = now;
    return milliseconds(0);
}

double rate_limiter::own_rate(instant now) const {
    return admitted_ * std::exp(-seconds_between(admitted_at_, now) / rate_time_constant_s) /
           rate_time_constant_s;
}

bool fair_queue::add(const queued_call& request) {
    double weights = request.weight;
    for (const std::pair<const team_id, team_queue>& one : queues_) {
        if (one.first != request.team)
            weights += one.second.weight;
    }
    auto found = queues_.find(request.team);
    const std::size_t own = found == queues_.end() ? 0 : found->second.requests.size();
    const double fair = static_cast<double>(capacity_) * request.weight / weights;
    // One team may fill an otherwise empty queue, but not keep others out: these get their share
    // above the capacity, up to twice its size.
    if (static_cast<double>(own) >= std::max(1.0, fair) || size_ >= 2 * capacity_)
        return false;
    team_queue& queue = queues_[request.team];
    queue.weight = request.weight;
    if (queue.requests.empty())
        queue.virtual_time = std::max(queue.virtual_time, virtual_now_);
    queue.requests.push_back(request);
    ++size_;
    return true;
}

void fair_queue::remove(exchange_id exchange) {
    for (auto one = queues_.begin(); one != queues_.end(); ++one) {
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
            queues_.erase(one);
        return;
    }
}

std::vector<exchange_id> fair_queue::expired(instant now) {
    std::vector<exchange_id> expired_ids;
    for (const std::pair<const team_id, team_queue>& one : queues_) {
        for (const queued_call& request : one.second.requests) {
            if (request.deadline <= now)
                expired_ids.push_back(request.exchange);
        }
    }
    for (const exchange_id exchange : expired_ids)
        remove(exchange);
    return expired_ids;
}

void fair_queue::offer(const std::function<bool(exchange_id)>& try_dispatch) {
    // Position in each team's queue, so that a request that can't be dispatched is offered once.
    std::map<team_id, std::size_t> positions;
    while (true) {
        auto next = queues_.end();
        for (auto one = queues_.begin(); one != queues_.end(); ++one) {
            const bool exhausted = positions[one->first] >= one->second.requests.size();
            const bool earlier =
                next == queues_.end() || one->second.virtual_time < next->second.virtual_time;
            if (!exhausted && earlier)
                next = one;
        }
        if (next == queues_.end())
            return;
        std::size_t& position = positions[next->first];
        const exchange_id exchange = next->second.requests[position].exchange;
        if (!try_dispatch(exchange)) {
            ++position;
            continue;
        }
        virtual_now_ = next->second.virtual_time;
        next->second.virtual_time += 1 / next->second.weight;
        next->second.requests.erase(next->second.requests.begin() +
                                    static_cast<std::ptrdiff_t>(position));
        --size_;
        if (next->second.requests.empty())
            queues_.erase(next);
    }
}

void retry_budget::record_request() {
    budget_ = std::min(reserve_, budget_ + ratio_);
}

bool retry_budget::take() {
    if (budget_ < 1)
        return false;
    budget_ -= 1;
    return true;
}

} // namespace cassia::policy
