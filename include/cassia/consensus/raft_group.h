/// Replication of one group's log by Raft's rules: pre-vote, quorum check, leader lease, learners,
/// one member changed at a time. Pure: it takes events and a time, and returns actions.
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
    milliseconds election_timeout{700}; ///< least silence before an election; the most is twice it
    std::size_t max_append_bytes = 1 << 20; ///< most bytes of entries in one message
};

/// What a member must find again after a restart.
struct vote_state {
    term_number term;
    disk_id voted_for;

    friend bool operator==(const vote_state&, const vote_state&) = default;
};

/// What the driver has to do, in this order: persist, send what may go at once, send the rest once
/// it is synced, apply.
struct raft_actions {
    std::optional<vote_state> vote;                        ///< to persist
    std::optional<std::uint64_t> truncate_after;           ///< to persist before `new_entries`
    std::vector<log_entry_ptr> new_entries;                ///< to persist
    std::vector<schema::raft_message> immediate_messages;  ///< promises nothing
    std::vector<schema::raft_message> messages_after_sync; ///< only once all before it is on disk
    std::vector<log_entry_ptr> committed_entries;          ///< to apply
    std::vector<disk_id> members_needing_snapshot; ///< members that the log can't bring up to date
    std::vector<schema::raft_message> snapshot_messages; ///< parts received, for the driver
};

enum class raft_role { learner, follower, candidate, leader };

class raft_group {
public:
    /// \param self identity of this member's disk; it is a voter only if the log names it so.
    raft_group(group_id group, disk_id self, raft_settings settings, vote_state vote, raft_log log,
               std::uint64_t seed, instant now);

    void tick(instant now);
    void receive(const schema::raft_message& message, instant now);

    /// Appends a command if this member leads. \returns its index, or nothing.
    std::optional<std::uint64_t> propose(std::string command, instant now);
    /// Appends a change of one member. Refused while another isn't committed.
    std::optional<std::uint64_t> propose_members(const member_list& members, instant now);
    /// The disk has synced all entries up to this one.
    void persisted(std::uint64_t index, term_number term);
    /// A snapshot of the state at `index` is durable: the log may forget what it covers.
    void compact(std::uint64_t index);
    /// A snapshot from the leader is durable and applied.
    void snapshot_installed(log_base base, instant now);
    /// A member holds everything up to `index`, by a snapshot.
    void snapshot_delivered(disk_id member, std::uint64_t index, instant now);
    /// Hands leadership to the voter that is furthest ahead; used on shutdown.
    void transfer_leadership(instant now);

    raft_actions take_actions();

    raft_role role() const { return role_; }
    bool leads() const { return role_ == raft_role::leader; }
    /// True while no other member can lead and everything committed earlier is applied: a read of
    /// the state is then up to date.
    bool may_read(instant now) const;
    disk_id self() const { return self_; }
    disk_id leader() const { return leader_; }
    term_number term() const { return vote_.term; }
    vote_state vote() const { return vote_; }
    std::uint64_t commit_index() const { return commit_; }
    std::uint64_t applied_index() const { return applied_; }
    const raft_log& log() const { return log_; }
    /// Whether a learner has all that is committed.
    bool caught_up(disk_id member) const;
    /// Whether a member answered within the last election timeout; known to the leader only.
    bool is_active(disk_id member, instant now) const;

private:
    struct progress {
        std::uint64_t match = 0;
        std::uint64_t next = 1;
        bool probing = true;   ///< one message at a time until the logs are known to agree
        bool snapshot = false; ///< waits for a snapshot
        std::uint64_t sent_commit = 0;
        instant last_answer{};   ///< when this leader heard from it
        instant acked_sent_at{}; ///< send time of the last append it answered
        instant last_sent{};
    };

    // Elections (raft_election.cpp).
    void reset_election_timer(instant now);
    void become_follower(term_number term, disk_id leader, instant now);
    /// Why a member asks for votes.
    enum class election_cause : std::uint8_t {
        timeout,  ///< it hears no leader
        handover, ///< the leader asked it to
        restart,  ///< it has just started; all voters must have
    };
    void start_election(bool preliminary, election_cause cause, instant now);
    std::size_t votes_needed() const;
    void become_leader(instant now);
    void receive_vote_request(const schema::raft_message& message, instant now);
    void receive_vote_reply(const schema::raft_message& message, instant now);
    bool hears_leader(instant now) const;
    bool has_just_started(instant now) const;
    void campaign_after_start(instant now);
    bool is_voter(disk_id member) const;
    std::size_t quorum() const;
    void check_quorum(instant now);

    // Replication (raft_replication.cpp).
    void receive_append(const schema::raft_message& message, instant now);
    void receive_append_reply(const schema::raft_message& message, instant now);
    void append_own(schema::log_entry entry);
    void accept_entries(const schema::raft_message& message);
    void send_append(disk_id to, instant now);
    void broadcast(instant now);
    void advance_commit();
    void release_committed();
    void sync_progress(instant now);

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
    instant election_due_{};
    instant leader_heard_{};
    instant started_at_{};
    instant restart_round_due_{};
    bool heard_since_start_ = false; ///< from a leader
    bool preliminary_ = false;
    election_cause cause_ = election_cause::timeout;
    std::set<disk_id> votes_;

    std::map<disk_id, progress> progress_;
    std::uint64_t term_start_ = 0;
    instant led_since_{};
    std::uint64_t commit_ = 0;
    std::uint64_t applied_ = 0;
    std::uint64_t stable_ = 0;
    raft_actions actions_;
};

} // namespace cassia::consensus
