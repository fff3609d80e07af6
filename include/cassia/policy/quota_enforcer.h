/// A gateway's side of fleet-wide quotas: decides on each request, locally where the owner of the
/// team's quota permits it, else by asking the owner. Pure.
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

/// Origin of a request's token, for a refund.
struct quota_grant {
    team_id team; ///< empty: no token was needed
    entry_id owner;
    std::uint64_t epoch = 0;
};

enum class quota_verdict : std::uint8_t {
    admitted,
    rejected, ///< above the quota
    pending,  ///< the owner was asked; the decision follows under the ask's number
};

struct quota_decision {
    quota_verdict verdict = quota_verdict::admitted;
    milliseconds retry_after{0}; ///< if rejected
    quota_grant grant;           ///< if admitted
    std::uint64_t ask = 0;
};

/// Messages to send, and decisions on pending requests.
struct quota_output {
    std::vector<std::pair<entry_id, quota_report>> reports;
    std::vector<std::pair<entry_id, quota_reply>> replies;
    std::vector<quota_decision> decisions;
};

class quota_enforcer {
public:
    /// \param incarnation of this gateway; increases with each process.
    /// \param tolerance the higher, the fewer requests wait for an owner's answer.
    quota_enforcer(entry_id self, std::uint64_t incarnation, quota_tolerance tolerance);

    /// Replaces the list of other live gateways.
    void set_gateways(const std::vector<fleet_gateway>& others, instant now);
    void set_quotas(quota_map quotas, instant now);
    /// Gives up ownership of all quotas before shutdown.
    void leave(instant now);

    quota_decision admit(const team_id& team, instant now);
    /// Returns the token of a request that has not run and never will.
    void refund(const quota_grant& grant, instant now);
    /// The caller of a pending request has disconnected; its decision is dropped.
    void cancel_ask(std::uint64_t ask);

    void receive(const entry_id& from, const quota_report& report, instant now);
    void receive(const entry_id& from, const quota_reply& reply, instant now);
    /// Advances time. \returns what is due now.
    quota_output poll(instant now);

    /// Gateways that own quotas.
    const std::vector<entry_id>& owners() const { return owners_; }
    /// Whether an owner is avoided since it did not answer.
    bool is_avoided(const entry_id& owner) const;
    /// Whether this gateway owns the team's quota, by its own view.
    bool owns(const team_id& team) const { return owner_of(shard_of(team)) == self_; }

private:
    struct reported_totals {
        quota_totals totals;
        std::uint64_t sequence = 0; ///< of the first report with these totals; 0 if not sent yet
        bool acknowledged = true;   ///< the owner has received all admitted requests
    };
    struct sent_report {
        std::uint64_t sequence = 0;
        instant at{};
    };
    struct owner_state {
        std::uint64_t epoch = 0;
        std::uint64_t sequence = 0;
        std::deque<sent_report> unacknowledged;
        instant reported_at{};
        instant acknowledged_at{};
        instant failed_at{};  ///< unset while the owner answers
        shard_set shards = 0; ///< shards that this gateway asks it about
        shard_set reported_shards = 0;
        std::set<team_id> open;
        std::map<team_id, reported_totals> totals;
        std::vector<quota_ask> asks; ///< not sent yet
    };
    struct pending_ask {
        team_id team;
        entry_id owner; ///< empty if no owner is known
        instant asked_at{};
        std::uint32_t tries = 0;
        bool cancelled = false;
    };
    struct denial {
        instant until{};
        instant retry_at{};
    };

    void rank_owners();
    const entry_id& owner_of(std::uint32_t shard) const;
    void update_shards(instant now);
    bool may_admit_locally(const owner_state& owner, const team_id& team, instant now) const;
    std::optional<quota_decision> reject_from_denial(const team_id& team, instant now);
    quota_decision decide(const team_id& team, const entry_id& owner, std::uint64_t epoch,
                          const quota_answer& answer, instant now);
    /// \returns false if this gateway decided it locally.
    bool send_ask(std::uint64_t id, pending_ask& one, instant now);
    /// Sends the pending asks of this owner to another one; empty: those without an owner.
    void redirect_asks(const entry_id& owner, instant now);
    void finish_ask(std::uint64_t id, const pending_ask& one, quota_decision decision, instant now);
    void mark_failed(const entry_id& owner, instant now);
    void fail_silent_owners(instant now);
    void retry_timed_out_asks(instant now);
    quota_report build_report(owner_state& state, instant now) const;
    static bool is_silent(const owner_state& owner, instant now);
    static bool is_report_due(const owner_state& state, instant now);

    entry_id self_;
    std::uint64_t incarnation_;
    quota_ledger ledger_;
    quota_map quotas_;
    std::vector<fleet_gateway> others_;
    bool has_gateway_list_ = false;
    bool leaving_ = false;
    std::vector<entry_id> owners_;
    std::vector<std::vector<entry_id>> ranked_; ///< owners in order of preference, by shard
    std::map<entry_id, owner_state> states_;    ///< by owner, without this gateway
    std::map<std::uint64_t, pending_ask> asks_;
    std::uint64_t last_ask_ = 0;
    std::map<team_id, denial> denials_;
    std::vector<quota_decision> decisions_;
    std::vector<std::pair<entry_id, quota_reply>> replies_;
    instant polled_at_{};
};

} // namespace cassia::policy
