#include "cassia/base/clock.h"

namespace cassia {

instant monotonic_now() {
    return std::chrono::time_point_cast<microseconds>(std::chrono::steady_clock::now());
}

wall_time wall_now() {
    return std::chrono::time_point_cast<milliseconds>(std::chrono::system_clock::now());
}

} // namespace cassia
