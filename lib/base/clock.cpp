#include "cassia/base/clock.h"

#include <ctime>

namespace cassia {

// The clock that goes on while the VM is suspended. By one that stands still a leader would find
// its lease unexpired after seconds of suspension, and answer reads from a state that others have
// replaced meanwhile.
instant monotonic_now() {
    timespec now{};
    clock_gettime(CLOCK_BOOTTIME, &now);
    return instant(std::chrono::duration_cast<microseconds>(std::chrono::seconds(now.tv_sec) +
                                                            std::chrono::nanoseconds(now.tv_nsec)));
}

wall_time wall_now() {
    return std::chrono::time_point_cast<milliseconds>(std::chrono::system_clock::now());
}

} // namespace cassia
