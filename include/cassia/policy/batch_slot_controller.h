/// How many of an engine's slots batch items may hold. Online goes first on engines that know no
/// priority: batch gets what online leaves, less a reserve that follows the measured first-token
/// time, and gives slots back the moment it is told.
#pragma once

#include "cassia/base/clock.h"

#include <cstdint>

namespace cassia::policy {

struct batch_slot_settings {
    double min_reserve = 0.05; ///< part of the slots that batch never takes
    double max_reserve = 0.9;
    /// How much slower than without batch the first token may get before batch shrinks.
    double tolerated_slowdown = 1.05;
};

/// Controller for one engine: additive increase while the online tail stays within its target,
/// multiplicative decrease when it doesn't.
class batch_slot_controller {
public:
    explicit batch_slot_controller(batch_slot_settings settings) : settings_(settings) {
        reserve_ = settings.min_reserve;
    }

    /// How much slower than without batch the first token may get before batch shrinks.
    void set_tolerated_slowdown(double factor) { settings_.tolerated_slowdown = factor; }
    /// A first token came after this long, while batch items ran beside it or not.
    void record_first_token(microseconds after, bool beside_batch);
    /// Slots for batch now.
    /// \param slots that the engine has.
    /// \param online calls that run there.
    std::uint32_t allowed_slots(std::uint32_t slots, std::uint32_t online, instant now);

    double reserve() const { return reserve_; }

private:
    batch_slot_settings settings_;
    double reserve_;
    double alone_us_ = 0;
    double beside_us_ = 0;
    instant adjusted_at_{};
    std::uint32_t beside_samples_ = 0;
};

} // namespace cassia::policy
