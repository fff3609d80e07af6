/// A gateway's copies of the lists of endpoints of the control keepers that it doesn't follow, and
/// how recent its copy of each keeper's list is.
///
/// One keeper's list may lag behind the others. What a majority of the control keepers listed after
/// some time is no older than that time. Does no I/O; the time is passed in.
#pragma once

#include "cassia/base/clock.h"
#include "cassia/base/ids.h"
#include "cassia/membership/followed_endpoints.h"
#include "cassia/schema/messages.pb.h"

#include <map>
#include <set>

namespace cassia::membership {

class control_lists {
public:
    /// Drops copies made long ago: keepers don't report endpoints that they forget.
    void drop_old(instant now);
    /// Writes what the copy of the keeper's list has into a heartbeat to it.
    void write(const peer_address& keeper, schema::entry_hello& heartbeat) const;
    /// \returns whether the copy is now as the keeper's list was when the beacon was written.
    bool apply_beacon(const peer_address& keeper, const schema::keeper_beacon& beacon, instant now);
    /// All endpoints in the copy of the keeper's list.
    const std::map<endpoint_id, endpoint_state>& all(const peer_address& keeper) const {
        return copies_.at(keeper).all();
    }
    /// The copy of the keeper's list has been brought up to date by the reply to a heartbeat.
    void note_current(const peer_address& keeper, instant heartbeat_sent_at, instant now);
    /// Whether the copies of the followed keeper's list and of those of a majority of the members
    /// were brought up to date by replies to heartbeats that were sent after `since`.
    bool are_current(const std::set<peer_address>& members, const peer_address& followed,
                     instant since) const;

private:
    std::map<peer_address, followed_endpoints> copies_;
    instant first_copied_at_{};
    std::map<peer_address, instant> current_at_; ///< when the heartbeat was sent
};

} // namespace cassia::membership
