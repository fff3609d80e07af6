/// Decides which requests are still sent to endpoints while a gateway shuts down. Pure.
#pragma once

#include "cassia/base/clock.h"
#include "cassia/base/ids.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <tuple>
#include <vector>

namespace cassia::policy {

/// What the time of a run depends on.
struct run_kind {
    service_id service;
    bool is_stream = false;
    std::uint64_t tokens = 0; ///< of the prompt and the longest response; 0 if unknown
};

/// A request that is to be sent to an endpoint.
struct late_request {
    run_kind kind;
    instant deadline{};         ///< has its final response by then
    bool is_repeatable = false; ///< its caller may send it again although it has run
};

class shutdown_admission {
public:
    /// \param time from sending the request until its response was complete, or at least that.
    void record(const run_kind& kind, microseconds time);
    /// \param stop_at when all open requests are ended.
    void begin(instant stop_at) { stop_at_ = stop_at; }
    bool has_begun() const { return stop_at_.has_value(); }
    /// Whether the request may be sent. Without a shutdown every one may.
    bool may_send(const late_request& request, instant now) const;

private:
    struct run {
        std::uint64_t tokens = 0;
        microseconds time{0};
    };
    struct recent_runs {
        std::vector<run> runs;  ///< a ring once it is full
        std::size_t oldest = 0; ///< overwritten next
    };
    /// Service, stream or not, and whether the size is known.
    using run_class = std::tuple<service_id, bool, bool>;

    static run_class class_of(const run_kind& kind);
    /// Time within which so many of 100 runs of this kind end; nothing if too few are known.
    std::optional<microseconds> quantile(const run_kind& kind, std::size_t share) const;

    std::optional<instant> stop_at_;
    std::map<run_class, recent_runs> runs_;
};

} // namespace cassia::policy
