/// Counters and latency histograms of one task.
#pragma once

#include "cassia/base/clock.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace cassia {

/// Durations from 10 us to 1000 s in buckets about 12% wide.
class latency_histogram {
public:
    latency_histogram();
    latency_histogram(latency_histogram&&) noexcept;
    latency_histogram& operator=(latency_histogram&&) noexcept;
    ~latency_histogram();

    void add(microseconds duration);
    std::uint64_t count() const { return count_; }

    /// The upper edge of the bucket that holds quantile `q` (0 to 1); zero if empty.
    microseconds quantile(double q) const;

    /// One line a bucket that isn't empty: upper edge in ms, count.
    std::string to_csv() const;

private:
    struct buckets;
    std::unique_ptr<buckets> buckets_;
    std::uint64_t count_ = 0;
};

/// The metrics of one task. Not shared between threads: a dump asks each task for its own text.
class metrics {
public:
    void count(std::string_view name, std::uint64_t by = 1);
    void observe(std::string_view name, microseconds duration);
    /// A value that goes up and down.
    void set(std::string_view name, std::uint64_t value);

    std::uint64_t counter(std::string_view name) const;
    const latency_histogram* histogram(std::string_view name) const;

    /// Prometheus text: counters, values, and quantiles of the histograms in seconds.
    std::string to_text(std::string_view prefix) const;

private:
    std::map<std::string, std::uint64_t, std::less<>> counters_;
    std::map<std::string, std::uint64_t, std::less<>> values_;
    std::map<std::string, latency_histogram, std::less<>> histograms_;
};

} // namespace cassia
