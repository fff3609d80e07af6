/// Bounds how long a message from a peer was on its way, though the peer's clock differs from ours.
///
/// Each message to a peer returns the time, by that peer's clock, at which its latest received
/// message was sent, and for how long that message has been held. A process that resumes from a
/// freeze can so tell messages that were queued meanwhile from new ones.
#pragma once

#include "cassia/base/clock.h"

#include <cstdint>
#include <optional>

namespace cassia::membership {

/// What a peer returns of a message that it received from this process.
struct send_time_echo {
    std::uint64_t incarnation = 0; ///< of this process when it sent that message; 0: none received
    instant sent_at{};             ///< by this process's clock
    microseconds held{0};          ///< from its receipt to the peer's message, by the peer's clock
};

/// The longest time for which the message with this echo can have been on its way; nothing if it
/// echoes no message of this incarnation.
std::optional<microseconds> max_message_age(const send_time_echo& echo, std::uint64_t incarnation,
                                            instant now);

} // namespace cassia::membership
