// How a gateway finds out whether an endpoint whose connections broke has crashed.

#include "cassia/base/log.h"
#include "cassia/gateway/crash_monitor.h"
#include "cassia/net/task.h"

#include <catch2/catch.hpp>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <string>
#include <utility>
#include <vector>

using namespace cassia;
using namespace cassia::gateway;

namespace {

constexpr milliseconds tick_interval(20);
constexpr int first_port = 7210;
const std::string endpoint_ip = "127.77.2.3";
const fingerprint poison("poison");
const fingerprint innocent("innocent");

int listen_at(int port) {
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int reuse = 1;
    setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &reuse, sizeof reuse);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    inet_pton(AF_INET, endpoint_ip.c_str(), &address.sin_addr);
    REQUIRE(bind(descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0);
    REQUIRE(listen(descriptor, 64) == 0);
    return descriptor;
}

http_address address_of(int endpoint) {
    return http_address(endpoint_ip + ":" + std::to_string(first_port + endpoint));
}

policy::slot_endpoint listed(int endpoint, std::uint64_t incarnation) {
    policy::slot_endpoint one;
    one.id = endpoint_id("e" + std::to_string(endpoint));
    one.incarnation = incarnation;
    one.service = service_id("llm");
    one.address = address_of(endpoint);
    return one;
}

/// One gateway, and endpoints that are nothing but listening sockets.
class lone_monitor {
public:
    lone_monitor() : monitor(task_, "", entry_id("gateway"), zone_id("z"), metrics_, hooks()) {
        start_logs("test", log_level::error, "");
        task_.every(tick_interval, [this] { monitor.tick(); });
        for (int i = 0; i < 12; ++i)
            endpoints_.push_back(listed(i, 1));
        monitor.set_endpoints(endpoints_);
    }
    /// Another process announces itself at the address.
    void replace(int endpoint) {
        endpoints_[static_cast<std::size_t>(endpoint)].incarnation = 2;
        monitor.set_endpoints(endpoints_);
    }
    static ended_run run_at(int endpoint, const fingerprint& request) {
        ended_run run;
        run.request_id = request.str() + std::to_string(endpoint);
        run.request = request;
        run.process = {endpoint_id("e" + std::to_string(endpoint)), 1};
        run.address = address_of(endpoint);
        run.service = service_id("llm");
        run.sent_at = monotonic_now() - milliseconds(50);
        return run;
    }
    void run_for(milliseconds time) {
        task_.after(time, [this] { task_.quit(); });
        task_.run();
    }

private:
    static crash_monitor_hooks hooks() {
        crash_monitor_hooks made;
        made.send = [](const entry_id&, schema::envelope&) { return true; };
        made.on_crash = [](const policy::endpoint_process&) {};
        made.on_quarantine = [] {};
        return made;
    }

    net::task task_{"test"};
    metrics metrics_;
    std::vector<policy::slot_endpoint> endpoints_;

public:
    crash_monitor monitor;
};

} // namespace

// Guards against a crash that stays unknown as the endpoint's system resets the first probe.
TEST_CASE("an endpoint that resets a probe and refuses the next has crashed", "[poison]") {
    lone_monitor gateway;
    for (int i = 0; i < 3; ++i) {
        const int listening = listen_at(first_port + i);
        gateway.monitor.record_broken_run(lone_monitor::run_at(i, poison));
        // The probe waits to be accepted.
        close(listening);
        gateway.run_for(milliseconds(200));
    }
    CHECK(gateway.monitor.judge(poison) == policy::request_verdict::quarantined);
}

// Guards against the same as its process takes its time to end.
TEST_CASE("an endpoint that still accepts a probe after 100 ms may have crashed", "[poison]") {
    lone_monitor gateway;
    for (int i = 0; i < 3; ++i) {
        const int listening = listen_at(first_port + i);
        gateway.monitor.record_broken_run(lone_monitor::run_at(i, poison));
        gateway.run_for(milliseconds(100));
        close(listening);
        gateway.run_for(milliseconds(400));
    }
    CHECK(gateway.monitor.judge(poison) == policy::request_verdict::quarantined);
}

// Guards against complete runs that count as survived, or are forgotten, before it is known that
// their endpoint crashed.
TEST_CASE("runs before a crash that only the next process shows are held against it", "[poison]") {
    lone_monitor gateway;
    for (int i = 0; i < 3; ++i) {
        const int listening = listen_at(first_port + i);
        gateway.monitor.record_ended_run(lone_monitor::run_at(i, poison), true);
        gateway.run_for(milliseconds(100));
        const fingerprint other("other" + std::to_string(i));
        gateway.monitor.record_broken_run(lone_monitor::run_at(i, other));
        gateway.run_for(milliseconds(1500));
        gateway.replace(i);
        gateway.run_for(milliseconds(200));
        close(listening);
    }
    CHECK(gateway.monitor.judge(poison) == policy::request_verdict::quarantined);
}

// Guards against innocent suspects that aren't cleared since some connection of their endpoint
// broke.
TEST_CASE("runs count as survived at an endpoint that goes on after a break", "[poison]") {
    lone_monitor gateway;
    for (int i = 0; i < 2; ++i) {
        gateway.monitor.record_broken_run(lone_monitor::run_at(i, innocent));
        gateway.run_for(milliseconds(200));
    }
    REQUIRE(gateway.monitor.judge(innocent) == policy::request_verdict::suspect);
    const int listening = listen_at(first_port + 5);
    for (int run = 0; run < 12; ++run)
        gateway.monitor.record_ended_run(lone_monitor::run_at(5, innocent), true);
    gateway.monitor.record_broken_run(lone_monitor::run_at(5, fingerprint("other")));
    gateway.run_for(milliseconds(1500));
    CHECK(gateway.monitor.judge(innocent) == policy::request_verdict::suspect);
    gateway.monitor.record_received(endpoint_id("e5"), 1);
    gateway.run_for(milliseconds(400));
    CHECK(gateway.monitor.judge(innocent) == policy::request_verdict::unsuspected);
    close(listening);
}
