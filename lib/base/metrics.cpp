#include "cassia/base/metrics.h"

#include <boost/histogram/axis/regular.hpp>
#include <boost/histogram/histogram.hpp>
#include <boost/histogram/make_histogram.hpp>

#include <sstream>

namespace cassia {

namespace {
namespace bh = boost::histogram;
using log_axis = bh::axis::regular<double, bh::axis::transform::log>;
using log_histogram = bh::histogram<std::tuple<log_axis>>;

constexpr unsigned bucket_count = 160;
constexpr double least_us = 10;
constexpr double most_us = 1e9;
} // namespace

struct latency_histogram::buckets {
    log_histogram cells = bh::make_histogram(log_axis(bucket_count, least_us, most_us));
};

latency_histogram::latency_histogram() : buckets_(std::make_unique<buckets>()) {}
latency_histogram::latency_histogram(latency_histogram&&) noexcept = default;
latency_histogram& latency_histogram::operator=(latency_histogram&&) noexcept = default;
latency_histogram::~latency_histogram() = default;

void latency_histogram::add(microseconds duration) {
    buckets_->cells(static_cast<double>(duration.count()));
    ++count_;
}

microseconds latency_histogram::quantile(double q) const {
    if (count_ == 0)
        return microseconds(0);
    const double wanted = q * static_cast<double>(count_);
    double seen = buckets_->cells.at(-1);
    if (seen >= wanted && seen > 0)
        return microseconds(static_cast<std::int64_t>(least_us));
    for (unsigned i = 0; i < bucket_count; ++i) {
        seen += buckets_->cells.at(static_cast<int>(i));
        if (seen >= wanted) {
            const double edge = buckets_->cells.axis().bin(static_cast<int>(i)).upper();
            return microseconds(static_cast<std::int64_t>(edge));
        }
    }
    return microseconds(static_cast<std::int64_t>(most_us));
}

std::string latency_histogram::to_csv() const {
    std::ostringstream text;
    constexpr double us_per_ms = 1000;
    for (unsigned i = 0; i < bucket_count; ++i) {
        const double cell = buckets_->cells.at(static_cast<int>(i));
        if (cell > 0)
            text << buckets_->cells.axis().bin(static_cast<int>(i)).upper() / us_per_ms << ','
                 << cell << '\n';
    }
    return text.str();
}

void metrics::count(std::string_view name, std::uint64_t by) {
    auto found = counters_.find(name);
    if (found == counters_.end())
        found = counters_.emplace(std::string(name), 0).first;
    found->second += by;
}

void metrics::observe(std::string_view name, microseconds duration) {
    auto found = histograms_.find(name);
    if (found == histograms_.end())
        found = histograms_.emplace(std::string(name), latency_histogram()).first;
    found->second.add(duration);
}

void metrics::set(std::string_view name, std::uint64_t value) {
    values_[std::string(name)] = value;
}

std::uint64_t metrics::counter(std::string_view name) const {
    auto found = counters_.find(name);
    return found == counters_.end() ? 0 : found->second;
}

const latency_histogram* metrics::histogram(std::string_view name) const {
    auto found = histograms_.find(name);
    return found == histograms_.end() ? nullptr : &found->second;
}

std::string metrics::to_text(std::string_view prefix) const {
    constexpr double us_per_second = 1e6;
    std::ostringstream text;
    for (const std::pair<const std::string, std::uint64_t>& counter : counters_)
        text << "# TYPE " << prefix << counter.first << "_total counter\n"
             << prefix << counter.first << "_total " << counter.second << '\n';
    for (const std::pair<const std::string, std::uint64_t>& value : values_)
        text << "# TYPE " << prefix << value.first << " gauge\n"
             << prefix << value.first << ' ' << value.second << '\n';
    for (const std::pair<const std::string, latency_histogram>& entry : histograms_) {
        text << "# TYPE " << prefix << entry.first << "_seconds summary\n";
        for (const double q : {0.5, 0.95, 0.99})
            text << prefix << entry.first << "_seconds{quantile=\"" << q << "\"} "
                 << static_cast<double>(entry.second.quantile(q).count()) / us_per_second << '\n';
        text << prefix << entry.first << "_seconds_count " << entry.second.count() << '\n';
    }
    return text.str();
}

} // namespace cassia
