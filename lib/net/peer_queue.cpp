#include "peer_queue.h"

#include <zmq.h>

#include <utility>

namespace cassia::net {

namespace {
// Lots and results of some MB pile up for a peer that is away, as their senders repeat them.
constexpr std::size_t max_waiting_bytes = 32UL * 1024 * 1024;
// Small messages, such as heartbeats and votes, are bounded by their number: large ones don't keep
// them out.
constexpr std::size_t small_message_bytes = 64UL * 1024;

struct queued_message {
    std::string bytes;
    std::shared_ptr<std::atomic<std::size_t>> waiting;
};
} // namespace

static void free_message(void*, void* hint) {
    const std::unique_ptr<queued_message> message(static_cast<queued_message*>(hint));
    *message->waiting -= message->bytes.size();
}

bool peer_queue::add(void* socket, std::string bytes) {
    const std::size_t size = bytes.size();
    const std::size_t before = waiting_->load();
    // The only message that waits may be larger than the bound.
    if (size > small_message_bytes && before > 0 && before + size > max_waiting_bytes)
        return false;
    *waiting_ += size;
    std::unique_ptr<queued_message> kept =
        std::make_unique<queued_message>(queued_message{std::move(bytes), waiting_});
    void* data = kept->bytes.data();
    zmq_msg_t message;
    zmq_msg_init_data(&message, data, size, free_message, kept.release());
    if (zmq_msg_send(&message, socket, ZMQ_DONTWAIT) >= 0)
        return true;
    zmq_msg_close(&message);
    return false;
}

} // namespace cassia::net
