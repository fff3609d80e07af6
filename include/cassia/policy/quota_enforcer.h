/// A gateway's side of quotas over all gateways: decides on each request, at once where the owner
/// of the team's quota lets it, else by asking the owner. Pure.
#pragma once

#include "cassia/base/clock.h"
#include "cassia/base/ids.h"
#include "cassia/policy/quota_ledger.h"
#include "cassia/policy/quota_messages.h"
#include "cassia/policy/usage_exchange.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace cassia::policy {

/// Where a request's token came from, so that it can be given back.
struct quota_grant {
    team_id team; ///< empty: no token was needed
    entry_id owner;
    std::uint64_t epoch = 0;
};

enum class quota_verdict : std::uint8_t {
    admitted,
    rejected, ///< beyond the quota
    pending,  ///< comes later, with the number of the ask
};

struct quota_decision {
    quota_verdict verdict = quota_verdict::admitted;
    milliseconds retry_after{0}; ///< of one rejected
    quota_grant grant;           ///< of one admitted
    std::uint64_t ask = 0;
};

/// What is to be sent, and decisions on requests that were asked for.
struct quota_output {
    std::vector<std::pair<entry_id, quota_report>> reports;
    std::vector<std::pair<entry_id, quota_reply>> replies;
    std::vector<quota_decision> decisions;
};

class quota_enforcer {
public:
    /// \param incarnation of this gateway; grows from process to process.
    /// \param tolerance the more, the fewer requests wait for an owner's answer.
    quota_enforcer(entry_id self, std::uint64_t incarnation, quota_tolerance tolerance);

    /// Replaces the other gateways that live.
    void set_gateways(const std::vector<fleet_gateway>& others, instant now);
    void set_quotas(quota_map quotas, instant now);
    /// This gateway owns nothing any more.
    void leave(instant now);

    quota_decision admit(const team_id& team, instant now);
    /// The request has not run and never will.
    void refund(const quota_grant& grant, instant now);
    /// The caller of a request that was asked for has left.
    void cancel_ask(std::uint64_t ask);

    void receive(const entry_id& from, const quota_report& report, instant now);
    void receive(const entry_id& from, const quota_reply& reply, instant now);
    /// What is due now.
    quota_output poll(instant now);

    /// Gateways that own quotas, and whether one is avoided.
    const std::vector<entry_id>& owners() const { return owners_; }
    bool is_avoided(const entry_id& owner) const;
    /// Whether this gateway is the one to ask, by its own view.
    bool owns(const team_id& team) const { return owner_of(shard_of(team)) == self_; }

private:
    struct reported_totals {
        quota_totals totals;
        std::uint64_t sequence = 0; ///< of the report that carried them first; 0 for none yet
        bool answered = true;       ///< the owner knows of all requests admitted
    };
    struct sent_report {
        std::uint64_t sequence = 0;
        instant at{};
    };
    struct owner_state {
        std::uint64_t epoch = 0;
        std::uint64_t sequence = 0;
        std::deque<sent_report> unanswered;
        instant reported_at{};
        instant answered_at{};
        instant failed_at{};  ///< none while it is trusted
        shard_set shards = 0; ///< that this gateway asks it about
        shard_set reported_shards = 0;
        std::set<team_id> open;
        std::map<team_id, reported_totals> totals;
        std::vector<quota_ask> asks; ///< not yet sent
    };
    struct open_ask {
        team_id team;
        entry_id owner; ///< empty while no list of gateways is known
        instant asked_at{};
        std::uint32_t tries = 0;
        bool forgotten = false;
    };
    struct denial {
        instant until{};
        instant retry_at{};
    };

    void rank();
    const entry_id& owner_of(std::uint32_t shard) const;
    void update_shards(instant now);
    bool admits_by_itself(const owner_state& owner, const team_id& team, instant now) const;
    std::optional<quota_decision> reject_known(const team_id& team, instant now);
    quota_decision decide(const team_id& team, const entry_id& owner, std::uint64_t epoch,
                          const quota_answer& answer, instant now);
    /// \returns false if this gateway has decided by itself.
    bool send_ask(std::uint64_t id, open_ask& one, instant now);
    /// Asks another owner what was asked of this one; empty: what was asked of none.
    void redirect_asks(const entry_id& owner, instant now);
    void finish_ask(std::uint64_t id, const open_ask& one, quota_decision decision, instant now);
    void fail(const entry_id& owner, instant now);
    void check_owners(instant now);
    void check_asks(instant now);
    quota_report report_to(owner_state& state, instant now) const;
    static bool is_report_due(const owner_state& state, instant now);

    entry_id self_;
    std::uint64_t incarnation_;
    quota_ledger ledger_;
    quota_map quotas_;
    std::vector<fleet_gateway> others_;
    bool knows_fleet_ = false;
    bool leaving_ = false;
    std::vector<entry_id> owners_;
    std::vector<std::vector<entry_id>> ranked_; ///< owners by shard, first choice first
    std::map<entry_id, owner_state> states_;    ///< of the owners but this gateway itself
    std::map<std::uint64_t, open_ask> asks_;
    std::uint64_t last_ask_ = 0;
    std::map<team_id, denial> denials_;
    std::vector<quota_decision> decisions_;
    std::vector<std::pair<entry_id, quota_reply>> replies_;
    instant checked_at_{};
};

} // namespace cassia::policy
