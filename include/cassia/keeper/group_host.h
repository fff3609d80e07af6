/// One replicated group in a keeper: the consensus, the state it drives, and its snapshots.
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

/// What waits for the next sync of the log.
struct awaiting_sync {
    struct mark {
        group_id group;
        std::uint64_t index = 0;
        term_number term;
    };
    std::vector<schema::raft_message> messages;
    std::vector<mark> persisted;

    bool empty() const;
};

class group_host {
public:
    /// Gets the reply of a command once it is applied. Unavailable if this member doesn't lead, or
    /// stopped leading before it knew the outcome.
    using reply_function = std::function<void(schema::keeper_reply)>;

    /// \param log_writer writes the log, and whatever must follow it in order.
    /// \param snapshot_writer writes snapshots, which would hold up the log.
    group_host(group_settings settings, state_machine machine, store& disk, disk_writer& log_writer,
               disk_writer& snapshot_writer, std::function<void()> on_actions);
    ~group_host();

    /// Continues from what the disk holds.
    bool recover(const recovered_group& found, instant now);
    /// Starts the group with its first members; the snapshot of it must be written by the caller.
    void found(const consensus::member_list& founders, instant now);
    schema::group_snapshot make_snapshot() const;

    void tick(instant now);
    void receive(const schema::raft_message& message, instant now);
    void propose(std::string command, reply_function reply, instant now);
    /// Adds a member, promotes one that has caught up, or removes one; a no-op unless it leads.
    void change_members(const consensus::member_list& members, instant now);
    void hand_over(instant now);

    /// Performs the pending actions: appends to the log, applies what is committed.
    /// \returns messages that may go at once; the others join `awaiting`.
    std::vector<schema::raft_message> perform(awaiting_sync& awaiting, instant now);
    void persisted(std::uint64_t index, term_number term);

    bool founded() const { return founded_; }
    const consensus::raft_group& raft() const { return *raft_; }
    /// Segments below this one are of no use to the group.
    std::uint32_t oldest_segment() const { return oldest_segment_; }

private:
    struct pending_reply {
        term_number term;
        reply_function reply;
    };

    void write_actions(consensus::raft_actions& actions, awaiting_sync& awaiting);
    void apply(const consensus::log_entry_ptr& entry);
    void fail_pending();
    void maybe_snapshot(instant now);
    void write_snapshot(const std::shared_ptr<schema::group_snapshot>& snapshot,
                        std::function<void()> done);
    void snapshot_written(const schema::group_snapshot& snapshot);
    void start_transfer(disk_id member);
    void continue_transfers(instant now, std::vector<schema::raft_message>& out);
    void receive_part(const schema::raft_message& message, instant now,
                      std::vector<schema::raft_message>& out);
    void install(disk_id leader, instant now);
    schema::raft_message make_message(int kind, disk_id to) const;

    group_settings settings_;
    state_machine machine_;
    store& disk_;
    disk_writer& log_writer_;
    disk_writer& snapshot_writer_;
    std::function<void()> on_actions_;
    std::unique_ptr<consensus::raft_group> raft_;
    bool founded_ = false;

    std::deque<storage::position> positions_; ///< of the log's entries, from first_position_ on
    std::uint64_t first_position_ = 1;        ///< index of positions_.front()
    std::map<std::uint64_t, pending_reply> pending_;

    snapshot_schedule snapshots_;
    bool snapshotting_ = false;
    std::uint64_t snapshot_index_ = 0;
    std::uint32_t replay_segment_ = 1;
    std::uint32_t oldest_segment_ = 1;
    std::uint64_t bytes_since_snapshot_ = 0;

    std::map<disk_id, snapshot_sender> senders_;
    snapshot_receiver receiver_;
    bool installing_ = false;
};

} // namespace cassia::keeper
