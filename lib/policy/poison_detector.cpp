#include "cassia/policy/poison_detector.h"

#include "cassia/base/digest.h"

#include <algorithm>
#include <cmath>
#include <string>
#include <tuple>
#include <utility>

namespace cassia::policy {

namespace {
// One request in a thousand is assumed to be poison.
const double prior_log_odds = std::log(1e-3);
const double suspect_log_odds = 0;
// Several poison requests that run together explain each other's crashes, and only runs alone tell
// them apart. So a request that ran at two crashes is suspected from here on.
const double repeated_suspect_log_odds = -2.5;
constexpr std::uint32_t repeated_crashes = 2;
// One that ran at so many is suspected whatever its odds.
constexpr std::uint32_t sufficient_crashes = 3;
// From here on all gateways know of a request, so that runs which are completed speak for it.
const double watch_log_odds = -3;
const double quarantine_log_odds = std::log(400);
constexpr std::uint32_t min_crashes_to_quarantine = 3;
// After a quarantine a crash that says this much is enough for the next one.
constexpr double repeated_gain = 2;
// Bounds what a single crash shows, so that it takes more than one to suspect a request.
constexpr double max_gain = 5;
// What a crash shows of a request if known poison explains it doesn't count.
constexpr double min_gain = 0.01;
// A poison request is assumed to crash every second of its runs at least.
const double success_loss = std::log(2);
// Gateways detect a crash within milliseconds of each other; a probe may take 50 ms.
constexpr milliseconds collect_time(40);
// Crashes within this time of each other may have one cause, such as a loss of power.
constexpr milliseconds same_moment(25);
// Crashes of this time show how often endpoints crash for other reasons.
constexpr milliseconds background_window(10000);
constexpr milliseconds first_quarantine(600000);
constexpr std::uint32_t max_quarantine_doublings = 4;
constexpr milliseconds retention(600000);
constexpr std::size_t max_records = 4096;
constexpr std::size_t max_crashes = 1024;
constexpr std::size_t max_runs_per_crash = 256;
constexpr double max_probability = 0.999;
} // namespace

static double to_probability(double log_odds) {
    return std::min(max_probability, 1 / (1 + std::exp(-log_odds)));
}

static double to_seconds(microseconds duration) {
    return std::chrono::duration<double>(duration).count();
}

static bool is_suspicious(const poison_record& record) {
    return record.log_odds >= suspect_log_odds || record.crashes >= sufficient_crashes ||
           (record.crashes >= repeated_crashes && record.log_odds >= repeated_suspect_log_odds);
}

void poison_detector::record_crash(const crash_report& report, instant now) {
    if (crashes_.count(report.process) == 0 && crashes_.size() >= max_crashes)
        return;
    known_crash& known = crashes_[report.process];
    if (known.report.runs.empty()) {
        known.report = report;
        known.report.runs.clear();
    }
    if (known.judged == known.report.runs.size())
        known.first_reported_at = now;
    known.report.crashed_at = std::min(known.report.crashed_at, report.crashed_at);
    known.report.endpoints = std::max(known.report.endpoints, report.endpoints);
    for (const crashed_run& run : report.runs) {
        if (known.report.runs.size() >= max_runs_per_crash)
            break;
        known.report.runs.push_back(run);
        known.requests.insert(run.request);
    }
}

void poison_detector::record_successes(const fingerprint& request, std::uint32_t runs,
                                       instant now) {
    auto found = records_.find(request);
    if (found == records_.end())
        return;
    poison_record& record = found->second;
    end_quarantine(record, now);
    record.log_odds = std::max(prior_log_odds, record.log_odds - runs * success_loss);
    if (record.verdict == request_verdict::quarantined)
        return;
    const bool is_forgiven = record.crashes > 0 && record.log_odds < repeated_suspect_log_odds;
    if (is_forgiven)
        record.crashes = 0;
    const bool is_cleared = record.verdict == request_verdict::suspect && !is_suspicious(record);
    if (is_cleared)
        record.verdict = request_verdict::unsuspected;
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

std::vector<poison_detector::candidate> poison_detector::candidates(const known_crash& crash,
                                                                    instant now) {
    std::map<fingerprint, crashed_run> runs;
    for (std::size_t i = crash.judged; i < crash.report.runs.size(); ++i) {
        const crashed_run& run = crash.report.runs[i];
        crashed_run& joined = runs.emplace(run.request, run).first->second;
        joined.duration = std::max(joined.duration, run.duration);
        joined.was_complete = joined.was_complete && run.was_complete;
    }
    std::vector<candidate> found;
    for (const std::pair<const fingerprint, crashed_run>& run : runs)
        record_of(run.first, now); // may evict another record, so pointers are taken afterwards
    for (const std::pair<const fingerprint, crashed_run>& run : runs) {
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
        found.push_back({&record, run.second.duration, run.second.was_complete, counts});
    }
    return found;
}

double poison_detector::probability_of(const fingerprint& request) const {
    auto found = records_.find(request);
    return to_probability(found == records_.end() ? prior_log_odds : found->second.log_odds);
}

void poison_detector::update_unexplained(known_crash& crash) const {
    crash.unexplained = 1;
    for (const fingerprint& request : crash.requests)
        crash.unexplained *= 1 - probability_of(request);
}

double poison_detector::unexplained_without(const known_crash& crash,
                                            const fingerprint& request) const {
    const bool ran_there = crash.requests.count(request) > 0;
    return ran_there ? std::min(1.0, crash.unexplained / (1 - probability_of(request)))
                     : crash.unexplained;
}

double poison_detector::background(const endpoint_process& process, const known_crash& crash,
                                   const fingerprint& request, milliseconds duration) const {
    double recent = 0;
    double simultaneous = 0;
    for (const std::pair<const endpoint_process, known_crash>& other : crashes_) {
        const crash_report& report = other.second.report;
        const microseconds distance = crash.report.crashed_at - report.crashed_at;
        const bool is_near = distance >= -same_moment && distance <= background_window;
        if (other.first == process || report.service != crash.report.service || !is_near)
            continue;
        // By what is known now: a request that was found out since explains its earlier crashes.
        const double unexplained = unexplained_without(other.second, request);
        if (distance <= same_moment)
            simultaneous += unexplained;
        else
            recent += unexplained;
    }
    const double endpoints = std::max(crash.report.endpoints, 1U);
    const double rate = recent / (endpoints * to_seconds(background_window));
    const double within_run = 1 - std::exp(-rate * to_seconds(duration));
    return std::min(max_probability, within_run + simultaneous / endpoints);
}

// Poison crashes its endpoint either while it runs or after its response.
static double probability_of_kind(const poison_record& record, bool late) {
    return late ? record.late_crash_probability : 1 - record.late_crash_probability;
}

static void update_kind(poison_record& record, bool late, double if_innocent) {
    const double fits = probability_of_kind(record, late);
    const double updated = fits / (fits + (1 - fits) * if_innocent);
    const double bounded = std::clamp(updated, 1 - max_probability, max_probability);
    record.late_crash_probability = late ? bounded : 1 - bounded;
}

// For each request: how much likelier is the crash if it is poison than if it isn't? If it isn't,
// one of the others or the background must have caused the crash; so too if it is poison of the
// kind that acts at once, but was complete.
attributed_crash poison_detector::attribute(const endpoint_process& process, known_crash& crash,
                                            instant now) {
    const std::vector<candidate> all = candidates(crash, now);
    update_unexplained(crash);
    std::vector<double> innocent;
    std::vector<double> gains;
    for (const candidate& one : all) {
        const fingerprint& request = one.record->request;
        const double if_innocent = 1 - (1 - background(process, crash, request, one.duration)) *
                                           unexplained_without(crash, request);
        const double fits = probability_of_kind(*one.record, one.was_complete);
        const double if_poison = fits + (1 - fits) * if_innocent;
        innocent.push_back(if_innocent);
        gains.push_back(std::min(max_gain, std::log(if_poison / if_innocent)));
    }
    attributed_crash attributed{process, {}};
    for (std::size_t i = 0; i < all.size(); ++i) {
        poison_record& record = *all[i].record;
        if (all[i].counts && gains[i] >= min_gain) {
            record.log_odds += gains[i];
            update_kind(record, all[i].was_complete, innocent[i]);
            ++record.crashes;
            record.last_crash_at = std::max(record.last_crash_at, crash.report.crashed_at);
            update_verdict(record, now);
        }
        attributed.requests.push_back(record);
    }
    crash.judged = crash.report.runs.size();
    update_unexplained(crash);
    return attributed;
}

void poison_detector::update_verdict(poison_record& record, instant now) {
    const bool is_proved =
        record.crashes >= min_crashes_to_quarantine && record.log_odds >= quarantine_log_odds;
    if (is_proved && record.verdict != request_verdict::quarantined) {
        const std::uint32_t doublings = std::min(record.quarantines, max_quarantine_doublings);
        record.verdict = request_verdict::quarantined;
        record.quarantined_until = now + first_quarantine * (1U << doublings);
        ++record.quarantines;
    } else if (record.verdict == request_verdict::unsuspected) {
        if (is_suspicious(record))
            record.verdict = request_verdict::suspect;
        else if (record.log_odds < watch_log_odds)
            return;
    }
    publish(record);
}

void poison_detector::publish(poison_record& record) {
    if (record.version++ == 0)
        ++published_;
    changed_.push_back(record.request);
}

void poison_detector::end_quarantine(poison_record& record, instant now) const {
    if (record.verdict != request_verdict::quarantined || now < record.quarantined_until)
        return;
    record.verdict = request_verdict::suspect;
    record.log_odds = quarantine_log_odds - repeated_gain;
    record.crashes = min_crashes_to_quarantine - 1;
}

poison_record& poison_detector::record_of(const fingerprint& request, instant now) {
    auto found = records_.find(request);
    if (found != records_.end())
        return found->second;
    if (records_.size() >= max_records)
        evict_one();
    poison_record& record = records_[request];
    record.request = request;
    record.log_odds = prior_log_odds;
    record.last_crash_at = now;
    return record;
}

// What is least suspected goes first, of that the oldest.
void poison_detector::evict_one() {
    auto first =
        std::min_element(records_.begin(), records_.end(), [](const auto& a, const auto& b) {
            return std::make_tuple(a.second.verdict, a.second.last_crash_at) <
                   std::make_tuple(b.second.verdict, b.second.last_crash_at);
        });
    published_ -= first->second.version > 0 ? 1 : 0;
    records_.erase(first);
}

static bool is_expired(const poison_record& record, instant now) {
    return now > std::max(record.last_crash_at, record.quarantined_until) + retention;
}

void poison_detector::expire(instant now) {
    std::erase_if(crashes_, [now](const auto& one) {
        return now > one.second.report.crashed_at + background_window &&
               now > one.second.first_reported_at + background_window;
    });
    for (auto one = records_.begin(); one != records_.end();) {
        if (!is_expired(one->second, now)) {
            ++one;
            continue;
        }
        published_ -= one->second.version > 0 ? 1 : 0;
        one = records_.erase(one);
    }
}

bool poison_detector::merge(const poison_record& record, instant now) {
    if (record.version == 0 || is_expired(record, now))
        return false;
    poison_record& known = record_of(record.request, now);
    const bool is_newer = std::make_tuple(record.version, record.verdict, record.log_odds) >
                          std::make_tuple(known.version, known.verdict, known.log_odds);
    if (!is_newer)
        return false;
    const bool is_same = record.version == known.version && record.verdict == known.verdict;
    published_ += known.version == 0 ? 1 : 0;
    known = record;
    return !is_same;
}

request_verdict poison_detector::judge(const fingerprint& request, instant now) const {
    const poison_record* record = find(request);
    if (record == nullptr)
        return request_verdict::unsuspected;
    const bool is_over =
        record->verdict == request_verdict::quarantined && now >= record->quarantined_until;
    return is_over ? request_verdict::suspect : record->verdict;
}

const poison_record* poison_detector::find(const fingerprint& request) const {
    auto found = records_.find(request);
    return found == records_.end() || found->second.version == 0 ? nullptr : &found->second;
}

std::vector<poison_record> poison_detector::published(std::size_t limit) const {
    std::vector<poison_record> out;
    for (const std::pair<const fingerprint, poison_record>& one : records_) {
        if (one.second.version > 0)
            out.push_back(one.second);
    }
    std::sort(out.begin(), out.end(), [](const poison_record& a, const poison_record& b) {
        return std::make_tuple(a.verdict, a.last_crash_at) >
               std::make_tuple(b.verdict, b.last_crash_at);
    });
    out.resize(std::min(out.size(), limit));
    return out;
}

std::uint64_t poison_detector::digest() const {
    std::uint64_t digest = 0;
    for (const std::pair<const fingerprint, poison_record>& one : records_) {
        if (one.second.version > 0)
            digest ^= stable_hash(one.first.str() + " " + std::to_string(one.second.version));
    }
    return digest;
}

} // namespace cassia::policy
