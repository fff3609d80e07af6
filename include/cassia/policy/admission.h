/// Which online requests wait, which go next and which are refused at once.
#pragma once

#include "cassia/base/clock.h"
#include "cassia/base/ids.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <vector>

namespace cassia::policy {

/// Token bucket of one team at one entry. What other entries say they let through counts too,
/// so that a team gets its rate once and not at each entry.
class rate_limiter {
public:
    /// \param rate requests a second over all entries.
    /// \param burst requests above the rate at once.
    void configure(double rate, double burst);
    /// \returns zero if the request may pass, else how long until one may.
    milliseconds admit(instant now);
    void set_remote_rate(double requests_per_second) { others_rate_ = requests_per_second; }
    /// Requests a second that passed here lately.
    double own_rate(instant now) const;

private:
    double rate_ = 0;
    double burst_ = 0;
    double tokens_ = 0;
    double others_rate_ = 0;
    instant filled_at_{};
    double passed_ = 0; ///< decayed count
    instant passed_at_{};
};

struct queued_call {
    exchange_id exchange;
    team_id team;
    double weight = 1;
    instant deadline;
};

/// Requests that wait for a slot, a queue a team, served by weighted virtual time, so that a
/// team that sends much waits behind its own requests and not others behind them.
class fair_queue {
public:
    explicit fair_queue(std::size_t capacity) : capacity_(capacity) {}

    /// \returns false if the room is full for this team: its share of a full room is in
    /// proportion to its weight.
    bool add(const queued_call& request);
    void remove(exchange_id exchange);
    /// Requests whose deadline has come; they are taken out.
    std::vector<exchange_id> expired(instant now);

    /// Offers waiting requests in fair order. `take` returns true if it dispatched the request; of
    /// a team whose first can't go, the later ones are offered too, since they may need
    /// another service.
    void offer(const std::function<bool(exchange_id)>& take);

    std::size_t size() const { return size_; }

private:
    struct line {
        std::deque<queued_call> requests;
        double clock = 0;
        double weight = 1;
    };

    std::size_t capacity_;
    std::size_t size_ = 0;
    double now_ = 0;
    std::map<team_id, line> lines_;
};

/// Limits retries to a part of the requests, so that an outage isn't multiplied by its retries.
class retry_budget {
public:
    /// \param ratio retries allowed for each request.
    /// \param reserve retries allowed however few requests there are.
    retry_budget(double ratio, double reserve) : ratio_(ratio), reserve_(reserve), left_(reserve) {}

    void record_request();
    bool take();

private:
    double ratio_;
    double reserve_;
    double left_;
};

} // namespace cassia::policy
