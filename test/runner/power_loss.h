/// What a loss of power leaves of the files of a process whose syncs were tracked.
#pragma once

#include <cstdint>
#include <string>

namespace cassia::scenario {

struct power_loss_count {
    int files_set_back = 0; ///< to other content
    int names_set_back = 0;
};

/// Sets a folder back to its last syncs. Each name that was created, renamed or removed since, and
/// what was written to each file since, is kept or lost at random, or lost without exception.
power_loss_count lose_power(const std::string& folder, const std::string& synced,
                            std::uint64_t seed, bool loses_all_unsynced = false);

} // namespace cassia::scenario
