/// The state machine interface of a replicated group, as a set of functions, so that one class,
/// group_replica, serves every kind of state.
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

/// From the positions of log records at their origin to those of their copies.
using position_map = std::map<storage::position, storage::position>;

struct state_machine {
    /// Applies a committed command; `at` is the position of its log record.
    std::function<schema::keeper_reply(const std::string& command, const storage::position& at)>
        apply;
    std::function<std::string()> save;
    /// Replaces the state by a saved one, and positions in it by those of the copied records.
    /// \returns false, with the state unchanged, if the image is unreadable.
    std::function<bool(const std::string& image, const position_map& relocations)> load;
    /// Positions of the log records that the state refers to.
    std::function<std::set<storage::position>()> referenced_positions;
};

} // namespace cassia::keeper
