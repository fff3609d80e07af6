// Requests whose connection ends before all of them has come.

#include "cassia/net/raw_server.h"
#include "cassia/net/task.h"
#include "cassia/net/tcp_connections.h"

#include <catch2/catch.hpp>

#include <memory>
#include <string>

using namespace cassia;
using namespace cassia::net;

namespace {

constexpr milliseconds call_time(20);

class cut_upload_fixture {
public:
    cut_upload_fixture() {
        raw_server_hooks server_hooks;
        server_hooks.on_request = [this](exchange_id id, const raw_request&) {
            ++requests;
            raw_head head;
            head.status = 200;
            server_->respond(id, head, "");
        };
        server_hooks.on_gone = [](exchange_id) {};
        server_ = std::make_unique<raw_server>(owner_, raw_server_limits(), server_hooks);
        REQUIRE(server_->listen(address_));
        tcp_hooks hooks;
        hooks.on_accepted = [](connection_id) {};
        hooks.on_connected = [](connection_id) {};
        hooks.on_bytes = [](connection_id, std::string_view) {};
        hooks.on_closed = [](connection_id, bool) {};
        callers_ = std::make_unique<tcp_connections>(owner_, tcp_settings(), hooks);
    }

    /// Sends these bytes and ends the connection.
    void send(const std::string& bytes, bool resets) {
        const connection_id id = callers_->connect(address_, "127.0.0.1");
        callers_->write(id, bytes);
        owner_.after(call_time / 2, [this, id, resets] {
            if (resets)
                callers_->reset(id);
            else
                callers_->finish_writing(id);
        });
        owner_.after(call_time, [this, id] {
            callers_->reset(id);
            owner_.quit();
        });
        owner_.run();
    }

    int requests = 0;

private:
    task owner_{"test"};
    http_address address_{"127.0.21.22:7001"};
    std::unique_ptr<raw_server> server_;
    std::unique_ptr<tcp_connections> callers_;
};

} // namespace

// Guards against an upload that is cut and served as a whole request.
TEST_CASE("a request that is cut is never handed over, a whole one is", "[cut-upload]") {
    cut_upload_fixture fixture;
    const bool resets = GENERATE(false, true);
    for (const char* rest :
         {"Content-Length: 12\r\n\r\nfirst second",
          "Transfer-Encoding: chunked\r\n\r\n5\r\nfirst\r\n7\r\n second\r\n0\r\n\r\n"}) {
        const std::string request =
            "POST /x HTTP/1.1\r\nHost: shop.example\r\n" + std::string(rest);
        for (std::size_t bytes = 1; bytes <= request.size(); ++bytes) {
            CAPTURE(resets, rest, bytes);
            fixture.requests = 0;
            fixture.send(request.substr(0, bytes), resets);
            CHECK(fixture.requests == (bytes == request.size() ? 1 : 0));
        }
    }
}
