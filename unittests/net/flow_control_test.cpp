// Bodies that are refused, and responses that aren't read for a while.

#include "cassia/net/raw_client.h"
#include "cassia/net/raw_server.h"
#include "cassia/net/task.h"
#include "cassia/net/tcp_connections.h"

#include <catch2/catch.hpp>

#include <optional>
#include <string>

using namespace cassia;
using namespace cassia::net;

namespace {

constexpr std::size_t body_size = 4UL * 1024 * 1024;
constexpr std::size_t admitted_size = 1024UL * 1024;

/// A server that admits bodies up to `admitted_size`, and one caller of raw bytes.
class refusing_server {
public:
    explicit refusing_server(const std::string& address) {
        raw_server_hooks hooks;
        hooks.on_request = [this](exchange_id id, const raw_request& request) {
            ++requests;
            held_when_served = server->bytes_of(server->connection_of(id)).body;
            raw_head head;
            head.status = 200;
            server->respond(id, head, std::to_string(request.body.size()));
        };
        hooks.on_gone = [](exchange_id) {};
        raw_server_flow flow;
        flow.refuse_body = [](connection_id, const http_fields&, std::uint64_t bytes) {
            std::optional<http_fields> refusal;
            if (bytes > admitted_size)
                refusal.emplace().add("Retry-After", "0.5");
            return refusal;
        };
        flow.on_released = [this](connection_id) { ++released; };
        server = std::make_unique<raw_server>(owner, raw_server_limits(), hooks, flow);
        REQUIRE(server->listen(http_address(address)));
        tcp_hooks caller_hooks;
        caller_hooks.on_connected = [](connection_id) {};
        caller_hooks.on_bytes = [this](connection_id, std::string_view bytes) {
            answer.append(bytes);
        };
        caller_hooks.on_closed = [this](connection_id, bool clean) {
            closed = true;
            closed_in_order = clean;
        };
        callers = std::make_unique<tcp_connections>(owner, tcp_settings(), caller_hooks);
        caller = callers->connect(http_address(address), "");
    }
    void send(const std::string& bytes, milliseconds wait) {
        callers->write(caller, bytes);
        owner.after(wait, [this] { owner.quit(); });
        owner.run();
    }

    task owner{"test"};
    std::unique_ptr<raw_server> server;
    std::unique_ptr<tcp_connections> callers;
    connection_id caller;
    int requests = 0;
    int released = 0;
    std::uint64_t held_when_served = 0;
    std::string answer;
    bool closed = false;
    bool closed_in_order = false;
};

std::string head_of(std::size_t length) {
    return "POST /f/x HTTP/1.1\r\nHost: h\r\nContent-Length: " + std::to_string(length) +
           "\r\n\r\n";
}

} // namespace

// Guards against a refusal that comes only after the body, or that a reset destroys.
TEST_CASE("a body that doesn't fit is refused before it is read", "[raw]") {
    refusing_server test("127.0.21.11:7001");
    test.send(head_of(body_size), milliseconds(100));
    CHECK(test.answer.rfind("HTTP/1.1 503", 0) == 0);
    CHECK(test.answer.find("Retry-After: 0.5\r\n") != std::string::npos);
    CHECK(test.answer.find("Connection: close\r\n") != std::string::npos);
    // The rest of the body isn't answered by a reset. The server has ended its half.
    test.send(std::string(body_size, 'x'), milliseconds(300));
    CHECK(test.requests == 0);
    CHECK(test.closed);
    CHECK(test.closed_in_order);
    CHECK(test.server->open_connections() == 0);
}

// Guards against a caller that sends on for as long as it likes after a refusal.
TEST_CASE("what follows a refusal is read for a bounded time", "[raw]") {
    refusing_server test("127.0.21.12:7001");
    test.send(head_of(body_size), milliseconds(100));
    CHECK(test.server->open_connections() <= 1);
    test.send("x", milliseconds(3600));
    CHECK(test.server->open_connections() == 0);
}

// Guards against a body without a length that isn't counted.
TEST_CASE("a chunked body is refused when it has become too large", "[raw]") {
    refusing_server test("127.0.21.13:7001");
    test.send("POST /f/x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n",
              milliseconds(50));
    const std::string chunk = to_chunk(std::string(admitted_size * 3 / 4, 'x'));
    test.send(chunk, milliseconds(100));
    CHECK(test.answer.empty());
    test.send(chunk, milliseconds(100));
    CHECK(test.answer.rfind("HTTP/1.1 503", 0) == 0);
    CHECK(test.requests == 0);
}

// Guards against bytes that stay counted when the request has been answered.
TEST_CASE("an admitted body counts until it is answered", "[raw]") {
    refusing_server test("127.0.21.14:7001");
    test.send(head_of(admitted_size) + std::string(admitted_size, 'x'), milliseconds(200));
    CHECK(test.held_when_served == admitted_size);
    CHECK(test.answer.find("\r\n\r\n" + std::to_string(admitted_size)) != std::string::npos);
    CHECK(test.released > 0);
    CHECK_FALSE(test.closed);
}

// Guards against a slow head that occupies more than its connection.
TEST_CASE("a head may come byte by byte", "[raw]") {
    refusing_server test("127.0.21.15:7001");
    for (const char byte : head_of(2) + "ok")
        test.send(std::string(1, byte), milliseconds(5));
    test.owner.after(milliseconds(50), [&test] { test.owner.quit(); });
    test.owner.run();
    CHECK(test.requests == 1);
    CHECK(test.answer.rfind("HTTP/1.1 200", 0) == 0);
}

// Guards against an endpoint that is read without bound while its call is paused, and against the
// endpoint being blamed when it gives up.
TEST_CASE("a paused call isn't read until it is resumed", "[raw]") {
    const std::string address = "127.0.21.16:7001";
    constexpr std::size_t response_size = 24UL * 1024 * 1024;
    task owner("test");
    std::unique_ptr<raw_server> server;
    raw_server_hooks hooks;
    exchange_id served;
    hooks.on_request = [&](exchange_id id, const raw_request&) {
        served = id;
        raw_head head;
        head.status = 200;
        head.framing = body_framing::chunked;
        server->begin(id, head);
        server->piece(id, std::string(response_size, 'x'));
    };
    hooks.on_gone = [](exchange_id) {};
    raw_server_flow patient;
    patient.refuse_body = [](connection_id, const http_fields&, std::uint64_t) {
        return std::optional<http_fields>();
    };
    patient.on_released = [](connection_id) {};
    server = std::make_unique<raw_server>(owner, raw_server_limits(), hooks, patient);
    REQUIRE(server->listen(http_address(address)));
    raw_client client(owner, "");
    std::size_t received = 0;
    std::optional<raw_failure> failure;
    bool ended = false;
    call_id id;
    raw_call_hooks call_hooks;
    call_hooks.on_head = [&](const raw_head&) { client.pause(id); };
    call_hooks.on_piece = [&](std::string_view bytes) { received += bytes.size(); };
    call_hooks.on_end = [&] { ended = true; };
    call_hooks.on_failure = [&](const raw_failure& one) { failure = one; };
    raw_call call;
    call.to = http_address(address);
    call.request.method = "GET";
    call.request.target = "/";
    id = client.start(call, call_hooks);
    const auto run_for = [&](milliseconds time) {
        owner.after(time, [&owner] { owner.quit(); });
        owner.run();
    };
    run_for(milliseconds(300));
    CHECK(received <= 64UL * 1024);
    SECTION("resumed") {
        client.resume(id);
        run_for(milliseconds(800));
        CHECK(received == response_size);
        server->end(served);
        run_for(milliseconds(100));
        CHECK(ended);
    }
    SECTION("given up by the endpoint") {
        server->abort(served);
        run_for(milliseconds(100));
        REQUIRE(failure);
        CHECK(failure->paused);
    }
}
