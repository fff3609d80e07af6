#include "cassia/membership/announcement_run.h"

namespace cassia::membership {

namespace {
constexpr unsigned fewest_announcements = 3;
// In multiples of the timeout. An endpoint that announces itself to three keepers in turn is heard
// by each of them about once in a timeout.
constexpr int longest_gap = 2;
} // namespace

void announcement_run::add(std::uint64_t sequence, instant heard, instant outranked_at,
                           milliseconds timeout) {
    if (heard <= outranked_at)
        return;
    const bool begins =
        count_ == 0 || first_ <= outranked_at || heard - last_ > longest_gap * timeout;
    if (!begins && (sequence <= sequence_ || heard <= last_))
        return;
    if (begins) {
        first_ = heard;
        count_ = 0;
    }
    last_ = heard;
    sequence_ = sequence;
    ++count_;
}

bool announcement_run::outlasts(instant outranked_at, milliseconds timeout) const {
    return count_ >= fewest_announcements && first_ > outranked_at && last_ - first_ >= timeout;
}

} // namespace cassia::membership
