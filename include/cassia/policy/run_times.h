/// How long runs of a service usually take, by their size and the load of the endpoint. Pure.
#pragma once

#include "cassia/base/clock.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <tuple>

namespace cassia::policy {

/// What the duration of a run depends on, other than on the pace of its endpoint.
struct run_shape {
    bool is_stream = false; ///< its duration is the mean time between two events
    std::size_t bytes = 0;  ///< of request and response; 0 for a stream
    std::uint32_t load = 0; ///< requests that ran or waited at the endpoint
};

class run_times {
public:
    /// \param duration at the usual pace.
    void record(const run_shape& shape, microseconds duration);
    /// Nothing until enough runs of this shape are known.
    std::optional<microseconds> expected(const run_shape& shape) const;

private:
    /// Stream or not, size by powers of two, load by steps of two requests.
    using shape_class = std::tuple<bool, std::uint32_t, std::uint32_t>;
    struct mean {
        double log_us = 0;
        std::uint32_t runs = 0;
    };

    static shape_class class_of(const run_shape& shape);

    std::map<shape_class, mean> means_;
};

} // namespace cassia::policy
