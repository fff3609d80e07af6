// Which work groups a gateway asks for items.

#include "cassia/policy/lease_schedule.h"

#include <catch2/catch.hpp>

#include <map>
#include <optional>
#include <string>
#include <utility>

using namespace cassia;
using namespace cassia::policy;

namespace {

constexpr milliseconds idle(300);
constexpr milliseconds tick_time(20);

/// Groups that reply before the next tick, or not at all, in virtual time.
struct play {
    lease_schedule schedule;
    std::map<std::pair<std::string, group_id>, std::size_t> requests;
    std::map<std::pair<std::string, group_id>, instant> open_until;
    group_id unresponsive;
    group_id with_items;

    void run(const std::string& route, instant now) {
        for (auto one = open_until.begin(); one != open_until.end();) {
            const bool ended = now >= one->second;
            if (ended)
                schedule.end(one->first.first, one->first.second, one->first.second == with_items,
                             idle, now);
            one = ended ? open_until.erase(one) : std::next(one);
        }
        const std::optional<group_id> group = schedule.next(route, now);
        if (!group)
            return;
        schedule.begin(route, *group, now);
        ++requests[{route, *group}];
        const milliseconds reply_time =
            *group == unresponsive ? milliseconds(2500) : milliseconds(1);
        open_until[{route, *group}] = now + reply_time;
    }
};

constexpr instant start = instant() + milliseconds(1000000);
constexpr milliseconds play_time(9000);

} // namespace

// Guards against a group that holds items and is asked rarely, as the others have none.
TEST_CASE("a group with items is asked again at once", "[lease-schedule]") {
    play game{lease_schedule(3), {}, {}, {}, group_id(2)};
    for (instant now = start; now < start + play_time; now += tick_time)
        game.run("jobs", now);
    CHECK(game.requests[{"jobs", group_id(2)}] > 400);
    // As often as if all groups had none.
    CHECK(game.requests[{"jobs", group_id(1)}] <= play_time / (3 * idle) + 1);
    CHECK(game.requests[{"jobs", group_id(3)}] <= play_time / (3 * idle) + 1);
}

// Guards against a group that doesn't reply, for which all requests of a route wait.
TEST_CASE("a group that doesn't reply takes a tenth of a route's time", "[lease-schedule]") {
    play game{lease_schedule(2), {}, {}, group_id(1), group_id(2)};
    for (instant now = start; now < start + play_time; now += tick_time)
        game.run("jobs", now);
    CHECK(game.requests[{"jobs", group_id(2)}] > 400);
    CHECK(game.requests[{"jobs", group_id(1)}] <= 4);
}

// Guards against routes that share one time of their next request.
TEST_CASE("routes keep their own pace", "[lease-schedule]") {
    play game{lease_schedule(1), {}, {}, {}, {}};
    for (instant now = start; now < start + play_time; now += tick_time)
        game.run("empty", now);
    CHECK(game.requests[{"empty", group_id(1)}] <= play_time / idle + 1);
    CHECK(game.schedule.next("jobs", start + play_time));
    game.schedule.pause("jobs", idle, start + play_time);
    CHECK_FALSE(game.schedule.next("jobs", start + play_time));
    CHECK(game.schedule.next("jobs", start + play_time + idle));
}

// Guards against leaders that get more requests the more groups there are.
TEST_CASE("groups without items are asked at the pace of one", "[lease-schedule]") {
    play game{lease_schedule(4), {}, {}, {}, {}};
    for (instant now = start; now < start + play_time; now += tick_time)
        game.run("jobs", now);
    std::size_t all = 0;
    for (const auto& one : game.requests)
        all += one.second;
    CHECK(all <= play_time / idle + 4);
}

// Guards against a route that is never asked for again as its last request was open when it went.
TEST_CASE("a route that comes back is asked for", "[lease-schedule]") {
    lease_schedule schedule(1);
    schedule.begin("jobs", group_id(1), start);
    schedule.keep_only({"others"});
    schedule.end("jobs", group_id(1), true, idle, start);
    CHECK(schedule.next("jobs", start));
}
