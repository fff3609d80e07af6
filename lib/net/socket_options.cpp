#include "socket_options.h"

#include "cassia/base/log.h"
#include "cassia/net/tcp_connections.h"

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <cstring>

namespace cassia::net {

namespace {
constexpr int keep_alive_probes = 2;
constexpr int ms_per_s = 1000;
// Bytes that the kernel keeps beyond those on their way. With more, megabytes that a slow reader
// hasn't read yet look as if they had been read.
constexpr int unsent_in_kernel = 128 * 1024;
// The kernel doubles the time between probes of a closed window. A single one may be lost, and the
// next may be a minute away.
constexpr milliseconds lost_probe_limit(5000);
} // namespace

void set_option(int descriptor, int level, int option, int value) {
    if (setsockopt(descriptor, level, option, &value, sizeof value) != 0)
        log_debug("socket_option_refused").with("option", option).with("cause", strerror(errno));
}

// A peer that lost power or sits behind a partition says nothing: writes to it are buffered and
// reads never end. These limits turn that silence into an error.
void prepare_socket(int descriptor, const tcp_settings& settings) {
    const int limit_ms = static_cast<int>(settings.silence_limit.count());
    set_option(descriptor, IPPROTO_TCP, TCP_NODELAY, 1);
    set_option(descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT, limit_ms);
    set_option(descriptor, SOL_SOCKET, SO_KEEPALIVE, 1);
    set_option(descriptor, IPPROTO_TCP, TCP_KEEPIDLE, 1);
    set_option(descriptor, IPPROTO_TCP, TCP_KEEPINTVL, std::max(1, limit_ms / ms_per_s / 2));
    set_option(descriptor, IPPROTO_TCP, TCP_KEEPCNT, keep_alive_probes);
}

// TCP_USER_TIMEOUT also ends connections whose peer acknowledges all probes and doesn't read, and
// idle ones after a single lost probe, so has_vanished() takes its place.
void prepare_accepted(int descriptor, const tcp_settings& settings) {
    prepare_socket(descriptor, settings);
    if (!settings.waits_for_readers)
        return;
    set_option(descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT, 0);
    set_option(descriptor, IPPROTO_TCP, TCP_NOTSENT_LOWAT, unsent_in_kernel);
}

void abort_at_close(int descriptor) {
    const linger abort{1, 0};
    setsockopt(descriptor, SOL_SOCKET, SO_LINGER, &abort, sizeof abort);
}

bool to_socket_address(const std::string& ip, std::uint16_t port, sockaddr_in& out) {
    std::memset(&out, 0, sizeof out);
    out.sin_family = AF_INET;
    out.sin_port = htons(port);
    return inet_pton(AF_INET, ip.c_str(), &out.sin_addr) == 1;
}

peer_silence read_silence(int descriptor) {
    tcp_info info{};
    socklen_t size = sizeof info;
    if (getsockopt(descriptor, IPPROTO_TCP, TCP_INFO, &info, &size) != 0)
        return {};
    return {info.tcpi_retransmits, info.tcpi_probes, milliseconds(info.tcpi_last_ack_recv)};
}

bool has_vanished(const peer_silence& silence, milliseconds unanswered, milliseconds limit) {
    if (silence.since_ack < limit || unanswered < limit)
        return false;
    return silence.retransmissions > 0 || silence.probes > 1 || unanswered >= lost_probe_limit;
}

} // namespace cassia::net
