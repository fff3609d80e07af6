// Responses that come before the body of their request is read.

#include "cassia/net/raw_client.h"
#include "cassia/net/task.h"
#include "cassia/net/tcp_connections.h"

#include <catch2/catch.hpp>

#include <memory>
#include <string>
#include <string_view>
#include <utility>

using namespace cassia;
using namespace cassia::net;

// Guards against requests that wait behind the rest of a body that nobody reads, or are lost with
// it: the connection of a request that was answered early is used for the next one.
TEST_CASE("a connection with an unsent body isn't used for the next request", "[unread-body]") {
    const http_address address("127.77.21.1:7331");
    task owner("test");
    std::unique_ptr<tcp_connections> sockets;
    int accepted = 0;
    tcp_hooks endpoint;
    endpoint.on_accepted = [&](connection_id) { ++accepted; };
    endpoint.on_connected = [](connection_id) {};
    endpoint.on_bytes = [&](connection_id id, std::string_view) {
        sockets->pause_reading(id);
        sockets->write(id, "HTTP/1.1 503 Service Unavailable\r\nKeep-Alive: timeout=5\r\n"
                           "Content-Length: 0\r\n\r\n");
    };
    endpoint.on_closed = [](connection_id, bool) {};
    sockets = std::make_unique<tcp_connections>(owner, tcp_settings(), endpoint);
    REQUIRE(sockets->listen(address));
    raw_client client(owner, "127.0.0.1");
    int answered = 0;
    for (const std::size_t bytes : {std::size_t{32} * 1024 * 1024, std::size_t{10}}) {
        raw_call call;
        call.to = address;
        call.request.method = "POST";
        call.request.target = "/x";
        call.request.body = std::string(bytes, 'x');
        raw_call_hooks hooks;
        hooks.on_head = [&answered](const raw_head&) { ++answered; };
        hooks.on_piece = [](std::string_view) {};
        hooks.on_end = [&owner] { owner.quit(); };
        hooks.on_failure = [&owner](const raw_failure&) { owner.quit(); };
        client.start(std::move(call), std::move(hooks));
        const timer_id end = owner.after(milliseconds(1000), [&owner] { owner.quit(); });
        owner.run();
        owner.cancel(end);
    }
    CHECK(answered == 2);
    CHECK(accepted == 2);
}
