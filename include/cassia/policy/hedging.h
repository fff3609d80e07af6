/// Decides when a call that is late is sent to a second endpoint as well. Pure.
#pragma once

#include "cassia/base/clock.h"
#include "cassia/base/ids.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

namespace cassia::policy {

/// A call that waits for its response.
struct pending_call {
    service_id service;
    microseconds queued{0};  ///< from its arrival until it was sent
    microseconds running{0}; ///< since it was sent
    microseconds target{0};  ///< from its arrival
};

class hedging {
public:
    /// \param percent largest share of a service's calls that get a second attempt; 0 for none.
    explicit hedging(std::uint32_t percent = 0) : percent_(percent) {}

    bool is_enabled() const { return percent_ > 0; }
    /// A call has ended, whether it was hedged or not. Each adds to the budget of its service.
    void record_call(const service_id& service);
    /// Time from sending a request to its complete response, or to its cancellation in favour of
    /// another attempt.
    void record_response(const service_id& service, microseconds time);
    /// Whether the call should get a second attempt now, and the budget allows it: this is the last
    /// moment when a run of usual length would still meet the target, or the call takes longer than
    /// 95 of 100 and the budget is nearly full.
    bool is_due(const pending_call& call);
    /// A second attempt was sent.
    void record_hedge(const service_id& service);

private:
    struct service_state {
        std::vector<microseconds> times; ///< of the latest responses; a ring once it is full
        std::size_t oldest = 0;          ///< overwritten next
        bool is_current = false;         ///< `median` and `tail` belong to `times`
        microseconds median{0};
        microseconds tail{0};
        std::uint64_t budget = 0; ///< in hundredths of a second attempt
    };

    static void update(service_state& state);

    std::uint32_t percent_;
    std::map<service_id, service_state> services_;
};

} // namespace cassia::policy
