#include "cassia/policy/pace_reports.h"

#include <algorithm>

namespace cassia::policy {

namespace {
// Smaller changes go with messages that are sent for other reasons, so that noise in reports
// doesn't cause messages.
constexpr std::uint32_t min_change_percent = 20;
// What was announced is remembered longer than reports are passed on, so that an endpoint that is
// always slow and rarely used isn't announced anew with each report.
constexpr milliseconds remembered_time(10000);
} // namespace

static bool is_young(const pace_report& report, instant now) {
    return now - report.reported_at < max_shared_pace_age;
}

void pace_reports::add(const entry_id& from, const pace_report_map& reports, instant now) {
    for (const std::pair<const endpoint_id, pace_report>& one : reports) {
        if (!is_young(one.second, now))
            continue;
        entry& known = entries_[one.first];
        if (known.revision > 0 && one.second.reported_at <= known.report.reported_at)
            continue;
        known.from = from;
        known.report = one.second;
        known.revision = ++revision_;
        const std::uint32_t percent = one.second.percent;
        if (std::max(percent, known.announced) - std::min(percent, known.announced) <
            min_change_percent)
            continue;
        known.announced = percent;
        known.changed = revision_;
    }
}

void pace_reports::expire(instant now) {
    std::erase_if(entries_, [now](const std::pair<const endpoint_id, entry>& one) {
        return now - one.second.report.reported_at > remembered_time;
    });
}

template <class Matches>
pace_report_map pace_reports::select(std::uint64_t revision, instant now, Matches matches) const {
    pace_report_map selected;
    for (const std::pair<const endpoint_id, entry>& one : entries_) {
        const entry& known = one.second;
        if (known.revision > revision && is_young(known.report, now) && matches(known.from))
            selected.emplace_hint(selected.end(), one.first, known.report);
    }
    return selected;
}

template <class Matches>
bool pace_reports::any_changed(std::uint64_t revision, instant now, Matches matches) const {
    return std::any_of(entries_.begin(), entries_.end(), [&](const auto& one) {
        return one.second.changed > revision && is_young(one.second.report, now) &&
               matches(one.second.from);
    });
}

bool pace_reports::changed_since(std::uint64_t revision, const entry_id& receiver,
                                 instant now) const {
    return any_changed(revision, now, [&](const entry_id& from) { return from != receiver; });
}

pace_report_map pace_reports::since(std::uint64_t revision, const entry_id& receiver,
                                    instant now) const {
    return select(revision, now, [&](const entry_id& from) { return from != receiver; });
}

bool pace_reports::changed_from(std::uint64_t revision, const entry_id& sender, instant now) const {
    return any_changed(revision, now, [&](const entry_id& from) { return from == sender; });
}

pace_report_map pace_reports::since_from(std::uint64_t revision, const entry_id& sender,
                                         instant now) const {
    return select(revision, now, [&](const entry_id& from) { return from == sender; });
}

} // namespace cassia::policy
