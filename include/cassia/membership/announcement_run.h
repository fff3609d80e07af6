/// Evidence that an endpoint goes on announcing itself although something else outranks it: a
/// record of another writer with a higher incarnation or sequence, or a later process at its
/// address.
#pragma once

#include "cassia/base/clock.h"

#include <cstdint>

namespace cassia::membership {

class announcement_run {
public:
    /// Counts an announcement that was made at `heard`. `outranked_at` is when that which outranks
    /// the endpoint was last heard: what was announced before proves nothing. After two
    /// timeouts without an announcement the run begins anew.
    void add(std::uint64_t sequence, instant heard, instant outranked_at, milliseconds timeout);
    /// Whether the endpoint is believed again: three or more announcements with increasing
    /// sequences over `timeout` or more since it was outranked. Delayed announcements of a process
    /// that has ended come within less time.
    bool outlasts(instant outranked_at, milliseconds timeout) const;
    instant last_heard() const { return last_; }

private:
    instant first_{};
    instant last_{};
    std::uint64_t sequence_ = 0;
    unsigned count_ = 0;
};

} // namespace cassia::membership
