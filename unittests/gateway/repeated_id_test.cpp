// Requests that can't be told from an earlier one by their id.

#include "dispatcher_fixture.h"

#include "cassia/net/tcp_connections.h"

#include <map>
#include <string_view>

using namespace cassia;
using namespace cassia::gateway;

namespace {

constexpr milliseconds target(200);

/// Rejects the first request of a connection, and runs the next ones behind a copy of that.
class copying_endpoint {
public:
    copying_endpoint(net::task& owner, int number) {
        net::tcp_hooks hooks;
        hooks.on_accepted = [](net::connection_id) {};
        hooks.on_connected = [](net::connection_id) {};
        hooks.on_bytes = [this](net::connection_id id, std::string_view bytes) {
            respond(id, std::string(bytes));
        };
        hooks.on_closed = [this](net::connection_id id, bool) { rejections_.erase(id); };
        sockets_ = std::make_unique<net::tcp_connections>(owner, net::tcp_settings(), hooks);
        REQUIRE(sockets_->listen(http_address(address_of(number))));
    }

    bool is_full = true;
    int runs = 0;

private:
    static std::string response_to(const std::string& request, const std::string& status) {
        const bool has_id = request.find("Cassia-Request-Id: ") != std::string::npos;
        return "HTTP/1.1 " + status + "\r\nCassia-Stamp: s\r\n" +
               (has_id ? "Cassia-Request-Id: " + id_of(request) + "\r\n" : "") +
               "Keep-Alive: timeout=5\r\nContent-Length: 0\r\n\r\n";
    }
    void respond(net::connection_id id, const std::string& request) {
        if (is_full) {
            rejections_[id] = response_to(request, "503 Service Unavailable\r\nCassia-Not-Run: 1");
            sockets_->write(id, rejections_[id]);
            return;
        }
        ++runs;
        sockets_->write(id, rejections_[id] + response_to(request, "200 OK"));
    }

    std::unique_ptr<net::tcp_connections> sockets_;
    std::map<net::connection_id, std::string> rejections_;
};

class repeated_fixture : public dispatcher_fixture {
public:
    repeated_fixture()
        : dispatcher_fixture(schema::route::at_most_once, 1, target), endpoint(task_, 1) {}

    /// Status of a call with the id, or without one if it is empty.
    int ask_as(const std::string& request_id) {
        int status = 0;
        net::raw_call call;
        call.to = http_address(address_of(9));
        call.request.method = "POST";
        call.request.target = "/x";
        call.request.fields.add("Host", "shop.example");
        if (!request_id.empty())
            call.request.fields.add("Cassia-Request-Id", request_id);
        net::raw_call_hooks got;
        got.on_head = [&](const net::raw_head& head) { status = head.status; };
        got.on_piece = [](std::string_view) {};
        got.on_end = [this] { task_.quit(); };
        got.on_failure = [this](const net::raw_failure&) { task_.quit(); };
        caller_.start(std::move(call), std::move(got));
        task_.run();
        return status;
    }

    copying_endpoint endpoint;
};

} // namespace

// Guards against a request that runs, and is refused: its caller sends it again under the id of the
// attempt that was rejected, or names none, and a late copy of the rejection has the same.
TEST_CASE("a late copy is no response to another request with the same id", "[repeated-id]") {
    const std::string request_id = GENERATE("r1", "");
    CAPTURE(request_id);
    repeated_fixture fixture;
    fixture.list({1});
    CHECK(fixture.ask_as(request_id) == 503);
    CHECK(fixture.endpoint.runs == 0);
    fixture.endpoint.is_full = false;
    const int status = fixture.ask_as(request_id);
    CHECK(fixture.endpoint.runs == 1);
    CHECK(status != 503);
}
