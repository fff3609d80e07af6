/// A gateway's copy of the list of endpoints of the keeper that it follows.
///
/// That keeper judges which endpoints are alive and sends only what changes, so what a gateway is
/// sent doesn't grow with the announcements of endpoints.
#pragma once

#include "cassia/base/clock.h"
#include "cassia/base/ids.h"
#include "cassia/membership/endpoint_directory.h"
#include "cassia/schema/messages.pb.h"

#include <cstdint>
#include <map>
#include <vector>

namespace cassia::membership {

class followed_endpoints {
public:
    followed_endpoints() : directory_(endpoint_directory_settings()) {}

    /// Takes the list from another keeper from now on. Until it lists them, the known endpoints are
    /// kept for the time without an announcement after which an endpoint counts as unresponsive.
    void follow(const peer_address& source, instant now);
    /// Writes what this copy has into a heartbeat to the followed keeper.
    void write(schema::entry_hello& heartbeat) const;
    /// Applies a beacon, unless it is of another keeper, out of order, or behind a lost one.
    /// \returns whether this copy is now as the keeper's list was when the beacon was written.
    bool apply_beacon(const peer_address& keeper, const schema::keeper_beacon& beacon, instant now);
    void forget_old(instant now) { directory_.forget_old(now); }

    const peer_address& source() const { return source_; }
    /// Endpoints that may get new work.
    std::vector<const endpoint_state*> serving(instant now) const {
        return directory_.serving(now);
    }
    /// All endpoints known, also those that are leaving or have failed.
    const std::map<endpoint_id, endpoint_state>& all() const { return directory_.all(); }
    std::uint64_t changes() const { return directory_.changes(); }

private:
    endpoint_directory directory_;
    peer_address source_;
    std::uint64_t epoch_ = 0;
    std::uint64_t revision_ = 0;
};

} // namespace cassia::membership
