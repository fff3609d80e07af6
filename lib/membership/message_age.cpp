#include "cassia/membership/message_age.h"

#include <algorithm>

namespace cassia::membership {

// The echoed message arrived after it was sent, so the peer sent its own no earlier than `held`
// after that.
std::optional<microseconds> max_message_age(const send_time_echo& echo, std::uint64_t incarnation,
                                            instant now) {
    if (echo.incarnation != incarnation)
        return std::nullopt;
    return std::max(now - (echo.sent_at + echo.held), microseconds(0));
}

} // namespace cassia::membership
