// Use of slots by teams over all gateways, and the order of queued requests that follows from it.

#include "cassia/policy/request_queue.h"
#include "cassia/policy/team_shares.h"

#include <catch2/catch.hpp>

#include <string>

using namespace cassia;
using namespace cassia::policy;

namespace {

const instant start = instant(std::chrono::seconds(1000));
const queue_line line{service_id("model"), {}};
const team_id small("small");
const team_id large("large");
const entry_id peer("peer");

queued_request waiting(std::uint64_t id, const team_id& team, std::uint32_t priority = 1) {
    return {exchange_id(id),
            line.service,
            team,
            priority,
            start,
            start + milliseconds(240),
            start + milliseconds(1900),
            false,
            {}};
}

team_shares two_teams() {
    team_shares shares;
    shares.set_weights({{small, 1}, {large, 3}});
    shares.set_capacity(80);
    return shares;
}

} // namespace

TEST_CASE("use decays by half in two seconds and is relative to the weight", "[shares]") {
    team_shares shares = two_teams();
    shares.set_remote_use(peer, {{small, 1000}, {large, 1000}}, start);
    CHECK(shares.relative_use(small, start) == Approx(1000));
    CHECK(shares.relative_use(large, start) == Approx(1000.0 / 3));
    CHECK(shares.relative_use(small, start + milliseconds(1000)) == Approx(707.1).epsilon(0.001));
    shares.acquire(small, start);
    const instant later = start + milliseconds(700);
    shares.release(small, later);
    CHECK(shares.own_use(later).at(small) == Approx(621).margin(10));
}

// Guards against a gateway that orders requests for ever by the last report of a peer that has
// failed or is cut off.
TEST_CASE("reports of use expire after 1.5 s", "[shares]") {
    team_shares shares = two_teams();
    shares.set_remote_use(peer, {{small, 9000}}, start);
    shares.acquire(large, start);
    CHECK(shares.relative_use(small, start + milliseconds(1500)) > 0);
    CHECK(shares.relative_use(small, start + milliseconds(1501)) == 0);
    shares.expire(start + milliseconds(1501));
    CHECK(shares.total_use(start + milliseconds(1501)).count(small) == 0);
    CHECK(shares.total_use(start + milliseconds(1501)).count(large) == 1);
}

// Guards against reports that grow with the number of teams.
TEST_CASE("a report has the sixteen teams with the largest use", "[shares]") {
    team_use_map use;
    for (int i = 0; i < 86; ++i)
        use[team_id("t" + std::to_string(i))] = 10.0 + i;
    const team_use_map largest = largest_users(use);
    CHECK(largest.size() == max_reported_teams);
    CHECK(largest.count(team_id("t85")) == 1);
    CHECK(largest.count(team_id("t70")) == 1);
    CHECK(largest.count(team_id("t69")) == 0);
}

// Guards against a team that is served at other gateways and then goes first at each of them, and
// against a small team whose single request waits behind a large team's queue.
TEST_CASE("the team with the least use of the fleet goes first", "[shares]") {
    team_shares shares = two_teams();
    request_queue queue;
    queue.set_shares(&shares);
    for (std::uint64_t id = 1; id <= 20; ++id)
        queue.add(waiting(id, large));
    queue.add(waiting(30, small));
    shares.set_remote_use(peer, {{large, 30000}}, start);
    CHECK(queue.next(line, start) == exchange_id(30));
    shares.set_remote_use(peer, {{small, 30000}}, start);
    CHECK(queue.next(line, start) == exchange_id(1));
    queue.add(waiting(40, small, 0));
    CHECK(queue.next(line, start) == exchange_id(40));
    queue.remove(exchange_id(40));
    // Each request of the large team counts as it is served, so the small one isn't last.
    shares.set_remote_use(peer, {{small, 400}}, start);
    const std::vector<queued_request> order = queue.in_order(line, start);
    REQUIRE(order.size() == 21);
    CHECK(order[3].id == exchange_id(30));
}

// Guards against a team far above its share that takes each slot that becomes free, at gateways
// where no other team waits at that moment.
TEST_CASE("a team over its share leaves the last free slots to others", "[shares]") {
    team_shares shares = two_teams();
    request_queue queue;
    queue.set_shares(&shares);
    // Of 80 slots, 20 are the small team's share, and 34 are more than random arrivals explain.
    const double slot_ms = 2885 + 500;
    shares.set_remote_use(peer, {{small, 32 * slot_ms}}, start);
    CHECK(!shares.is_over_share(small, start));
    shares.set_remote_use(peer, {{small, 35 * slot_ms}}, start);
    CHECK(shares.is_over_share(small, start));
    CHECK(shares.part_of_share(small, start) == Approx(1.75).epsilon(0.01));
    queue.add(waiting(1, small));
    CHECK(queue.next(line, start) == exchange_id(1));
    CHECK(!queue.next(line, start, true));
    queue.add(waiting(2, large));
    CHECK(queue.next(line, start, true) == exchange_id(2));
    queued_request cut = waiting(3, small);
    cut.has_run = true;
    queue.remove(exchange_id(2));
    queue.add(cut);
    CHECK(queue.next(line, start, true) == exchange_id(3));
}

// Guards against another order where no teams are configured.
TEST_CASE("without teams the order is by requests served at this gateway", "[shares]") {
    team_shares shares;
    shares.set_capacity(80);
    request_queue queue;
    queue.set_shares(&shares);
    shares.set_remote_use(peer, {{small, 30000}}, start);
    CHECK(!shares.is_over_share(small, start));
    queue.add(waiting(1, small));
    queue.add(waiting(2, large));
    queue.add(waiting(3, small));
    queue.remove_served(exchange_id(1));
    CHECK(queue.next(line, start, true) == exchange_id(2));
    CHECK(queue.in_order(line, start).front().id == exchange_id(2));
}

TEST_CASE("teams without a quota weigh as much as the mean of the others", "[shares]") {
    team_shares shares;
    shares.set_weights({{small, 2}, {large, 6}, {team_id("free"), 0}});
    CHECK(shares.weight(team_id("free")) == 4);
    shares.set_weights({{small, 0}, {large, 0}});
    CHECK(shares.weight(small) == shares.weight(large));
}
