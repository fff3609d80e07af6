#include "cassia/membership/control_lists.h"

#include <algorithm>

namespace cassia::membership {

namespace {
// Short compared with the time for which keepers remember endpoints.
constexpr milliseconds copy_lifetime(10000);
} // namespace

void control_lists::drop_old(instant now) {
    if (now - first_copied_at_ < copy_lifetime)
        return;
    copies_.clear();
    first_copied_at_ = now;
}

void control_lists::write(const peer_address& keeper, schema::entry_hello& heartbeat) const {
    auto found = copies_.find(keeper);
    if (found != copies_.end()) {
        found->second.write(heartbeat);
        return;
    }
    heartbeat.clear_directory_epoch();
    heartbeat.clear_directory_revision();
}

bool control_lists::apply_beacon(const peer_address& keeper, const schema::keeper_beacon& beacon,
                                 instant now) {
    followed_endpoints& copy = copies_[keeper];
    copy.follow(keeper, now);
    return copy.apply_beacon(keeper, beacon, now);
}

void control_lists::note_current(const peer_address& keeper, instant heartbeat_sent_at,
                                 instant now) {
    // A reply to an earlier process, whose VM has been restarted since, echoes a clock that may be
    // ahead of this one.
    if (heartbeat_sent_at > now)
        return;
    instant& current_at = current_at_[keeper];
    current_at = std::max(current_at, heartbeat_sent_at);
}

bool control_lists::are_current(const std::set<peer_address>& members, const peer_address& followed,
                                instant since) const {
    const auto is_current = [this, since](const peer_address& keeper) {
        auto found = current_at_.find(keeper);
        return found != current_at_.end() && found->second >= since;
    };
    const auto current = std::count_if(members.begin(), members.end(), is_current);
    return is_current(followed) && static_cast<std::size_t>(current) >= members.size() / 2 + 1;
}

} // namespace cassia::membership
