/// What ZeroMQ receives.
#pragma once

#include <zmq.h>

#include <string_view>

namespace cassia::net {

/// One part of a received message.
class message_frame {
public:
    message_frame() { zmq_msg_init(&message_); }
    ~message_frame() { zmq_msg_close(&message_); }
    message_frame(const message_frame&) = delete;
    message_frame& operator=(const message_frame&) = delete;

    zmq_msg_t* message() { return &message_; }
    bool has_more() const { return zmq_msg_more(&message_) != 0; }
    std::string_view bytes() {
        return {static_cast<const char*>(zmq_msg_data(&message_)), zmq_msg_size(&message_)};
    }

private:
    zmq_msg_t message_{};
};

} // namespace cassia::net
