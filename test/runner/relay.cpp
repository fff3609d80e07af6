#include "relay.h"

#include "cassia/net/http_server.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cstdio>
#include <cstdlib>

namespace cassia::scenario {

namespace {
constexpr int poll_ms = 20;
constexpr int backlog = 128;
} // namespace

static sockaddr_in socket_address(const std::string& address) {
    const net::ip_and_port parsed = net::parse_address(address).value();
    sockaddr_in out{};
    out.sin_family = AF_INET;
    out.sin_port = htons(parsed.port);
    inet_pton(AF_INET, parsed.ip.c_str(), &out.sin_addr);
    return out;
}

relay::relay() = default;

relay::~relay() {
    stopping_ = true;
    if (thread_.joinable())
        thread_.join();
    for (const link& one : links_) {
        close(one.caller);
        close(one.callee);
    }
    for (const route& one : routes_)
        close(one.listener);
}

void relay::add_route(const std::string& from, const std::string& to) {
    route one;
    one.to = to;
    one.to_ip = to.substr(0, to.rfind(':'));
    one.listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    const int on = 1;
    setsockopt(one.listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const sockaddr_in address = socket_address(from);
    const bool bound =
        bind(one.listener, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0 &&
        listen(one.listener, backlog) == 0;
    if (!bound) {
        std::fprintf(stderr, "relay: cannot listen on %s\n", from.c_str());
        std::exit(1);
    }
    routes_.push_back(one);
}

void relay::start() {
    thread_ = std::thread([this] { run(); });
}

void relay::cut(const std::string& from_ip, const std::string& to_ip) {
    const std::lock_guard<std::mutex> lock(mutex_);
    cuts_.insert({from_ip, to_ip});
}

void relay::heal(const std::string& from_ip, const std::string& to_ip) {
    const std::lock_guard<std::mutex> lock(mutex_);
    cuts_.erase({from_ip, to_ip});
}

void relay::silence(const std::string& from_ip, const std::string& to_ip) {
    const std::lock_guard<std::mutex> lock(mutex_);
    to_silence_.insert({from_ip, to_ip});
}

bool relay::is_cut(const std::string& from_ip, const std::string& to_ip) {
    return cuts_.count({from_ip, to_ip}) > 0;
}

void relay::accept_link(const route& at) {
    sockaddr_in peer{};
    socklen_t size = sizeof peer;
    const int caller =
        accept4(at.listener, reinterpret_cast<sockaddr*>(&peer), &size, SOCK_CLOEXEC);
    if (caller < 0)
        return;
    std::array<char, INET_ADDRSTRLEN> text{};
    inet_ntop(AF_INET, &peer.sin_addr, text.data(), text.size());
    link one;
    one.caller = caller;
    one.caller_ip = text.data();
    one.callee_ip = at.to_ip;
    one.callee = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in to = socket_address(at.to);
    if (connect(one.callee, reinterpret_cast<const sockaddr*>(&to), sizeof to) != 0) {
        close(one.caller);
        close(one.callee);
        return;
    }
    fcntl(one.caller, F_SETFL, O_NONBLOCK);
    fcntl(one.callee, F_SETFL, O_NONBLOCK);
    links_.push_back(one);
}

bool relay::pass(link& one, bool to_callee) {
    std::array<char, 65536> buffer{};
    const int from = to_callee ? one.caller : one.callee;
    const int to = to_callee ? one.callee : one.caller;
    const ssize_t got = recv(from, buffer.data(), buffer.size(), 0);
    if (got == 0)
        return false;
    if (got < 0)
        return errno == EAGAIN || errno == EINTR;
    const bool lost = one.silent || (to_callee ? is_cut(one.caller_ip, one.callee_ip)
                                               : is_cut(one.callee_ip, one.caller_ip));
    if (lost) {
        // A stream that lost bytes can't go on: once cut, a connection stays silent.
        one.silent = true;
        return true;
    }
    ssize_t sent = 0;
    while (sent < got) {
        const ssize_t count =
            send(to, buffer.data() + sent, static_cast<std::size_t>(got - sent), MSG_NOSIGNAL);
        if (count < 0 && errno == EAGAIN) {
            pollfd writable{to, POLLOUT, 0};
            poll(&writable, 1, poll_ms);
            continue;
        }
        if (count < 0)
            return false;
        sent += count;
    }
    return true;
}

void relay::run() {
    while (!stopping_) {
        std::vector<pollfd> polled;
        for (const route& one : routes_)
            polled.push_back({one.listener, POLLIN, 0});
        for (const link& one : links_) {
            polled.push_back({one.caller, POLLIN, 0});
            polled.push_back({one.callee, POLLIN, 0});
        }
        poll(polled.data(), polled.size(), poll_ms);
        const std::lock_guard<std::mutex> lock(mutex_);
        for (link& one : links_) {
            if (to_silence_.count({one.caller_ip, one.callee_ip}) > 0)
                one.silent = true;
        }
        to_silence_.clear();
        const std::size_t known = links_.size();
        std::vector<link> kept;
        for (std::size_t i = 0; i < known; ++i) {
            link& one = links_[i];
            const pollfd& caller = polled[routes_.size() + 2 * i];
            const pollfd& callee = polled[routes_.size() + 2 * i + 1];
            const bool alive = (caller.revents == 0 || pass(one, true)) &&
                               (callee.revents == 0 || pass(one, false));
            if (alive) {
                kept.push_back(one);
                continue;
            }
            close(one.caller);
            close(one.callee);
        }
        links_ = std::move(kept);
        for (std::size_t i = 0; i < routes_.size(); ++i) {
            if (polled[i].revents != 0)
                accept_link(routes_[i]);
        }
    }
}

} // namespace cassia::scenario
