// Second attempts of late calls: when they are due, their budget, and what they are worth.

#include "cassia/policy/hedging.h"
#include "cassia/policy/slot_table.h"

#include <catch2/catch.hpp>

#include <cmath>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

using namespace cassia;
using namespace cassia::policy;

namespace {

const service_id web("web");

struct uneven_load {
    double slowness = 4;         ///< of an endpoint in a slow span
    double slow_fraction = 0.25; ///< of all spans
    std::uint32_t hedge_percent = 0;
    std::uint32_t seed = 1;
};

struct load_result {
    double late = 0; ///< share of calls beyond the target
    double runs = 0; ///< for each call
};

/// A gateway with four endpoints of six slots, in virtual time.
class uneven_simulation {
public:
    explicit uneven_simulation(const uneven_load& load)
        : load_(load), hedging_(load.hedge_percent), random_(load.seed) {
        std::vector<slot_endpoint> listed;
        for (int i = 0; i < endpoints; ++i)
            listed.push_back({endpoint_id("e" + std::to_string(i)), 1, http_address("a:1"),
                              zone_id("z"), web, 6, software_version("v")});
        slots_.set_endpoints(listed);
        spans_.resize(endpoints);
    }

    load_result run() {
        at(start, [this] { arrive(); });
        while (!events_.empty()) {
            const auto next = events_.begin();
            now_ = next->first;
            const std::function<void()> action = std::move(next->second);
            events_.erase(next);
            action();
        }
        const double total = calls;
        return {static_cast<double>(late_) / total, static_cast<double>(runs_) / total};
    }

private:
    static constexpr int endpoints = 4;
    static constexpr std::size_t calls = 40000;
    static constexpr double calls_per_ms = 0.15;
    static constexpr double median_ms = 40;
    static constexpr milliseconds target{200};
    static constexpr milliseconds span{600};
    static constexpr milliseconds tick{20}; ///< interval of the gateway's checks
    static constexpr instant start = instant(std::chrono::seconds(1000));

    struct call_state {
        instant arrived_at{};
        instant sent_at{};
        std::map<endpoint_id, instant> attempts; ///< running, with the time when each was sent
        bool over = false;
    };

    void at(instant when, std::function<void()> action) {
        events_.emplace(when, std::move(action));
    }
    double uniform() { return std::uniform_real_distribution<double>(0, 1)(random_); }

    double slowness(std::size_t endpoint, instant when) {
        const std::size_t index = static_cast<std::size_t>((when - start) / span);
        std::vector<bool>& known = spans_[endpoint];
        while (known.size() <= index)
            known.push_back(uniform() < load_.slow_fraction);
        return known[index] ? load_.slowness : 1;
    }
    /// Work goes on through spans of different slowness.
    instant end_of_run(std::size_t endpoint) {
        double left = median_ms * std::exp(std::normal_distribution<double>(0, 0.4)(random_));
        instant when = now_;
        for (; left > 0; when += milliseconds(1))
            left -= 1 / slowness(endpoint, when);
        return when;
    }
    void arrive() {
        all_.emplace_back();
        const std::size_t id = all_.size() - 1;
        all_[id].arrived_at = now_;
        place(id);
        const double pause_ms = -std::log(1 - uniform()) / calls_per_ms;
        if (all_.size() < calls)
            at(now_ + microseconds(static_cast<std::int64_t>(pause_ms * 1000)),
               [this] { arrive(); });
    }
    void place(std::size_t id) {
        const std::optional<placement> found = slots_.place_online(web, {}, now_, uniform());
        if (!found) {
            queued_.push_back(id);
            return;
        }
        all_[id].sent_at = now_;
        send(id, found->endpoint);
        at(now_ + tick, [this, id] { check(id); });
    }
    void send(std::size_t id, const endpoint_id& endpoint) {
        ++runs_;
        slots_.acquire(endpoint, work_kind::online);
        all_[id].attempts[endpoint] = now_;
        const std::size_t number = static_cast<std::size_t>(endpoint.str().back() - '0');
        at(end_of_run(number), [this, id, endpoint] { complete(id, endpoint); });
    }
    void check(std::size_t id) {
        call_state& call = all_[id];
        if (call.over || call.attempts.size() > 1)
            return;
        at(now_ + tick, [this, id] { check(id); });
        const endpoint_id first = call.attempts.begin()->first;
        const std::optional<placement> found = slots_.place_stalled(web, {first}, now_, uniform());
        const microseconds queued = call.sent_at - call.arrived_at;
        if (!found || !hedging_.is_due({web, queued, now_ - call.sent_at, target}))
            return;
        hedging_.record_hedge(web);
        send(id, found->endpoint);
    }
    void complete(std::size_t id, const endpoint_id& endpoint) {
        call_state& call = all_[id];
        if (call.over)
            return;
        call.over = true;
        late_ += now_ - call.arrived_at > target ? 1 : 0;
        hedging_.record_call(web);
        for (const auto& attempt : call.attempts) {
            slots_.release(attempt.first, work_kind::online);
            if (attempt.first == endpoint || attempt.second < call.attempts[endpoint])
                hedging_.record_response(web, now_ - attempt.second);
        }
        if (!queued_.empty()) {
            const std::size_t next = queued_.front();
            queued_.pop_front();
            place(next);
        }
    }

    uneven_load load_;
    hedging hedging_;
    slot_table slots_{zone_id("z")};
    std::mt19937_64 random_;
    instant now_ = start;
    std::multimap<instant, std::function<void()>> events_;
    std::vector<std::vector<bool>> spans_; ///< whether each is slow, by endpoint
    std::deque<call_state> all_;
    std::deque<std::size_t> queued_;
    std::size_t late_ = 0;
    std::size_t runs_ = 0;
};

constexpr milliseconds never(5000);

milliseconds first_due(hedging& hedges, milliseconds queued, milliseconds target) {
    milliseconds running(0);
    while (running < never && !hedges.is_due({web, queued, running, target}))
        ++running;
    return running;
}

void add_calls(hedging& hedges, unsigned count, milliseconds time) {
    for (unsigned i = 0; i < count; ++i) {
        hedges.record_call(web);
        hedges.record_response(web, time);
    }
}

} // namespace

// Guards against second attempts that overload endpoints which are all late.
TEST_CASE("second attempts never exceed their share of calls", "[hedging]") {
    hedging hedges(3);
    unsigned hedged = 0;
    for (unsigned calls = 1; calls <= 3000; ++calls) {
        add_calls(hedges, 1, milliseconds(40));
        while (hedges.is_due({web, milliseconds(0), milliseconds(150), milliseconds(200)})) {
            hedges.record_hedge(web);
            ++hedged;
        }
        REQUIRE(hedged * 100 <= calls * 3);
    }
    CHECK(hedged == 90);
    // What quiet times save up is bounded.
    add_calls(hedges, 10000, milliseconds(40));
    for (hedged = 0; hedges.is_due({web, milliseconds(0), milliseconds(150), milliseconds(200)});
         ++hedged)
        hedges.record_hedge(web);
    CHECK(hedged <= 10);
    CHECK_FALSE(hedging(0).is_enabled());
}

// Guards against a tail of times that are no longer usual: too long, it comes too late; too short,
// the budget is spent on usual calls.
TEST_CASE("the delay of second attempts follows the pace", "[hedging]") {
    hedging hedges(3);
    const milliseconds target(1000);
    add_calls(hedges, 19, milliseconds(40));
    CHECK(first_due(hedges, milliseconds(0), target) == never);
    add_calls(hedges, 400, milliseconds(40));
    CHECK(first_due(hedges, milliseconds(0), target) == milliseconds(60));
    add_calls(hedges, 6, milliseconds(100));
    CHECK(first_due(hedges, milliseconds(0), target) == milliseconds(100));
    add_calls(hedges, 64, milliseconds(100));
    CHECK(first_due(hedges, milliseconds(0), target) == milliseconds(150));
    add_calls(hedges, 64, milliseconds(20));
    CHECK(first_due(hedges, milliseconds(0), target) == milliseconds(30));
}

// Guards against late calls that find the budget spent on calls that meet their target anyway, or
// that miss it anyway.
TEST_CASE("a scarce budget is kept for calls that it can save", "[hedging]") {
    hedging hedges(3);
    add_calls(hedges, 400, milliseconds(40));
    for (int i = 0; i < 2; ++i)
        hedges.record_hedge(web);
    CHECK(first_due(hedges, milliseconds(0), milliseconds(200)) == milliseconds(140));
    CHECK(first_due(hedges, milliseconds(60), milliseconds(200)) == milliseconds(80));
    CHECK(first_due(hedges, milliseconds(150), milliseconds(200)) == never);
    CHECK_FALSE(hedges.is_due({web, milliseconds(0), milliseconds(190), milliseconds(200)}));
}

// Guards against second attempts that cost runs and save no call.
TEST_CASE("second attempts save calls of slow endpoints", "[hedging]") {
    for (const double slowness : {2.5, 4.0}) {
        for (const double fraction : {0.15, 0.25}) {
            double late[2] = {0, 0};
            double runs = 0;
            for (const std::uint32_t seed : {1U, 2U, 3U}) {
                for (const std::uint32_t percent : {0U, 3U}) {
                    const load_result got =
                        uneven_simulation({slowness, fraction, percent, seed}).run();
                    late[percent == 0 ? 0 : 1] += got.late / 3;
                    runs = percent == 0 ? runs : std::max(runs, got.runs);
                }
            }
            INFO(slowness << " " << fraction << ": late " << late[0] << " without, " << late[1]
                          << " with hedging, runs " << runs);
            CHECK(runs <= 1.03);
            CHECK(late[1] < 0.85 * late[0]);
        }
    }
}
