#include "cassia/keeper/heartbeat_queue.h"

#include <utility>

namespace cassia::keeper {

void heartbeat_queue::add(const schema::entry_hello& heartbeat) {
    pending_[heartbeat.entry()] = heartbeat;
}

// Continues, in the order of names, after the gateway served last. Always starting at the front
// would never reach the last gateways on a keeper that can't respond to all heartbeats.
std::optional<schema::entry_hello> heartbeat_queue::next() {
    if (pending_.empty())
        return std::nullopt;
    auto found = pending_.upper_bound(last_served_);
    found = found == pending_.end() ? pending_.begin() : found;
    schema::entry_hello heartbeat = std::move(found->second);
    last_served_ = found->first;
    pending_.erase(found);
    return heartbeat;
}

} // namespace cassia::keeper
