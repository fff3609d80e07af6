/// Everything a keeper has on its disk: the disk's identity, a snapshot a group, the shared log.
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

/// What a restart found of one group.
struct recovered_group {
    std::shared_ptr<schema::group_snapshot> snapshot;
    consensus::vote_state vote;
    std::deque<consensus::log_entry_ptr> entries; ///< behind the snapshot
    std::deque<storage::position> positions;      ///< of those entries
};

struct recovered_store {
    disk_id disk;
    bool renewed = false; ///< the disk was damaged; its content is set aside, it starts empty
    std::map<group_id, recovered_group> groups;
};

class store {
public:
    store(std::string folder, std::uint64_t segment_bytes, storage::disk_hooks disk);

    /// Reads what is there. A damaged log or snapshot is set aside under another name and the
    /// disk gets a new identity: this member has lost its promises and must join as a new one.
    storage::result<recovered_store> open();

    storage::write_ahead_log& log() { return *log_; }
    const storage::write_ahead_log& log() const { return *log_; }

    /// Replaces a group's snapshot. May run on the disk's thread.
    storage::result<void> write_snapshot(const schema::group_snapshot& snapshot);

    /// The command of a log record, whichever way the record came here.
    storage::result<std::string> read_command(const storage::position& at);

private:
    storage::result<recovered_store> recover();
    storage::result<disk_id> load_identity();
    storage::result<void> load_snapshots(recovered_store& found);
    storage::result<void> set_aside();

    std::string folder_;
    std::uint64_t segment_bytes_;
    storage::disk_hooks disk_;
    std::unique_ptr<storage::write_ahead_log> log_;
};

} // namespace cassia::keeper
