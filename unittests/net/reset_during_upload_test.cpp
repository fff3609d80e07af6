// Responses without a length that end while the request's body is still being written.

#include "cassia/net/http_client.h"
#include "cassia/net/raw_client.h"
#include "cassia/net/task.h"
#include "cassia/net/tcp_connections.h"

#include <catch2/catch.hpp>

#include <functional>
#include <memory>
#include <string>

using namespace cassia;
using namespace cassia::net;

namespace {

// The first is more than the buffers of both sockets take at first.
constexpr std::size_t upload_sizes[] = {4300000, 24UL * 1024 * 1024};
constexpr std::size_t part_size = 700;
constexpr milliseconds max_call_time(3000);

enum class ending {
    reset,
    end_and_reset, ///< its half of the connection ends in order, then the connection is reset
};

/// Responds to the beginning of a request, reads nothing more, and ends the connection.
class early_endpoint {
public:
    early_endpoint(task& owner, const std::string& address) : owner_(owner) {
        tcp_hooks hooks;
        hooks.on_accepted = [](connection_id) {};
        hooks.on_connected = [](connection_id) {};
        hooks.on_bytes = [this](connection_id id, std::string_view) { respond(id); };
        hooks.on_closed = [](connection_id, bool) {};
        sockets_ = std::make_unique<tcp_connections>(owner, tcp_settings(), hooks);
        REQUIRE(sockets_->listen(http_address(address)));
    }

    std::string response;
    ending how = ending::reset;
    milliseconds delay{0}; ///< from the response to the reset

private:
    void respond(connection_id id) {
        sockets_->pause_reading(id);
        sockets_->write(id, response);
        if (how == ending::end_and_reset)
            sockets_->finish_writing(id);
        if (delay == milliseconds(0))
            sockets_->reset(id);
        else
            owner_.after(delay, [this, id] { sockets_->reset(id); });
    }

    task& owner_;
    std::unique_ptr<tcp_connections> sockets_;
};

struct call_outcome {
    bool ended = false;
    bool failed = false;
    std::string body;
};

/// Makes the call of a gateway, or that of an entry.
class upload_fixture {
public:
    call_outcome call(bool of_entry, std::size_t size) {
        call_outcome got;
        const std::function<void()> on_end = [this, &got] {
            got.ended = true;
            owner.quit();
        };
        const std::function<void()> on_failure = [this, &got] {
            got.failed = true;
            owner.quit();
        };
        const timer_id timer = owner.after(max_call_time, [this] { owner.quit(); });
        if (of_entry)
            start_entry_call(size, got, on_end, on_failure);
        else
            start_gateway_call(size, got, on_end, on_failure);
        owner.run();
        owner.cancel(timer);
        return got;
    }

    task owner{"test"};
    early_endpoint endpoint{owner, "127.0.21.20:7001"};

private:
    void start_gateway_call(std::size_t size, call_outcome& got,
                            const std::function<void()>& on_end,
                            const std::function<void()>& on_failure) {
        raw_call one;
        one.to = address_;
        one.request.method = "POST";
        one.request.target = "/x";
        one.request.fields.add("Host", "shop.example");
        one.request.body = std::string(size, 'b');
        raw_call_hooks hooks;
        hooks.on_head = [](const raw_head&) {};
        hooks.on_piece = [&got](std::string_view bytes) { got.body.append(bytes); };
        hooks.on_end = on_end;
        hooks.on_failure = [on_failure](const raw_failure&) { on_failure(); };
        gateway_client_.start(std::move(one), std::move(hooks));
    }
    void start_entry_call(std::size_t size, call_outcome& got, const std::function<void()>& on_end,
                          const std::function<void()>& on_failure) {
        http_call one;
        one.to = address_;
        one.method = "POST";
        one.path = "/x";
        one.body = std::string(size, 'b');
        one.fresh_connection = true;
        http_call_hooks hooks;
        hooks.on_head = [](const http_head&) {};
        hooks.on_piece = [&got](std::string_view bytes) { got.body.append(bytes); };
        hooks.on_end = on_end;
        hooks.on_failure = [on_failure](const http_failure&) { on_failure(); };
        entry_client_.start(one, std::move(hooks));
    }

    http_address address_{"127.0.21.20:7001"};
    raw_client gateway_client_{owner, "127.0.0.1"};
    http_client entry_client_{owner, 8};
};

std::string response_of(const std::string& head, std::size_t body) {
    return head + "\r\n" + std::string(body, 'r');
}

} // namespace

// Guards against a response that is cut short by a reset and looks complete, as the failed write of
// the request took the reset from the socket.
TEST_CASE("a response that is reset while the request is written is a failure",
          "[reset-during-upload]") {
    upload_fixture fixture;
    const bool of_entry = GENERATE(false, true);
    for (const char* head : {"HTTP/1.1 200 OK\r\n", "HTTP/1.1 200 OK\r\nConnection: close\r\n",
                             "HTTP/1.0 200 OK\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 1600\r\n",
                             "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"}) {
        for (const std::size_t body : {std::size_t(0), part_size}) {
            fixture.endpoint.response = response_of(head, body);
            for (const int delay : {0, 1, 5, 30}) {
                fixture.endpoint.delay = milliseconds(delay);
                for (const std::size_t size : upload_sizes) {
                    CAPTURE(of_entry, head, body, delay, size);
                    const call_outcome got = fixture.call(of_entry, size);
                    CHECK_FALSE(got.ended);
                    CHECK(got.failed);
                }
            }
        }
    }
}

// Guards against a whole response that is lost by a reset behind it.
TEST_CASE("a response that ends in order before the reset is whole", "[reset-during-upload]") {
    upload_fixture fixture;
    fixture.endpoint.how = ending::end_and_reset;
    fixture.endpoint.response = response_of("HTTP/1.1 200 OK\r\n", part_size);
    const bool of_entry = GENERATE(false, true);
    for (const int delay : {5, 30}) {
        fixture.endpoint.delay = milliseconds(delay);
        for (const std::size_t size : upload_sizes) {
            CAPTURE(of_entry, delay, size);
            const call_outcome got = fixture.call(of_entry, size);
            CHECK(got.ended);
            CHECK(got.body.size() == part_size);
        }
    }
}
