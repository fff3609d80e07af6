// Runs that have ended, and whether their endpoints survived them.

#include "cassia/gateway/crash_monitor.h"

#include <algorithm>
#include <utility>

namespace cassia::gateway {

namespace {
constexpr std::size_t max_recent_runs = 4096;
constexpr std::size_t max_silent_endpoints = 256;
// What was received before a connection broke may be read a moment after it.
constexpr milliseconds max_reading_delay(400);
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

void crash_monitor::record_received(const endpoint_id& endpoint, std::uint64_t incarnation) {
    if (silent_runs_.empty() && crashes_.empty())
        return;
    const policy::endpoint_process process{endpoint, incarnation};
    silent_runs_.erase(process);
    auto doubted = crashes_.find(process);
    const bool has_survived = doubted != crashes_.end() &&
                              doubted->second.state == crash_state::undecided &&
                              monotonic_now() - doubted->second.broken_at > max_reading_delay;
    if (!has_survived)
        return;
    const std::vector<recent_run> survived = std::move(doubted->second.doubtful);
    crashes_.erase(doubted);
    for (const recent_run& one : survived)
        expire_run(one);
}

void crash_monitor::add_recent_runs(const policy::endpoint_process& process,
                                    suspected_crash& crash) {
    const auto add = [&process, &crash](const recent_run& recent) {
        const bool is_near = crash.broken_at - recent.ended_at <= policy::late_crash_time;
        const bool has_room =
            crash.unreported.size() + crash.unreported_complete.size() < max_runs_per_crash;
        if (recent.run.process == process && is_near && has_room)
            (recent.was_complete ? crash.unreported_complete : crash.unreported)
                .push_back(recent.run);
    };
    const std::vector<recent_run> doubtful = std::exchange(crash.doubtful, {});
    std::for_each(doubtful.begin(), doubtful.end(), add);
    std::for_each(recent_runs_.begin(), recent_runs_.end(), add);
    std::erase_if(recent_runs_,
                  [&process](const recent_run& one) { return one.run.process == process; });
    auto silent = silent_runs_.find(process);
    if (silent == silent_runs_.end())
        return;
    for (const recent_run& one : silent->second)
        crash.unreported.push_back(one.run);
    silent_runs_.erase(silent);
}

void crash_monitor::expire_runs(instant now) {
    for (; !recent_runs_.empty() && now - recent_runs_.front().ended_at > policy::late_crash_time;
         recent_runs_.pop_front())
        expire_run(recent_runs_.front());
    std::erase_if(silent_runs_, [now](const auto& silent) {
        return now - silent.second.back().ended_at > silent_run_time;
    });
}

// While a crash isn't decided, it isn't known whether the endpoint survived the run.
void crash_monitor::expire_run(const recent_run& run) {
    auto doubted = crashes_.find(run.run.process);
    if (doubted == crashes_.end()) {
        if (run.was_complete)
            record_survived(run.run);
        return;
    }
    suspected_crash& crash = doubted->second;
    if (crash.state != crash_state::confirmed && crash.doubtful.size() < max_runs_per_crash)
        crash.doubtful.push_back(run);
}

// What crashes an endpoint may come before the event behind which a run went on.
void crash_monitor::record_survived(const ended_run& run) {
    if (run.resumed)
        return;
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
        const policy::poison_record* record = detector_.find(part);
        const bool is_retry = run.on_trial && record != nullptr &&
                              policy::poison_detector::is_cleared_by_retries(*record) &&
                              run.sent_at > record->last_crash_at;
        if (is_retry)
            survived_retries_.insert(part);
    }
}

} // namespace cassia::gateway
