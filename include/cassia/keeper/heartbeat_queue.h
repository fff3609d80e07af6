/// Heartbeats of entries that wait to be answered: the newest of each entry, in turns. Pure.
#pragma once

#include "cassia/schema/messages.pb.h"

#include <map>
#include <optional>
#include <string>

namespace cassia::keeper {

class heartbeat_queue {
public:
    void add(const schema::entry_hello& hello);
    /// The next one, which waits no more; nothing if none waits.
    std::optional<schema::entry_hello> next();
    bool empty() const { return waiting_.empty(); }

private:
    std::map<std::string, schema::entry_hello> waiting_;
    std::string last_; ///< entry answered last
};

} // namespace cassia::keeper
