#include "cassia/policy/run_times.h"

#include <algorithm>
#include <bit>
#include <cmath>

namespace cassia::policy {

namespace {
constexpr std::uint32_t min_runs = 8;
constexpr double least_weight = 0.02;
constexpr std::uint32_t requests_per_class = 2;
constexpr std::uint32_t max_load_class = 31;
} // namespace

run_times::shape_class run_times::class_of(const run_shape& shape) {
    return {shape.is_stream, static_cast<std::uint32_t>(std::bit_width(shape.bytes)),
            std::min(shape.load / requests_per_class, max_load_class)};
}

void run_times::record(const run_shape& shape, microseconds duration) {
    if (duration <= microseconds(0))
        return;
    mean& known = means_[class_of(shape)];
    ++known.runs;
    const double weight = std::max(least_weight, 1.0 / known.runs);
    known.log_us += weight * (std::log(static_cast<double>(duration.count())) - known.log_us);
}

std::optional<microseconds> run_times::expected(const run_shape& shape) const {
    auto found = means_.find(class_of(shape));
    if (found == means_.end() || found->second.runs < min_runs)
        return std::nullopt;
    return microseconds(std::llround(std::exp(found->second.log_us)));
}

} // namespace cassia::policy
