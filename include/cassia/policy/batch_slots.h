/// Limits the slots of an engine that batch items may hold. Engines have no priorities, so batch
/// gets the slots that online calls leave, less a reserve that follows the measured time to first
/// token, and yields slots on request.
#pragma once

#include "cassia/base/clock.h"

#include <cstdint>

namespace cassia::policy {

struct batch_slot_settings {
    double min_reserve = 0.05; ///< fraction of the slots that batch never takes
    double max_reserve = 0.9;
    /// Factor by which batch may slow the first token before the reserve grows.
    double tolerated_slowdown = 1.05;
};

/// Controller for one engine (AIMD): batch slots grow additively while the mean time to first token
/// stays within the tolerated slowdown, and shrink multiplicatively when it doesn't.
class batch_slot_controller {
public:
    explicit batch_slot_controller(batch_slot_settings settings) : settings_(settings) {
        reserve_ = settings.min_reserve;
    }

    void set_tolerated_slowdown(double factor) { settings_.tolerated_slowdown = factor; }
    /// Records a time to first token, measured with or without batch items beside the call.
    void record_first_token(microseconds latency, bool with_batch);
    /// Slots that batch may hold now.
    /// \param slots total slots of the engine.
    /// \param online online calls that run there.
    std::uint32_t allowed_slots(std::uint32_t slots, std::uint32_t online, instant now);

    double reserve() const { return reserve_; }

private:
    batch_slot_settings settings_;
    double reserve_;
    double baseline_us_ = 0;
    double with_batch_us_ = 0;
    instant adjusted_at_{};
    std::uint32_t with_batch_samples_ = 0;
};

} // namespace cassia::policy
