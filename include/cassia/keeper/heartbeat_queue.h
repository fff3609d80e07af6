/// Gateways' heartbeats that wait for a response: only the latest of each gateway, served
/// round-robin. Pure.
#pragma once

#include "cassia/schema/messages.pb.h"

#include <map>
#include <optional>
#include <string>

namespace cassia::keeper {

class heartbeat_queue {
public:
    void add(const schema::entry_hello& heartbeat);
    /// Removes and returns the next heartbeat, if any.
    std::optional<schema::entry_hello> next();
    bool empty() const { return pending_.empty(); }

private:
    std::map<std::string, schema::entry_hello> pending_; ///< by gateway
    std::string last_served_;                            ///< gateway
};

} // namespace cassia::keeper
