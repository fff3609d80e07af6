/// Tracks which changes of the list of endpoints are in transit to a gateway or keeper. Pure.
#pragma once

#include "cassia/base/clock.h"

#include <cstdint>

namespace cassia::keeper {

class endpoint_list_delivery {
public:
    /// The receiver has no list: it was restarted, or takes it from another process.
    void reset() {
        sent_ = 0;
        acknowledged_ = 0;
    }
    /// The revision after which the next beacon lists the changes. What is in transit isn't sent
    /// again: a receiver under load acknowledges late, and whole lists are long.
    /// \param acknowledged revision that the receiver reports to have.
    /// \param reported_at when it sent that report, by its own clock: a report that this process
    /// reads late says nothing of what was sent since.
    std::uint64_t base(std::uint64_t acknowledged, instant reported_at) {
        const bool has_dropped_list = acknowledged < acknowledged_;
        if (has_dropped_list)
            sent_ = 0;
        acknowledged_ = acknowledged;
        const microseconds waited = reported_at - in_transit_since_;
        // The clock of a restarted VM starts again, and its list is empty.
        const bool restarted = waited < microseconds(0);
        const bool in_transit = sent_ > acknowledged && !restarted && waited < resend_interval;
        return in_transit ? sent_ : acknowledged;
    }
    /// Changes after `base` up to `revision` were sent.
    void on_sent(std::uint64_t acknowledged, std::uint64_t base, std::uint64_t revision,
                 instant reported_at) {
        const bool follows_others_in_transit = base > acknowledged;
        if (!follows_others_in_transit)
            in_transit_since_ = reported_at;
        sent_ = revision;
    }

private:
    /// Connections retransmit lost packets, so only a broken connection loses messages.
    static constexpr milliseconds resend_interval{3000};

    std::uint64_t sent_ = 0;
    std::uint64_t acknowledged_ = 0; ///< as last reported
    /// The latest report, by the receiver's clock, when the oldest of these changes were sent.
    instant in_transit_since_{};
};

} // namespace cassia::keeper
