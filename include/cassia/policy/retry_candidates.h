/// Selects which of the items that a gateway holds ask for a retry of a quarantined part of
/// prompts. Each gateway asks for few at a time, whatever it holds. Pure.
#pragma once

#include "cassia/policy/quarantine_retries.h"

#include <cstddef>
#include <vector>

namespace cassia::policy {

/// An item that waits for a quarantined part.
struct waiting_retry {
    fingerprint part;
    retry_history history;
};

/// How many items may ask at once.
struct candidate_limits {
    std::size_t of_part = 16;
    std::size_t in_all = 64;
};

/// Of each part it takes those that have been idle for longest, to be run in time, and those that
/// crashed least, to find out whether the part still crashes endpoints. Where all parts together
/// have too many, they take turns, first the one whose items have been idle for longest.
/// \returns indexes of the items that may ask.
std::vector<std::size_t> select_retry_candidates(const std::vector<waiting_retry>& waiting,
                                                 const candidate_limits& limits);

} // namespace cassia::policy
