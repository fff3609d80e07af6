/// Duties of a work group's leader: it leases items to holders, takes leases back from holders that
/// died or never received them, responds to a cancellation once no holder has an item of the job,
/// and has expired jobs removed.
///
/// A holder is one incarnation of a gateway, named "GATEWAY/INCARNATION".
#pragma once

#include "cassia/base/clock.h"
#include "cassia/base/ids.h"
#include "cassia/policy/batch_schedule.h"
#include "cassia/schema/messages.pb.h"
#include "cassia/state/work_state.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace cassia::schema {
class held_items;
class keeper_reply;
class stale_items;
class work_command;
} // namespace cassia::schema

namespace cassia::keeper {

struct work_leader_hooks {
    using reply_callback = std::function<void(schema::keeper_reply)>;

    std::function<void(const schema::work_command& command, reply_callback reply)> propose;
    state::work_state::record_reader read_record;
};

class work_leader {
public:
    using reply_callback = work_leader_hooks::reply_callback;

    work_leader(const state::work_state& state, milliseconds holder_timeout,
                work_leader_hooks hooks);

    /// Records whether this member leads the group. A change fails queued lease requests and
    /// pending cancellations as `unavailable`.
    void set_leading(bool leading, instant now);
    void set_weight(const team_id& team, double weight);

    /// Leases items to a holder; the request also counts as a sign that the holder is alive.
    void lease(const schema::lease_request& request, reply_callback reply, instant now);
    void cancel(const schema::work_command& command, const reply_callback& reply, instant now);
    /// Compares the items that a holder reports with its leases, and takes back leases that it
    /// doesn't know of.
    /// \returns items that the holder has without a lease, and must stop.
    schema::stale_items reconcile(const schema::held_items& held, instant now);
    /// This incarnation of a gateway is alive; also called on members that don't lead.
    void mark_holder_alive(const std::string& holder, instant now);
    /// A lease was applied; also called on members that don't lead.
    void on_lease_applied(const schema::keeper_reply& reply, instant now);

    void tick(instant now, wall_time wall);

private:
    struct pending_cancel {
        job_id job;
        reply_callback reply;
        instant deadline;
    };

    struct granted_lease {
        instant at{};              ///< when it was applied or first seen
        std::uint64_t request = 0; ///< number of the holder's request; 0 if it isn't known
        std::uint32_t attempt = 0; ///< of the item; tells its leases apart
    };

    // Leases (work_leader_leases.cpp).
    struct queued_lease {
        schema::lease_request request;
        reply_callback reply;
        instant arrived_at;
    };
    struct lease_grant;
    struct lease_round;
    struct available_items;
    void serve_lease_requests();
    void start_lease_round(std::vector<queued_lease> requests);
    std::vector<queued_lease> take_waiting_requests();
    bool is_readable(const state::item_key& item) const;
    std::uint32_t count_readable(const job_id& job,
                                 const std::deque<std::uint32_t>& ordinals) const;
    available_items choose_items(const std::string& service, std::uint32_t limit);
    /// Adds items whose routes the holder's table lacks.
    /// \param chosen items of this round, not to be chosen again.
    void add_unrouted(const schema::lease_request& request, std::set<state::item_key>& chosen,
                      std::vector<schema::work_command>& commands) const;
    void finish_command(const std::shared_ptr<lease_round>& round, lease_grant& grant,
                        const schema::keeper_reply& reply);
    void reject_lease_requests();
    schema::stale_items find_stale_items(const schema::held_items& held) const;
    std::vector<policy::job_candidate> find_candidates(const std::string& service) const;
    void respond_to_settled_cancels(instant now);
    void discount_own_silence(instant now);
    void release_lost_holders(instant now);
    /// Whether a lease that its holder doesn't report can't reach the holder any more.
    static bool is_lost(const granted_lease& lease, const schema::held_items& held);
    /// Logs how many items of this group aren't finished, what was asked for and granted since the
    /// last time, and where the oldest items are.
    void log_unfinished(instant now, wall_time wall);
    void log_oldest_items(std::uint64_t unix_ms) const;

    const state::work_state& state_;
    milliseconds holder_timeout_;
    work_leader_hooks hooks_;
    policy::batch_scheduler schedule_;

    bool leading_ = false;
    instant role_changed_at_{}; ///< when this member last began or ceased to lead
    instant latest_time_{};     ///< of the last call that passed the time
    std::vector<queued_lease> lease_queue_;
    std::shared_ptr<lease_round> lease_round_; ///< null while none is in progress
    microseconds last_round_duration_{0};
    std::vector<pending_cancel> pending_cancels_;
    std::map<std::string, instant> holders_last_seen_;
    std::set<std::string> holders_being_released_;
    std::map<state::item_key, granted_lease> granted_;
    std::map<state::item_key, instant> unreadable_until_;
    instant next_expiry_check_{};
    instant next_unfinished_log_{};
    struct lease_counts {
        std::uint64_t requests = 0;
        std::uint64_t wanted = 0; ///< items
        std::uint64_t granted = 0;
        std::uint64_t expired = 0; ///< requests
    };
    lease_counts lease_counts_; ///< since the last log of unfinished items
};

} // namespace cassia::keeper
