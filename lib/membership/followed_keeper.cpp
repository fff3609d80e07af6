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

void followed_keeper::record_reply(const peer_address& keeper, bool in_touch, instant now) {
    candidate& one = candidates_[keeper];
    one.in_touch = in_touch;
    one.last_reply = now;
}

void followed_keeper::set_zone(const peer_address& keeper, zone_id zone) {
    candidates_[keeper].zone = std::move(zone);
}

void followed_keeper::forget(const peer_address& keeper) {
    candidates_.erase(keeper);
}

bool followed_keeper::is_usable(const peer_address& keeper, const candidate& one,
                                instant now) const {
    if (now < one.avoided_until)
        return false;
    const bool just_chosen = keeper == current_ && now - current_since_ < followed_missed_after;
    const milliseconds limit =
        keeper == current_ && !just_chosen ? followed_missed_after : other_missed_after;
    return now - one.last_reply < limit;
}

// Own zone first: what it sends crosses no zone.
peer_address followed_keeper::best(bool in_touch, instant now) const {
    const auto rank = [this](const std::pair<const peer_address, candidate>& one) {
        return std::make_tuple(one.second.zone != zone_, stable_hash(self_ + one.first.str()),
                               one.first);
    };
    const std::pair<const peer_address, candidate>* found = nullptr;
    for (const std::pair<const peer_address, candidate>& one : candidates_) {
        const bool fits = one.second.in_touch == in_touch && is_usable(one.first, one.second, now);
        if (fits && (found == nullptr || rank(one) < rank(*found)))
            found = &one;
    }
    return found == nullptr ? peer_address() : found->first;
}

const peer_address& followed_keeper::choose(instant now) {
    auto current = candidates_.find(current_);
    if (current != candidates_.end() && !is_usable(current_, current->second, now))
        current->second.avoided_until = now + failed_avoided;
    peer_address next = best(true, now);
    if (next.empty())
        next = best(false, now);
    if (next != current_) {
        current_ = next;
        current_since_ = now;
    }
    return current_;
}

bool followed_keeper::is_in_touch() const {
    auto current = candidates_.find(current_);
    return current != candidates_.end() && current->second.in_touch;
}

} // namespace cassia::membership
