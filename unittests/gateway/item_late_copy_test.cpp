// Late copies of responses to items of other jobs.

#include "item_runner_fixture.h"

#include "cassia/net/tcp_connections.h"

#include <string_view>

using namespace cassia;
using namespace cassia::gateway;

namespace {

/// Answers each item with its body; ahead of that comes the response before on the connection.
class copying_endpoint {
public:
    copying_endpoint(net::task& owner, const std::string& address) {
        net::tcp_hooks hooks;
        hooks.on_accepted = [](net::connection_id) {};
        hooks.on_connected = [](net::connection_id) {};
        hooks.on_bytes = [this](net::connection_id id, std::string_view bytes) {
            respond(id, bytes);
        };
        hooks.on_closed = [this](net::connection_id id, bool) { responses_.erase(id); };
        sockets_ = std::make_unique<net::tcp_connections>(owner, net::tcp_settings(), hooks);
        REQUIRE(sockets_->listen(http_address(address)));
    }

private:
    void respond(net::connection_id id, std::string_view request) {
        const std::string body =
            "id: 1\ndata: " + std::string(request.substr(request.find("\r\n\r\n") + 4)) + "\n\n";
        const std::string response =
            "HTTP/1.1 200 OK\r\nCassia-Stamp: s\r\nCassia-Request-Id: same\r\nKeep-Alive: "
            "timeout=5\r\nContent-Length: " +
            std::to_string(body.size()) + "\r\n\r\n" + body;
        sockets_->write(id, responses_[id] + response);
        responses_[id] = response;
    }

    std::unique_ptr<net::tcp_connections> sockets_;
    std::map<net::connection_id, std::string> responses_;
};

} // namespace

// Guards against the result of another job's item: both items have the same id, and a late copy of
// the response to the first is taken for the response to the second.
TEST_CASE("a late copy is no result of another job's item", "[item-late-copy]") {
    runner_fixture fixture;
    fixture.runner.set_routes(make_routes(1, {{"batch", {"model"}}}));
    fixture.add_unreachable_endpoint("model", "v1");
    copying_endpoint endpoint(fixture.task(), own_net() + ".201:7301");
    for (const std::string text : {"first", "second"}) {
        schema::leased_item item = fixture.make_item("same", "batch", 0);
        item.set_job(text);
        item.mutable_item()->set_body(text);
        fixture.offer(item);
        const instant end = monotonic_now() + max_idle_time;
        while (monotonic_now() < end && fixture.reported.count(text) == 0)
            fixture.run_for(tick_interval);
        CHECK(fixture.texts[text] == text);
    }
}
