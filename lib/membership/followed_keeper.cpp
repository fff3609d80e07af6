#include "cassia/membership/followed_keeper.h"

#include "cassia/base/digest.h"

#include <tuple>
#include <utility>

namespace cassia::membership {

namespace {
// The keeper followed answers four times a second.
constexpr milliseconds followed_missed_after(800);
// The others answer once in two seconds.
constexpr milliseconds other_missed_after(4500);
constexpr milliseconds failed_avoided(5000);
} // namespace

void followed_keeper::heard(const peer_address& keeper, bool in_touch, instant now) {
    candidate& one = candidates_[keeper];
    one.in_touch = in_touch;
    one.heard = now;
}

void followed_keeper::set_zone(const peer_address& keeper, zone_id zone) {
    candidates_[keeper].zone = std::move(zone);
}

void followed_keeper::forget(const peer_address& keeper) {
    candidates_.erase(keeper);
}

bool followed_keeper::is_usable(const peer_address& keeper, const candidate& one,
                                instant now) const {
    if (!one.in_touch || now < one.avoided_until)
        return false;
    const bool just_chosen = keeper == current_ && now - current_since_ < followed_missed_after;
    const milliseconds limit =
        keeper == current_ && !just_chosen ? followed_missed_after : other_missed_after;
    return now - one.heard < limit;
}

// Own zone first: what it sends crosses no zone.
const peer_address& followed_keeper::choose(instant now) {
    auto current = candidates_.find(current_);
    if (current != candidates_.end() && !is_usable(current_, current->second, now))
        current->second.avoided_until = now + failed_avoided;
    const auto rank = [this](const std::pair<const peer_address, candidate>& one) {
        return std::make_tuple(one.second.zone != zone_, stable_hash(self_ + one.first.str()),
                               one.first);
    };
    const std::pair<const peer_address, candidate>* best = nullptr;
    for (const std::pair<const peer_address, candidate>& one : candidates_) {
        if (is_usable(one.first, one.second, now) && (best == nullptr || rank(one) < rank(*best)))
            best = &one;
    }
    const peer_address next = best == nullptr ? peer_address() : best->first;
    if (next != current_) {
        current_ = next;
        current_since_ = now;
    }
    return current_;
}

} // namespace cassia::membership
