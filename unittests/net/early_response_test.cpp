// Responses that come before the whole request is written.

#include "cassia/net/raw_client.h"
#include "cassia/net/task.h"
#include "cassia/net/tcp_connections.h"

#include <catch2/catch.hpp>

#include <map>
#include <memory>
#include <string>
#include <utility>

using namespace cassia;
using namespace cassia::net;

namespace {

// More than the buffers of both sockets take.
constexpr std::size_t large_body = 24UL * 1024 * 1024;
constexpr milliseconds answer_time(1000);

/// Responds to a head at once, and reads no further on a connection whose body hasn't ended.
class early_fixture {
public:
    early_fixture() {
        tcp_hooks hooks;
        hooks.on_accepted = [](connection_id) {};
        hooks.on_connected = [](connection_id) {};
        hooks.on_bytes = [this](connection_id id, std::string_view bytes) { on_bytes(id, bytes); };
        hooks.on_closed = [](connection_id, bool) {};
        endpoint_ = std::make_unique<tcp_connections>(owner, tcp_settings(), hooks);
        REQUIRE(endpoint_->listen(http_address(address_)));
    }
    /// \returns the response's status; 0 if none comes in time.
    int call(const std::string& name, std::size_t body_size) {
        raw_call one;
        one.to = http_address(address_);
        one.request.method = "POST";
        one.request.target = "/" + name;
        one.request.fields.add("Host", "shop.example");
        one.request.body = std::string(body_size, 'b');
        const std::shared_ptr<int> status = std::make_shared<int>(0);
        raw_call_hooks got;
        got.on_head = [status](const raw_head& head) { *status = head.status; };
        got.on_piece = [](std::string_view) {};
        got.on_end = [this] { owner.quit(); };
        got.on_failure = [this](const raw_failure&) { owner.quit(); };
        client_.start(std::move(one), std::move(got));
        const timer_id timer = owner.after(answer_time, [this] { owner.quit(); });
        owner.run();
        owner.cancel(timer);
        return *status;
    }
    /// The endpoint goes on reading.
    void read_on() {
        pauses = false;
        for (const std::pair<const connection_id, std::string>& one : received)
            endpoint_->resume_reading(one.first);
        owner.after(answer_time, [this] { owner.quit(); });
        owner.run();
    }

    task owner{"test"};
    bool pauses = true;
    std::map<connection_id, std::string> received;

private:
    void on_bytes(connection_id id, std::string_view bytes) {
        std::string& all = received[id];
        all.append(bytes);
        const std::size_t head = bytes.find("POST /");
        if (head == std::string_view::npos)
            return;
        const bool is_large = bytes.substr(head).starts_with("POST /large ");
        if (is_large && pauses)
            endpoint_->pause_reading(id);
        endpoint_->write(id, std::string(is_large ? "HTTP/1.1 503 Full\r\nCassia-Not-Run: 1\r\n"
                                                  : "HTTP/1.1 200 OK\r\n") +
                                 "Keep-Alive: timeout=5\r\nContent-Length: 0\r\n\r\n");
    }

    std::string address_ = "127.0.21.19:7001";
    std::unique_ptr<tcp_connections> endpoint_;
    raw_client client_{owner, "127.0.0.1"};
};

} // namespace

// Guards against a request that waits behind a rejected one's body, which its endpoint doesn't
// read.
TEST_CASE("a request isn't sent behind a body that isn't written out", "[early-response]") {
    early_fixture fixture;
    REQUIRE(fixture.call("large", large_body) == 503);
    CHECK(fixture.call("small", 3) == 200);
}

// Guards against a rejected request that arrives whole afterwards, and against other bytes within
// it.
TEST_CASE("the rest of a rejected request isn't sent", "[early-response]") {
    early_fixture fixture;
    REQUIRE(fixture.call("large", large_body) == 503);
    REQUIRE(fixture.received.size() == 1);
    const connection_id first = fixture.received.begin()->first;
    fixture.call("small", 3);
    fixture.read_on();
    const std::string& all = fixture.received.at(first);
    const std::size_t head_size = all.find("\r\n\r\n") + 4;
    CHECK(all.size() < head_size + large_body);
    CHECK(all.find_first_not_of('b', head_size) == std::string::npos);
}

// Guards against a connection given up where the endpoint has read everything.
TEST_CASE("a connection is kept after a response to a request written out", "[early-response]") {
    early_fixture fixture;
    fixture.pauses = false;
    REQUIRE(fixture.call("small", 3) == 200);
    REQUIRE(fixture.call("small", 30000) == 200);
    CHECK(fixture.received.size() == 1);
}
