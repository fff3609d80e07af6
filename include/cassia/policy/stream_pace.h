/// When a pause in a stream is taken for a lost packet. Pure.
#pragma once

#include "cassia/base/clock.h"

namespace cassia::policy {

/// Silence after which a stream goes on at another endpoint, if one has a free slot.
/// \param longest_pause longest one between two events of this stream so far; 0 if there was none.
microseconds stall_limit(microseconds longest_pause);

} // namespace cassia::policy
