/// Tracks which version of the route table a gateway was sent last. Pure.
#pragma once

#include "cassia/base/clock.h"

#include <cstdint>

namespace cassia::keeper {

class route_table_delivery {
public:
    void on_sent(std::uint64_t version, instant now) {
        version_ = version;
        sent_at_ = now;
    }
    /// The gateway was restarted and has no table yet.
    void reset() { version_ = 0; }
    /// Whether the latest table should be sent.
    /// \param known version that the gateway reports to have.
    bool is_due(std::uint64_t latest, std::uint64_t known, instant now) const {
        const bool in_transit = version_ == latest && now - sent_at_ < resend_interval;
        return known < latest && !in_transit;
    }

private:
    /// Longer than the retransmission of a lost packet takes.
    static constexpr milliseconds resend_interval{500};

    std::uint64_t version_ = 0;
    instant sent_at_{};
};

} // namespace cassia::keeper
