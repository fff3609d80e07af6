// What a choice among many waiting runs costs.

#include "cassia/policy/trial_schedule.h"

#include <catch2/catch.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <string>

using namespace cassia;
using namespace cassia::policy;

namespace {

constexpr instant start = instant() + milliseconds(1000000);
constexpr milliseconds step(20);
constexpr std::size_t endpoints = 60;
constexpr std::size_t slots = 8;
constexpr std::size_t gateways = 16;
constexpr std::size_t parts = 64;

/// Suspects and items with quarantined parts that wait, in equal numbers.
class many_waiting {
public:
    explicit many_waiting(std::size_t count) : count_(count) {}

    /// \returns the most calls of the schedule's hooks in one poll.
    std::size_t run(milliseconds length) {
        std::size_t most = 0;
        for (instant now = start; now < start + length; now += step) {
            for (std::size_t i = 0; i < count_; ++i)
                schedule_.refresh(request_of(i, now), now);
            REQUIRE(schedule_.size() == count_);
            calls_ = 0;
            granted_ += poll(now);
            most = std::max(most, calls_);
        }
        return most;
    }

    std::size_t granted() const { return granted_; }

private:
    static trial_request request_of(std::size_t index, instant now) {
        const entry_id gateway("g" + std::to_string(index % gateways));
        trial_request request{{gateway, trial_id(index + 1)},
                              fingerprint("r" + std::to_string(index)),
                              service_id("llm"),
                              {},
                              work_kind::batch};
        if (index % 2 == 1) {
            request.request = fingerprint("p" + std::to_string(index % parts));
            request.retry = retry_history{now - milliseconds(5000 + index)};
        }
        return request;
    }

    std::size_t poll(instant now) {
        const trial_schedule::choose choose = [this](const trial_request&,
                                                     const std::set<endpoint_id>& excluded) {
            ++calls_;
            trial_schedule::choice choice{std::nullopt, max_trials(endpoints), slots, true};
            for (std::size_t i = 0; i < endpoints && !choice.endpoint; ++i) {
                const endpoint_id id("e" + std::to_string(i));
                if (excluded.count(id) == 0)
                    choice.endpoint = id;
            }
            return choice;
        };
        const trial_schedule::is_listed listed = [this](const endpoint_id&) {
            ++calls_;
            return true;
        };
        // One in ten is sound for sure, the others more or less likely to crash their endpoints.
        const trial_schedule::risk_of risk = [this](const fingerprint& cause) {
            ++calls_;
            return cause.str()[0] == 'p' ? 1 : std::stoul(cause.str().substr(1)) % 10 / 10.0;
        };
        return schedule_.poll(now, choose, listed, risk).size();
    }

    std::size_t count_;
    std::size_t calls_ = 0;
    std::size_t granted_ = 0;
    trial_schedule schedule_;
};

} // namespace

// Guards against gateways that are busy with choosing while many suspects wait.
TEST_CASE("the cost of a choice grows with the runs that wait, not with their square", "[trials]") {
    constexpr std::size_t waiting = 4096;
    constexpr std::size_t max_calls_per_run = 8;
    many_waiting many(waiting);
    CHECK(many.run(milliseconds(400)) <= max_calls_per_run * waiting);
    CHECK(many.granted() > 0);
}
