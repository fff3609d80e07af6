#include "cassia/policy/poison_detector.h"

#include "poison_odds.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <tuple>
#include <utility>

namespace cassia::policy {

namespace {
const double suspect_log_odds = 0;
// Several poison requests that run together explain each other's crashes, and only runs alone tell
// them apart. So a request that ran at two crashes is suspected from here on.
const double repeated_suspect_log_odds = -2.5;
constexpr std::uint32_t repeated_crashes = 2;
// One that ran at so many is suspected whatever its odds.
constexpr std::uint32_t sufficient_crashes = 3;
// From here on all gateways know of a request, so that runs which are completed speak for it.
const double watch_log_odds = -3;
// Bounds what a single crash shows, so that it takes more than one to suspect a request.
constexpr double max_gain = 5;
// In runs alone two crashes have to be enough: each takes a part of a small service away.
const double max_trial_gain = (quarantine_log_odds - prior_log_odds) / 2;
// What a crash shows of a request if known poison explains it doesn't count.
constexpr double min_gain = 0.01;
// Of its prompt parts a request has several, which share what a crash shows.
const double part_watch_log_odds = -4.5;
// Parts that most runs of a service have were at most of its crashes, whatever caused them. So
// these raise their odds only until they run on trial, and only crashes of such runs prove one
// guilty, if runs without it are known to succeed.
constexpr std::uint32_t min_control_runs = 3;
constexpr std::uint32_t ample_control_runs = 20;
constexpr std::uint32_t min_trial_crashes = 2;
// From one crash of a run alone to the next run while control runs are missing.
constexpr milliseconds pause_without_control(1000);
constexpr std::uint32_t crashes_without_control = 5;
// Of causes that no crash tells apart, those that aren't blamed stay at these odds.
const double follower_log_odds = quarantine_log_odds - part_success_loss;
// A crash isn't held to be explained by other causes that ran there below this probability.
constexpr double min_unexplained = 0.5;
// Crashes that others caused may have shown the wrong kind.
constexpr double min_kind_probability = 0.05;
// A poison request is assumed to crash every second of its runs at least.
const double success_loss = std::log(2);
// Gateways detect a crash within milliseconds of each other; a probe may take 50 ms.
constexpr milliseconds collect_time(40);
constexpr std::size_t max_crashes = 1024;
constexpr std::size_t max_runs_per_crash = 256;
constexpr std::size_t max_parts_per_crash = 1024;
constexpr std::size_t max_services = 256;
constexpr std::size_t max_gateways = 1024;
} // namespace

static bool is_suspicious(const poison_record& record, bool has_control) {
    if (record.is_part)
        return record.log_odds >= suspect_log_odds &&
               record.crashes >= (has_control ? repeated_crashes : crashes_without_control);
    return record.log_odds >= suspect_log_odds || record.crashes >= sufficient_crashes ||
           (record.crashes >= repeated_crashes && record.log_odds >= repeated_suspect_log_odds);
}

void poison_detector::record_crash(const crash_report& report, instant now) {
    const bool has_room = crashes_.size() < max_crashes && services_.size() < max_services;
    if (crashes_.count(report.process) == 0 && !has_room)
        return;
    known_crash& known = crashes_[report.process];
    if (known.report.runs.empty()) {
        known.report = report;
        known.report.runs.clear();
        known.report.parts.clear();
    }
    if (known.judged == known.report.runs.size())
        known.first_reported_at = now;
    service_history& service = services_[report.service];
    if (service.survived_runs.size() < max_gateways)
        service.survived_runs[report.gateway] = report.survived_runs;
    service.reported_at = now;
    if (known.report.parts.size() < max_parts_per_crash)
        known.report.parts.insert(known.report.parts.end(), report.parts.begin(),
                                  report.parts.end());
    known.report.crashed_at = std::min(known.report.crashed_at, report.crashed_at);
    known.report.endpoints = std::max(known.report.endpoints, report.endpoints);
    for (const crashed_run& run : report.runs) {
        if (known.report.runs.size() >= max_runs_per_crash)
            break;
        known.report.runs.push_back(run);
        known.was_on_trial = known.was_on_trial || run.on_trial;
        known.causes[run.request].insert(run.parts.begin(), run.parts.end());
        for (const fingerprint& part : run.parts)
            known.causes[part];
    }
}

// A part that has relapsed crashes some of its runs only, so that others say little.
static double success_loss_of(const poison_record& record) {
    return record.is_part && record.relapses == 0 ? part_success_loss : success_loss;
}

static double lowest_log_odds(const poison_record& record) {
    return record.relapses > 0 ? prior_log_odds
                               : prior_log_odds - record.survived_runs * part_success_loss;
}

bool poison_detector::raise_survived(poison_record& record, std::uint32_t survived_runs) {
    const std::uint32_t bounded = std::min(survived_runs, max_survived_runs);
    if (!record.is_part || bounded <= record.survived_runs)
        return false;
    const double loss = (bounded - record.survived_runs) * success_loss_of(record);
    record.survived_runs = bounded;
    record.log_odds = std::max(lowest_log_odds(record), record.log_odds - loss);
    return true;
}

void poison_detector::record_history(const part_history& history, instant now) {
    auto found = records_.find(history.part);
    if (found == records_.end() || !raise_survived(found->second, history.survived_runs))
        return;
    record_successes(history.part, 0, now);
    if (found->second.version > 0)
        publish(found->second);
}

void poison_detector::record_successes(const fingerprint& request, std::uint32_t runs,
                                       instant now) {
    auto found = records_.find(request);
    if (found == records_.end())
        return;
    poison_record& record = found->second;
    end_quarantine(record, now);
    if (record.is_part)
        record.survived_runs = std::min(max_survived_runs, record.survived_runs + runs);
    // Runs beside the retries may have begun before its last crash.
    if (is_cleared_by_retries(record))
        return;
    record.log_odds =
        std::max(lowest_log_odds(record), record.log_odds - runs * success_loss_of(record));
    if (record.verdict == request_verdict::quarantined)
        return;
    const bool is_forgiven = record.crashes > 0 && record.log_odds < repeated_suspect_log_odds;
    if (is_forgiven)
        record.crashes = record.trial_crashes = 0;
    const bool is_cleared =
        record.verdict == request_verdict::suspect && !is_suspicious(record, true);
    if (is_cleared) {
        record.verdict = request_verdict::unsuspected;
        record.all_crashes = record.late_crashes = 0;
    }
    if (is_cleared || is_forgiven)
        publish(record);
}

poison_findings poison_detector::poll(instant now) {
    poison_findings findings;
    expire(now);
    std::vector<endpoint_process> due;
    for (const std::pair<const endpoint_process, known_crash>& crash : crashes_) {
        const bool has_unjudged = crash.second.judged < crash.second.report.runs.size();
        if (has_unjudged && now - crash.second.first_reported_at >= collect_time)
            due.push_back(crash.first);
    }
    if (!due.empty()) {
        for (std::pair<const endpoint_process, known_crash>& crash : crashes_)
            update_unexplained(crash.second);
    }
    for (const endpoint_process& process : due)
        findings.crashes.push_back(attribute(process, crashes_.at(process), now));
    for (const fingerprint& request : std::exchange(changed_, {})) {
        auto found = records_.find(request);
        if (found != records_.end())
            findings.changed.push_back(found->second);
    }
    return findings;
}

bool poison_detector::had_run_alone(const crash_report& report) {
    std::set<fingerprint> on_trial;
    for (const crashed_run& run : report.runs) {
        if (run.on_trial)
            on_trial.insert(run.request);
    }
    return on_trial.size() == 1;
}

std::vector<poison_detector::candidate> poison_detector::candidates(const known_crash& crash,
                                                                    instant now) {
    struct joined_runs {
        milliseconds duration{0};
        bool was_complete = false;
        bool was_running = false;
        bool is_part = false;
        bool on_trial = false;
    };
    std::map<fingerprint, joined_runs> runs;
    const bool had_alone = had_run_alone(crash.report);
    const auto join = [&runs, had_alone](const fingerprint& cause, const crashed_run& run,
                                         bool is_part) {
        joined_runs& joined = runs[cause];
        joined.duration = std::max(joined.duration, run.duration);
        joined.was_complete = joined.was_complete || run.was_complete;
        joined.was_running = joined.was_running || !run.was_complete;
        joined.is_part = is_part;
        joined.on_trial = joined.on_trial || (run.on_trial && had_alone);
    };
    for (std::size_t i = crash.judged; i < crash.report.runs.size(); ++i) {
        const crashed_run& run = crash.report.runs[i];
        join(run.request, run, false);
        for (const fingerprint& part : run.parts)
            join(part, run, true);
    }
    std::vector<candidate> found;
    for (const std::pair<const fingerprint, joined_runs>& run : runs) {
        // May evict another record, so pointers are taken afterwards.
        record_of(run.first, now).is_part = run.second.is_part;
    }
    for (const part_history& part : crash.report.parts) {
        auto known = records_.find(part.part);
        if (known != records_.end())
            raise_survived(known->second, part.survived_runs);
    }
    for (const std::pair<const fingerprint, joined_runs>& run : runs) {
        auto known = records_.find(run.first);
        if (known == records_.end())
            continue;
        poison_record& record = known->second;
        end_quarantine(record, now);
        // Copies of a request that run at several endpoints may end at once for one reason. Only
        // the first of these crashes shows something.
        const microseconds since_last = crash.report.crashed_at - record.last_crash_at;
        const bool counts = record.crashes == 0 || since_last > same_moment ||
                            microseconds(run.second.duration) <= since_last;
        found.push_back({&record, run.second.duration, run.second.was_complete,
                         run.second.was_running, run.second.on_trial, counts});
    }
    return found;
}

// Poison crashes its endpoint either while it runs or after its response. Of several runs there
// either kind may have done so.
static double probability_of_kind(const poison_record& record, bool completed, bool running) {
    return (completed ? record.late_crash_probability : 0) +
           (running ? 1 - record.late_crash_probability : 0);
}

static void update_kind(poison_record& record, bool completed, bool running, double if_innocent) {
    if (completed && running)
        return;
    const double fits = probability_of_kind(record, completed, running);
    const double updated = fits / (fits + (1 - fits) * if_innocent);
    const double bounded = std::clamp(updated, min_kind_probability, 1 - min_kind_probability);
    record.late_crash_probability = completed ? bounded : 1 - bounded;
}

// For each request: how much likelier is the crash if it is poison than if it isn't? If it isn't,
// one of the others or the background must have caused the crash; so too if it is poison of the
// kind that acts at once, but was complete.
attributed_crash poison_detector::attribute(const endpoint_process& process, known_crash& crash,
                                            instant now) {
    std::vector<candidate> all = candidates(crash, now);
    update_unexplained(crash);
    set_background(crash, all);
    find_twins(all);
    for (candidate& one : all) {
        const double unexplained =
            std::min(1.0, unexplained_without(crash, one.record->request) / one.without_twins /
                              late_explanations(all, one) / own_parts_innocent(crash, one));
        one.if_innocent = 1 - (1 - one.background) * unexplained;
        if (one.on_trial && !one.record->is_part)
            one.if_innocent = std::min(one.if_innocent,
                                       std::max(one.background, any_crash_probability(crash, one)));
        const double fits = probability_of_kind(*one.record, one.was_complete, one.was_running);
        const double if_poison = fits + (1 - fits) * one.if_innocent;
        const bool runs_alone = one.on_trial && !one.record->is_part;
        one.gain =
            std::min(runs_alone ? max_trial_gain : max_gain, std::log(if_poison / one.if_innocent));
    }
    attributed_crash attributed{process, {}};
    for (const candidate& one : all) {
        poison_record& record = *one.record;
        const bool is_explained = unexplained_without(crash, record.request) <= min_unexplained;
        count_crash(record, crash.report.crashed_at);
        if (one.counts && one.gain >= min_gain) {
            double limit = std::numeric_limits<double>::max();
            if (record.is_part && !one.on_trial)
                limit = suspect_log_odds;
            else if (one.is_follower)
                limit = follower_log_odds;
            record.log_odds =
                std::max(record.log_odds, std::min(record.log_odds + one.gain, limit));
            update_kind(record, one.was_complete, one.was_running, one.if_innocent);
            ++record.crashes;
            record.trial_crashes += record.is_part && one.on_trial ? 1 : 0;
            record.last_crash_at = std::max(record.last_crash_at, crash.report.crashed_at);
            update_verdict(record, crash.report.service, now);
        }
        // An item that crashes endpoints by itself says nothing of its part.
        if (record.is_part && crash.was_on_trial && !is_explained) {
            record.survived_retries = 0;
            extend_quarantine(record, now);
        }
        suspect_if_crashed_most(record, crash.report);
        attributed.causes.push_back({record, one.if_innocent, one.on_trial});
    }
    crash.judged = crash.report.runs.size();
    update_unexplained(crash);
    return attributed;
}

// Crashes of one moment may have another cause, and say little. But if copies of the request
// broke off, and so many of the endpoints crashed, the next copies could take away what is left.
void poison_detector::suspect_if_crashed_most(poison_record& record, const crash_report& report) {
    if (record.is_part || record.verdict != request_verdict::unsuspected)
        return;
    std::size_t crashes = 0;
    for (const std::pair<const endpoint_process, known_crash>& one : crashes_) {
        const std::vector<crashed_run>& runs = one.second.report.runs;
        const bool was_running =
            one.second.report.service == report.service &&
            std::any_of(runs.begin(), runs.end(), [&record](const crashed_run& run) {
                return run.request == record.request && !run.was_complete;
            });
        if (was_running && unexplained_without(one.second, record.request) > min_unexplained)
            ++crashes;
    }
    if (crashes < min_crashes_to_quarantine || 2 * crashes < report.endpoints)
        return;
    record.verdict = request_verdict::suspect;
    publish(record);
}

std::uint64_t poison_detector::control_runs(const poison_record& record,
                                            const service_id& service) const {
    auto found = services_.find(service);
    if (found == services_.end())
        return 0;
    std::uint64_t survived_runs = 0;
    for (const std::pair<const entry_id, std::uint32_t>& one : found->second.survived_runs)
        survived_runs += one.second;
    return survived_runs - std::min<std::uint64_t>(survived_runs, record.survived_runs);
}

bool poison_detector::awaits_control(const fingerprint& part, const service_id& service,
                                     instant now) const {
    const poison_record* record = find(part);
    if (record == nullptr || !record->is_part || record->trial_crashes == 0 ||
        now >= record->last_crash_at + pause_without_control ||
        control_runs(*record, service) >= min_control_runs)
        return false;
    // Runs of the less suspected parts, without this one, are the control.
    for (const std::pair<const endpoint_process, known_crash>& crash : crashes_) {
        if (crash.second.report.service != service || crash.second.causes.count(part) == 0)
            continue;
        for (const std::pair<const fingerprint, std::set<fingerprint>>& cause :
             crash.second.causes) {
            const poison_record* other = find(cause.first);
            if (other != nullptr && other->is_part && other->log_odds > record->log_odds)
                return false;
        }
    }
    return true;
}

void poison_detector::update_verdict(poison_record& record, const service_id& service,
                                     instant now) {
    const std::uint64_t control = control_runs(record, service);
    const bool controlled = !record.is_part || control >= min_control_runs;
    const std::uint32_t trial_crashes =
        control >= ample_control_runs ? min_trial_crashes : min_trial_crashes + 1;
    const bool may_quarantine = !record.is_part || record.quarantines > 0 ||
                                (controlled && record.trial_crashes >= trial_crashes);
    const bool is_proved = may_quarantine && record.crashes >= min_crashes_to_quarantine &&
                           record.log_odds >= quarantine_log_odds;
    const bool was_unsuspected = record.verdict == request_verdict::unsuspected;
    if (is_proved && record.verdict != request_verdict::quarantined) {
        quarantine(record, now);
    } else if (was_unsuspected) {
        if (is_suspicious(record, controlled))
            record.verdict = request_verdict::suspect;
        else if (record.log_odds < (record.is_part ? part_watch_log_odds : watch_log_odds))
            return;
    }
    if (was_unsuspected && record.verdict != request_verdict::unsuspected)
        count_relapse(record, now);
    publish(record);
}

} // namespace cassia::policy
