/// Decides when a group's next snapshot is due. Pure.
#pragma once

#include "cassia/base/clock.h"

#include <cstdint>

namespace cassia::keeper {

/// What a group has applied since its last snapshot.
struct snapshot_backlog {
    std::uint64_t entries = 0;
    std::uint64_t bytes = 0;
    std::uint32_t segments = 0; ///< log segments that a restart has to read
};

class snapshot_schedule {
public:
    /// \param max_entries between two snapshots.
    /// \param interval maximum age of a change that is in no snapshot yet; 0: only the size of the
    /// backlog counts. After a restart, what a snapshot holds is available at once; what only the
    /// log holds is available once the group has a leader.
    snapshot_schedule(std::uint64_t max_entries, milliseconds interval)
        : max_entries_(max_entries), interval_(interval) {}

    bool is_due(const snapshot_backlog& backlog, instant now) const;
    void on_snapshot_taken(instant now) { taken_at_ = now; }

private:
    std::uint64_t max_entries_;
    milliseconds interval_;
    instant taken_at_{};
};

} // namespace cassia::keeper
