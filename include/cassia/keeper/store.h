/// A keeper's data directory: the identity of the disk, one snapshot per group, and the log that
/// the groups share.
#pragma once

#include "cassia/base/ids.h"
#include "cassia/consensus/raft_group.h"
#include "cassia/storage/write_ahead_log.h"

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <string>

namespace cassia::schema {
class group_snapshot;
}

namespace cassia::keeper {

/// A group's state as read from disk.
struct recovered_group {
    std::shared_ptr<schema::group_snapshot> snapshot;
    consensus::vote_state vote;
    std::deque<consensus::log_entry_ptr> entries; ///< after the snapshot
    std::deque<storage::position> positions;      ///< of those entries
};

struct recovered_store {
    disk_id disk;
    bool reset = false; ///< the disk was damaged; its content was moved away and it starts empty
    std::map<group_id, recovered_group> groups;
};

class store {
public:
    store(std::string folder, std::uint64_t segment_bytes, storage::disk_hooks disk);

    /// Reads the data directory. If the log, a snapshot or the identity is damaged, the directory
    /// is renamed and an empty one with a new identity takes its place: the member may have lost
    /// votes and acknowledged entries, and must join its groups as a new member.
    storage::result<recovered_store> open();

    storage::write_ahead_log& log() { return *log_; }
    const storage::write_ahead_log& log() const { return *log_; }

    /// Replaces a group's snapshot. May be called on a disk_writer's thread.
    storage::result<void> write_snapshot(const schema::group_snapshot& snapshot);

    /// The command in a log record, be it a log entry or a body copied from another member.
    storage::result<std::string> read_command(const storage::position& at);

private:
    storage::result<recovered_store> recover();
    storage::result<disk_id> load_identity();
    storage::result<void> load_snapshots(recovered_store& recovered);
    storage::result<void> move_damaged_folder();

    std::string folder_;
    std::uint64_t segment_bytes_;
    storage::disk_hooks disk_;
    std::unique_ptr<storage::write_ahead_log> log_;
};

} // namespace cassia::keeper
