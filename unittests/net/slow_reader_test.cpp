// Peers that read slowly, stop for a while or have vanished.

#include "../../lib/net/output_buffer.h"
#include "../../lib/net/socket_options.h"

#include "cassia/net/task.h"
#include "cassia/net/tcp_connections.h"

#include <catch2/catch.hpp>

using namespace cassia;
using namespace cassia::net;

namespace {

constexpr std::size_t size = 12UL * 1024 * 1024;

/// A server that sends `size` bytes to each connection, and a reader that may pause.
class slow_reader {
public:
    slow_reader(const std::string& address, tcp_settings settings) {
        tcp_hooks server_hooks;
        server_hooks.on_accepted = [this](connection_id id) {
            accepted = id;
            server->write(id, std::string(size, 'x'));
        };
        server_hooks.on_bytes = [](connection_id, std::string_view) {};
        server_hooks.on_closed = [this](connection_id, bool) { ++ended_at_server; };
        server_hooks.on_drained = [this](connection_id) { ++drained; };
        server = std::make_unique<tcp_connections>(owner, settings, server_hooks);
        REQUIRE(server->listen(http_address(address)));
        tcp_hooks hooks;
        hooks.on_connected = [](connection_id) {};
        hooks.on_bytes = [this](connection_id, std::string_view bytes) {
            received += bytes.size();
        };
        hooks.on_closed = [this](connection_id, bool) { ++ended_at_reader; };
        reader = std::make_unique<tcp_connections>(owner, tcp_settings(), hooks);
        id = reader->connect(http_address(address), "");
        reader->pause_reading(id);
    }
    void run_for(milliseconds time) {
        owner.after(time, [this] { owner.quit(); });
        owner.run();
    }

    task owner{"test"};
    std::unique_ptr<tcp_connections> server;
    std::unique_ptr<tcp_connections> reader;
    connection_id accepted;
    connection_id id;
    std::size_t received = 0;
    int drained = 0;
    int ended_at_server = 0;
    int ended_at_reader = 0;
};

tcp_settings patient() {
    tcp_settings settings;
    settings.waits_for_readers = true;
    return settings;
}

} // namespace

// Guards against a caller that loses its response since it stopped reading for a while.
TEST_CASE("a reader that stops for 3 s and goes on gets everything", "[net]") {
    slow_reader test("127.77.3.1:7201", patient());
    test.run_for(milliseconds(3000));
    CHECK(test.received == 0);
    CHECK(test.drained == 0);
    CHECK(test.server->unsent(test.accepted) > 0);
    test.reader->resume_reading(test.id);
    test.run_for(milliseconds(1500));
    CHECK(test.received == size);
    CHECK(test.drained > 0);
    CHECK(test.server->unsent(test.accepted) == 0);
    CHECK(test.server->sent(test.accepted) == size);
    CHECK(test.ended_at_server == 0);
}

// Guards against a change for connections between the system's own processes.
TEST_CASE("without patience a reader that stops is reset", "[net]") {
    slow_reader test("127.77.3.2:7201", tcp_settings());
    test.run_for(milliseconds(3500));
    CHECK(test.ended_at_server == 1);
}

// Guards against bytes that wait forever for a reader that never goes on.
TEST_CASE("a reader that takes nothing for the limit is reset", "[net]") {
    tcp_settings settings = patient();
    settings.unread_limit = milliseconds(600);
    slow_reader test("127.77.3.3:7201", settings);
    test.run_for(milliseconds(400));
    CHECK(test.ended_at_server == 0);
    test.run_for(milliseconds(800));
    CHECK(test.ended_at_server == 1);
    // A paused connection learns of its reset all the same.
    CHECK(test.ended_at_reader == 1);
}

// Guards against a peer without power that counts as a slow reader, and the reverse.
TEST_CASE("a peer that vanished is told from one that doesn't read", "[net]") {
    const milliseconds limit(1500);
    const peer_silence reads_nothing{0, 1, milliseconds(6000)};
    CHECK_FALSE(has_vanished(reads_nothing, milliseconds(1600), limit));
    CHECK(has_vanished(reads_nothing, milliseconds(5000), limit));
    CHECK_FALSE(has_vanished({0, 2, milliseconds(100)}, milliseconds(1600), limit));
    CHECK(has_vanished({0, 2, milliseconds(1600)}, milliseconds(1600), limit));
    CHECK(has_vanished({3, 0, milliseconds(1600)}, milliseconds(1600), limit));
    CHECK_FALSE(has_vanished({3, 0, milliseconds(300)}, milliseconds(1600), limit));
}

// Guards against bytes that are lost or doubled at the edges of blocks.
TEST_CASE("an output buffer gives its bytes in order", "[net]") {
    output_buffer buffer;
    std::string expected;
    std::string got;
    for (int i = 0; i < 400; ++i) {
        const std::string part(static_cast<std::size_t>(i * 37 % 1000),
                               static_cast<char>('a' + i % 26));
        expected += part;
        if (i % 7 == 0)
            buffer.append_shared(std::make_shared<const std::string>(part));
        else
            buffer.append(part);
        const std::string_view front = buffer.front();
        const std::size_t taken = front.size() * static_cast<std::size_t>(i % 3) / 2;
        got.append(front.substr(0, taken));
        buffer.consume(taken);
    }
    buffer.append(std::string(200000, 'z'));
    expected += std::string(200000, 'z');
    CHECK(got.size() + buffer.size() == expected.size());
    while (!buffer.empty()) {
        got.append(buffer.front());
        buffer.consume(buffer.front().size());
    }
    CHECK(got == expected);
}
