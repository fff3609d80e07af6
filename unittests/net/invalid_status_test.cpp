// Statuses that no response may have, on the calls of gateways and on those of entries.

#include "call_fixture.h"

#include "cassia/net/http_client.h"

using namespace cassia;
using namespace cassia::net;

namespace {

constexpr milliseconds at_once(500);

std::string response_with(const std::string& status) {
    return "HTTP/1.1 " + status + " Text\r\nContent-Length: 2\r\n\r\nok";
}

struct status_outcome {
    std::optional<int> status; ///< of the response; none if the call failed
    bool over = false;
};

class status_fixture {
public:
    explicit status_fixture(bool of_entry) : of_entry_(of_entry) { endpoint_.closes = false; }

    status_outcome ask(const std::string& response) {
        endpoint_.answer = response;
        endpoint_.received.clear();
        status_outcome got;
        const timer_id timer = owner_.after(at_once, [this] { owner_.quit(); });
        if (of_entry_)
            ask_as_entry(got);
        else
            ask_as_gateway(got);
        owner_.run();
        owner_.cancel(timer);
        return got;
    }

private:
    void ask_as_gateway(status_outcome& got) {
        raw_call one;
        one.to = address_;
        one.request.method = "GET";
        one.request.target = "/x";
        one.fresh_connection = true;
        raw_call_hooks hooks;
        hooks.on_head = [&got](const raw_head& head) { got.status = head.status; };
        hooks.on_piece = [](std::string_view) {};
        hooks.on_end = [this, &got] { end(got); };
        hooks.on_failure = [this, &got](const raw_failure&) {
            got.status.reset();
            end(got);
        };
        gateway_client_.start(one, std::move(hooks));
    }
    void ask_as_entry(status_outcome& got) {
        http_call one;
        one.to = address_;
        one.fresh_connection = true;
        fetch(entry_client_, one, [this, &got](const outcome<http_answer, http_failure>& answer) {
            if (answer.has_value())
                got.status = answer.value().head.status;
            end(got);
        });
    }
    void end(status_outcome& got) {
        got.over = true;
        owner_.quit();
    }

    bool of_entry_;
    task owner_{"test"};
    scripted_endpoint endpoint_{owner_, "127.0.21.21:7001"};
    http_address address_{"127.0.21.21:7001"};
    raw_client gateway_client_{owner_, "127.0.0.1"};
    http_client entry_client_{owner_, 8};
};

} // namespace

// Guards against a caller that gets an invalid status, or waits until its deadline for another
// response.
TEST_CASE("a response with an invalid status is a failure at once", "[invalid-status]") {
    status_fixture fixture(GENERATE(false, true));
    for (const char* status : {"000", "001", "099", "101", "600", "700", "999", "20", "2000"}) {
        CAPTURE(status);
        const status_outcome got = fixture.ask(response_with(status));
        CHECK(got.over);
        CHECK_FALSE(got.status);
    }
}

TEST_CASE("a response with a valid status is passed on, behind interim ones", "[invalid-status]") {
    status_fixture fixture(GENERATE(false, true));
    for (const int status : {200, 299, 302, 404, 451, 500, 599}) {
        CAPTURE(status);
        CHECK(fixture.ask(response_with(std::to_string(status))).status == status);
    }
    for (const char* interim : {"100", "102", "199"}) {
        CAPTURE(interim);
        const std::string before = "HTTP/1.1 " + std::string(interim) + " Text\r\n\r\n";
        CHECK(fixture.ask(before + response_with("200")).status == 200);
    }
}
