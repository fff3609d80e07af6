// What else may explain a crash: other causes that ran there, and crashes of that time.

#include "cassia/policy/poison_detector.h"
#include "cassia/policy/trial_schedule.h"

#include "poison_odds.h"

#include <algorithm>
#include <cmath>
#include <tuple>
#include <utility>

namespace cassia::policy {

namespace {
// A series of crashes begins with a higher rate than that of the whole window.
constexpr milliseconds burst_window(1000);
constexpr double min_running_share = 0.25;
// So many other crashes in this time are an outage, which a run alone has no part in.
constexpr milliseconds outage_window(250);
constexpr double outage_crashes = 2;
// Causes whose odds differ by more aren't taken for each other.
constexpr double twin_distance = 1;
} // namespace

// Suspects may crash the endpoints that they run alone at. The others show how often endpoints
// crash anyway, if there are any.
static double without_trials(double crashes, double on_trial, std::uint32_t endpoints) {
    const std::size_t controls =
        endpoints - std::min<std::size_t>(endpoints, max_trials(endpoints));
    if (controls == 0)
        return crashes;
    return std::min(crashes, (crashes - on_trial) * endpoints / static_cast<double>(controls));
}

double poison_detector::probability_of(const fingerprint& request) const {
    auto found = records_.find(request);
    return to_probability(found == records_.end() ? prior_log_odds : found->second.log_odds);
}

void poison_detector::update_unexplained(known_crash& crash) const {
    crash.unexplained = 1;
    for (const std::pair<const fingerprint, std::set<fingerprint>>& cause : crash.causes)
        crash.unexplained *= 1 - probability_of(cause.first);
}

double poison_detector::unexplained_without(const known_crash& crash,
                                            const fingerprint& cause) const {
    auto found = crash.causes.find(cause);
    if (found == crash.causes.end())
        return crash.unexplained;
    return std::min(1.0, crash.unexplained / (1 - probability_of(cause)));
}

// A run that was complete before may crash the endpoint at any time of the second after it, and
// seldom does so just within a short run alone.
double poison_detector::late_explanations(const std::vector<candidate>& candidates,
                                          const candidate& trial) const {
    if (!trial.on_trial)
        return 1;
    const double within_trial =
        std::min(1.0, to_seconds(trial.duration) / to_seconds(late_crash_time));
    double correction = 1;
    for (const candidate& other : candidates) {
        if (&other == &trial || other.was_running)
            continue;
        const double probability = to_probability(other.record->log_odds);
        correction *= (1 - probability) / (1 - probability * within_trial);
    }
    return correction;
}

// A part crashes endpoints by the runs of its requests, so it is no excuse for one that ran alone.
double poison_detector::own_parts_innocent(const known_crash& crash, const candidate& trial) const {
    if (!trial.on_trial || trial.record->is_part)
        return 1;
    double innocent = 1;
    for (const fingerprint& part : crash.causes.at(trial.record->request))
        innocent *= 1 - probability_of(part);
    return innocent;
}

std::optional<microseconds> poison_detector::time_since(const known_crash& crash,
                                                        const known_crash& other) {
    const microseconds distance = crash.report.crashed_at - other.report.crashed_at;
    const bool is_near = distance >= -same_moment && distance <= background_window;
    if (!is_near || other.report.process == crash.report.process ||
        other.report.service != crash.report.service)
        return std::nullopt;
    return distance;
}

// By what is known now: a cause that was found out since explains its earlier crashes.
void poison_detector::set_background(const known_crash& crash,
                                     std::vector<candidate>& candidates) const {
    struct counted {
        double recent = 0;
        double recent_on_trial = 0;
        double burst = 0;
        double simultaneous = 0;
        double latest = 0;
        double simultaneous_on_trial = 0;
        void add(microseconds distance, double unexplained, bool on_trial) {
            latest += distance <= outage_window ? unexplained : 0;
            if (distance <= same_moment) {
                simultaneous += unexplained;
                simultaneous_on_trial += on_trial ? unexplained : 0;
                return;
            }
            recent += unexplained;
            recent_on_trial += on_trial ? unexplained : 0;
            burst += distance <= burst_window ? unexplained : 0;
        }
    };
    counted all;
    std::map<fingerprint, counted> corrections;
    for (const candidate& one : candidates)
        corrections[one.record->request] = {};
    for (const std::pair<const endpoint_process, known_crash>& other : crashes_) {
        const std::optional<microseconds> distance = time_since(crash, other.second);
        if (!distance)
            continue;
        all.add(*distance, other.second.unexplained, other.second.was_on_trial);
        for (std::pair<const fingerprint, counted>& one : corrections) {
            if (other.second.causes.count(one.first) > 0)
                one.second.add(*distance,
                               unexplained_without(other.second, one.first) -
                                   other.second.unexplained,
                               other.second.was_on_trial);
        }
    }
    const double endpoints = std::max(crash.report.endpoints, 1U);
    for (candidate& one : candidates) {
        const counted& correction = corrections.at(one.record->request);
        const double recent = without_trials(all.recent + correction.recent,
                                             all.recent_on_trial + correction.recent_on_trial,
                                             crash.report.endpoints);
        const double simultaneous = without_trials(
            all.simultaneous + correction.simultaneous,
            all.simultaneous_on_trial + correction.simultaneous_on_trial, crash.report.endpoints);
        double rate = recent / to_seconds(background_window) / endpoints;
        if (one.record->is_part) {
            // The endpoints that crashed a moment ago don't run anything now.
            const double burst = all.burst + correction.burst;
            const double running = std::max(endpoints - burst, endpoints * min_running_share);
            one.on_trial = one.on_trial && all.latest + correction.latest < outage_crashes;
            rate = std::max(rate, burst / (running * to_seconds(burst_window)));
        }
        const double within_run = 1 - std::exp(-rate * to_seconds(one.duration));
        one.background = std::min(max_probability, within_run + simultaneous / endpoints);
    }
}

double poison_detector::any_crash_probability(const known_crash& crash,
                                              const candidate& one) const {
    double recent = 0;
    double burst = 0;
    double simultaneous = 0;
    for (const std::pair<const endpoint_process, known_crash>& other : crashes_) {
        const std::optional<microseconds> distance = time_since(crash, other.second);
        if (!distance || other.second.causes.count(one.record->request) > 0)
            continue;
        if (*distance <= same_moment) {
            ++simultaneous;
            continue;
        }
        ++recent;
        burst += *distance <= burst_window ? 1 : 0;
    }
    const double endpoints = std::max(crash.report.endpoints, 1U);
    // Most endpoints may be away at the time.
    const double rate =
        std::max(recent / to_seconds(background_window), burst / to_seconds(burst_window)) /
        (endpoints * min_running_share);
    const double within_run = 1 - std::exp(-rate * to_seconds(one.duration));
    return std::min(max_probability, within_run + simultaneous / endpoints);
}

void poison_detector::find_twins(std::vector<candidate>& candidates) const {
    std::map<std::set<endpoint_process>, std::vector<candidate*>> groups;
    for (candidate& one : candidates) {
        if (one.record->crashes == 0)
            continue;
        std::set<endpoint_process> crashes;
        for (const std::pair<const endpoint_process, known_crash>& crash : crashes_) {
            if (crash.second.causes.count(one.record->request) > 0)
                crashes.insert(crash.first);
        }
        groups[crashes].push_back(&one);
    }
    for (std::pair<const std::set<endpoint_process>, std::vector<candidate*>>& group : groups) {
        std::vector<candidate*>& members = group.second;
        std::sort(members.begin(), members.end(), [](const candidate* a, const candidate* b) {
            return std::make_tuple(a->record->log_odds, !a->record->is_part, a->record->request) >
                   std::make_tuple(b->record->log_odds, !b->record->is_part, b->record->request);
        });
        const double highest = members.front()->record->log_odds;
        std::erase_if(members, [highest](const candidate* one) {
            return one->record->log_odds < highest - twin_distance;
        });
        // A request that runs with a part each time is the narrower cause.
        auto request = std::find_if(members.begin(), members.end(),
                                    [](const candidate* one) { return !one->record->is_part; });
        const candidate* leader = request == members.end() ? members.front() : *request;
        for (candidate* one : members) {
            // Only runs on trial distinguish requests.
            if (!one->record->is_part)
                continue;
            one->is_follower = one != leader;
            for (const candidate* other : members) {
                if (other != one)
                    one->without_twins *= 1 - to_probability(other->record->log_odds);
            }
        }
    }
}

} // namespace cassia::policy
