/// Token bucket that fills at a rate up to a capacity. Pure.
#pragma once

#include "cassia/base/clock.h"

#include <algorithm>
#include <cmath>

namespace cassia::policy {

class token_bucket {
public:
    token_bucket() = default;
    token_bucket(double level, instant now) : level_(level), filled_at_(now) {}

    void set_limit(double per_second, double capacity, instant now) {
        fill(now);
        per_second_ = per_second;
        capacity_ = capacity;
        level_ = std::min(level_, capacity_);
    }
    double capacity() const { return capacity_; }
    double level(instant now) {
        fill(now);
        return level_;
    }
    /// May make the level negative.
    void take(double count, instant now) {
        fill(now);
        level_ -= count;
    }
    void refund(double count, instant now) {
        fill(now);
        level_ = std::min(capacity_, level_ + count);
    }
    /// Time until one token is available; at most `max_wait`.
    milliseconds time_to_next(instant now, milliseconds max_wait) {
        fill(now);
        if (level_ >= 1)
            return milliseconds(0);
        const double wait_ms = per_second_ > 0 ? (1 - level_) / per_second_ * ms_per_s
                                               : static_cast<double>(max_wait.count());
        return std::min(max_wait, milliseconds(static_cast<std::int64_t>(std::ceil(wait_ms))));
    }

private:
    static constexpr double ms_per_s = 1000;
    static constexpr double us_per_s = 1e6;

    void fill(instant now) {
        if (now <= filled_at_)
            return;
        level_ = std::min(capacity_, level_ + per_second_ *
                                                  static_cast<double>((now - filled_at_).count()) /
                                                  us_per_s);
        filled_at_ = now;
    }

    double per_second_ = 0;
    double capacity_ = 0;
    double level_ = 0;
    instant filled_at_{};
};

} // namespace cassia::policy
