#include "cassia/membership/beacon_freshness.h"

#include <algorithm>

namespace cassia::membership {

void beacon_freshness::observe(std::uint64_t term, std::uint64_t beacon, milliseconds age,
                               instant now) {
    const std::pair<std::uint64_t, std::uint64_t> one{term, beacon};
    // A beacon that is passed on keeps its age: entries that are cut off together must not keep
    // each other fresh.
    if (one > newest_ || !ever_) {
        newest_ = one;
        seen_at_ = now - age;
        ever_ = true;
    }
}

bool beacon_freshness::is_stale(instant now) const {
    return !ever_ || now - seen_at_ > stale_after_;
}

milliseconds beacon_freshness::age(instant now) const {
    if (!ever_)
        return stale_after_ * 2;
    return std::chrono::duration_cast<milliseconds>(now - seen_at_);
}

} // namespace cassia::membership
