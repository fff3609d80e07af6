// Connections on which nothing is sent for seconds, over links that lose packets.

#include "../../lib/net/socket_options.h"

#include "cassia/net/task.h"
#include "cassia/net/tcp_connections.h"

#include <catch2/catch.hpp>

#include <linux/filter.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <memory>
#include <string>
#include <string_view>

using namespace cassia;
using namespace cassia::net;

namespace {

/// A caller whose socket may lose all packets that reach it.
class lossy_caller {
public:
    explicit lossy_caller(const std::string& ip, std::uint16_t port)
        : descriptor_(socket(AF_INET, SOCK_STREAM, 0)) {
        sockaddr_in address{};
        REQUIRE(to_socket_address(ip, port, address));
        REQUIRE(connect(descriptor_, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0);
    }
    ~lossy_caller() { close(descriptor_); }
    lossy_caller(const lossy_caller&) = delete;
    lossy_caller& operator=(const lossy_caller&) = delete;

    void lose_packets() {
        sock_filter drop = BPF_STMT(BPF_RET | BPF_K, 0);
        const sock_fprog program{1, &drop};
        REQUIRE(setsockopt(descriptor_, SOL_SOCKET, SO_ATTACH_FILTER, &program, sizeof program) ==
                0);
    }
    void receive_packets() {
        int unused = 0;
        REQUIRE(setsockopt(descriptor_, SOL_SOCKET, SO_DETACH_FILTER, &unused, sizeof unused) == 0);
    }
    void send_bytes() { REQUIRE(send(descriptor_, "x", 1, MSG_NOSIGNAL) == 1); }

private:
    int descriptor_;
};

class quiet_server {
public:
    explicit quiet_server(const std::string& address) {
        tcp_settings settings;
        settings.waits_for_readers = true;
        tcp_hooks hooks;
        hooks.on_accepted = [](connection_id) {};
        hooks.on_bytes = [this](connection_id, std::string_view bytes) {
            received += bytes.size();
        };
        hooks.on_closed = [this](connection_id, bool) { ++ended; };
        server = std::make_unique<tcp_connections>(owner, settings, hooks);
        REQUIRE(server->listen(http_address(address)));
    }
    void run_for(milliseconds time) {
        owner.after(time, [this] { owner.quit(); });
        owner.run();
    }

    task owner{"test"};
    std::unique_ptr<tcp_connections> server;
    std::size_t received = 0;
    int ended = 0;
};

} // namespace

// Guards against a call that is cut while its endpoint works, since one packet was lost.
TEST_CASE("a quiet connection outlives one lost probe", "[net][lost-probe]") {
    quiet_server test("127.77.9.1:7201");
    lossy_caller caller("127.77.9.1", 7201);
    test.run_for(milliseconds(600));
    caller.lose_packets();
    test.run_for(milliseconds(900));
    caller.receive_packets();
    test.run_for(milliseconds(2500));
    CHECK(test.ended == 0);
    caller.send_bytes();
    test.run_for(milliseconds(200));
    CHECK(test.received == 1);
}

// Guards against work for a caller that is away, which takes slots from others.
TEST_CASE("a quiet connection whose peer is away ends within seconds", "[net][lost-probe]") {
    quiet_server test("127.77.9.2:7201");
    lossy_caller caller("127.77.9.2", 7201);
    test.run_for(milliseconds(100));
    caller.lose_packets();
    test.run_for(milliseconds(4500));
    CHECK(test.ended == 1);
}
