/// Tracks which changes of the list of endpoints are in transit to a gateway or keeper. Pure.
#pragma once

#include "cassia/base/clock.h"

#include <cstdint>

namespace cassia::keeper {

class endpoint_list_delivery {
public:
    /// The receiver was restarted and has no list yet.
    void reset() { sent_ = 0; }
    /// The revision after which the next beacon lists the changes. What is in transit isn't sent
    /// again: a receiver under load acknowledges late, and whole lists are long.
    /// \param acknowledged revision that the receiver reports to have.
    std::uint64_t base(std::uint64_t acknowledged, instant now) const {
        const bool in_transit = sent_ > acknowledged && now - in_transit_since_ < resend_interval;
        return in_transit ? sent_ : acknowledged;
    }
    /// Changes after `base` up to `revision` were sent.
    void on_sent(std::uint64_t acknowledged, std::uint64_t base, std::uint64_t revision,
                 instant now) {
        const bool follows_others_in_transit = base > acknowledged;
        if (!follows_others_in_transit)
            in_transit_since_ = now;
        sent_ = revision;
    }

private:
    /// Longer than the retransmission of a lost packet takes.
    static constexpr milliseconds resend_interval{1000};

    std::uint64_t sent_ = 0;
    instant in_transit_since_{}; ///< of the oldest changes that aren't acknowledged
};

} // namespace cassia::keeper
