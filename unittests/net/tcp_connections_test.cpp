// Connections that end while others have something to read.

#include "cassia/net/task.h"
#include "cassia/net/tcp_connections.h"

#include <catch2/catch.hpp>

#include <vector>

using namespace cassia;
using namespace cassia::net;

namespace {

const http_address server_address("127.77.1.1:7201");

void run_for(task& owner, milliseconds time) {
    owner.after(time, [&owner] { owner.quit(); });
    owner.run();
}

} // namespace

// Both ends of the first read have bytes at the same time; whoever is read first closes the other.
TEST_CASE("a connection closed by the handler of another isn't read any more", "[net]") {
    task owner("test");
    std::vector<connection_id> accepted;
    std::size_t reads = 0;
    tcp_connections* server = nullptr;
    tcp_hooks server_hooks;
    server_hooks.on_accepted = [&accepted](connection_id id) { accepted.push_back(id); };
    server_hooks.on_bytes = [&](connection_id, std::string_view) {
        ++reads;
        for (const connection_id one : accepted)
            server->reset(one);
    };
    server_hooks.on_closed = [](connection_id, bool) {};
    tcp_connections listening(owner, tcp_settings(), server_hooks);
    server = &listening;
    REQUIRE(listening.listen(server_address));

    std::size_t connected = 0;
    std::size_t closed = 0;
    tcp_hooks client_hooks;
    client_hooks.on_connected = [&connected](connection_id) { ++connected; };
    client_hooks.on_closed = [&closed](connection_id, bool) { ++closed; };
    tcp_connections clients(owner, tcp_settings(), client_hooks);
    const connection_id first = clients.connect(server_address, "");
    const connection_id second = clients.connect(server_address, "");
    run_for(owner, milliseconds(200));
    REQUIRE(connected == 2);
    REQUIRE(accepted.size() == 2);
    clients.write(first, "x");
    clients.write(second, "x");
    run_for(owner, milliseconds(200));
    CHECK(reads == 1);
    CHECK(closed == 2);
    CHECK(listening.open() == 0);
    CHECK(clients.open() == 0);
}

// A full socket must be written to again once the other end reads.
TEST_CASE("what the socket doesn't take at once is sent as it drains", "[net]") {
    constexpr std::size_t size = 20UL * 1024 * 1024;
    task owner("test");
    std::size_t received = 0;
    tcp_hooks server_hooks;
    server_hooks.on_accepted = [](connection_id) {};
    server_hooks.on_bytes = [&received](connection_id, std::string_view bytes) {
        received += bytes.size();
    };
    server_hooks.on_closed = [](connection_id, bool) {};
    tcp_connections server(owner, tcp_settings(), server_hooks);
    REQUIRE(server.listen(server_address));
    tcp_connections* sender = nullptr;
    tcp_hooks client_hooks;
    client_hooks.on_connected = [&sender](connection_id id) {
        sender->write(id, std::string(size, 'x'));
    };
    client_hooks.on_closed = [](connection_id, bool) {};
    tcp_connections client(owner, tcp_settings(), client_hooks);
    sender = &client;
    const connection_id id = client.connect(server_address, "");
    run_for(owner, milliseconds(1500));
    CHECK(received == size);
    CHECK(client.unsent(id) == 0);
}

// Guards against an endpoint that has ended and counts as unreachable, or the reverse.
TEST_CASE("a refused connection is told from one that broke", "[net]") {
    task owner("test");
    std::size_t refused = 0;
    std::size_t closed = 0;
    tcp_hooks hooks;
    hooks.on_connected = [](connection_id) {};
    hooks.on_refused = [&refused](connection_id) { ++refused; };
    hooks.on_closed = [&closed](connection_id, bool) { ++closed; };
    tcp_connections clients(owner, tcp_settings(), hooks);
    clients.connect(http_address("127.77.1.1:7299"), "");
    clients.connect(http_address("nowhere"), "");
    run_for(owner, milliseconds(200));
    CHECK(refused == 1);
    CHECK(closed == 1);
    CHECK(clients.open() == 0);
}
