#include "cassia/membership/followed_keeper.h"

#include "cassia/base/digest.h"

#include <tuple>
#include <utility>

namespace cassia::membership {

namespace {
// The followed keeper replies four times a second.
constexpr milliseconds followed_reply_timeout(800);
// The other keepers reply every two seconds.
constexpr milliseconds other_reply_timeout(4500);
// How long a keeper that became unresponsive while followed isn't chosen again.
constexpr milliseconds avoid_failed_for(5000);
} // namespace

void followed_keeper::record_reply(const peer_address& keeper, bool in_touch, instant now) {
    candidate& state = candidates_[keeper];
    state.in_touch = in_touch;
    state.last_reply = now;
}

void followed_keeper::set_zone(const peer_address& keeper, zone_id zone) {
    candidates_[keeper].zone = std::move(zone);
}

void followed_keeper::forget(const peer_address& keeper) {
    candidates_.erase(keeper);
}

bool followed_keeper::is_usable(const peer_address& keeper, const candidate& state,
                                instant now) const {
    if (now < state.avoided_until)
        return false;
    // A keeper that was just chosen may still reply at the slower rate.
    const bool just_chosen = keeper == current_ && now - current_since_ < followed_reply_timeout;
    const milliseconds limit =
        keeper == current_ && !just_chosen ? followed_reply_timeout : other_reply_timeout;
    return now - state.last_reply < limit;
}

bool followed_keeper::has_recovered(const candidate& state, instant now) {
    const instant failed_at = state.avoided_until - avoid_failed_for;
    return state.last_reply > failed_at && now - state.last_reply < other_reply_timeout;
}

// Prefers the entry's own zone, so that beacons don't cross zones.
peer_address followed_keeper::best_candidate(bool in_touch, bool recovered, instant now) const {
    const auto rank = [this](const std::pair<const peer_address, candidate>& keeper) {
        return std::make_tuple(keeper.second.zone != zone_, stable_hash(self_ + keeper.first.str()),
                               keeper.first);
    };
    const std::pair<const peer_address, candidate>* found = nullptr;
    for (const std::pair<const peer_address, candidate>& keeper : candidates_) {
        const bool usable = recovered ? has_recovered(keeper.second, now)
                                      : is_usable(keeper.first, keeper.second, now);
        const bool eligible = keeper.second.in_touch == in_touch && usable;
        if (eligible && (found == nullptr || rank(keeper) < rank(*found)))
            found = &keeper;
    }
    return found == nullptr ? peer_address() : found->first;
}

const peer_address& followed_keeper::choose(instant now) {
    auto current = candidates_.find(current_);
    if (current != candidates_.end() && !is_usable(current_, current->second, now))
        current->second.avoided_until = now + avoid_failed_for;
    peer_address next = best_candidate(true, false, now);
    // One that failed lately has newer lists than one that is cut off from the group.
    if (next.empty())
        next = best_candidate(true, true, now);
    if (next.empty())
        next = best_candidate(false, false, now);
    if (next != current_) {
        if (!next.empty())
            candidates_[next].avoided_until = instant();
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
