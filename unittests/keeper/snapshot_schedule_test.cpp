// When a group's snapshot is due.

#include "cassia/keeper/snapshot_schedule.h"

#include <catch2/catch.hpp>

using namespace cassia;
using namespace cassia::keeper;

namespace {
const instant start(std::chrono::seconds(100));
constexpr std::uint64_t mib = 1ULL << 20U;
} // namespace

TEST_CASE("a group's snapshot is due by entries, bytes and segments", "[keeper]") {
    snapshot_schedule schedule(1000, milliseconds(0));
    CHECK_FALSE(schedule.is_due({999, 63 * mib, 3}, start));
    CHECK(schedule.is_due({1000, 0, 0}, start));
    CHECK(schedule.is_due({1, 64 * mib, 0}, start));
    CHECK_FALSE(schedule.is_due({0, 64 * mib, 0}, start));
    CHECK(schedule.is_due({0, 0, 4}, start));
    CHECK_FALSE(schedule.is_due({1, 0, 0}, start + std::chrono::hours(1)));
}

// Guards against a restart after which the latest changes are only in the log, and so unavailable
// until the group has a leader.
TEST_CASE("a snapshot with the latest change is due within the interval", "[keeper]") {
    snapshot_schedule schedule(1000, milliseconds(500));
    CHECK(schedule.is_due({1, 0, 0}, start));
    schedule.on_snapshot_taken(start);
    CHECK_FALSE(schedule.is_due({1, 0, 0}, start + milliseconds(499)));
    CHECK(schedule.is_due({1, 0, 0}, start + milliseconds(500)));
    CHECK_FALSE(schedule.is_due({0, 0, 0}, start + std::chrono::hours(1)));
}
