/// Options and state of TCP sockets.
#pragma once

#include "cassia/base/clock.h"

#include <netinet/in.h>

#include <cstdint>
#include <string>

namespace cassia::net {

struct tcp_settings;

void set_option(int descriptor, int level, int option, int value);
/// For a connection made by this process.
void prepare_socket(int descriptor, const tcp_settings& settings);
/// For a connection that was accepted.
void prepare_accepted(int descriptor, const tcp_settings& settings);
/// The longest time that sent bytes may stay unacknowledged; 0 for the kernel's usual one.
void limit_unacknowledged(int descriptor, milliseconds limit);
/// Whether bytes wait to be sent or acknowledged.
bool has_unacknowledged(int descriptor);
/// Closing the socket then resets its connection.
void abort_at_close(int descriptor);
/// \returns false if the text isn't an IP number.
bool to_socket_address(const std::string& ip, std::uint16_t port, sockaddr_in& out);

/// What the kernel knows of the other end of a connection.
struct peer_silence {
    unsigned retransmissions = 0; ///< of the oldest packet that isn't acknowledged
    unsigned probes = 0;          ///< of a closed window, since the last acknowledgement
    milliseconds since_ack{0};    ///< time since the last acknowledgement
};
peer_silence read_silence(int descriptor);
/// Whether a peer has vanished. One that only doesn't read acknowledges each probe of its window.
/// \param unanswered how long something has been unacknowledged.
bool has_vanished(const peer_silence& silence, milliseconds unanswered, milliseconds limit);
/// Whether the peer of a connection on which nothing is sent has left all its probes unanswered.
bool has_ignored_probes(const peer_silence& silence, const tcp_settings& settings);

} // namespace cassia::net
