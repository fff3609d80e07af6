/// Estimates how many requests the other gateways send before this one knows of them, and weights
/// endpoints accordingly. Pure.
#pragma once

#include "cassia/base/clock.h"

#include <cstdint>

namespace cassia::policy {

/// Gateways that place requests at the same endpoints.
struct peer_group {
    std::uint32_t gateways = 0; ///< other than this one
    milliseconds usage_age{0};  ///< of their reported usage just before the next report

    friend bool operator==(const peer_group&, const peer_group&) = default;
};

/// Callers spread their requests over the gateways, so each sends about as many as this one.
class send_forecast {
public:
    void record_send() { ++sends_; }
    /// Advances time; to be called several times a second.
    void advance(instant now);
    /// Sends of the group that aren't in its reported usage.
    double unreported_sends(const peer_group& group) const;

private:
    instant counted_from_{};
    std::uint32_t sends_ = 0; ///< since `counted_from_`
    double sends_per_second_ = 0;
};

/// Weights for a draw among endpoints. While the free slots are known, they are squared: with equal
/// weights the slowest endpoint would fill as fast as the others. The more of them other gateways
/// will have taken, the less an endpoint with many attracts; if there are fewer free slots than
/// sends, the excess spreads over all endpoints, as slots become free at all of them.
class slot_weights {
public:
    explicit slot_weights(double unreported_sends) : unreported_sends_(unreported_sends) {}

    /// Adds an endpoint to the draw. \param free negative if requests are queued there.
    void add(std::int64_t free, std::uint32_t slots);
    /// Weight of an endpoint once all have been added; 0 for all if no slot is free.
    double weight(std::int64_t free, std::uint32_t slots) const;

private:
    double unreported_sends_;
    double free_ = 0;
    double squares_ = 0;
    double slots_ = 0;
};

} // namespace cassia::policy
