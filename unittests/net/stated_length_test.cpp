// Lengths that the other end states before the bytes have come.

#include "call_fixture.h"

#include "cassia/net/raw_server.h"

#include <malloc.h>
#include <vector>

using namespace cassia;
using namespace cassia::net;

namespace {

constexpr std::size_t connection_count = 50;
constexpr milliseconds soon(200);

const std::vector<std::string> huge_lengths = {
    "2147483648",          "1099511627776",        "4611686018427387904",
    "9223372036854775807", "18446744073709551615", "00000000000009223372036854775807"};

std::size_t allocated_bytes() {
    const struct mallinfo2 now = mallinfo2();
    return now.uordblks + now.hblkhd;
}

raw_call call_to(const std::string& address) {
    raw_call call;
    call.to = http_address(address);
    call.request.method = "GET";
    call.request.target = "/x";
    call.fresh_connection = true;
    return call;
}

} // namespace

// Guards against a process that ends at a response whose stated length can't be allocated.
TEST_CASE("a response that states a huge length and breaks off is a failure", "[length]") {
    call_fixture fixture("127.0.21.10:7001");
    fixture.endpoint.closes = true;
    for (const std::string& length : huge_lengths) {
        for (const char* status : {"200 OK", "500 Internal Server Error", "503 Unavailable"}) {
            CAPTURE(length, status);
            fixture.endpoint.answer =
                "HTTP/1.1 " + std::string(status) + "\r\nContent-Length: " + length + "\r\n\r\nok";
            const outcome_of_call got = fixture.call();
            CHECK(got.body == "ok");
            CHECK(!got.ended);
            REQUIRE(got.failure);
            CHECK(got.failure->answered);
        }
    }
}

TEST_CASE("a length that can't be read is a failure", "[length]") {
    call_fixture fixture("127.0.21.11:7001");
    fixture.endpoint.closes = true;
    for (const char* length : {"18446744073709551616", "-1", "0x10", "2, 3", "", "2 "}) {
        CAPTURE(length);
        fixture.endpoint.answer =
            "HTTP/1.1 200 OK\r\nContent-Length: " + std::string(length) + "\r\n\r\nokay";
        const outcome_of_call got = fixture.call();
        const bool is_two = std::string(length) == "2 ";
        CHECK(got.ended == is_two);
        CHECK(got.body == (is_two ? "ok" : ""));
    }
    fixture.endpoint.answer =
        "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 4\r\n\r\nokay";
    CHECK(fixture.call().failure);
}

// Guards against memory that is taken for bodies that haven't come.
TEST_CASE("open responses take memory for the bytes that have come", "[length]") {
    constexpr std::size_t max_bytes = std::size_t{16} << 20U;
    call_fixture fixture("127.0.21.12:7001");
    std::size_t heads = 0;
    std::size_t failures = 0;
    raw_call_hooks hooks;
    hooks.on_head = [&](const raw_head&) { ++heads; };
    hooks.on_piece = [](std::string_view) {};
    hooks.on_end = [] {};
    hooks.on_failure = [&](const raw_failure&) { ++failures; };
    const char* framing = "Content-Length: 67108864\r\n\r\nok";
    SECTION("a length") {}
    SECTION("a chunk") {
        framing = "Transfer-Encoding: chunked\r\n\r\n4000000\r\nok";
    }
    fixture.endpoint.answer = std::string("HTTP/1.1 200 OK\r\n") + framing;
    const std::size_t before = allocated_bytes();
    for (std::size_t i = 0; i < connection_count; ++i)
        fixture.client.start(call_to("127.0.21.12:7001"), hooks);
    fixture.run_for(soon);
    CHECK(heads == connection_count);
    CHECK(failures == 0);
    CHECK(allocated_bytes() < before + max_bytes);
}

// The same for what callers send.
TEST_CASE("open requests take memory for the bytes that have come", "[length]") {
    constexpr std::size_t max_bytes = std::size_t{16} << 20U;
    task owner("test");
    raw_server_hooks served;
    served.on_request = [](exchange_id, const raw_request&) {};
    served.on_gone = [](exchange_id) {};
    raw_server_limits limits;
    limits.body_bytes = std::uint64_t{64} << 20U;
    raw_server server(owner, limits, served);
    REQUIRE(server.listen(http_address("127.0.21.13:7001")));
    tcp_hooks hooks;
    hooks.on_accepted = [](connection_id) {};
    hooks.on_connected = [](connection_id) {};
    hooks.on_bytes = [](connection_id, std::string_view) {};
    hooks.on_closed = [](connection_id, bool) {};
    tcp_connections callers(owner, tcp_settings(), hooks);
    const std::size_t before = allocated_bytes();
    for (std::size_t i = 0; i < connection_count; ++i) {
        const connection_id caller = callers.connect(http_address("127.0.21.13:7001"), "");
        callers.write(caller, "POST /x HTTP/1.1\r\nContent-Length: 67108864\r\n\r\nok");
    }
    owner.after(soon, [&] { owner.quit(); });
    owner.run();
    CHECK(server.open_connections() == connection_count);
    CHECK(allocated_bytes() < before + max_bytes);
}

// Guards against a line of a body that is gathered without a limit.
TEST_CASE("a chunk's header without an end is a failure", "[length]") {
    call_fixture fixture("127.0.21.14:7001");
    fixture.endpoint.answer = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2;" +
                              std::string(std::size_t{4} << 20U, 'x');
    fixture.run_for(milliseconds(1));
    std::optional<raw_failure> failure;
    raw_call_hooks hooks;
    hooks.on_head = [](const raw_head&) {};
    hooks.on_piece = [](std::string_view) {};
    hooks.on_end = [] {};
    hooks.on_failure = [&](const raw_failure& got) { failure = got; };
    fixture.client.start(call_to("127.0.21.14:7001"), hooks);
    fixture.run_for(soon);
    CHECK(failure);
}
