/// Clocks. Pure layers never read one; they are handed an instant.
#pragma once

#include <chrono>
#include <cstdint>

namespace cassia {

using std::chrono::microseconds;
using std::chrono::milliseconds;

/// A point on this process's monotonic clock.
using instant = std::chrono::time_point<std::chrono::steady_clock, microseconds>;

/// A point on the wall clock, in Unix milliseconds. Used for deadlines and records only: no
/// decision about leases or silence may depend on it, since VMs' wall clocks differ.
using wall_time = std::chrono::time_point<std::chrono::system_clock, milliseconds>;

instant monotonic_now();
wall_time wall_now();

inline std::uint64_t to_unix_ms(wall_time t) {
    return static_cast<std::uint64_t>(t.time_since_epoch().count());
}
inline wall_time from_unix_ms(std::uint64_t ms) {
    return wall_time(milliseconds(static_cast<std::int64_t>(ms)));
}
inline std::uint64_t to_us(instant t) {
    return static_cast<std::uint64_t>(t.time_since_epoch().count());
}
inline instant from_us(std::uint64_t us) {
    return instant(microseconds(static_cast<std::int64_t>(us)));
}

} // namespace cassia
