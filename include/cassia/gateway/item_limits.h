/// What one run of a batch item may return, and for how long it may go on.
#pragma once

#include "cassia/base/clock.h"

#include <cstdint>

namespace cassia::gateway {

/// A run that sends no further event for this long is given up, whatever else it sends. Events come
/// about every 20 ms.
inline constexpr milliseconds max_time_without_event(5000);
/// A run that goes on for this long is taken to have no end; the longest outputs take a minute or
/// two.
inline constexpr milliseconds max_run_time(600000);
/// Runs with too long a response after which an item fails, if its route states no other number.
inline constexpr std::uint32_t usual_overlong_runs = 3;

/// Bytes of the longest text that an item may return. A longer one is no result.
/// \param tokens of the item's prompt and its longest response; 0 if unknown.
std::uint64_t max_item_text(std::uint64_t tokens);

} // namespace cassia::gateway
