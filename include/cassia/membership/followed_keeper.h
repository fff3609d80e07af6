/// The one keeper of the control group that an entry hears closely, so that what keepers send
/// doesn't grow with entries times keepers. Pure.
#pragma once

#include "cassia/base/clock.h"
#include "cassia/base/ids.h"

#include <map>
#include <string>

namespace cassia::membership {

class followed_keeper {
public:
    /// \param self spreads the entries of a zone over its keepers.
    followed_keeper(std::string self, zone_id zone)
        : self_(std::move(self)), zone_(std::move(zone)) {}

    /// A keeper answered. \param in_touch whether it hears the leader of its group.
    void record_reply(const peer_address& keeper, bool in_touch, instant now);
    void set_zone(const peer_address& keeper, zone_id zone);
    void forget(const peer_address& keeper);
    /// The keeper to follow now; one out of touch if there is no other; empty if none was heard.
    const peer_address& choose(instant now);
    /// Whether the keeper chosen hears the leader of its group.
    bool is_in_touch() const;

private:
    struct candidate {
        zone_id zone;
        bool in_touch = false;
        instant last_reply{};
        instant avoided_until{};
    };

    peer_address best(bool in_touch, instant now) const;
    bool is_usable(const peer_address& keeper, const candidate& one, instant now) const;

    std::string self_;
    zone_id zone_;
    std::map<peer_address, candidate> candidates_;
    peer_address current_;
    instant current_since_{};
};

} // namespace cassia::membership
