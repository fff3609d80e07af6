/// Estimates when queued requests of one service get a slot, and when rejected callers should
/// return. Pure.
#pragma once

#include "cassia/base/clock.h"
#include "cassia/policy/request_queue.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

namespace cassia::policy {

/// Slots of a service over the whole fleet, as far as is known.
struct fleet_slots {
    std::uint32_t slots = 0; ///< of usable endpoints
    std::uint32_t busy = 0;  ///< that run online requests
    std::uint32_t batch = 0; ///< that run batch, which may yield
    std::uint32_t gateways = 1;

    /// Whether batch can yield a slot, or more slots are free than are taken while reports of their
    /// use are under way.
    bool has_room() const { return batch > 0 ? busy < slots : busy + slots / unsure_part < slots; }
    /// Whether only slots are left that teams over their share leave to others.
    bool is_reserve_only() const { return busy + reserve() >= slots; }
    /// Counts the reserve as in use, for a team over its share.
    void keep_reserve() { busy = std::min(slots, busy + reserve()); }
    std::uint32_t reserve() const { return slots / reserve_part; }

    /// Part of a service's slots, as large as the one that batch leaves free: the requests of the
    /// first 0.1 s of a load wave find a free slot.
    static constexpr std::uint32_t reserve_part = 8;
    /// In 50 ms runs of 0.7 s release and take a fourteenth of the slots.
    static constexpr std::uint32_t unsure_part = 14;
};

struct slot_estimate {
    milliseconds expected{0};
    milliseconds earliest{0}; ///< less the forecast's own error
};

class slot_forecast {
public:
    /// A request of this service has come to this gateway.
    void record_arrival(instant now);
    /// A run of this gateway has released its slot.
    void record_run(microseconds duration);
    /// A request got its slot, or gave up, after this time.
    void record_wait(milliseconds forecast, microseconds actual);
    /// When a request with this many ahead of it at this gateway gets a slot. Nothing while no run
    /// has ended.
    std::optional<slot_estimate> estimate(const fleet_slots& fleet, std::size_t ahead) const;
    /// The same for a request that is late: those that come meanwhile go first.
    std::optional<slot_estimate> estimate_late(const fleet_slots& fleet, std::size_t ahead,
                                               instant now) const;
    /// The estimate for a request, late or not.
    std::optional<slot_estimate> estimate_for(const queued_request& request,
                                              const fleet_slots& fleet, std::size_t ahead,
                                              instant now) const;
    /// Of the requests of a line in their order, those that can't be sent in time even by the
    /// earliest estimate; none while the fleet has room. A request that has run isn't among them.
    /// Highest priority and longest waiting first.
    std::vector<queued_request> missing_deadline(const std::vector<queued_request>& in_order,
                                                 const fleet_slots& fleet, instant now) const;
    /// When a rejected caller should return: after the requests queued here and those rejected
    /// before it, but not after a third of the time that it has left. Nothing if the caller has no
    /// time to return. \param needed time from its return until its deadline.
    std::optional<milliseconds> plan_return(const fleet_slots& fleet, std::size_t queued,
                                            std::uint32_t priority, milliseconds left,
                                            milliseconds needed, instant now);

private:
    struct planned_return {
        instant at{};
        std::uint32_t priority = 0;
    };

    /// Slots that this gateway gets each second while all gateways have requests waiting.
    double releases_per_s(const fleet_slots& fleet) const;
    double arrivals_per_s(instant now) const;

    microseconds mean_run_{0};
    double arrivals_per_s_ = 0; ///< at `arrived_at_`
    instant arrived_at_{};
    /// Of the logarithm of actual by forecast waits.
    double mean_error_ = 0;
    double error_variance_ = 1;
    std::deque<planned_return> returns_;
};

} // namespace cassia::policy
