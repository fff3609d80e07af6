/// Messages between a gateway and the owner of a team's quota; see quota_enforcer, quota_ledger.
#pragma once

#include "cassia/base/clock.h"
#include "cassia/base/ids.h"

#include <cstdint>
#include <vector>

namespace cassia::policy {

/// Teams are hashed to shards; each shard has one owner.
constexpr std::uint32_t quota_shards = 64;
using shard_set = std::uint64_t; ///< bitmask of shards

std::uint32_t shard_of(const team_id& team);

/// Requests that a gateway admitted locally, as the owner permitted; cumulative within the owner's
/// epoch.
struct quota_totals {
    team_id team;
    std::uint64_t admitted = 0;
    std::uint64_t returned = 0; ///< admitted requests that did not run
};

struct quota_ask {
    std::uint64_t id = 0; ///< chosen by the asking gateway
    team_id team;
};

/// From a gateway to an owner.
struct quota_report {
    std::uint64_t incarnation = 0; ///< of the gateway
    std::uint64_t sequence = 0;
    std::uint64_t epoch = 0; ///< last epoch of the owner that the gateway has seen; 0 for none
    shard_set shards = 0;    ///< shards that the gateway asks this owner about
    std::vector<quota_totals> totals;
    std::vector<quota_ask> asks;
};

struct quota_answer {
    std::uint64_t ask = 0;
    bool granted = false;
    bool open = false;          ///< the gateway may admit requests of the team locally
    milliseconds next_token{0}; ///< if not granted: no token before this time has passed
    milliseconds retry_after{0};
};

/// From an owner to a gateway.
struct quota_reply {
    std::uint64_t epoch = 0;    ///< changes when the owner has lost its state
    std::uint64_t sequence = 0; ///< newest report received from the gateway
    std::vector<quota_answer> answers;
    std::vector<team_id> closed; ///< teams for whose requests the gateway must ask from now on
    std::vector<team_id> open;   ///< teams whose requests the gateway may admit locally
};

} // namespace cassia::policy
