/// How many log lines of one kind are written a second. Pure.
#pragma once

#include "cassia/base/clock.h"
#include "cassia/base/log.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace cassia {

/// Lines that were not written because there were too many like them.
struct folded_lines {
    std::string event;
    std::uint64_t count = 0;
};

class line_budget {
public:
    /// Takes a line into account. \returns whether it is to be written.
    bool take(log_level level, std::string_view event, instant now);
    /// What was folded in seconds that are over, once each; empty if nothing was.
    std::vector<folded_lines> folded(instant now);

private:
    struct use {
        instant second_began{};
        std::uint32_t written = 0; ///< in this second
        std::uint64_t folded = 0;  ///< not yet told
    };
    std::map<std::pair<bool, std::string>, use, std::less<>> uses_; ///< by severity and event
};

} // namespace cassia
