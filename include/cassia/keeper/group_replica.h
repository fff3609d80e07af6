/// A keeper's replica of one Raft group: the consensus module, the replicated state machine and its
/// snapshots.
#pragma once

#include "cassia/base/clock.h"
#include "cassia/consensus/raft_group.h"
#include "cassia/keeper/disk_writer.h"
#include "cassia/keeper/snapshot_schedule.h"
#include "cassia/keeper/snapshot_transfer.h"
#include "cassia/keeper/state_machine.h"
#include "cassia/keeper/store.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace cassia::keeper {

struct group_settings {
    group_id group;
    disk_id self;
    consensus::raft_settings raft;
    std::uint64_t snapshot_records = 100000;
    milliseconds snapshot_interval{0}; ///< see snapshot_schedule
};

/// What has to wait until the log's current batch is synced.
struct pending_sync {
    /// The last entry that a group appended to the batch.
    struct appended_entry {
        group_id group;
        std::uint64_t index = 0;
        term_number term;
    };
    std::vector<schema::raft_message> messages;
    std::vector<appended_entry> appended;

    bool empty() const;
};

class group_replica {
public:
    /// Receives the reply of a command once it is applied: `not_leader` if this member doesn't lead
    /// when the command is proposed, `unavailable` if it transfers its leadership then, or loses it
    /// before the outcome is known.
    using reply_callback = std::function<void(schema::keeper_reply)>;

    /// \param log_writer writes the log, and whatever must be written after it.
    /// \param snapshot_writer writes snapshots, which would delay the log.
    /// \param on_actions_pending called when perform_actions() has something to do.
    group_replica(group_settings settings, state_machine machine, store& keeper_store,
                  disk_writer& log_writer, disk_writer& snapshot_writer,
                  std::function<void()> on_actions_pending);
    ~group_replica();

    /// Restores the state that was read from disk. \returns false if the snapshot is unreadable.
    bool recover(const recovered_group& recovered, instant now);
    /// Starts the group with its initial members. The caller must write the first snapshot.
    void bootstrap(const consensus::member_list& members, instant now);
    schema::group_snapshot make_snapshot() const;

    void tick(instant now);
    void receive(const schema::raft_message& message, instant now);
    void propose(std::string command, reply_callback reply, instant now);
    /// Calls `done(true)` once the state may be read: at once within the leader's lease, otherwise
    /// when a quorum has confirmed the leadership since `now`. Calls `done(false)` if this member
    /// doesn't lead, or isn't confirmed in time.
    void read(std::function<void(bool)> done, instant now);
    /// Adds a member, promotes one that has caught up, or removes one; a no-op unless it leads.
    void change_members(const consensus::member_list& members, instant now);
    void transfer_leadership(instant now);

    /// Performs the consensus module's pending actions: appends to the log, applies what is
    /// committed.
    /// \returns messages that may be sent at once; those that may not are added to `pending`.
    std::vector<schema::raft_message> perform_actions(pending_sync& pending, instant now);
    /// The log is synced up to this entry of the group.
    void on_persisted(std::uint64_t index, term_number term);

    /// Whether this replica has a state: bootstrapped, recovered from disk, or installed from a
    /// leader's snapshot.
    bool is_bootstrapped() const { return bootstrapped_; }
    const consensus::raft_group& raft() const { return *raft_; }
    /// The group needs no log segment below this one.
    std::uint32_t oldest_segment() const { return oldest_segment_; }

private:
    struct pending_proposal {
        term_number term;
        reply_callback reply;
    };

    /// A read that waits for a quorum to confirm the leadership.
    struct pending_read {
        instant arrived_at{};
        std::function<void(bool)> done;
    };

    void confirm_for_reads(instant now);
    void serve_pending_reads(instant now);
    void append_to_log(consensus::raft_actions& actions, pending_sync& pending);
    void apply_entry(const consensus::log_entry_ptr& entry);
    /// Also fails the pending reads, and ends the snapshot transfers, which only a leader makes.
    void fail_pending_proposals();
    void take_snapshot_if_due(instant now);
    void write_snapshot(const std::shared_ptr<schema::group_snapshot>& snapshot,
                        std::function<void()> done);
    void on_snapshot_written(const schema::group_snapshot& snapshot);
    void start_snapshot_transfer(disk_id member);
    void continue_snapshot_transfers(instant now, std::vector<schema::raft_message>& out);
    void receive_snapshot_part(const schema::raft_message& message, instant now,
                               std::vector<schema::raft_message>& out);
    void receive_snapshot_reply(const schema::raft_message& reply, instant now);
    void install_snapshot(disk_id leader, instant now);
    schema::raft_message make_message(int kind, disk_id to) const;

    group_settings settings_;
    state_machine state_machine_;
    store& store_;
    disk_writer& log_writer_;
    disk_writer& snapshot_writer_;
    std::function<void()> on_actions_pending_;
    std::unique_ptr<consensus::raft_group> raft_;
    bool bootstrapped_ = false;

    std::deque<storage::position> positions_; ///< of the log entries from first_position_index_ on
    std::uint64_t first_position_index_ = 1;  ///< log index of positions_.front()
    std::map<std::uint64_t, pending_proposal> pending_proposals_; ///< by log index
    std::deque<pending_read> pending_reads_;                      ///< in the order of arrival
    instant last_confirmation_{};                                 ///< when it was last asked for

    snapshot_schedule snapshot_schedule_;
    bool snapshot_in_progress_ = false;
    std::uint64_t snapshot_index_ = 0;
    std::uint32_t replay_segment_ = 1; ///< first segment that a restart reads
    std::uint32_t oldest_segment_ = 1;
    std::uint64_t bytes_since_snapshot_ = 0;

    std::map<disk_id, snapshot_sender> snapshot_senders_; ///< by member, on the leader
    snapshot_receiver snapshot_receiver_;
    bool install_in_progress_ = false;
};

} // namespace cassia::keeper
