// Late copies of earlier responses, where the response to the next request is expected.

#include "dispatcher_fixture.h"

#include "cassia/net/tcp_connections.h"

#include <map>
#include <set>
#include <string_view>

using namespace cassia;
using namespace cassia::gateway;

namespace {

constexpr milliseconds target(200);

/// Rejects the first request of each connection, keeps the connection, and runs all others; ahead
/// of their responses it sends copies of the rejection.
class repeating_endpoint {
public:
    repeating_endpoint(net::task& owner, int number) {
        net::tcp_hooks hooks;
        hooks.on_accepted = [](net::connection_id) {};
        hooks.on_connected = [](net::connection_id) {};
        hooks.on_bytes = [this](net::connection_id id, std::string_view bytes) {
            respond(id, id_of(bytes));
        };
        hooks.on_closed = [this](net::connection_id id, bool) { rejections_.erase(id); };
        sockets_ = std::make_unique<net::tcp_connections>(owner, net::tcp_settings(), hooks);
        REQUIRE(sockets_->listen(http_address(address_of(number))));
    }

    std::string rejection = "503 Service Unavailable\r\nCassia-Not-Run: 1";
    std::string body;
    int copies = 1;
    bool is_full = false;
    bool runs_rejected = false;      ///< requests that come again on another connection
    std::map<std::string, int> runs; ///< by request id

private:
    void respond(net::connection_id id, const std::string& request) {
        const bool is_first = rejections_.count(id) == 0;
        const bool came_again = runs_rejected && rejected_.count(request) > 0;
        if ((is_first && !came_again) || is_full) {
            rejected_.insert(request);
            rejections_[id] = response(rejection, request, body);
            sockets_->write(id, rejections_[id]);
            return;
        }
        ++runs[request];
        for (int i = 0; i < copies && !is_first; ++i)
            sockets_->write(id, rejections_[id]);
        sockets_->write(id, response("200 OK", request, "done"));
    }

    std::unique_ptr<net::tcp_connections> sockets_;
    std::map<net::connection_id, std::string> rejections_;
    std::set<std::string> rejected_; ///< request ids
};

class repeating_fixture : public dispatcher_fixture {
public:
    explicit repeating_fixture(schema::route::route_kind kind)
        : dispatcher_fixture(kind, 1, target), first(task_, 1), second(task_, 2) {}

    repeating_endpoint first;
    repeating_endpoint second;
};

} // namespace

// Guards against a request that runs, and is sent to another endpoint as one that didn't.
TEST_CASE("a late copy of a rejection says nothing of the next request", "[late]") {
    repeating_fixture fixture(schema::route::at_most_once);
    SECTION("a 503") {}
    SECTION("with a body") {
        fixture.first.body = fixture.second.body = std::string(2000, 'x');
    }
    SECTION("a 429") {
        fixture.first.rejection = "429 Too Many Requests\r\nCassia-Not-Run: 1";
    }
    SECTION("a 421") {
        fixture.first.rejection = "421 Misdirected Request\r\nCassia-Not-Run: 1";
    }
    SECTION("a 421 that doesn't say so") {
        fixture.first.rejection = "421 Misdirected Request";
    }
    fixture.list({1});
    CHECK(fixture.ask().first == 503);
    // Both may have rejected the request by the time that no connection is kept any more.
    fixture.first.runs_rejected = fixture.second.runs_rejected = true;
    fixture.list({1, 2});
    int served = 0;
    std::string outcomes;
    for (int i = 0; i < 20; ++i) {
        const std::pair<int, milliseconds> got = fixture.ask();
        served += got.first == 200 ? 1 : 0;
        outcomes +=
            std::to_string(got.first) + " after " + std::to_string(got.second.count()) + "; ";
    }
    CAPTURE(outcomes);
    CHECK(served == 20);
    std::map<std::string, int> runs = fixture.first.runs;
    for (const std::pair<const std::string, int>& one : fixture.second.runs)
        runs[one.first] += one.second;
    CHECK(runs.size() >= 20);
    for (const std::pair<const std::string, int>& one : runs)
        CHECK(one.second == 1);
}

// Guards against a refusal of a request that runs: the copy is taken for its response, and no other
// endpoint has room.
TEST_CASE("a request that runs isn't refused for a late copy", "[late]") {
    repeating_fixture fixture(schema::route::at_most_once);
    fixture.second.is_full = true;
    int allowed = 200;
    SECTION("one copy") {}
    SECTION("more copies than are skipped") {
        fixture.first.copies = 3;
        allowed = 502;
    }
    fixture.list({1});
    CHECK(fixture.ask().first == 503);
    CHECK(fixture.first.runs.empty());
    fixture.list({1, 2});
    int refused_runs = 0;
    for (int i = 0; i < 10; ++i) {
        const std::size_t runs_before = fixture.first.runs.size();
        const int status = fixture.ask().first;
        const bool ran = fixture.first.runs.size() > runs_before;
        if (ran)
            CHECK(status == allowed);
        refused_runs += ran && status == 503 ? 1 : 0;
    }
    CHECK(!fixture.first.runs.empty());
    CHECK(refused_runs == 0);
}

// Guards against a promise that a request hasn't run, where its endpoint doesn't say so.
TEST_CASE("a refusal by an endpoint that may have run the request is no promise", "[late]") {
    const char* refusal =
        GENERATE("503 Service Unavailable", "429 Too Many Requests", "408 Request Timeout");
    schema::route::route_kind kind = schema::route::at_most_once;
    int expected = 502;
    SECTION("a request that may run once") {}
    SECTION("a request that may be repeated") {
        kind = schema::route::repeatable;
        expected = std::stoi(refusal);
    }
    repeating_fixture fixture(kind);
    fixture.first.rejection = refusal;
    fixture.first.is_full = true;
    fixture.list({1});
    CHECK(fixture.ask().first == expected);
}
