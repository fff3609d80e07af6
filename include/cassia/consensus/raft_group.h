/// Raft consensus of one group, with pre-vote, quorum check (the leader steps down without one),
/// leader lease, learners, and membership changes of one member at a time.
/// Does no I/O: it is given events and the time, and returns the actions to perform.
#pragma once

#include "cassia/base/clock.h"
#include "cassia/base/ids.h"
#include "cassia/consensus/raft_log.h"

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace cassia::schema {
class raft_message;
} // namespace cassia::schema

namespace cassia::consensus {

struct raft_settings {
    milliseconds heartbeat{100};
    milliseconds election_timeout{700}; ///< minimum of the random timeout; the maximum is twice it
    std::size_t max_append_bytes = 1 << 20; ///< limit for the entries of one message
};

/// State besides the log that must survive a restart (Raft's "hard state"): the current term and
/// the vote given in it.
struct vote_state {
    term_number term;
    disk_id voted_for;

    friend bool operator==(const vote_state&, const vote_state&) = default;
};

/// Actions for the caller: write to disk, send the immediate messages (also before or during the
/// write), send the other messages once everything written is synced, apply committed entries.
struct raft_actions {
    std::optional<vote_state> vote;              ///< to write
    std::optional<std::uint64_t> truncate_after; ///< last index to keep; write before the entries
    std::vector<log_entry_ptr> new_entries;      ///< to write
    std::vector<schema::raft_message> immediate_messages;  ///< needn't wait for a sync
    std::vector<schema::raft_message> messages_after_sync; ///< need all of the above synced
    std::vector<log_entry_ptr> committed_entries;          ///< to apply to the state
    std::vector<disk_id> members_needing_snapshot;         ///< lack entries already compacted
    std::vector<schema::raft_message> snapshot_messages;   ///< received parts, and replies to parts
};

enum class raft_role { learner, follower, candidate, leader };

class raft_group {
public:
    /// \param self identity of this member's disk; it votes only if the log lists it as a voter.
    /// \param seed of the random election timeouts.
    raft_group(group_id group, disk_id self, raft_settings settings, vote_state vote, raft_log log,
               std::uint64_t seed, instant now);

    void tick(instant now);
    void receive(const schema::raft_message& message, instant now);

    /// Appends a command if this member is the leader and isn't transferring its leadership.
    /// \returns the index of its entry, or nothing.
    std::optional<std::uint64_t> propose(std::string command, instant now);
    /// Appends a membership that differs by one member. Rejected unless this member is the leader,
    /// the previous change is committed, and so is an entry of the current term. \returns the index
    /// of its entry, or nothing.
    std::optional<std::uint64_t> propose_members(const member_list& members, instant now);
    /// Reports that all entries up to this one are synced to disk.
    void persisted(std::uint64_t index, term_number term);
    /// Reports that the state holds the effects of all entries up to this one, which was among the
    /// committed entries of the actions.
    void entries_applied(std::uint64_t index);
    /// Removes the log entries up to `index`, for which a durable snapshot exists.
    void compact(std::uint64_t index);
    /// Replaces the log by a snapshot that was received from the leader and loaded.
    void snapshot_installed(log_base base, instant now);
    /// Reports that a member has installed the snapshot sent to it, which covers up to `index`.
    void snapshot_delivered(disk_id member, std::uint64_t index, instant now);
    /// Asks the active voter that is furthest ahead to take over leadership as soon as it has the
    /// whole log; gives up, for a while, after half an election timeout. Used when this member's
    /// keeper shuts down or is being retired.
    void transfer_leadership(instant now);

    raft_actions take_actions();

    raft_role role() const { return role_; }
    bool leads() const { return role_ == raft_role::leader; }
    /// Whether this leader may serve reads from its state: its lease excludes another leader, and
    /// everything committed before its term is applied.
    bool may_read(instant now) const;
    /// Whether this leader may serve a read that arrived at `since`: a quorum has replied to an
    /// append sent later, so no other member was elected before the read arrived. Needs no lease.
    bool may_read_since(instant since) const;
    /// Whether this member leads and everything committed before its term is applied.
    bool is_ready() const { return role_ == raft_role::leader && applied_ >= term_start_; }
    /// Sends an append to each member, so that replies confirm the leadership since now.
    void confirm_leadership(instant now);
    disk_id self() const { return self_; }
    disk_id leader() const { return leader_; }
    term_number term() const { return vote_.term; }
    vote_state vote() const { return vote_; }
    std::uint64_t commit_index() const { return commit_; }
    /// Highest index reported by entries_applied(), or covered by a snapshot.
    std::uint64_t applied_index() const { return applied_; }
    const raft_log& log() const { return log_; }
    /// Whether a member has all committed entries; known to the leader only.
    bool caught_up(disk_id member) const;
    /// Whether a member has confirmed part of its log since this member leads.
    bool has_matched(disk_id member) const;
    /// Whether a member replied within the last two election timeouts; known to the leader only.
    bool is_active(disk_id member, instant now) const;

private:
    /// Replication progress of another member, tracked by the leader.
    struct progress {
        std::uint64_t match = 0;        ///< highest index known to be in its log
        std::uint64_t next = 1;         ///< index of the next entry to send
        bool probing = true;            ///< `next` is a guess; don't pipeline appends
        bool awaiting_snapshot = false; ///< gets heartbeats only until a snapshot is installed
        std::uint64_t sent_commit = 0;  ///< highest commit index sent
        instant last_reply{};           ///< arrival of its last reply; first, when it was added
        instant acked_send_time{};      ///< send time of the latest append that it replied to
        instant last_sent{};            ///< when the last append was sent
    };

    // Elections (raft_election.cpp).
    void reset_election_timer(instant now);
    void become_follower(term_number term, disk_id leader, instant now);
    /// Why an election was started.
    enum class election_cause : std::uint8_t {
        timeout,  ///< no message from a leader for an election timeout
        transfer, ///< the leader transfers its leadership to this member
        restart,  ///< all voters have just started, so no leader can exist
    };
    void start_election(bool pre_vote, election_cause cause, instant now);
    std::size_t votes_needed() const;
    void become_leader(instant now);
    void receive_vote_request(const schema::raft_message& message, instant now);
    void receive_vote_reply(const schema::raft_message& message, instant now);
    bool has_live_leader(instant now) const;
    bool has_just_started(instant now) const;
    void try_restart_election(instant now);
    bool is_voter(disk_id member) const;
    std::size_t quorum() const;
    void check_quorum(instant now);
    bool discount_own_pause(instant now);
    instant quorum_send_time(instant now) const;
    void continue_transfer(instant now);

    // Replication (raft_replication.cpp).
    void receive_append(const schema::raft_message& message, instant now);
    void receive_append_reply(const schema::raft_message& message, instant now);
    void append_to_own_log(schema::log_entry entry);
    void accept_entries(const schema::raft_message& message);
    void send_append(disk_id to, instant now);
    void broadcast(instant now);
    void advance_commit();
    void collect_committed();
    void update_tracked_members(instant now);

    schema::raft_message make_message(int kind, disk_id to) const;
    void set_term(term_number term, disk_id voted_for);

    group_id group_;
    disk_id self_;
    raft_settings settings_;
    vote_state vote_;
    raft_log log_;
    std::mt19937_64 random_;

    raft_role role_ = raft_role::follower;
    disk_id leader_;
    instant last_tick_{};            ///< of this process
    bool election_deferred_ = false; ///< at the last tick, which came late
    instant election_due_{};
    std::uint32_t elections_since_leader_ = 0; ///< in which this member voted
    instant last_leader_contact_{};
    instant started_at_{};
    instant restart_election_due_{};
    bool leader_seen_ = false; ///< since the start of this process
    bool in_pre_vote_ = false; ///< a candidate's current round is a pre-vote
    election_cause election_cause_ = election_cause::timeout;
    std::set<disk_id> votes_; ///< voters that granted the current round

    std::map<disk_id, progress> progress_; ///< of the other members, if this one leads
    std::uint64_t term_start_ = 0;         ///< index of the first entry of this leader's term
    instant leader_since_{};
    disk_id transfer_target_; ///< is to take over leadership until transfer_until_
    instant transfer_until_{};
    instant next_transfer_{};   ///< no earlier
    instant no_lease_before_{}; ///< a voter that was asked to take over may lead until then
    std::uint64_t commit_ = 0;
    std::uint64_t collected_ = 0; ///< highest index handed out to be applied
    std::uint64_t applied_ = 0;   ///< highest index that the state holds
    std::uint64_t synced_ = 0;    ///< highest index synced to this member's disk
    raft_actions actions_;
};

} // namespace cassia::consensus
