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

/// A socket that may lose all packets that reach it.
class lossy_socket {
public:
    explicit lossy_socket(int descriptor) : descriptor_(descriptor) { REQUIRE(descriptor >= 0); }
    ~lossy_socket() { close(descriptor_); }
    lossy_socket(const lossy_socket&) = delete;
    lossy_socket& operator=(const lossy_socket&) = delete;

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
    int descriptor() const { return descriptor_; }

private:
    int descriptor_;
};

class lossy_caller : public lossy_socket {
public:
    lossy_caller(const std::string& ip, std::uint16_t port)
        : lossy_socket(socket(AF_INET, SOCK_STREAM, 0)) {
        sockaddr_in address{};
        REQUIRE(to_socket_address(ip, port, address));
        REQUIRE(connect(descriptor(), reinterpret_cast<sockaddr*>(&address), sizeof address) == 0);
    }
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

/// A client that sends a byte over a connection, and the other end of it.
class quiet_client {
public:
    explicit quiet_client(const std::string& ip) : listener(socket(AF_INET, SOCK_STREAM, 0)) {
        sockaddr_in address{};
        REQUIRE(to_socket_address(ip, port, address));
        REQUIRE(bind(listener.descriptor(), reinterpret_cast<sockaddr*>(&address),
                     sizeof address) == 0);
        REQUIRE(listen(listener.descriptor(), 1) == 0);
        tcp_hooks hooks;
        hooks.on_connected = [this](connection_id made) { client->write(made, "x"); };
        hooks.on_bytes = [this](connection_id, std::string_view bytes) {
            received += bytes.size();
        };
        hooks.on_closed = [this](connection_id, bool) { ended_at = monotonic_now(); };
        client = std::make_unique<tcp_connections>(owner, tcp_settings(), hooks);
        id = client->connect(http_address(ip + ":" + std::to_string(port)), "");
        peer = std::make_unique<lossy_socket>(accept(listener.descriptor(), nullptr, nullptr));
    }
    void run_for(milliseconds time) {
        owner.after(time, [this] { owner.quit(); });
        owner.run();
    }
    bool has_ended() const { return ended_at != instant(); }

    static constexpr std::uint16_t port = 7201;
    task owner{"test"};
    lossy_socket listener;
    std::unique_ptr<tcp_connections> client;
    std::unique_ptr<lossy_socket> peer;
    connection_id id;
    std::size_t received = 0;
    instant ended_at{};
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

// Guards against a request that is cut while its endpoint works, since one packet was lost.
TEST_CASE("a quiet connection to an endpoint outlives one lost probe", "[net][lost-probe]") {
    quiet_client test("127.77.9.3");
    test.run_for(milliseconds(600));
    test.peer->lose_packets();
    test.run_for(milliseconds(900));
    test.peer->receive_packets();
    test.run_for(milliseconds(2500));
    CHECK_FALSE(test.has_ended());
    test.peer->send_bytes();
    test.run_for(milliseconds(200));
    CHECK(test.received == 1);
}

// Guards against a request that waits for an endpoint that is away.
TEST_CASE("a quiet connection to an endpoint that is away ends after two probes",
          "[net][lost-probe]") {
    quiet_client test("127.77.9.4");
    test.run_for(milliseconds(100));
    test.peer->lose_packets();
    const instant lost_at = monotonic_now();
    test.run_for(milliseconds(3000));
    REQUIRE(test.has_ended());
    CHECK(test.ended_at - lost_at < milliseconds(2750));
}

// Guards against a request that is sent on a connection that has been quiet, to an endpoint that is
// away.
TEST_CASE("unacknowledged bytes behind a quiet time end their connection", "[net][lost-probe]") {
    quiet_client test("127.77.9.5");
    test.run_for(milliseconds(1300));
    CHECK_FALSE(test.has_ended());
    test.peer->lose_packets();
    const instant sent_at = monotonic_now();
    test.client->write(test.id, "x");
    test.run_for(milliseconds(2500));
    REQUIRE(test.has_ended());
    CHECK(test.ended_at - sent_at >= milliseconds(1400));
    // The limit begins at the first retransmission, 0.2 s to 0.4 s later.
    CHECK(test.ended_at - sent_at < milliseconds(2200));
}
