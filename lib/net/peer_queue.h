/// The bytes that wait for one peer.
#pragma once

#include <atomic>
#include <cstddef>
#include <memory>
#include <string>

namespace cassia::net {

/// ZeroMQ bounds its queues by messages only, and the largest has 64 MiB.
class peer_queue {
public:
    /// Queues a message at the peer's socket.
    /// \returns false if it is dropped: there is no place for it beside what waits already.
    bool add(void* socket, std::string bytes);

private:
    /// Shared with the messages, which ZeroMQ frees from its own thread.
    std::shared_ptr<std::atomic<std::size_t>> waiting_ =
        std::make_shared<std::atomic<std::size_t>>(0);
};

} // namespace cassia::net
