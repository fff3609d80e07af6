/// Selects the one keeper of the control group from which an entry gets frequent beacons. With one
/// keeper for each entry, the keepers' traffic doesn't grow with entries times keepers. Does no
/// I/O; the time is passed in.
#pragma once

#include "cassia/base/clock.h"
#include "cassia/base/ids.h"

#include <map>
#include <string>

namespace cassia::membership {

class followed_keeper {
public:
    /// \param self name of this entry; its hash distributes entries over keepers of equal
    /// preference.
    followed_keeper(std::string self, zone_id zone)
        : self_(std::move(self)), zone_(std::move(zone)) {}

    /// Records a reply of a keeper. \param in_touch whether the keeper leads the control group or
    /// receives messages from its leader.
    void record_reply(const peer_address& keeper, bool in_touch, instant now);
    void set_zone(const peer_address& keeper, zone_id zone);
    void forget(const peer_address& keeper);
    /// The keeper to follow now. Prefers keepers in touch with the leader; empty if no keeper is
    /// usable.
    const peer_address& choose(instant now);
    /// Whether the chosen keeper leads the control group or receives messages from its leader.
    bool is_in_touch() const;

private:
    struct candidate {
        zone_id zone;
        bool in_touch = false;
        instant last_reply{};
        instant avoided_until{};
    };

    /// \param recovered among those that replied again after they failed, else among those that are
    /// usable.
    peer_address best_candidate(bool in_touch, bool recovered, instant now) const;
    static bool has_recovered(const candidate& state, instant now);
    bool is_usable(const peer_address& keeper, const candidate& state, instant now) const;

    std::string self_;
    zone_id zone_;
    std::map<peer_address, candidate> candidates_;
    peer_address current_;
    instant current_since_{};
};

} // namespace cassia::membership
