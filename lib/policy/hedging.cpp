#include "cassia/policy/hedging.h"

#include <algorithm>

namespace cassia::policy {

namespace {
// Half of them are replaced after 32 calls, so a change of pace is followed within some seconds at
// the five calls a second that a gateway of a small fleet gets.
constexpr std::size_t max_times = 64;
// With fewer, the tail is the longest time or nearly so.
constexpr std::size_t min_times = 20;
constexpr std::size_t tail_percent = 95;
constexpr std::uint64_t cost = 100; ///< of a second attempt
// Slow spans end after 600 ms; the budget saved up before one serves the calls of that span.
constexpr std::uint64_t max_budget = 10 * cost;
// With less, only calls that would otherwise miss their target are hedged: calls beyond the tail
// that meet it anyway would use up the budget of those that don't.
constexpr std::uint64_t ample_budget = 9 * cost;
} // namespace

// Calls that have run for less than this aren't late, however little a service's times differ.
static microseconds min_delay(microseconds median) {
    return median * 3 / 2;
}

void hedging::record_call(const service_id& service) {
    std::uint64_t& budget = services_[service].budget;
    budget = std::min(max_budget, budget + percent_);
}

void hedging::record_hedge(const service_id& service) {
    std::uint64_t& budget = services_[service].budget;
    budget -= std::min(budget, cost);
}

void hedging::record_response(const service_id& service, microseconds time) {
    service_state& state = services_[service];
    state.is_current = false;
    if (state.times.size() < max_times) {
        state.times.push_back(time);
        return;
    }
    state.times[state.oldest] = time;
    state.oldest = (state.oldest + 1) % max_times;
}

void hedging::update(service_state& state) {
    std::vector<microseconds> times = state.times;
    const auto middle = times.begin() + static_cast<std::ptrdiff_t>(times.size() / 2);
    const auto tail =
        times.begin() + static_cast<std::ptrdiff_t>(times.size() * tail_percent / 100);
    std::nth_element(times.begin(), middle, times.end());
    state.median = *middle;
    std::nth_element(middle, tail, times.end());
    state.tail = std::max(*tail, min_delay(state.median));
    state.is_current = true;
}

bool hedging::is_due(const pending_call& call) {
    auto found = services_.find(call.service);
    if (found == services_.end() || found->second.budget < cost ||
        found->second.times.size() < min_times)
        return false;
    service_state& state = found->second;
    if (!state.is_current)
        update(state);
    if (call.running < min_delay(state.median))
        return false;
    const microseconds left = call.target - call.queued - call.running;
    const bool saves_target = left <= state.median * 3 / 2 && left >= state.median / 2;
    return saves_target || (state.budget >= ample_budget && call.running >= state.tail);
}

} // namespace cassia::policy
