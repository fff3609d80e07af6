#include "cassia/membership/beacon_freshness.h"

#include <algorithm>

namespace cassia::membership {

void beacon_freshness::observe(std::uint64_t term, std::uint64_t beacon, milliseconds age,
                               instant now) {
    const std::pair<std::uint64_t, std::uint64_t> observed{term, beacon};
    // A quorum proof keeps its age when it is forwarded, so that entries that are partitioned
    // together don't keep each other fresh.
    if (observed > newest_ || !seen_any_) {
        newest_ = observed;
        first_seen_ = now - age;
        seen_any_ = true;
    }
}

instant beacon_freshness::fresh_until() const {
    return seen_any_ ? first_seen_ + stale_after_ : instant::min();
}

milliseconds beacon_freshness::age(instant now) const {
    if (!seen_any_)
        return stale_after_ * 2;
    return std::chrono::duration_cast<milliseconds>(now - first_seen_);
}

} // namespace cassia::membership
