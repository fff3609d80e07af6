// Late copies that arrive incomplete or in pieces, where the response to the next request is
// expected.

#include "dispatcher_fixture.h"

#include "cassia/net/tcp_connections.h"

#include <map>
#include <set>
#include <string_view>

using namespace cassia;
using namespace cassia::gateway;

namespace {

constexpr milliseconds target(200);

/// Rejects the request r1, or all, and runs the others; something comes ahead of their responses.
class scripted_endpoint {
public:
    scripted_endpoint(net::task& owner, int number) {
        net::tcp_hooks hooks;
        hooks.on_accepted = [](net::connection_id) {};
        hooks.on_connected = [](net::connection_id) {};
        hooks.on_bytes = [this](net::connection_id id, std::string_view bytes) {
            respond(id, id_of(bytes));
        };
        hooks.on_closed = [this](net::connection_id id, bool) { used_.erase(id); };
        sockets_ = std::make_unique<net::tcp_connections>(owner, net::tcp_settings(), hooks);
        REQUIRE(sockets_->listen(http_address(address_of(number))));
    }

    std::string rejection = "503 Service Unavailable\r\nCassia-Not-Run: 1";
    bool is_full = false;
    bool has_one_slot = false;       ///< full once a request runs
    std::string ahead;               ///< of a response on a connection that was used before
    std::map<std::string, int> runs; ///< by request id

private:
    void respond(net::connection_id id, const std::string& request) {
        const bool was_used = !used_.insert(id).second;
        if (is_full || request == "r1") {
            sockets_->write(id, response(rejection, request, ""));
            return;
        }
        ++runs[request];
        is_full = has_one_slot;
        sockets_->write(id, (was_used ? ahead : "") + response("200 OK", request, "done"));
    }

    std::unique_ptr<net::tcp_connections> sockets_;
    std::set<net::connection_id> used_;
};

class cut_fixture : public dispatcher_fixture {
public:
    cut_fixture()
        : dispatcher_fixture(schema::route::at_most_once, 1, target), first(task_, 1),
          second(task_, 2) {
        second.is_full = true;
    }

    scripted_endpoint first;
    scripted_endpoint second;
};

} // namespace

// Guards against a request that runs, and is refused or runs again: the start of a copy and the own
// response are read as one head, which says "not run" and bears the own id.
TEST_CASE("the start of a copy ahead of the response is no rejection", "[late-cut]") {
    constexpr milliseconds past_deadline(1700);
    const bool has_one_slot = GENERATE(false, true);
    std::string outcomes;
    int ran = 0;
    int refused = 0;
    int twice = 0;
    // Within the reason, a field's value, and a field's name.
    for (const std::string_view end :
         {"503 Serv", "421 Misdir", "Not-Run: ", "Not-Run: 1", "Stamp: ", "Stamp: s",
          "Request-Id: ", "Request-Id: r1", "Keep-Al", "timeout=5"}) {
        cut_fixture fixture;
        if (end == "421 Misdir")
            fixture.first.rejection = "421 Misdirected Request";
        const std::string whole = response(fixture.first.rejection, "r1", "");
        fixture.first.has_one_slot = has_one_slot;
        fixture.first.ahead = whole.substr(0, whole.find(end) + end.size());
        fixture.list({1});
        CHECK(fixture.ask().first == 503);
        CHECK(fixture.first.runs.empty());
        fixture.list({1, 2});
        const int status = fixture.ask(past_deadline).first;
        const int runs = fixture.first.runs["r2"];
        outcomes += std::string(end) + ": " + std::to_string(status) + ", runs " +
                    std::to_string(runs) + "; ";
        ran += runs > 0 ? 1 : 0;
        refused += runs > 0 && status == 503 ? 1 : 0;
        twice += runs > 1 ? 1 : 0;
    }
    CAPTURE(ran, has_one_slot, outcomes);
    CHECK(ran > 0);
    CHECK(refused == 0);
    CHECK(twice == 0);
}
