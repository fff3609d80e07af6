/// Repeated announcements of an endpoint that another record outranks.
#pragma once

#include "cassia/base/clock.h"

#include <cstdint>

namespace cassia::membership {

class announcement_run {
public:
    /// Counts an announcement made after `outranked_at`, the latest one of what outranks the
    /// endpoint. After two timeouts without an announcement counting starts again.
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
