/// The owner's side of fleet-wide quotas: one token bucket per team, filled in proportion to the
/// share of gateways that ask this owner, so that a team's load may be spread over many gateways.
/// Pure.
#pragma once

#include "cassia/base/clock.h"
#include "cassia/base/ids.h"
#include "cassia/policy/quota_messages.h"
#include "cassia/policy/token_bucket.h"
#include "cassia/teams/team_table.h"

#include <array>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace cassia::policy {

using quota_map = std::map<team_id, teams::quota>;

/// Requests that a team may be granted above its quota in any window. Covers what an owner can't
/// know: unreported requests in flight, and requests admitted before the owner started.
struct quota_tolerance {
    double requests = 0;
    double fraction = 0; ///< of the requests that the quota allows in a window, 0 to 1
    double window_s = 0; ///< length of a window, seconds

    double max_excess(const teams::quota& quota) const {
        return requests + fraction * (quota.rate.per_second * window_s + quota.burst.value);
    }
};

class quota_ledger {
public:
    /// \param epoch must differ from that of every earlier process of this gateway.
    quota_ledger(entry_id self, std::uint64_t epoch, quota_tolerance tolerance);

    /// Replaces the quotas; buckets keep their level.
    void set_quotas(quota_map quotas, instant now);
    /// Number of live gateways, including this one.
    void set_fleet_size(std::size_t gateways) { fleet_size_ = gateways; }
    /// Sets the shards that this gateway owns by its own view.
    void set_own_shards(shard_set shards, instant now);

    quota_reply receive(const entry_id& from, const quota_report& report, instant now);
    /// Decides on one request, of this gateway or of another.
    quota_answer ask(const team_id& team, instant now);
    void refund(const team_id& team, instant now);
    /// Advances time. \returns replies that must be sent without waiting for a report.
    std::vector<std::pair<entry_id, quota_reply>> tick(instant now);

    std::uint64_t epoch() const { return epoch_; }

private:
    struct reporter {
        std::uint64_t incarnation = 0;
        std::uint64_t sequence = 0;
        shard_set shards = 0;
        instant last_seen{};
        std::map<team_id, quota_totals> totals;
        std::set<team_id> announced_open;
    };
    struct shard_share {
        double fraction = 0;
        double earned_s = 0; ///< seconds of the full rate accrued since this owner grants it
        double credited_fraction = 0; ///< fraction of the start tolerance already granted
    };
    struct account {
        token_bucket bucket;
        double credited_fraction = 0; ///< as in its shard_share
        bool open = false;
        instant next_retry_at{}; ///< retry time of the last rejected caller
    };

    account* find_account(const team_id& team, instant now);
    void apply_totals(reporter& from, const quota_totals& reported, instant now);
    void announce_open(reporter& to, quota_reply& reply) const;
    void update_shares(instant now);
    void update_accounts(instant now);
    void apply_limit(const team_id& team, account& one, instant now);
    void update_open(const team_id& team, account& one, instant now);
    void reset(instant now);

    entry_id self_;
    std::uint64_t epoch_;
    quota_tolerance tolerance_;
    quota_map quotas_;
    std::size_t fleet_size_ = 1;
    std::map<entry_id, reporter> reporters_;
    shard_set own_shards_ = 0;
    std::array<shard_share, quota_shards> shares_;
    std::array<std::size_t, quota_shards>
        asking_gateways_{};             ///< gateways that ask about each shard
    std::size_t shares_fleet_size_ = 0; ///< fleet size that the shares are computed from
    std::map<team_id, account> accounts_;
    std::vector<team_id> newly_closed_;
    instant ticked_at_{};
};

} // namespace cassia::policy
