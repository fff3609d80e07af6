#include "cassia/policy/endpoint_memory.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <functional>
#include <string>

namespace cassia::policy {

namespace {
constexpr milliseconds count_interval(200);
constexpr double average_weight = 0.04;
// Until a gateway has sent some requests, a run is taken to last this long.
constexpr double prior_run_s = 1;
constexpr double prior_sends_per_s = 0.2;
constexpr double min_run_s = 0.02;
// A gateway that sends few requests sees a large one rarely; with this factor per interval the
// largest of the last ten seconds counts at more than half.
constexpr double largest_decay = 0.99;
// Probability that more was sent to an endpoint than the margin covers, and its logarithm.
constexpr double excess_probability = 1e-4;
constexpr double excess_exponent = 9.2;
// What others send changes within the age of their reports, and the run time is an estimate.
constexpr double concentration = 1.5;
// Of the room at an endpoint, what others may be expected to take.
constexpr double usable_part = 0.4;
// A margin excludes endpoints, and the others get their requests too. In virtual time 18 to 300
// gateways crashed most endpoints with margins above this part of the memory, as all of them chose
// the few that had room.
constexpr std::uint64_t max_margin_divisor = 2;
constexpr std::uint32_t max_unknown_sends = 1000;
// Reports are applied by a timer of their own, and cross the network.
constexpr milliseconds report_slack(20);
constexpr milliseconds reservation_timeout(500);
// Longer than usual runs, so that what runs at an endpoint can end before a reservation moves.
constexpr milliseconds min_hold_time(1000);
constexpr milliseconds hold_time_spread(2000);
} // namespace

std::uint64_t endpoint_memory::limit(const service_id& service) const {
    auto found = limits_.find(service);
    return found == limits_.end() ? 0 : found->second;
}

bool endpoint_memory::is_large(std::uint64_t limit, std::uint32_t slots, std::uint64_t tokens) {
    return limit > 0 && tokens > limit / std::max(slots, 1U);
}

void endpoint_memory::record_send(const service_id& service, std::uint64_t tokens) {
    send_record& record = sends_[service];
    const double size = static_cast<double>(tokens);
    ++record.sends;
    record.tokens += size;
    record.squares += size * size;
    record.largest = std::max(record.largest, size);
}

void endpoint_memory::advance(const std::map<service_id, in_flight_count>& in_flight, instant now) {
    std::erase_if(reservations_, [now](const auto& one) {
        return now - one.second.wanted_at > reservation_timeout;
    });
    for (const std::pair<const service_id, in_flight_count>& one : in_flight)
        sends_[one.first].others_now = one.second.others;
    if (now - counted_from_ < count_interval)
        return;
    const double seconds = std::chrono::duration<double>(now - counted_from_).count();
    counted_from_ = now;
    const auto average = [](double& value, double sample) {
        value += average_weight * (sample - value);
    };
    for (std::pair<const service_id, send_record>& one : sends_) {
        send_record& record = one.second;
        average(record.sends_per_s, std::exchange(record.sends, 0) / seconds);
        average(record.tokens_per_s, std::exchange(record.tokens, 0) / seconds);
        average(record.squares_per_s, std::exchange(record.squares, 0) / seconds);
        auto counted = in_flight.find(one.first);
        average(record.in_flight, counted == in_flight.end() ? 0 : counted->second.own);
        record.largest *= largest_decay;
    }
}

// The smallest number that a Poisson variable exceeds with at most `excess_probability`.
static std::uint32_t poisson_bound(double mean) {
    double term = std::exp(-mean);
    double above = 1 - term;
    std::uint32_t count = 0;
    while (above > excess_probability && count < max_unknown_sends) {
        term *= mean / ++count;
        above -= term;
    }
    return count;
}

// The rate at which others send follows from what they have in flight, by Little's law: a single
// gateway may send too few requests for an estimate of its own, but their durations are alike.
double endpoint_memory::unknown_sends(const send_record& record, milliseconds age,
                                      double share) const {
    const double run_s = (record.in_flight + prior_sends_per_s * prior_run_s) /
                         (record.sends_per_s + prior_sends_per_s);
    return share * record.others_now / std::max(run_s, min_run_s) *
           std::chrono::duration<double>(age).count();
}

// The lower of two bounds of a sum of a Poisson number of requests: that number times the largest
// request, and Bernstein's inequality, which is lower for many requests of unlike sizes.
double endpoint_memory::margin(const send_record& record, double unknown) {
    if (record.sends_per_s <= 0)
        return 0;
    const double mean = record.tokens_per_s / record.sends_per_s;
    const double square = record.squares_per_s / record.sends_per_s;
    const double by_count = poisson_bound(unknown) * record.largest;
    const double by_variance = unknown * mean + std::sqrt(2 * excess_exponent * unknown * square) +
                               excess_exponent * record.largest / 3;
    return std::min(by_count, by_variance);
}

// 0 to 1, another for each gateway, endpoint and period.
static double draw_for(std::uint64_t seed, const endpoint_id& endpoint, std::int64_t period) {
    std::uint64_t mixed = seed ^ std::hash<std::string>()(endpoint.str());
    for (const std::uint64_t value : {static_cast<std::uint64_t>(period), std::uint64_t{0}}) {
        mixed = (mixed ^ value) * 0x9e3779b97f4a7c15U;
        mixed ^= mixed >> 32U;
    }
    return static_cast<double>(mixed >> 11U) / static_cast<double>(std::uint64_t{1} << 53U);
}

// An endpoint that looks empty attracts requests of all gateways before any of them is reported.
// Where these would fill it, only a part of the gateways may send there, others in each period of
// the reports' age.
bool endpoint_memory::admits_small(const service_id& service, const endpoint_id& endpoint,
                                   std::uint64_t tokens, const memory_state& state,
                                   const peer_group& group, instant now) const {
    if (state.used + tokens > state.limit)
        return false;
    auto found = sends_.find(service);
    const bool is_alone = group.gateways == 0 || group.usage_age <= milliseconds(0);
    if (is_alone || found == sends_.end() || found->second.sends_per_s <= 0)
        return true;
    const send_record& record = found->second;
    double unknown = concentration * unknown_sends(record, group.usage_age, state.share);
    const double expected = unknown * record.tokens_per_s / record.sends_per_s;
    const double room = static_cast<double>(state.limit - state.used - tokens);
    const double part = expected <= 0 ? 1 : room * usable_part / expected;
    if (part < 1) {
        const std::int64_t period = now.time_since_epoch() / group.usage_age;
        if (draw_for(seed_, endpoint, period) >= part)
            return false;
        unknown *= part;
    }
    return std::min(margin(record, unknown),
                    static_cast<double>(state.limit) / max_margin_divisor) <= room;
}

// A large request is known to all gateways once its reservation is older than their reports. What
// they sent before they knew is covered by the margin, and is in their reports after the same time
// again.
bool endpoint_memory::admits_large(const memory_reservation& own, std::uint64_t tokens,
                                   const memory_state& state, const service_id& service,
                                   const peer_group& group, instant now) const {
    const bool alone = group.gateways == 0;
    const milliseconds age = alone ? milliseconds(0) : group.usage_age;
    const milliseconds slack = alone ? milliseconds(0) : report_slack;
    const std::uint64_t used = state.used - std::min(state.used, own.tokens) + tokens;
    if (now - own.since < age + slack || used > state.limit)
        return false;
    auto found = sends_.find(service);
    if (now - own.since >= 2 * age + slack || found == sends_.end())
        return true;
    const double unknown = concentration * unknown_sends(found->second, age, state.share);
    return margin(found->second, unknown) <= static_cast<double>(state.limit - used);
}

bool endpoint_memory::admits(const service_id& service, const endpoint_id& endpoint,
                             const memory_need& need, const memory_state& state,
                             const peer_group& group, instant now) const {
    if (state.limit == 0 || need.tokens == 0)
        return true;
    if (!need.reserved_as || !is_large(state.limit, state.slots, need.tokens))
        return admits_small(service, endpoint, need.tokens, state, group, now);
    const memory_reservation* own = find(service, *need.reserved_as);
    return own != nullptr && own->endpoint == endpoint && own->tokens >= need.tokens &&
           admits_large(*own, need.tokens, state, service, group, now);
}

const memory_reservation* endpoint_memory::find(const service_id& service, work_kind kind) const {
    auto found = reservations_.find({service, kind});
    return found == reservations_.end() ? nullptr : &found->second;
}

bool endpoint_memory::renew(const service_id& service, work_kind kind, std::uint64_t tokens,
                            instant now) {
    auto found = reservations_.find({service, kind});
    if (found == reservations_.end())
        return false;
    found->second.wanted_at = now;
    return tokens <= found->second.tokens;
}

void endpoint_memory::reserve(const service_id& service, work_kind kind,
                              const endpoint_id& endpoint, std::uint64_t tokens,
                              const peer_group& group, instant now, double random_fraction) {
    const auto part = [random_fraction](milliseconds time) {
        return std::chrono::duration_cast<milliseconds>(random_fraction * time);
    };
    const milliseconds age = group.usage_age + report_slack;
    reservations_[{service, kind}] = {endpoint,
                                      tokens,
                                      now,
                                      now + 2 * age + part(2 * age),
                                      now + min_hold_time + part(hold_time_spread),
                                      now};
}

void endpoint_memory::take(const service_id& service, work_kind kind, const endpoint_id& endpoint) {
    auto found = reservations_.find({service, kind});
    if (found != reservations_.end() && found->second.endpoint == endpoint)
        reservations_.erase(found);
}

std::uint64_t endpoint_memory::reserved_at(const endpoint_id& endpoint) const {
    std::uint64_t tokens = 0;
    for (const auto& one : reservations_)
        tokens += one.second.endpoint == endpoint ? one.second.tokens : 0;
    return tokens;
}

} // namespace cassia::policy
