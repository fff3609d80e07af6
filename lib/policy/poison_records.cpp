// Records of requests and parts: their publication, quarantine and expiry.

#include "cassia/policy/poison_detector.h"

#include "cassia/base/digest.h"
#include "cassia/policy/trial_schedule.h"
#include "poison_odds.h"

#include <algorithm>
#include <string>
#include <tuple>
#include <utility>

namespace cassia::policy {

namespace {
constexpr std::size_t max_records = 4096;
constexpr milliseconds first_quarantine(600000);
constexpr std::uint32_t max_quarantine_doublings = 4;
// A part is shared by many callers, so it is retried soon, and less often with each crash beyond
// those that are tolerated.
constexpr milliseconds first_part_quarantine(5000);
constexpr std::uint32_t part_quarantine_factor = 3;
constexpr milliseconds max_part_quarantine(600000);
constexpr std::uint32_t tolerated_crashes = 5;
constexpr milliseconds contact_time(3000);
// Crashes until the first verdict show how long that took, not that the part goes on.
constexpr std::uint32_t max_late_before_verdict = 2;
// A part that is suspected again so soon after it was cleared crashes some of its runs only.
constexpr milliseconds relapse_window(60000);
// Of a part that one more crash in a run alone quarantines again.
const double retry_log_odds = part_success_loss - repeated_gain / 4;
// Of a part that crashed endpoints and may do so again.
constexpr double cleared_log_odds = -2.5;
// Reports within this time are of the same run; runs alone end further apart.
constexpr milliseconds same_retry = late_crash_time / 2;
} // namespace

void poison_detector::publish(poison_record& record) {
    if (record.version++ == 0)
        ++published_;
    changed_.push_back(record.request);
}

static milliseconds part_quarantine(std::uint32_t late_crashes) {
    milliseconds time = first_part_quarantine;
    for (std::uint32_t i = 0; i < late_crashes && time < max_part_quarantine; ++i)
        time *= part_quarantine_factor;
    return std::min(time, max_part_quarantine);
}

void poison_detector::quarantine(poison_record& record, instant now) {
    const std::uint32_t doublings = std::min(record.quarantines, max_quarantine_doublings);
    const milliseconds time = record.is_part ? part_quarantine(record.late_crashes)
                                             : first_quarantine * (1U << doublings);
    record.verdict = request_verdict::quarantined;
    record.quarantined_until = now + time;
    record.survived_retries = 0;
    ++record.quarantines;
}

bool poison_detector::is_cleared_by_retries(const poison_record& record) {
    return record.is_part && record.quarantines > 0 &&
           record.verdict != request_verdict::unsuspected;
}

void poison_detector::count_relapse(poison_record& record, instant now) {
    if (!record.is_part || record.quarantines == 0)
        return;
    record.survived_retries = 0;
    const bool is_relapse =
        record.cleared_at != instant() && now - record.cleared_at <= relapse_window;
    record.relapses = is_relapse ? std::min(record.relapses + 1, max_relapses) : 0;
    if (is_relapse)
        record.log_odds = std::max(record.log_odds, retry_log_odds);
}

// Retries while it is quarantined are made by items alone, which have to run.
void poison_detector::count_crash(poison_record& record, instant crashed_at) {
    if (!record.is_part || record.verdict == request_verdict::quarantined)
        return;
    if (++record.all_crashes == tolerated_crashes)
        record.known_at = crashed_at;
    else if (record.all_crashes > tolerated_crashes &&
             crashed_at > record.known_at + contact_time &&
             (record.quarantines > 0 || record.late_crashes < max_late_before_verdict))
        ++record.late_crashes;
}

void poison_detector::extend_quarantine(poison_record& record, instant now) {
    const instant until = now + first_part_quarantine;
    if (record.verdict != request_verdict::quarantined || until <= record.quarantined_until)
        return;
    record.quarantined_until = until;
    publish(record);
}

bool poison_detector::may_have_crashed_since(const poison_record& part, instant since) const {
    return part.last_crash_at > since ||
           std::any_of(crashes_.begin(), crashes_.end(), [&part, since](const auto& one) {
               const known_crash& crash = one.second;
               return crash.judged < crash.report.runs.size() && crash.report.crashed_at > since &&
                      crash.causes.count(part.request) > 0;
           });
}

// The run ended at least a second ago and began before that. Its gateway has compared it with what
// it knew of earlier crashes.
void poison_detector::record_retry_success(const fingerprint& part, instant now) {
    auto found = records_.find(part);
    if (found == records_.end())
        return;
    poison_record& record = found->second;
    if (!is_cleared_by_retries(record) || may_have_crashed_since(record, now - late_crash_time) ||
        now - record.retry_survived_at < same_retry)
        return;
    record.retry_survived_at = now;
    if (++record.survived_retries < 1U << record.relapses) {
        // Its requests go on to run alone.
        record.quarantined_until = std::min(record.quarantined_until, now);
        end_quarantine(record, now);
        publish(record);
        return;
    }
    record.verdict = request_verdict::unsuspected;
    record.log_odds = std::min(record.log_odds, cleared_log_odds);
    record.crashes = record.trial_crashes = 0;
    record.all_crashes = record.late_crashes = 0;
    record.cleared_at = now;
    publish(record);
}

void poison_detector::end_quarantine(poison_record& record, instant now) const {
    if (record.verdict != request_verdict::quarantined || now < record.quarantined_until)
        return;
    record.verdict = request_verdict::suspect;
    record.log_odds = quarantine_log_odds - repeated_gain;
    if (record.is_part)
        record.log_odds = std::min(record.log_odds, retry_log_odds);
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
    return now > std::max({record.last_crash_at, record.quarantined_until, record.cleared_at}) +
                     retention;
}

void poison_detector::expire(instant now) {
    std::erase_if(services_,
                  [now](const auto& one) { return now > one.second.reported_at + retention; });
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

bool poison_detector::awaits_retry(const fingerprint& cause, instant now) const {
    const poison_record* record = find(cause);
    return record != nullptr && record->is_part && record->quarantines > 0 &&
           judge(cause, now) == request_verdict::suspect;
}

double poison_detector::risk_of(const fingerprint& request) const {
    const poison_record* record = find(request);
    const bool is_decided_alone =
        record == nullptr || record->is_part || record->verdict == request_verdict::quarantined;
    return is_decided_alone ? 1 : to_probability(record->log_odds);
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
