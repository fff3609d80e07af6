/// What only the leader of a work group does: hand out leases, take them back from entries that
/// died or never got the reply, answer cancellations once they are in force, forget old jobs.
#pragma once

#include "cassia/base/clock.h"
#include "cassia/base/ids.h"
#include "cassia/policy/batch_schedule.h"
#include "cassia/state/work_state.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace cassia::schema {
class held_items;
class keeper_reply;
class lease_request;
class stale_items;
class work_command;
} // namespace cassia::schema

namespace cassia::keeper {

struct work_leader_hooks {
    using reply_function = std::function<void(schema::keeper_reply)>;

    std::function<void(const schema::work_command& command, reply_function reply)> propose;
    state::work_state::record_reader read;
};

class work_leader {
public:
    using reply_function = work_leader_hooks::reply_function;

    work_leader(const state::work_state& state, milliseconds holder_timeout,
                work_leader_hooks hooks);

    /// Leadership began or ended; what the leader remembers starts anew.
    void lead(bool leads, instant now);
    void set_weight(const team_id& team, double weight);

    /// Leases items to a holder; that it asks shows that it lives.
    void lease(const schema::lease_request& request, reply_function reply, instant now);
    void cancel(const schema::work_command& command, const reply_function& reply, instant now);
    /// Takes back what the holder doesn't know of.
    /// \returns what it holds without a lease, and must stop.
    schema::stale_items reconcile(const schema::held_items& held, instant now);
    /// An entry showed that this incarnation of it lives.
    void holder_seen(const std::string& holder, instant now);
    /// A lease was applied; also called on members that don't lead.
    void leased(const schema::keeper_reply& reply, instant now);

    void tick(instant now, wall_time wall);

private:
    struct waiting_cancel {
        job_id job;
        reply_function reply;
        instant until;
    };

    void serve_next_lease();
    void propose_leases(const schema::lease_request& request, const reply_function& reply);
    schema::stale_items stale_of(const schema::held_items& held) const;
    std::vector<policy::job_candidate> candidates(const std::string& service) const;
    void answer_cancels(instant now);
    void release_lost_holders(instant now);

    const state::work_state& state_;
    milliseconds holder_timeout_;
    work_leader_hooks hooks_;
    policy::batch_scheduler schedule_;

    bool leads_ = false;
    instant led_since_{};
    std::deque<std::function<void()>> lease_queue_;
    bool leasing_ = false;
    std::vector<waiting_cancel> cancels_;
    std::map<std::string, instant> holders_seen_;
    std::set<std::string> holders_released_;
    std::map<state::item_key, instant> leased_at_;
    instant next_expiry_{};
};

} // namespace cassia::keeper
