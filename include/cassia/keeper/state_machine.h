/// What a replicated group needs of its state, as hooks, so that one host serves every kind.
#pragma once

#include "cassia/storage/write_ahead_log.h"

#include <functional>
#include <map>
#include <set>
#include <string>

namespace cassia::schema {
class keeper_reply;
}

namespace cassia::keeper {

using position_map = std::map<storage::position, storage::position>;

struct state_machine {
    /// Applies a committed command that the log keeps at `at`.
    std::function<schema::keeper_reply(const std::string& command, const storage::position& at)>
        apply;
    std::function<std::string()> save;
    /// Replaces the state by a saved one whose records were copied to other places.
    std::function<bool(const std::string& image, const position_map& places)> load;
    /// Records of the log that the state refers to.
    std::function<std::set<storage::position>()> positions;
};

} // namespace cassia::keeper
