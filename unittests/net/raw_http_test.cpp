// Requests and answers passed on as they came, and what may happen to connections meanwhile.

#include "call_fixture.h"

#include "cassia/net/raw_server.h"
#include "cassia/net/task.h"
#include "cassia/net/tcp_connections.h"

#include <catch2/catch.hpp>

#include <arpa/inet.h>
#include <memory>
#include <netinet/in.h>
#include <optional>
#include <string>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <utility>
#include <vector>

using namespace cassia;
using namespace cassia::net;

namespace {

const std::string whole =
    "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nConnection: keep-alive\r\n\r\nok";

} // namespace

TEST_CASE("a request goes on with its path and body unchanged", "[raw]") {
    call_fixture fixture("127.0.21.1:7001");
    fixture.endpoint.answer = whole;
    const outcome_of_call got = fixture.call("POST", std::string("\0\r\n\xff", 4));
    CHECK(got.ended);
    CHECK(got.body == "ok");
    CHECK(fixture.endpoint.received == "POST /a//b/%2e?x=%20 HTTP/1.1\r\nHost: shop.example\r\n"
                                       "Content-Length: 4\r\n\r\n" +
                                           std::string("\0\r\n\xff", 4));
}

TEST_CASE("a connection is kept after a whole answer, and nothing else", "[raw]") {
    call_fixture fixture("127.0.21.2:7001");
    SECTION("whole") {
        fixture.endpoint.answer = whole;
        fixture.call();
        fixture.call();
        CHECK(fixture.endpoint.connections == 1);
    }
    SECTION("the endpoint says that it closes") {
        fixture.endpoint.answer =
            "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";
        fixture.call();
        fixture.call();
        CHECK(fixture.endpoint.connections == 2);
    }
    SECTION("bytes behind the answer") {
        fixture.endpoint.answer = whole + "HTTP/1.1 200 OK\r\n";
        CHECK(fixture.call().ended);
        fixture.call();
        CHECK(fixture.endpoint.connections == 2);
    }
}

// A caller would get the answer of another request: an endpoint sends a second answer late, on a
// kept connection, just where the next answer is expected. The connection has to go.
TEST_CASE("bytes that nobody asked for end an idle connection", "[raw]") {
    call_fixture fixture("127.0.21.3:7001");
    fixture.endpoint.answer = whole;
    CHECK(fixture.call().ended);
    fixture.endpoint.sockets->write(connection_id(1), whole);
    fixture.run_for(milliseconds(50));
    CHECK(fixture.endpoint.closed == 1);
    CHECK(fixture.call().ended);
    CHECK(fixture.endpoint.connections == 2);
}

// Guards against the response of an earlier request that is taken for that of the next one.
TEST_CASE("a response to another request is skipped on a kept connection, or fails the call",
          "[raw]") {
    call_fixture fixture("127.0.21.8:7001");
    const std::string own = "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 2\r\n\r\nok";
    const std::string late =
        "HTTP/1.1 503 Busy\r\nId: 0\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nno\r\n0\r\n\r\n";
    fixture.find_owner = [](const raw_head& head) {
        if (!head.fields.has("Id"))
            return response_owner::unknown;
        return head.fields.find("Id") == "1" ? response_owner::this_request
                                             : response_owner::another_request;
    };
    bool kept = true;
    bool ends = false;
    SECTION("before its own response") {
        fixture.endpoint.answer = late + own;
        ends = true;
    }
    SECTION("before an informational response and its own") {
        fixture.endpoint.answer = late + "HTTP/1.1 102 Processing\r\n\r\n" + own;
        ends = true;
    }
    SECTION("twice") {
        fixture.endpoint.answer = late + late + own;
    }
    SECTION("without an end of its own") {
        fixture.endpoint.answer = "HTTP/1.1 503 Busy\r\nId: 0\r\n\r\n" + own;
    }
    SECTION("too long") {
        fixture.endpoint.answer = "HTTP/1.1 503 Busy\r\nId: 0\r\nContent-Length: 8000000\r\n\r\n" +
                                  std::string(2000000, 'x');
    }
    SECTION("without an id") {
        fixture.endpoint.answer = "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n" + own;
    }
    SECTION("on a new connection") {
        fixture.endpoint.answer = late + own;
        kept = false;
    }
    if (kept) {
        const std::string answer = std::exchange(fixture.endpoint.answer, own);
        REQUIRE(fixture.call().ended);
        fixture.endpoint.answer = answer;
    }
    const outcome_of_call got = fixture.call();
    CHECK(fixture.endpoint.connections == 1);
    CHECK(got.ended == ends);
    CHECK(got.body == (ends ? "ok" : ""));
    CHECK(got.head.has_value() == ends);
    CHECK(got.failure.has_value() == !ends);
    if (got.failure)
        CHECK(got.failure->foreign);
    fixture.endpoint.answer = own;
    CHECK(fixture.call().ended);
    CHECK(fixture.endpoint.connections == 2);
}

TEST_CASE("an answer that breaks off is a failure, however its end is marked", "[raw]") {
    call_fixture fixture("127.0.21.4:7001");
    SECTION("short of its length") {
        fixture.endpoint.answer = "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok";
        fixture.endpoint.closes = true;
        CHECK(fixture.call().failure->answered);
    }
    SECTION("without its last chunk") {
        fixture.endpoint.answer =
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n";
        fixture.endpoint.closes = true;
        CHECK(fixture.call().failure);
    }
    SECTION("no length, closed in order: whole") {
        fixture.endpoint.answer = "HTTP/1.1 200 OK\r\n\r\nok";
        fixture.endpoint.closes = true;
        const outcome_of_call got = fixture.call();
        CHECK(got.ended);
        CHECK(got.body == "ok");
    }
    SECTION("no answer at all") {
        fixture.endpoint.closes = true;
        const outcome_of_call got = fixture.call();
        CHECK(got.failure->sent);
        CHECK(!got.failure->answered);
    }
    SECTION("bytes that are no HTTP") {
        fixture.endpoint.answer = "garbage\r\n\r\n";
        CHECK(fixture.call().failure);
    }
}

TEST_CASE("nobody listens: certainly nothing was sent", "[raw]") {
    task owner("test");
    raw_client client(owner, "127.0.0.1");
    std::optional<raw_failure> failure;
    raw_call call;
    call.to = http_address("127.0.21.9:7009");
    raw_call_hooks hooks;
    hooks.on_failure = [&](const raw_failure& got) {
        failure = got;
        owner.quit();
    };
    client.start(call, hooks);
    owner.run();
    REQUIRE(failure);
    CHECK(!failure->sent);
}

TEST_CASE("a server takes what callers may send, and refuses the rest", "[raw]") {
    task owner("test");
    std::vector<raw_request> requests;
    std::unique_ptr<raw_server> server;
    raw_server_hooks served;
    served.on_request = [&](exchange_id id, raw_request request) {
        requests.push_back(std::move(request));
        raw_head head;
        head.status = 200;
        server->respond(id, head, std::to_string(requests.size()));
    };
    served.on_gone = [](exchange_id) {};
    raw_server_limits limits;
    limits.header_bytes = 1000;
    limits.body_bytes = 100;
    limits.header_timeout = milliseconds(300);
    server = std::make_unique<raw_server>(owner, limits, served);
    REQUIRE(server->listen(http_address("127.0.21.5:7001")));
    std::string answers;
    bool closed = false;
    tcp_hooks hooks;
    hooks.on_accepted = [](connection_id) {};
    hooks.on_connected = [](connection_id) {};
    hooks.on_bytes = [&](connection_id, std::string_view bytes) { answers.append(bytes); };
    hooks.on_closed = [&](connection_id, bool) { closed = true; };
    tcp_connections callers(owner, tcp_settings(), hooks);
    const connection_id caller = callers.connect(http_address("127.0.21.5:7001"), "");
    const auto send = [&](const std::string& bytes, milliseconds wait) {
        callers.write(caller, bytes);
        owner.after(wait, [&] { owner.quit(); });
        owner.run();
    };
    constexpr milliseconds soon(60);
    SECTION("chunks, and two requests at once") {
        send("POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n", soon);
        CHECK(requests.empty());
        send("1\r\nc\r\n0\r\n\r\nGET //y?%2e HTTP/1.1\r\nHost: h\r\n\r\n", soon);
        REQUIRE(requests.size() == 2);
        CHECK(requests[0].body == "abc");
        CHECK(requests[1].target == "//y?%2e");
        CHECK(!closed);
    }
    SECTION("a body over the limit") {
        send("POST /x HTTP/1.1\r\nContent-Length: 101\r\n\r\n", soon);
        CHECK(answers.find("413") != std::string::npos);
        CHECK(closed);
    }
    SECTION("a header over the limit") {
        send("GET /x HTTP/1.1\r\nX: " + std::string(2000, 'x') + "\r\n\r\n", soon);
        CHECK(answers.find("431") != std::string::npos);
    }
    SECTION("two lengths that differ") {
        send("POST /x HTTP/1.1\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd", soon);
        CHECK(answers.find("400") != std::string::npos);
        CHECK(requests.empty());
    }
    SECTION("a header that never ends") {
        send("GET /x HTTP/1.1\r\nX: ", milliseconds(800));
        CHECK(answers.find("408") != std::string::npos);
    }
}

// Story: an endpoint gets bytes of one request where it expects the next: it answers before it has
// read a long body, keeps the connection, and reads on later. The rest of the body must come first,
// whole, and only then the next request.
TEST_CASE("the rest of a long body is sent though its answer came early", "[raw]") {
    call_fixture fixture("127.0.21.6:7001");
    fixture.endpoint.answer = whole;
    const std::string body(3 << 20, 'b');
    const outcome_of_call got = fixture.call("POST", body);
    CHECK(got.ended);
    fixture.run_for(milliseconds(300));
    const std::size_t head_end = fixture.endpoint.received.find("\r\n\r\n") + 4;
    const bool whole_body = fixture.endpoint.received.size() >= head_end + body.size();
    const bool cut_off = fixture.endpoint.closed > 0;
    CHECK((whole_body || cut_off));
    CHECK(fixture.endpoint.received.substr(head_end).find_first_not_of('b') == std::string::npos);
}

// Guards against idle connections that are closed with a request in them that was not read yet.
TEST_CASE("a server that was suspended reads requests before it closes idle connections", "[raw]") {
    constexpr milliseconds idle_timeout(600);
    constexpr std::size_t connections = 400;
    task owner("test");
    std::size_t received = 0;
    std::unique_ptr<raw_server> server;
    raw_server_hooks served;
    served.on_request = [&](exchange_id id, const raw_request&) {
        ++received;
        raw_head head;
        head.status = 200;
        server->respond(id, head, "");
    };
    served.on_gone = [](exchange_id) {};
    raw_server_limits limits;
    limits.idle_timeout = idle_timeout;
    server = std::make_unique<raw_server>(owner, limits, served);
    REQUIRE(server->listen(http_address("127.0.21.7:7001")));
    sockaddr_in where{};
    where.sin_family = AF_INET;
    where.sin_port = htons(7001);
    inet_pton(AF_INET, "127.0.21.7", &where.sin_addr);
    std::vector<int> callers;
    const auto run_for = [&owner](milliseconds time) {
        owner.after(time, [&owner] { owner.quit(); });
        owner.run();
    };
    const std::string request = "GET /x HTTP/1.1\r\nHost: h\r\n\r\n";
    const auto send_all = [&] {
        for (const int caller : callers)
            REQUIRE(send(caller, request.data(), request.size(), MSG_NOSIGNAL) > 0);
    };
    for (std::size_t i = 0; i < connections; ++i) {
        callers.push_back(socket(AF_INET, SOCK_STREAM, 0));
        REQUIRE(connect(callers.back(), reinterpret_cast<const sockaddr*>(&where), sizeof where) ==
                0);
        if (i % 50 == 49)
            run_for(milliseconds(10));
    }
    send_all();
    run_for(milliseconds(100));
    REQUIRE(received == connections);
    owner.post([&] {
        send_all();
        std::this_thread::sleep_for(2 * idle_timeout);
    });
    run_for(2 * idle_timeout);
    CHECK(received == 2 * connections);
    for (const int caller : callers)
        close(caller);
}
