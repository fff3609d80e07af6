/// Which table of routes an entry was sent last. Pure.
#pragma once

#include "cassia/base/clock.h"

#include <cstdint>

namespace cassia::keeper {

class table_delivery {
public:
    void sent(std::uint64_t version, instant now) {
        version_ = version;
        at_ = now;
    }
    /// Another process of the entry has none yet.
    void restarted() { version_ = 0; }
    /// Whether the entry is to be sent the newest table.
    /// \param known version that the entry says it has.
    bool is_due(std::uint64_t newest, std::uint64_t known, instant now) const {
        const bool on_its_way = version_ == newest && now - at_ < resent_after;
        return known < newest && !on_its_way;
    }

private:
    /// Longer than a lost packet takes to come again.
    static constexpr milliseconds resent_after{500};

    std::uint64_t version_ = 0;
    instant at_{};
};

} // namespace cassia::keeper
