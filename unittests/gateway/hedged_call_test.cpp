// Calls that a dispatcher sends to two endpoints, over real sockets.

#include "cassia/base/log.h"
#include "cassia/gateway/dispatcher.h"
#include "cassia/net/task.h"

#include <catch2/catch.hpp>

#include <unistd.h>

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
constexpr std::uint32_t slots_per_endpoint = 4;
// The usual time of a service is known after 20 calls.
constexpr int calls_before = 20;

std::string address_of(int number) {
    const int process = static_cast<int>(getpid());
    return "127." + std::to_string(130 + process / 250 % 60) + "." + std::to_string(process % 250) +
           "." + std::to_string(number) + ":7311";
}

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

/// A dispatcher with what it needs of its gateway, and two endpoints. Only the first one is listed
/// at the start, so it gets the first attempts.
class hedging_fixture {
public:
    explicit hedging_fixture(schema::route::route_kind kind = schema::route::repeatable,
                             std::uint32_t max_attempts = 2)
        : routes_(make_routes(kind, max_attempts)),
          server_(task_, net::raw_server_limits(),
                  {[this](exchange_id id, net::raw_request request) {
                       dispatcher_.submit({id,
                                           std::move(request),
                                           routes_,
                                           routes_->find("web"),
                                           nullptr,
                                           {},
                                           monotonic_now()});
                   },
                   [this](exchange_id id) { dispatcher_.on_caller_gone(id); }}),
          client_(task_, ""), crashes_(task_, "", self, zone_id("z"), metrics_, crash_hooks()),
          trials_(self, trial_hooks()),
          origins_(task_, self, zone_id("z"), metrics_, origin_hooks()),
          dispatcher_(server_, client_, slots_, crashes_, trials_, origins_, metrics_,
                      header_names(), hooks()),
          caller_(task_, ""), first(task_, 1), second(task_, 2) {
        start_logs("test", log_level::error, "");
        REQUIRE(server_.listen(http_address(address_of(9))));
        crashes_.set_gateways({});
        dispatcher_.set_hedge_percent(100);
        task_.every(milliseconds(20), [this] {
            crashes_.tick();
            dispatcher_.tick(monotonic_now());
        });
        list({1});
        for (int i = 0; i < calls_before; ++i)
            REQUIRE(ask().first == 200);
        first.requests = responses = 0;
    }

    /// Status, 0 for a closed connection, and time of a call whose first attempt goes to `first`.
    std::pair<int, milliseconds> ask(milliseconds leaves_after = milliseconds(5000)) {
        const instant began = monotonic_now();
        int status = -1;
        net::raw_call call;
        call.to = http_address(address_of(9));
        call.request.method = "POST";
        call.request.target = "/x";
        call.request.fields.add("Host", "shop.example");
        call.request.fields.add("Cassia-Request-Id", "r" + std::to_string(++asked_));
        net::raw_call_hooks got;
        int head_status = 0;
        got.on_head = [&](const net::raw_head& head) { head_status = head.status; };
        got.on_piece = [](std::string_view) {};
        got.on_end = [&] {
            status = head_status;
            ++responses;
            task_.quit();
        };
        got.on_failure = [&](const net::raw_failure&) {
            status = 0;
            task_.quit();
        };
        const call_id id = caller_.start(std::move(call), std::move(got));
        const timer_id leaves = task_.after(leaves_after, [this] { task_.quit(); });
        task_.run();
        task_.cancel(leaves);
        if (status < 0)
            caller_.cancel(id);
        return {status, std::chrono::duration_cast<milliseconds>(monotonic_now() - began)};
    }
    /// The same where the second endpoint is listed once the first one has the request.
    std::pair<int, milliseconds> ask_both(milliseconds leaves_after = milliseconds(5000)) {
        task_.after(milliseconds(20), [this] { list({1, 2}); });
        return ask(leaves_after);
    }
    void after(milliseconds time, std::function<void()> action) {
        task_.after(time, std::move(action));
    }
    void run_for(milliseconds time) {
        task_.after(time, [this] { task_.quit(); });
        task_.run();
    }
    bool holds_slots() const {
        const policy::slot_usage_map usage = slots_.own_usage();
        return std::any_of(usage.begin(), usage.end(),
                           [](const auto& one) { return one.second.online > 0; });
    }
    std::size_t open_calls() const { return dispatcher_.open_calls() + client_.open_calls(); }

private:
    static std::shared_ptr<const routes::table> make_routes(schema::route::route_kind kind,
                                                            std::uint32_t max_attempts) {
        schema::route_table source;
        source.set_version(1);
        schema::route& route = *source.add_routes();
        route.set_name("web");
        route.set_host("shop.example");
        route.set_path_prefix("/");
        route.set_kind(kind);
        route.set_timeout_ms(1500);
        route.set_target_ms(target.count());
        route.set_max_attempts(max_attempts);
        schema::route_target& to = *route.add_targets();
        to.set_service("web");
        to.set_weight(1);
        source.add_services()->set_name("web");
        return routes::table::compile(source).value();
    }
    void list(const std::vector<int>& numbers) {
        std::vector<policy::slot_endpoint> listed;
        for (const int number : numbers)
            listed.push_back({endpoint_id("e" + std::to_string(number)),
                              static_cast<std::uint64_t>(number), http_address(address_of(number)),
                              zone_id("z"), service_id("web"), slots_per_endpoint,
                              software_version("v")});
        slots_.set_endpoints(listed);
        crashes_.set_endpoints(listed);
    }
    crash_monitor_hooks crash_hooks() {
        crash_monitor_hooks hooks;
        hooks.send = [](const entry_id&, schema::envelope&) { return false; };
        hooks.on_crash = [this](const policy::endpoint_process& process) {
            crashed.push_back(process.endpoint.str() + "/" + std::to_string(process.incarnation));
        };
        hooks.on_quarantine = [] {};
        return hooks;
    }
    static trial_exchange_hooks trial_hooks() {
        trial_exchange_hooks hooks;
        hooks.send = [](const entry_id&, schema::envelope&) { return false; };
        hooks.coordinators = [] { return std::vector<entry_id>{self}; };
        return hooks;
    }
    static origin_exchange_hooks origin_hooks() {
        origin_exchange_hooks hooks;
        hooks.send = [](const entry_id&, schema::envelope&) { return false; };
        hooks.on_decision = [](const policy::stream_origin_decision&) {};
        return hooks;
    }
    dispatcher_hooks hooks() {
        dispatcher_hooks hooks;
        hooks.request_yield = [](const entry_id&, const endpoint_id&) {};
        hooks.refund_quota = [this](const policy::quota_grant&) { ++refunds; };
        hooks.reports_pace = [this](const service_id&) { return reports_pace; };
        return hooks;
    }

    inline static const entry_id self{"gateway"};
    net::task task_{"test"};
    metrics metrics_;
    policy::slot_table slots_{zone_id("z")};
    std::shared_ptr<const routes::table> routes_;
    net::raw_server server_;
    net::raw_client client_;
    crash_monitor crashes_;
    trial_exchange trials_;
    origin_exchange origins_;
    dispatcher dispatcher_;
    net::raw_client caller_;
    int asked_ = 0;

public:
    endpoint first;
    endpoint second;
    bool reports_pace = true;
    int refunds = 0;
    int responses = 0;
    std::vector<std::string> crashed; ///< endpoints and their incarnations
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
