#include "socket_options.h"

#include "cassia/base/log.h"
#include "cassia/net/tcp_connections.h"

#include <arpa/inet.h>
#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <cstring>

namespace cassia::net {

namespace {
constexpr int keep_alive_probes = 2;
constexpr int ms_per_s = 1000;
constexpr int first_probe_s = 1; ///< after the last byte
// How long the answer to the last probe may take.
constexpr milliseconds probe_answer_limit(250);
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

static int probe_interval_s(const tcp_settings& settings) {
    return std::max(1, static_cast<int>(settings.silence_limit.count()) / ms_per_s / 2);
}

// A peer that lost power or sits behind a partition says nothing: writes to it are buffered and
// reads never end. These limits turn that silence into an error.
void prepare_socket(int descriptor, const tcp_settings& settings) {
    set_option(descriptor, IPPROTO_TCP, TCP_NODELAY, 1);
    limit_unacknowledged(descriptor, settings.silence_limit);
    set_option(descriptor, SOL_SOCKET, SO_KEEPALIVE, 1);
    set_option(descriptor, IPPROTO_TCP, TCP_KEEPIDLE, first_probe_s);
    set_option(descriptor, IPPROTO_TCP, TCP_KEEPINTVL, probe_interval_s(settings));
    set_option(descriptor, IPPROTO_TCP, TCP_KEEPCNT, keep_alive_probes);
}

// TCP_USER_TIMEOUT also ends connections whose peer acknowledges all probes and doesn't read, and
// idle ones after a single lost probe, so has_vanished() takes its place.
void prepare_accepted(int descriptor, const tcp_settings& settings) {
    prepare_socket(descriptor, settings);
    if (!settings.waits_for_readers)
        return;
    limit_unacknowledged(descriptor, milliseconds(0));
    set_option(descriptor, IPPROTO_TCP, TCP_NOTSENT_LOWAT, unsent_in_kernel);
}

void limit_unacknowledged(int descriptor, milliseconds limit) {
    set_option(descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT, static_cast<int>(limit.count()));
}

bool has_unacknowledged(int descriptor) {
    int bytes = 0;
    return ioctl(descriptor, SIOCOUTQ, &bytes) == 0 && bytes > 0;
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

bool has_ignored_probes(const peer_silence& silence, const tcp_settings& settings) {
    const int last_probe_s = first_probe_s + (keep_alive_probes - 1) * probe_interval_s(settings);
    return silence.probes >= keep_alive_probes &&
           silence.since_ack >= milliseconds(last_probe_s * ms_per_s) + probe_answer_limit;
}

} // namespace cassia::net
