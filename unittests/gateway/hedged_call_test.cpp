// Calls that a dispatcher sends to two endpoints, over real sockets.

#include "dispatcher_fixture.h"

#include <algorithm>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

using namespace cassia;
using namespace cassia::gateway;

namespace {

constexpr milliseconds target(200);
constexpr milliseconds usual_time(10);
// The usual time of a service is known after 20 calls.
constexpr int calls_before = 20;

struct reply {
    milliseconds after = usual_time;
    int status = 200; ///< 0: the connection is closed
    bool not_run = false;
};

/// An endpoint that answers as the test says.
class endpoint {
public:
    endpoint(net::task& owner, int number)
        : owner_(owner),
          server_(std::make_unique<net::raw_server>(
              owner, net::raw_server_limits(),
              net::raw_server_hooks{[this](exchange_id id, const net::raw_request& request) {
                                        ++requests;
                                        const std::string name(
                                            request.fields.find("Cassia-Request-Id"));
                                        owner_.after(next.after, [this, id, name, what = next] {
                                            answer(id, name, what);
                                        });
                                    },
                                    [this](exchange_id) { ++abandoned; }})) {
        REQUIRE(server_->listen(http_address(address_of(number))));
    }

    void end_process() { server_.reset(); }

    reply next;
    int requests = 0;
    int abandoned = 0; ///< requests whose connection was closed before their response

private:
    void answer(exchange_id id, const std::string& name, const reply& what) {
        if (!server_)
            return;
        if (what.status == 0) {
            server_->abort(id);
            return;
        }
        net::raw_head head;
        head.status = what.status;
        head.fields.add("Cassia-Request-Id", name);
        head.fields.add("Cassia-Stamp", "stamp");
        if (what.not_run)
            head.fields.add("Cassia-Not-Run", "1");
        server_->respond(id, head, "by " + name);
    }

    net::task& owner_;
    std::unique_ptr<net::raw_server> server_; ///< none after the end of the process
};

/// Two endpoints. Only the first one is listed at the start, so it gets the first attempts.
class hedging_fixture : public dispatcher_fixture {
public:
    explicit hedging_fixture(schema::route::route_kind kind = schema::route::repeatable,
                             std::uint32_t max_attempts = 2)
        : dispatcher_fixture(kind, max_attempts, target), first(task_, 1), second(task_, 2) {
        dispatcher_.set_hedge_percent(100);
        list({1});
        for (int i = 0; i < calls_before; ++i)
            REQUIRE(ask().first == 200);
        first.requests = responses = 0;
    }

    /// The same as `ask` where the second endpoint is listed once the first one has the request.
    std::pair<int, milliseconds> ask_both(milliseconds leaves_after = milliseconds(5000)) {
        task_.after(milliseconds(20), [this] { list({1, 2}); });
        return ask(leaves_after);
    }

    endpoint first;
    endpoint second;
};

void check_nothing_is_left(hedging_fixture& fixture) {
    fixture.run_for(milliseconds(50));
    CHECK_FALSE(fixture.holds_slots());
    CHECK(fixture.open_calls() == 0);
}

} // namespace

// Guards against a call that waits for a slow endpoint beside one that would answer at once.
TEST_CASE("the second endpoint answers the call of a slow first one", "[hedged]") {
    hedging_fixture fixture;
    fixture.first.next.after = milliseconds(800);
    const auto [status, time] = fixture.ask_both();
    CHECK(status == 200);
    CHECK(time < target);
    CHECK(fixture.second.requests == 1);
    check_nothing_is_left(fixture);
    CHECK(fixture.first.abandoned == 1);
}

// Guards against second runs of requests that may run once, by their kind or their route's limit,
// and of services without a known pace.
TEST_CASE("some calls are never sent to a second endpoint", "[hedged]") {
    const auto [kind, max_attempts, reports_pace] =
        GENERATE(table<schema::route::route_kind, std::uint32_t, bool>(
            {{schema::route::at_most_once, 2, true},
             {schema::route::repeatable, 1, true},
             {schema::route::repeatable, 2, false}}));
    hedging_fixture fixture(kind, max_attempts);
    fixture.reports_pace = reports_pace;
    fixture.first.next.after = milliseconds(300);
    CHECK(fixture.ask_both().first == 200);
    CHECK(fixture.first.requests + fixture.second.requests == 1);
    check_nothing_is_left(fixture);
}

// Guards against a call that ends with the first failure while its other attempt would succeed.
TEST_CASE("a call goes on with the attempt that is left", "[hedged]") {
    const int status = GENERATE(0, 500, 503);
    const bool first_fails = GENERATE(true, false);
    hedging_fixture fixture;
    endpoint& failing = first_fails ? fixture.first : fixture.second;
    endpoint& other = first_fails ? fixture.second : fixture.first;
    failing.next = {milliseconds(first_fails ? 200 : 10), status, status == 503};
    other.next = {milliseconds(300)};
    CHECK(fixture.ask_both().first == 200);
    CHECK(fixture.first.requests == 1);
    CHECK(fixture.second.requests == 1);
    check_nothing_is_left(fixture);
}

// Guards against a 503, which says that a request hasn't run, for one that may have run.
TEST_CASE("a call whose attempts both fail ends once", "[hedged]") {
    const int status = GENERATE(0, 500);
    const bool other_not_run = GENERATE(true, false);
    hedging_fixture fixture;
    fixture.first.next = {milliseconds(200), status};
    fixture.second.next = {milliseconds(200), other_not_run ? 503 : status, other_not_run};
    const int got = fixture.ask_both().first;
    CHECK((got >= 500 && got != 503));
    CHECK(fixture.responses == 1);
    CHECK(fixture.refunds == 0);
    check_nothing_is_left(fixture);
}

// Guards against a call that isn't retried any more, or more often than allowed, once it was
// hedged.
TEST_CASE("a hedged call is retried as far as its route allows", "[hedged]") {
    hedging_fixture fixture(schema::route::repeatable, 3);
    fixture.first.next.after = milliseconds(3000);
    fixture.second.next = {usual_time, 0};
    fixture.after(milliseconds(300), [&] { fixture.second.next = fixture.first.next = {}; });
    const auto [status, time] = fixture.ask_both();
    CHECK(status == 200);
    CHECK(time < milliseconds(1400));
    CHECK(fixture.first.requests + fixture.second.requests == 3);
    check_nothing_is_left(fixture);
}

// Guards against a crash that is held against the endpoint of the other attempt.
TEST_CASE("an endpoint that ends under one of two attempts has crashed", "[hedged]") {
    const bool first_crashes = GENERATE(true, false);
    hedging_fixture fixture;
    endpoint& crashing = first_crashes ? fixture.first : fixture.second;
    fixture.first.next.after = fixture.second.next.after = milliseconds(500);
    fixture.after(milliseconds(250), [&] { crashing.end_process(); });
    CHECK(fixture.ask_both().first == 200);
    CHECK(fixture.first.requests + fixture.second.requests == 2);
    CHECK(fixture.crashed == std::vector<std::string>{first_crashes ? "e1/1" : "e2/2"});
    check_nothing_is_left(fixture);
}

// Guards against a run that goes on for a caller that has left.
TEST_CASE("both attempts are cancelled when the caller leaves", "[hedged]") {
    hedging_fixture fixture;
    fixture.first.next.after = fixture.second.next.after = milliseconds(1000);
    CHECK(fixture.ask_both(milliseconds(400)).first == -1);
    check_nothing_is_left(fixture);
    CHECK(fixture.first.abandoned == 1);
    CHECK(fixture.second.abandoned == 1);
}

// Guards against an attempt that goes on behind the deadline.
TEST_CASE("both attempts are cancelled at the deadline", "[hedged]") {
    hedging_fixture fixture;
    fixture.first.next.after = fixture.second.next.after = milliseconds(3000);
    CHECK(fixture.ask_both().first == 504);
    check_nothing_is_left(fixture);
    CHECK(fixture.first.abandoned + fixture.second.abandoned == 2);
}
