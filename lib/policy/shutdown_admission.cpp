#include "cassia/policy/shutdown_admission.h"

#include <algorithm>

namespace cassia::policy {

namespace {
constexpr std::size_t max_runs = 256;
// With fewer, the longest says little about the tail.
constexpr std::size_t min_runs = 8;
// The runs next in size that a request is judged by. A larger request takes longer, so they bound
// its time from above; more of them would bound it less closely.
constexpr std::size_t compared_runs = 16;
// A stream that has begun can't be ended by a whole response, so it has to end in time for certain.
constexpr std::size_t stream_percent = 100;
// A call always gets a whole response, but its caller can't repeat one that may have run.
constexpr std::size_t call_percent = 95;
// Rejected, a call that may be repeated runs elsewhere at once; this is worth it if it would more
// likely than not fail here.
constexpr std::size_t repeatable_call_percent = 50;
// For sending the last bytes.
constexpr milliseconds response_margin(50);
constexpr std::size_t percent = 100;
} // namespace

shutdown_admission::run_class shutdown_admission::class_of(const run_kind& kind) {
    return {kind.service, kind.is_stream, kind.tokens > 0};
}

void shutdown_admission::record(const run_kind& kind, microseconds time) {
    recent_runs& known = runs_[class_of(kind)];
    if (known.runs.size() < max_runs) {
        known.runs.push_back({kind.tokens, time});
        return;
    }
    known.runs[known.oldest] = {kind.tokens, time};
    known.oldest = (known.oldest + 1) % max_runs;
}

std::optional<microseconds> shutdown_admission::quantile(const run_kind& kind,
                                                         std::size_t share) const {
    auto found = runs_.find(class_of(kind));
    if (found == runs_.end())
        return std::nullopt;
    std::vector<run> larger;
    for (const run& one : found->second.runs) {
        if (one.tokens >= kind.tokens)
            larger.push_back(one);
    }
    if (larger.size() < min_runs)
        return std::nullopt;
    std::sort(larger.begin(), larger.end(),
              [](const run& a, const run& b) { return a.tokens < b.tokens; });
    const std::size_t compared = std::min(larger.size(), compared_runs);
    const std::uint64_t largest = larger[compared - 1].tokens;
    std::vector<microseconds> times;
    for (const run& one : larger) {
        if (one.tokens <= largest)
            times.push_back(one.time);
    }
    const std::size_t rank = (times.size() * share + percent - 1) / percent;
    const auto at = times.begin() + static_cast<std::ptrdiff_t>(rank - 1);
    std::nth_element(times.begin(), at, times.end());
    return *at;
}

bool shutdown_admission::may_send(const late_request& request, instant now) const {
    if (!stop_at_)
        return true;
    const instant end_by = *stop_at_ - response_margin;
    if (now >= end_by)
        return false;
    if (request.deadline <= end_by)
        return true;
    const bool is_repeatable_call = request.is_repeatable && !request.kind.is_stream;
    std::size_t share = is_repeatable_call ? repeatable_call_percent : call_percent;
    if (request.kind.is_stream)
        share = stream_percent;
    const std::optional<microseconds> time = quantile(request.kind, share);
    return time ? now + *time <= end_by : is_repeatable_call;
}

} // namespace cassia::policy
