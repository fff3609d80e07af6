/// Messages between the system's own processes: ZeroMQ with CURVE, one protobuf envelope a frame.
/// One-way and unreliable: whoever needs an answer asks again.
#pragma once

#include "cassia/base/ids.h"
#include "cassia/net/error.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace cassia {
class metrics;
}

namespace cassia::schema {
class envelope;
}

namespace cassia::net {

class task;

struct peer_hub_settings {
    std::string name;      ///< of this process, sent with each envelope
    peer_address address;  ///< where this process is reached
    peer_address bind;     ///< where it listens; `address` if empty
    std::string secret;    ///< the cluster's CURVE secret key, Z85
    bool encrypted = true; ///< false: in clear and open to all, for networks that keep others out
};

/// How soon a connection that went silent is noticed and made anew.
enum class peer_watch {
    close,  ///< within 1.2 s: what is told matters at once
    steady, ///< within 2.5 s: one of several peers that tell the same, or many such peers
    relaxed ///< within 5 s: what is told is repeated, or stands for little
};

/// What was sent of one kind of message.
struct peer_traffic {
    std::uint64_t messages = 0;
    std::uint64_t bytes = 0;
};

class peer_hub {
public:
    using handler = std::function<void(schema::envelope&)>;

    peer_hub(task& owner, peer_hub_settings settings, handler on_message);
    ~peer_hub();

    /// Binds the socket and begins to receive.
    result<void> open();
    /// Queues the envelope for a peer; dropped if the peer's queue is full.
    /// \param watch a closer one than before makes the connection anew.
    void send(const peer_address& to, schema::envelope& message,
              peer_watch watch = peer_watch::close);

    /// What was sent, by the kind of message.
    const std::map<std::string, peer_traffic>& sent() const;
    /// Sets the same as values of a process's metrics.
    void count_sent(metrics& values) const;
    /// Logs the same.
    void log_sent() const;

    struct state;

private:
    std::unique_ptr<state> state_;
};

/// The peer socket of a seed: its IP number, and the port that all peers share.
peer_address peer_of_seed(const std::string& seed, const std::string& own_peer_address);

/// A new CURVE secret key, Z85.
std::string make_cluster_secret();

} // namespace cassia::net
