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
#include <chrono>
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

void relay::hold(const std::string& from_ip, const std::string& to_ip) {
    const std::lock_guard<std::mutex> lock(mutex_);
    holds_.insert({from_ip, to_ip});
}

void relay::release(const std::string& from_ip, const std::string& to_ip) {
    const std::lock_guard<std::mutex> lock(mutex_);
    holds_.erase({from_ip, to_ip});
}

void relay::silence(const std::string& from_ip, const std::string& to_ip) {
    const std::lock_guard<std::mutex> lock(mutex_);
    to_silence_.insert({from_ip, to_ip});
}

void relay::cut_responses(const std::string& to_ip, std::size_t bytes) {
    const std::lock_guard<std::mutex> lock(mutex_);
    response_limits_[to_ip] = bytes;
}

void relay::respond_early(const std::string& to_ip, const std::string& response,
                          unsigned delay_ms) {
    const std::lock_guard<std::mutex> lock(mutex_);
    early_responses_[to_ip] = {response, delay_ms};
}

bool relay::is_cut(const std::string& from_ip, const std::string& to_ip) {
    return cuts_.count({from_ip, to_ip}) > 0;
}

bool relay::is_held(const link& one, bool from_caller) const {
    const std::pair<std::string, std::string> direction =
        from_caller ? std::pair(one.caller_ip, one.callee_ip)
                    : std::pair(one.callee_ip, one.caller_ip);
    return holds_.count(direction) > 0;
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
    one.response_limit = response_limits_[at.to_ip];
    // A process that is stopped takes no connections; waiting for it would hold up all others.
    one.callee = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    const sockaddr_in to = socket_address(at.to);
    const int started = connect(one.callee, reinterpret_cast<const sockaddr*>(&to), sizeof to);
    if (started != 0 && errno != EINPROGRESS) {
        close(one.caller);
        close(one.callee);
        return;
    }
    fcntl(one.caller, F_SETFL, O_NONBLOCK);
    links_.push_back(one);
}

void relay::respond_and_reset(const link& one, early_response response) {
    const linger at_once{1, 0};
    setsockopt(one.caller, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
    flush(one.caller, response.bytes);
    std::this_thread::sleep_for(std::chrono::milliseconds(response.delay_ms));
}

bool relay::pass(link& one, bool to_callee) {
    auto early = early_responses_.find(one.callee_ip);
    if (to_callee && early != early_responses_.end() && !early->second.bytes.empty()) {
        respond_and_reset(one, early->second);
        return false;
    }
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
    std::string& rest = to_callee ? one.to_callee : one.to_caller;
    std::size_t passed = static_cast<std::size_t>(got);
    const bool ends = !to_callee && one.response_limit > 0 && passed >= one.response_limit;
    if (!to_callee && one.response_limit > 0) {
        passed = std::min(passed, one.response_limit);
        one.response_limit -= passed;
    }
    rest.append(buffer.data(), passed);
    return flush(to, rest) && !ends;
}

bool relay::flush(int to, std::string& bytes) {
    while (!bytes.empty()) {
        const ssize_t count = send(to, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (count < 0)
            return errno == EAGAIN || errno == EINTR;
        bytes.erase(0, static_cast<std::size_t>(count));
    }
    return true;
}

// Passes on what has come from one end, and what waits for it.
bool relay::serve(link& one, bool from_caller, int events) {
    std::string& waiting = from_caller ? one.to_caller : one.to_callee;
    if ((events & POLLOUT) != 0 && !flush(from_caller ? one.caller : one.callee, waiting))
        return false;
    const bool blocked = !(from_caller ? one.to_callee : one.to_caller).empty();
    const bool readable = (events & (POLLIN | POLLHUP | POLLERR)) != 0;
    // With bytes waiting for the other end nothing is read; an error ends the link all the same.
    if (blocked || is_held(one, from_caller))
        return (events & POLLERR) == 0;
    return !readable || pass(one, from_caller);
}

static short events_for(const std::string& to_this, const std::string& to_other, bool is_held) {
    const bool may_read = to_other.empty() && !is_held;
    const int wanted = (to_this.empty() ? 0 : POLLOUT) | (may_read ? POLLIN : 0);
    return static_cast<short>(wanted);
}

void relay::run() {
    while (!stopping_) {
        std::vector<pollfd> polled;
        for (const route& one : routes_)
            polled.push_back({one.listener, POLLIN, 0});
        {
            const std::lock_guard<std::mutex> lock(mutex_);
            for (const link& one : links_) {
                polled.push_back(
                    {one.caller, events_for(one.to_caller, one.to_callee, is_held(one, true)), 0});
                polled.push_back(
                    {one.callee, events_for(one.to_callee, one.to_caller, is_held(one, false)), 0});
            }
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
            const bool alive =
                serve(one, true, caller.revents) && serve(one, false, callee.revents);
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
