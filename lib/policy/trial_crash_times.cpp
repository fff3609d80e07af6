// How long runs alone of a cause take to crash their endpoints.

#include "cassia/policy/trial_schedule.h"

#include <algorithm>

namespace cassia::policy {

namespace {
// Callers don't wait for the end of a run that has lasted for so many times the longest that
// crashed an endpoint, as a long response may take half a minute.
constexpr std::int64_t outlasting_crash_times = 5;
constexpr milliseconds min_outlasting_time(1000);
// Of a cause of which no run alone has crashed an endpoint. An endpoint that hangs may take so long
// until it ends.
constexpr milliseconds default_outlasting_time(5000);
constexpr milliseconds crash_times_retention(600000);
constexpr std::size_t max_crash_times = 4096;
} // namespace

void trial_schedule::record_crash_time(const trial& crashed, instant now) {
    if (crash_times_.size() >= max_crash_times && crash_times_.count(crashed.asked.request) == 0)
        return;
    crash_times& times = crash_times_[crashed.asked.request];
    times = {std::max<microseconds>(times.longest, now - crashed.granted_at), now};
}

void trial_schedule::expire_crash_times(instant now) {
    std::erase_if(crash_times_, [now](const auto& one) {
        return now - one.second.last_at > crash_times_retention;
    });
}

bool trial_schedule::has_outlasted_crashes(const trial& run, instant now) const {
    microseconds enough = default_outlasting_time;
    auto known = crash_times_.find(run.asked.request);
    if (known != crash_times_.end())
        enough = std::max<microseconds>(min_outlasting_time,
                                        outlasting_crash_times * known->second.longest);
    return now - run.granted_at >= enough;
}

} // namespace cassia::policy
