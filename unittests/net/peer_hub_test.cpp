// Trust between the system's own processes, and what strangers send.

#include "cassia/net/peer_hub.h"
#include "cassia/net/task.h"
#include "cassia/schema/messages.pb.h"

#include <catch2/catch.hpp>
#include <gio/gio.h>

#include <memory>
#include <random>
#include <thread>

using namespace cassia;
using namespace cassia::net;

namespace {

constexpr milliseconds patience(1500);

struct hub_under_test {
    hub_under_test(task& owner, const std::string& address, const std::string& secret)
        : hub(owner, {address, peer_address(address), peer_address(), secret},
              [this](schema::envelope& message) { received.push_back(message.from()); }) {}
    std::vector<std::string> received;
    peer_hub hub;
};

void run_for(task& owner, milliseconds time) {
    owner.after(time, [&owner] { owner.quit(); });
    owner.run();
}

void send_bytes(const std::string& ip, std::uint16_t port, const std::string& bytes) {
    GSocketClient* client = g_socket_client_new();
    GSocketConnection* connection =
        g_socket_client_connect_to_host(client, ip.c_str(), port, nullptr, nullptr);
    if (connection != nullptr) {
        GOutputStream* out = g_io_stream_get_output_stream(G_IO_STREAM(connection));
        g_output_stream_write_all(out, bytes.data(), bytes.size(), nullptr, nullptr, nullptr);
        g_object_unref(connection);
    }
    g_object_unref(client);
}

} // namespace

TEST_CASE("processes with the cluster's secret talk, others are refused", "[net]") {
    task owner("test");
    const std::string secret = make_cluster_secret();
    hub_under_test one(owner, "127.77.0.1:7101", secret);
    hub_under_test two(owner, "127.77.0.2:7101", secret);
    hub_under_test stranger(owner, "127.77.0.3:7101", make_cluster_secret());
    REQUIRE(one.hub.open());
    REQUIRE(two.hub.open());
    REQUIRE(stranger.hub.open());
    schema::envelope message;
    message.mutable_hello()->set_entry("x");
    two.hub.send(peer_address("127.77.0.1:7101"), message);
    stranger.hub.send(peer_address("127.77.0.1:7101"), message);
    run_for(owner, patience);
    CHECK(one.received == std::vector<std::string>{"127.77.0.2:7101"});
}

// Story: somebody scans the ports, and a keeper crashes over what it is sent.
TEST_CASE("a stranger's bytes on the peer port change nothing", "[net][fuzz]") {
    task owner("test");
    const std::string secret = make_cluster_secret();
    hub_under_test one(owner, "127.77.0.1:7102", secret);
    hub_under_test two(owner, "127.77.0.2:7102", secret);
    REQUIRE(one.hub.open());
    REQUIRE(two.hub.open());
    const unsigned seed = 31;
    INFO("seed " << seed);
    std::mt19937 random(seed);
    for (int i = 0; i < 200; ++i) {
        std::string bytes = i % 2 == 0 ? std::string("\xff\0\0\0\0\0\0\0\x01\x7f\x03\x01", 12)
                                       : std::string("GET / HTTP/1.1\r\n\r\n");
        for (int n = 0; n < 60; ++n)
            bytes.push_back(static_cast<char>(random()));
        send_bytes("127.77.0.1", 7102, bytes);
    }
    schema::envelope message;
    message.mutable_hello()->set_entry("x");
    two.hub.send(peer_address("127.77.0.1:7102"), message);
    run_for(owner, patience);
    CHECK(one.received == std::vector<std::string>{"127.77.0.2:7102"});
}

namespace {

/// Takes connection attempts on an address and answers none, like a VM without power.
class dark_address {
public:
    dark_address(const std::string& ip, std::uint16_t port) {
        GSocketAddress* address = g_inet_socket_address_new_from_string(ip.c_str(), port);
        listener_ = make_socket();
        g_socket_set_listen_backlog(listener_, 0);
        REQUIRE(g_socket_bind(listener_, address, TRUE, nullptr));
        REQUIRE(g_socket_listen(listener_, nullptr));
        // Once the queue of new connections is full, the next ones get no answer.
        for (int i = 0; i < 4; ++i) {
            fillers_.push_back(make_socket());
            g_socket_set_blocking(fillers_.back(), FALSE);
            g_socket_connect(fillers_.back(), address, nullptr, nullptr);
        }
        g_object_unref(address);
    }
    ~dark_address() {
        for (GSocket* one : fillers_)
            g_object_unref(one);
        g_object_unref(listener_);
    }
    dark_address(const dark_address&) = delete;
    dark_address& operator=(const dark_address&) = delete;

private:
    static GSocket* make_socket() {
        return g_socket_new(G_SOCKET_FAMILY_IPV4, G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_TCP,
                            nullptr);
    }
    GSocket* listener_ = nullptr;
    std::vector<GSocket*> fillers_;
};

} // namespace

// Story: all VMs lose power. Gateways are up 0.4 s before the keepers, and get the table of routes
// only 0.6 s after these have it: their first attempts to connect went to VMs without power, and
// the kernel waited for a second before it tried again.
TEST_CASE("a peer is reached soon after its VM is back", "[net]") {
    task owner("test");
    const std::string secret = make_cluster_secret();
    hub_under_test one(owner, "127.77.0.1:7104", secret);
    REQUIRE(one.hub.open());
    std::unique_ptr<dark_address> dark = std::make_unique<dark_address>("127.77.0.2", 7104);
    schema::envelope message;
    message.mutable_hello()->set_entry("x");
    one.hub.send(peer_address("127.77.0.2:7104"), message);
    run_for(owner, milliseconds(150));
    dark.reset();
    hub_under_test two(owner, "127.77.0.2:7104", secret);
    REQUIRE(two.hub.open());
    run_for(owner, milliseconds(500));
    CHECK(two.received == std::vector<std::string>{"127.77.0.1:7104"});
}

TEST_CASE("a bad secret is an error, not a crash", "[net]") {
    task owner("test");
    hub_under_test one(owner, "127.77.0.1:7103", "short");
    CHECK(one.hub.open().error().code == errc::bad_secret);
}

// Guards against a peer that is lost when what it is told begins to matter more.
TEST_CASE("a connection made anew for a closer watch delivers", "[net]") {
    task owner("test");
    const std::string secret = make_cluster_secret();
    hub_under_test one(owner, "127.77.0.1:7102", secret);
    hub_under_test two(owner, "127.77.0.2:7102", secret);
    REQUIRE(one.hub.open());
    REQUIRE(two.hub.open());
    schema::envelope message;
    message.mutable_hello()->set_entry("x");
    const peer_address to("127.77.0.1:7102");
    two.hub.send(to, message, peer_watch::relaxed);
    run_for(owner, milliseconds(500));
    CHECK(one.received.size() == 1);
    two.hub.send(to, message, peer_watch::close);
    two.hub.send(to, message, peer_watch::relaxed);
    run_for(owner, milliseconds(500));
    CHECK(one.received.size() == 3);
    CHECK(two.hub.sent().at("hello").messages == 3);
}

// Guards against messages that stay unread: ZeroMQ signals only the first of a burst.
TEST_CASE("a burst of more messages than are read at once arrives whole", "[net]") {
    constexpr std::size_t burst = 2000;
    task owner("test");
    const std::string secret = make_cluster_secret();
    hub_under_test one(owner, "127.77.0.1:7105", secret);
    hub_under_test two(owner, "127.77.0.2:7105", secret);
    REQUIRE(one.hub.open());
    REQUIRE(two.hub.open());
    schema::envelope message;
    message.mutable_hello()->set_entry("x");
    const peer_address to("127.77.0.1:7105");
    two.hub.send(to, message);
    run_for(owner, milliseconds(500));
    REQUIRE(one.received.size() == 1);
    for (std::size_t i = 0; i < burst; ++i)
        two.hub.send(to, message);
    // The whole burst is there before the first of it is read.
    std::this_thread::sleep_for(milliseconds(500));
    run_for(owner, milliseconds(500));
    CHECK(one.received.size() == 1 + burst);
}
