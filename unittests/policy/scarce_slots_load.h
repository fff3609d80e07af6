/// Load of gateways whose callers compete for scarce slots, and what the callers get.
#pragma once

#include "cassia/policy/request_queue.h"
#include "cassia/policy/slot_forecast.h"
#include "cassia/policy/slot_table.h"
#include "cassia/policy/usage_exchange.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace cassia::scarce_test {

using namespace cassia::policy;

inline constexpr milliseconds step(10);
inline constexpr milliseconds target(300);
inline constexpr milliseconds first_event(60);
inline constexpr milliseconds send_limit(1940);
inline constexpr milliseconds caller_deadline(5000);
inline constexpr std::uint32_t endpoints = 44;
inline constexpr std::uint32_t slots_each = 8;
inline constexpr std::size_t team_count = 86;
inline constexpr std::size_t hot_team = 3;

enum class fault : std::uint8_t { none, frozen_relay, lost_relay };

struct scenario {
    std::size_t gateways = 70;
    double streams_per_s = 174;
    bool by_share = true;
    bool refuse_ahead = true;
    double hot_factor = 1; ///< of the hot team's rate, from 6 s to 16 s
    double batch_per_s = 1.9;
    std::size_t returning = 0; ///< callers that return at 8 s, when endpoints come back
    fault relay_fault = fault::none;
    bool hot_at_one = false; ///< the hot team uses a tenth of the gateways only
    std::uint64_t seed = 1;
    double seconds = 18;
};

struct team_result {
    double callers = 0;
    double on_time = 0;
    double served = 0;
    double wait_s = 0; ///< from the first arrival until a slot, or the deadline

    void add(const team_result& other) {
        callers += other.callers;
        on_time += other.on_time;
        served += other.served;
        wait_s += other.wait_s;
    }
};

struct outcome {
    std::vector<team_result> teams = std::vector<team_result>(team_count);
    std::size_t requests = 0;      ///< attempts of callers
    std::size_t rejected = 0;      ///< ahead
    std::size_t needless = 0;      ///< of these, a slot came within the target
    std::size_t futile = 0;        ///< waited until they could no longer be sent
    std::size_t rejected_late = 0; ///< ahead, after waiting for longer than the target
    std::size_t refused_by_endpoint = 0;
    std::size_t yields = 0;
    double team_bytes = 0; ///< of the use of teams, for each gateway and second
    double most_team_bytes = 0;

    void add(const outcome& other) {
        for (std::size_t i = 0; i < team_count; ++i)
            teams[i].add(other.teams[i]);
        requests += other.requests;
        rejected += other.rejected;
        needless += other.needless;
        futile += other.futile;
        rejected_late += other.rejected_late;
        refused_by_endpoint += other.refused_by_endpoint;
        yields += other.yields;
        team_bytes = std::max(team_bytes, other.team_bytes);
        most_team_bytes = std::max(most_team_bytes, other.most_team_bytes);
    }
    team_result all(bool with_hot) const {
        team_result sum;
        for (std::size_t i = 0; i < team_count; ++i) {
            if (i == hot_team && !with_hot)
                continue;
            sum.add(teams[i]);
        }
        return sum;
    }
    double per_1000(std::size_t count) const {
        return 1000.0 * static_cast<double>(count) / static_cast<double>(requests);
    }
};

inline team_id team_name(std::size_t i) {
    return team_id("team-" + std::to_string(i));
}

inline double team_weight(std::size_t i) {
    return 1 / std::pow(static_cast<double>(i) + 1, 0.7);
}

inline double wave(double at_s) {
    return std::fmod(at_s, 5.2) < 3.0 ? 0.38 : 1.85;
}

struct request {
    std::size_t team = 0;
    instant first_arrived{};
    queued_request queued;
    milliseconds forecast{0};
};
struct gateway {
    gateway(const entry_id& name, const zone_id& zone) : slots(zone), exchange(name, zone) {}
    slot_table slots;
    usage_exchange exchange;
    team_shares shares;
    request_queue queue;
    slot_forecast forecasts[2]; ///< of teams within their share, and over it
    std::map<exchange_id, request> waiting;
    std::vector<queued_request> rejected; ///< whose target is still ahead
    double team_bytes = 0;
};
struct running {
    std::size_t gateway;
    endpoint_id endpoint;
    team_id team;
    instant began;
    work_kind kind;
};
struct message {
    std::size_t from;
    usage_message content;
};
struct arrival {
    std::size_t team;
    instant first_arrived;
};

inline entry_id gateway_name(std::size_t i) {
    return entry_id("g" + std::to_string(i));
}
inline endpoint_id endpoint_name(std::size_t i) {
    return endpoint_id("e" + std::to_string(i));
}
inline zone_id zone_of(std::size_t i) {
    return zone_id("z" + std::to_string(i % 4));
}
inline std::size_t index_of(const entry_id& name) {
    return std::stoul(name.str().substr(1));
}
inline double total_weight() {
    double sum = 0;
    for (std::size_t i = 0; i < team_count; ++i)
        sum += team_weight(i);
    return sum;
}

} // namespace cassia::scarce_test
