/// Whether an entry's configuration may be outdated, judged by the age of the newest quorum proof.
///
/// The quorum proof, or beacon, is a number that the leader of the control group increments while
/// it has a quorum, and that gossip spreads. An entry that receives no new one may be partitioned
/// and miss accepted changes; it must not serve by its old configuration.
#pragma once

#include "cassia/base/clock.h"

#include <cstdint>
#include <utility>

namespace cassia::membership {

class beacon_freshness {
public:
    explicit beacon_freshness(milliseconds stale_after) : stale_after_(stale_after) {}

    /// Records a quorum proof. \param age time since the sender first saw it.
    void observe(std::uint64_t term, std::uint64_t beacon, milliseconds age, instant now);
    bool is_stale(instant now) const { return now > fresh_until(); }
    /// When the configuration becomes stale unless a newer quorum proof is received.
    instant fresh_until() const;

    std::uint64_t term() const { return newest_.first; }
    std::uint64_t beacon() const { return newest_.second; }
    milliseconds age(instant now) const;

private:
    milliseconds stale_after_;
    std::pair<std::uint64_t, std::uint64_t> newest_{0, 0}; ///< term and number of the quorum proof
    instant first_seen_{};
    bool seen_any_ = false;
};

} // namespace cassia::membership
