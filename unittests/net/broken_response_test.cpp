// Responses that break off, on the calls that entries make and on those that gateways make.

#include "call_fixture.h"

#include "cassia/net/http_client.h"

#include <algorithm>
#include <vector>

using namespace cassia;
using namespace cassia::net;

namespace {

const std::vector<std::string> framings = {"Content-Length: 12\r\n",
                                           "Transfer-Encoding: chunked\r\n", ""};

std::string whole_response(const std::string& framing) {
    const bool chunked = framing.find("chunked") != std::string::npos;
    const std::string body = chunked ? "5\r\nfirst\r\n7\r\n second\r\n0\r\n\r\n" : "first second";
    return "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n" + framing + "X-Last: 1\r\n\r\n" + body;
}

enum class ending { close, reset };

/// Whether the first bytes of a response may be taken for a whole one.
bool is_whole(const std::string& framing, const std::string& response, std::size_t bytes,
              ending how) {
    if (!framing.empty())
        return bytes == response.size();
    return how == ending::close && bytes >= response.find("\r\n\r\n") + 4;
}

struct entry_call_fixture {
    task owner{"test"};
    scripted_endpoint endpoint{owner, "127.0.21.16:7001"};
    http_client client{owner, 8};

    outcome<http_answer, http_failure> ask(bool fresh_connection) {
        outcome<http_answer, http_failure> result = failure(http_failure());
        http_call call;
        call.to = http_address("127.0.21.16:7001");
        call.fresh_connection = fresh_connection;
        fetch(client, call, [&](const outcome<http_answer, http_failure>& got) {
            result = got;
            owner.quit();
        });
        owner.run();
        return result;
    }
};

} // namespace

// Guards against a response that breaks off, in its head or its body, and looks complete.
TEST_CASE("an entry's call fails if its response breaks off anywhere", "[broken-response]") {
    entry_call_fixture fixture;
    const bool fresh_connection = GENERATE(true, false);
    const ending how = GENERATE(ending::close, ending::reset);
    fixture.endpoint.closes = how == ending::close;
    fixture.endpoint.resets = how == ending::reset;
    for (const std::string& framing : framings) {
        const std::string response = whole_response(framing);
        for (std::size_t bytes = 1; bytes <= response.size(); ++bytes) {
            CAPTURE(fresh_connection, framing, bytes);
            fixture.endpoint.answer = response.substr(0, bytes);
            const outcome<http_answer, http_failure> got = fixture.ask(fresh_connection);
            // A reset may overtake the end of a whole response.
            if (how == ending::close)
                CHECK(got.has_value() == is_whole(framing, response, bytes, how));
            if (got.has_value()) {
                CHECK(is_whole(framing, response, bytes, how));
                const bool until_close = framing.empty();
                CHECK(got.value().body ==
                      (until_close ? response.substr(response.find("\r\n\r\n") + 4, bytes)
                                         .substr(0, bytes - response.find("\r\n\r\n") - 4)
                                   : "first second"));
            }
        }
    }
}

// The same for calls of gateways.
TEST_CASE("a gateway's call fails if its response breaks off anywhere", "[broken-response]") {
    call_fixture fixture("127.0.21.17:7001");
    const ending how = GENERATE(ending::close, ending::reset);
    fixture.endpoint.closes = how == ending::close;
    fixture.endpoint.resets = how == ending::reset;
    for (const std::string& framing : framings) {
        const std::string response = whole_response(framing);
        for (std::size_t bytes = 1; bytes <= response.size(); ++bytes) {
            CAPTURE(framing, bytes);
            fixture.endpoint.answer = response.substr(0, bytes);
            const outcome_of_call got = fixture.call();
            CHECK(got.ended != got.failure.has_value());
            if (how == ending::close)
                CHECK(got.ended == is_whole(framing, response, bytes, how));
            if (got.ended)
                CHECK(is_whole(framing, response, bytes, how));
        }
    }
}

// Guards against a length that is stated wrongly, too large, by an endpoint that then closes.
TEST_CASE("an entry's call whose response states a huge length is a failure", "[broken-response]") {
    entry_call_fixture fixture;
    fixture.endpoint.closes = true;
    for (const char* length : {"13", "2147483648", "1099511627776", "9223372036854775807",
                               "18446744073709551615", "18446744073709551616"}) {
        CAPTURE(length);
        fixture.endpoint.answer =
            "HTTP/1.1 200 OK\r\nContent-Length: " + std::string(length) + "\r\n\r\nok";
        CHECK_FALSE(fixture.ask(true).has_value());
        CHECK_FALSE(fixture.ask(false).has_value());
    }
}

TEST_CASE("an entry's calls to one address wait for its connections", "[broken-response]") {
    constexpr int call_count = 20;
    constexpr unsigned connections = 3;
    task owner("test");
    scripted_endpoint endpoint(owner, "127.0.21.18:7001");
    endpoint.answer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
    http_client client(owner, connections);
    int answered = 0;
    for (int i = 0; i < call_count; ++i) {
        http_call call;
        call.to = http_address("127.0.21.18:7001");
        fetch(client, call, [&](const outcome<http_answer, http_failure>& got) {
            answered += got.has_value() ? 1 : 0;
            if (client.open_calls() == 0)
                owner.quit();
        });
    }
    owner.after(milliseconds(2000), [&] { owner.quit(); });
    owner.run();
    CHECK(answered == call_count);
    CHECK(endpoint.connections <= static_cast<int>(connections));
}
