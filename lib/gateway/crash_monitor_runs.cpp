// What ran at endpoints a moment ago: blamed for a crash that follows, or counted as survived.

#include "cassia/gateway/crash_monitor.h"

#include <algorithm>

namespace cassia::gateway {

namespace {
constexpr std::size_t max_recent_runs = 4096;
constexpr std::size_t max_silent_endpoints = 256;
} // namespace

void crash_monitor::record_ended_run(const ended_run& run, bool was_complete) {
    if (recent_runs_.size() >= max_recent_runs)
        recent_runs_.pop_front();
    recent_runs_.push_back({monotonic_now(), run, was_complete});
}

void crash_monitor::record_silent_run(const ended_run& run) {
    if (silent_runs_.count(run.process) == 0 && silent_runs_.size() >= max_silent_endpoints)
        return;
    std::vector<recent_run>& runs = silent_runs_[run.process];
    if (runs.size() < max_runs_per_crash)
        runs.push_back({monotonic_now(), run, false});
}

void crash_monitor::add_recent_runs(const policy::endpoint_process& process,
                                    suspected_crash& crash) {
    for (const recent_run& recent : recent_runs_) {
        const bool is_near = crash.broken_at - recent.ended_at <= policy::late_crash_time;
        const bool has_room =
            crash.unreported.size() + crash.unreported_complete.size() < max_runs_per_crash;
        if (recent.run.process == process && is_near && has_room)
            (recent.was_complete ? crash.unreported_complete : crash.unreported)
                .push_back(recent.run);
    }
    std::erase_if(recent_runs_,
                  [&process](const recent_run& one) { return one.run.process == process; });
    auto silent = silent_runs_.find(process);
    if (silent == silent_runs_.end())
        return;
    for (const recent_run& one : silent->second)
        crash.unreported.push_back(one.run);
    silent_runs_.erase(silent);
}

bool crash_monitor::is_undecided(const recent_run& recent) const {
    auto crash = crashes_.find(recent.run.process);
    return crash != crashes_.end() && crash->second.state != crash_state::confirmed &&
           recent.ended_at <= crash->second.broken_at &&
           crash->second.broken_at - recent.ended_at <= policy::late_crash_time;
}

// They say nothing of what they ran: their endpoint may have lost its VM.
void crash_monitor::forget_undecided_runs(const policy::endpoint_process& process) {
    std::erase_if(recent_runs_, [this, &process](const recent_run& one) {
        return one.run.process == process && is_undecided(one);
    });
}

void crash_monitor::expire_runs(instant now) {
    const auto first_recent =
        std::find_if(recent_runs_.begin(), recent_runs_.end(), [now](const recent_run& one) {
            return now - one.ended_at <= policy::late_crash_time;
        });
    const auto first_expired =
        std::stable_partition(recent_runs_.begin(), first_recent,
                              [this](const recent_run& one) { return is_undecided(one); });
    for (auto one = first_expired; one != first_recent; ++one) {
        if (one->was_complete)
            record_survived(one->run);
    }
    recent_runs_.erase(first_expired, first_recent);
    std::erase_if(silent_runs_, [now](const auto& silent) {
        return now - silent.second.back().ended_at > silent_run_time;
    });
}

void crash_monitor::record_survived(const ended_run& run) {
    const auto count = [this](const fingerprint& cause) {
        const policy::poison_record* record = detector_.find(cause);
        if (record != nullptr && record->crashes > 0)
            ++successes_[cause];
    };
    count(run.request);
    // An endpoint that wrote nothing says nothing of parts, which crash it when it does.
    if (!run.has_output)
        return;
    ++survived_runs_[run.service];
    for (const fingerprint& part : run.parts) {
        survived_parts_.add(part);
        count(part);
    }
}

} // namespace cassia::gateway
