#include "cassia/policy/endpoint_pace.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace cassia::policy {

namespace {
// Duration of the spans in which an endpoint that shares its VM is slow.
constexpr milliseconds report_decay_time(600);
// A single run says less than a report, as runs of one shape differ, so runs are averaged.
constexpr milliseconds run_decay_time(2000);
constexpr double run_weight = 0.3;
// The usual value follows samples over many slow spans. It is learned faster at first, so that an
// endpoint that is always slow is known after a few seconds.
constexpr std::chrono::duration<double> min_usual_time(2);
constexpr std::chrono::duration<double> max_usual_time(10);
// Factors within this of 1 count as 1: a difference below the noise of runs must not move requests.
constexpr double tolerance = 0.03;
constexpr double min_factor = 0.25;
constexpr double max_factor = 20;
// Reports that are only late differ from the runs in both directions, which cancels out in the
// mean. The thresholds differ so that noise doesn't switch back and forth.
constexpr double mismatch_weight = 0.1;
constexpr double contradiction_ratio = 1.8;
constexpr double agreement_ratio = 1.4;
constexpr std::uint32_t min_compared_runs = 12;
constexpr milliseconds min_compared_time(1500);
constexpr double percent = 100;
} // namespace

static double seconds_between(instant from, instant to) {
    return std::max(0.0, std::chrono::duration<double>(to - from).count());
}

void endpoint_pace::estimate::add(double value, instant now) {
    // A report of another gateway may be older than the latest one.
    if (has_sample() && now < sampled_at)
        return;
    if (!has_sample()) {
        first_at = now;
    } else {
        const double time = std::clamp(seconds_between(first_at, now), min_usual_time.count(),
                                       max_usual_time.count());
        const double weight = 1 - std::exp(-seconds_between(sampled_at, now) / time);
        usual += weight * (value - usual);
    }
    sample = value;
    sampled_at = now;
}

double endpoint_pace::estimate::at(instant now, milliseconds decay_time) const {
    const double age = seconds_between(sampled_at, now);
    const double left = std::exp(-age / std::chrono::duration<double>(decay_time).count());
    return usual + (sample - usual) * left;
}

void endpoint_pace::set_endpoints(const std::map<endpoint_id, service_id>& endpoints) {
    std::erase_if(endpoints_,
                  [&endpoints](const auto& known) { return endpoints.count(known.first) == 0; });
    for (const std::pair<const endpoint_id, service_id>& one : endpoints)
        endpoints_[one.first].service = one.second;
}

void endpoint_pace::record_report(const endpoint_id& endpoint, const load_report& report,
                                  instant now) {
    auto found = endpoints_.find(endpoint);
    if (found == endpoints_.end())
        return;
    found->second.load = report.running + report.waiting;
    if (!report.pace_percent)
        return;
    add_report(found->second, *report.pace_percent, now);
    if (now >= found->second.own_report.reported_at)
        found->second.own_report = {
            static_cast<std::uint32_t>(std::max(1L, std::lround(*report.pace_percent))), now};
}

void endpoint_pace::add_report(endpoint_state& endpoint, double pace_percent, instant now) {
    reporting_.insert(endpoint.service);
    endpoint.reported.add(std::clamp(pace_percent / percent, min_factor, max_factor), now);
}

void endpoint_pace::record_shared(const pace_report_map& reports) {
    for (const std::pair<const endpoint_id, pace_report>& one : reports) {
        auto found = endpoints_.find(one.first);
        if (found != endpoints_.end())
            add_report(found->second, one.second.percent, one.second.reported_at);
    }
}

pace_report_map endpoint_pace::own_reports(instant now) const {
    pace_report_map reports;
    if (source_ == pace_source::none)
        return reports;
    for (const std::pair<const endpoint_id, endpoint_state>& one : endpoints_) {
        const pace_report& latest = one.second.own_report;
        if (latest.percent > 0 && !one.second.contradicted &&
            now - latest.reported_at < max_shared_pace_age)
            reports.emplace_hint(reports.end(), one.first, latest);
    }
    return reports;
}

std::optional<pace_contradiction> endpoint_pace::record_run(const endpoint_id& endpoint,
                                                            const run_shape& shape,
                                                            microseconds actual, instant now) {
    auto found = endpoints_.find(endpoint);
    if (found == endpoints_.end())
        return std::nullopt;
    run_times& times = run_times_[found->second.service];
    const std::optional<microseconds> expected = times.expected(shape);
    std::optional<pace_contradiction> change;
    if (expected)
        change = record_run(endpoint, *expected, actual, now);
    // Without the reported part, so that runs of many slow endpoints don't become the usual ones.
    const double known = found->second.reported.has_sample() ? factor(found->second, now) : 1;
    times.record(shape, microseconds(std::llround(static_cast<double>(actual.count()) / known)));
    return change;
}

std::optional<pace_contradiction> endpoint_pace::record_run(const endpoint_id& endpoint,
                                                            microseconds expected,
                                                            microseconds actual, instant now) {
    auto found = endpoints_.find(endpoint);
    if (source_ == pace_source::none || found == endpoints_.end() || expected <= microseconds(0) ||
        actual <= microseconds(0))
        return std::nullopt;
    endpoint_state& known = found->second;
    const double ratio =
        static_cast<double>(actual.count()) / static_cast<double>(expected.count());
    const double observed = std::clamp(ratio, min_factor, max_factor);
    const double before = known.observed.at(now, run_decay_time);
    known.observed.add(before + run_weight * (observed - before), now);
    return known.reported.has_sample() ? compare(known, observed, now) : std::nullopt;
}

std::optional<pace_contradiction> endpoint_pace::compare(endpoint_state& endpoint, double observed,
                                                         instant now) {
    const double reported = endpoint.reported.at(now, report_decay_time);
    if (endpoint.runs++ == 0)
        endpoint.compared_since = now;
    const double weight = std::max(mismatch_weight, 1.0 / endpoint.runs);
    endpoint.mismatch += weight * (std::log(observed / reported) - endpoint.mismatch);
    const bool judged =
        endpoint.runs >= min_compared_runs && now - endpoint.compared_since >= min_compared_time;
    const double limit = std::log(endpoint.contradicted ? agreement_ratio : contradiction_ratio);
    const bool contradicted = std::abs(endpoint.mismatch) > limit;
    if (!judged || contradicted == endpoint.contradicted)
        return std::nullopt;
    endpoint.contradicted = contradicted;
    endpoint.runs = 0;
    endpoint.mismatch = 0;
    return pace_contradiction{reported, endpoint.observed.at(now, run_decay_time), contradicted};
}

double endpoint_pace::factor(const endpoint_state& endpoint, instant now) const {
    const bool reports = endpoint.reported.has_sample() && !endpoint.contradicted;
    double value = 1;
    if (source_ == pace_source::none)
        return value;
    if (reports)
        value = endpoint.reported.at(now, report_decay_time);
    else if ((endpoint.contradicted || source_ == pace_source::runs) &&
             endpoint.observed.has_sample())
        value = endpoint.observed.at(now, run_decay_time);
    return std::abs(value - 1) < tolerance ? 1 : value;
}

double endpoint_pace::factor(const endpoint_id& endpoint, instant now) const {
    auto found = endpoints_.find(endpoint);
    return found == endpoints_.end() ? 1 : factor(found->second, now);
}

std::optional<std::uint32_t> endpoint_pace::reported_load(const endpoint_id& endpoint) const {
    auto found = endpoints_.find(endpoint);
    return found == endpoints_.end() ? std::nullopt : found->second.load;
}

std::size_t endpoint_pace::count_slower(double factor_limit, instant now) const {
    return static_cast<std::size_t>(
        std::count_if(endpoints_.begin(), endpoints_.end(),
                      [&](const auto& one) { return factor(one.second, now) >= factor_limit; }));
}

std::size_t endpoint_pace::count_contradicted() const {
    return static_cast<std::size_t>(
        std::count_if(endpoints_.begin(), endpoints_.end(),
                      [](const auto& one) { return one.second.contradicted; }));
}

} // namespace cassia::policy
