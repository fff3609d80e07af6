#include "cassia/keeper/snapshot_schedule.h"

namespace cassia::keeper {

namespace {
constexpr std::uint64_t max_bytes = 64ULL << 20U;
constexpr std::uint32_t max_segments = 4;
} // namespace

bool snapshot_schedule::is_due(const snapshot_backlog& backlog, instant now) const {
    if (backlog.segments >= max_segments)
        return true;
    if (backlog.entries == 0)
        return false;
    if (backlog.entries >= max_entries_ || backlog.bytes >= max_bytes)
        return true;
    return interval_ > milliseconds(0) && now - taken_at_ >= interval_;
}

} // namespace cassia::keeper
