/// Whether this entry may go by the lists it holds.
///
/// The leader of the control group counts a beacon up while a quorum stands behind it, and the
/// beacon spreads with the gossip. An entry that sees no new one may have been cut off, so that
/// changes were accepted that it can't know of; it must not serve by its old lists.
#pragma once

#include "cassia/base/clock.h"

#include <cstdint>
#include <utility>

namespace cassia::membership {

class beacon_freshness {
public:
    explicit beacon_freshness(milliseconds stale_after) : stale_after_(stale_after) {}

    /// \param age how long ago whoever tells this saw the beacon first.
    void observe(std::uint64_t term, std::uint64_t beacon, milliseconds age, instant now);
    bool is_stale(instant now) const;

    std::uint64_t term() const { return newest_.first; }
    std::uint64_t beacon() const { return newest_.second; }
    milliseconds age(instant now) const;

private:
    milliseconds stale_after_;
    std::pair<std::uint64_t, std::uint64_t> newest_{0, 0};
    instant seen_at_{};
    bool ever_ = false;
};

} // namespace cassia::membership
