/// Admission of online requests: rate limits, the queue for slots, and the retry budget.
#pragma once

#include "cassia/base/clock.h"
#include "cassia/base/ids.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <vector>

namespace cassia::policy {

/// Token bucket of one team at one entry. The rates reported by the other entries are deducted, so
/// that a team gets its rate once and not once per entry.
class rate_limiter {
public:
    /// \param rate requests a second over all entries.
    /// \param burst requests above the rate at once.
    void configure(double rate, double burst);
    /// \returns zero if the request is admitted, else the time until one can be.
    milliseconds admit(instant now);
    void set_remote_rate(double requests_per_second) { remote_rate_ = requests_per_second; }
    /// Recent rate of admitted requests at this entry, per second.
    double own_rate(instant now) const;

private:
    double rate_ = 0;
    double burst_ = 0;
    double tokens_ = 0;
    double remote_rate_ = 0;
    instant filled_at_{};
    double admitted_ = 0; ///< exponentially decayed count
    instant admitted_at_{};
};

struct queued_call {
    exchange_id exchange;
    team_id team;
    double weight = 1;
    instant deadline;
};

/// Requests that wait for a slot, in one queue per team served by weighted fair queueing: a team
/// with many requests delays its own and not those of others.
class fair_queue {
public:
    explicit fair_queue(std::size_t capacity) : capacity_(capacity) {}

    /// \returns false if the queue is full for this team: each team may use a part of the capacity
    /// in proportion to its weight among the waiting teams.
    bool add(const queued_call& request);
    void remove(exchange_id exchange);
    /// Removes and returns the requests whose deadline has passed.
    std::vector<exchange_id> expired(instant now);

    /// Offers waiting requests in fair order. `try_dispatch` returns true if it dispatched the
    /// request. If a team's first request can't be dispatched, its later ones are offered too,
    /// since they may need another service.
    void offer(const std::function<bool(exchange_id)>& try_dispatch);

    std::size_t size() const { return size_; }

private:
    struct team_queue {
        std::deque<queued_call> requests;
        double virtual_time = 0;
        double weight = 1;
    };

    std::size_t capacity_;
    std::size_t size_ = 0;
    double virtual_now_ = 0;
    std::map<team_id, team_queue> queues_;
};

/// Limits retries to a fraction of the requests, so that retries don't amplify an outage.
class retry_budget {
public:
    /// \param ratio retries allowed for each request.
    /// \param reserve initial and maximum number of retries in the budget.
    retry_budget(double ratio, double reserve)
        : ratio_(ratio), reserve_(reserve), budget_(reserve) {}

    void record_request();
    bool take();

private:
    double ratio_;
    double reserve_;
    double budget_;
};

} // namespace cassia::policy
