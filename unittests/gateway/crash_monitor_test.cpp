// How the verdicts on requests that crash endpoints spread over the gateways of a fleet.

#include "cassia/base/log.h"
#include "cassia/gateway/crash_monitor.h"
#include "cassia/net/task.h"
#include "cassia/net/tcp_connections.h"

#include <catch2/catch.hpp>

#include <deque>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

using namespace cassia;
using namespace cassia::gateway;

namespace {

// Time within which gateways that are connected have to know a verdict.
constexpr milliseconds contact_time(3000);
constexpr milliseconds tick_interval(20);
const fingerprint poison("poison");
const fingerprint bad_part("part:llm:0bad");
const fingerprint sound_part("part:llm:5c1e");

/// Monitors of many gateways, connected without a network.
class monitor_fleet {
public:
    explicit monitor_fleet(int gateways) {
        start_logs("test", log_level::error, "");
        for (int i = 0; i < gateways; ++i)
            add();
        update_lists();
        task_.every(tick_interval, [this] { tick(); });
    }

    void add() {
        const std::size_t index = monitors_.size();
        members_.push_back({name_of(index), zone_id("z" + std::to_string(index % 3)), false});
        metrics_.push_back(std::make_unique<metrics>());
        crash_monitor_hooks hooks;
        hooks.send = [this, index](const entry_id& to, schema::envelope& envelope) {
            ++messages;
            envelopes_.emplace_back(std::make_pair(index, to), envelope);
            return true;
        };
        hooks.on_crash = [](const policy::endpoint_process&) {};
        hooks.on_quarantine = [] {};
        monitors_.push_back(std::make_unique<crash_monitor>(task_, "", members_[index].id,
                                                            members_[index].zone, *metrics_.back(),
                                                            std::move(hooks)));
    }
    void update_lists() {
        for (std::size_t i = 0; i < monitors_.size(); ++i) {
            std::vector<policy::fleet_gateway> others;
            for (std::size_t j = 0; j < monitors_.size(); ++j) {
                if (j != i && stopped.count(j) == 0)
                    others.push_back(members_[j]);
            }
            monitors_[i]->set_gateways(others);
        }
    }
    /// An endpoint crashes under the request. Nothing listens at its address any more, unless it is
    /// another one.
    void crash(std::size_t gateway, int endpoint,
               const http_address& address = http_address("127.77.2.1:7201")) {
        monitors_[gateway]->record_broken_run(run_at(endpoint, address, poison));
    }
    /// An endpoint that still accepts connections completes a run and breaks the next one.
    void complete_and_break(int endpoint, const http_address& address,
                            const std::vector<fingerprint>& completed_parts,
                            const std::vector<fingerprint>& broken_parts) {
        ended_run completed = run_at(endpoint, address, fingerprint());
        completed.parts = completed_parts;
        monitors_[0]->record_ended_run(completed, true);
        ended_run broken = run_at(endpoint, address, fingerprint());
        broken.parts = broken_parts;
        monitors_[0]->record_broken_run(broken);
    }
    /// Other processes announce themselves at the address.
    void replace(const http_address& address) {
        policy::slot_endpoint endpoint;
        endpoint.id = endpoint_id("replacement-" + std::to_string(++requests_));
        endpoint.service = service_id("llm");
        endpoint.address = address;
        monitors_[0]->set_endpoints({endpoint});
    }
    void list_endpoints(int count) {
        std::vector<policy::slot_endpoint> endpoints;
        for (int i = 0; i < count; ++i) {
            policy::slot_endpoint endpoint;
            endpoint.id = endpoint_id("listed-" + std::to_string(i));
            endpoint.service = service_id("llm");
            endpoint.address = http_address("127.77.2.2:" + std::to_string(7300 + i));
            endpoints.push_back(endpoint);
        }
        for (const std::unique_ptr<crash_monitor>& monitor : monitors_)
            monitor->set_endpoints(endpoints);
    }
    /// A run of its own request, which an endpoint survives or which crashes it.
    void run_parts(std::size_t gateway, int endpoint, const std::vector<fingerprint>& parts,
                   bool crashes) {
        ended_run run = run_at(endpoint, http_address("127.77.2.1:7201"), fingerprint());
        run.parts = parts;
        run.on_trial = crashes;
        if (crashes)
            monitors_[gateway]->record_broken_run(run);
        else
            monitors_[gateway]->record_ended_run(run, true);
    }
    /// A run with the bad part alone, which its endpoint survives.
    void retry(std::size_t gateway, bool resumed) {
        ended_run run = run_at(1000, http_address("127.77.2.1:7201"), fingerprint());
        run.parts = {bad_part};
        run.on_trial = true;
        run.resumed = resumed;
        monitors_[gateway]->record_ended_run(run, true);
    }
    void receive(std::size_t gateway, const schema::poison_news& news) {
        monitors_[gateway]->receive(news);
    }
    std::size_t quarantined(std::size_t gateway) const {
        return monitors_[gateway]->quarantined().size();
    }
    std::uint64_t counter(std::size_t gateway, const std::string& name) const {
        return metrics_[gateway]->counter(name);
    }
    std::size_t gateways_with(const fingerprint& cause, policy::request_verdict verdict) const {
        std::size_t count = 0;
        for (const std::unique_ptr<crash_monitor>& monitor : monitors_)
            count += monitor->judge(cause) == verdict ? 1 : 0;
        return count;
    }
    void run_for(milliseconds time) {
        task_.after(time, [this] { task_.quit(); });
        task_.run();
    }
    bool knows(std::size_t gateway) const {
        return monitors_[gateway]->judge(poison) == policy::request_verdict::quarantined;
    }
    /// \returns how long it took until all gateways that run know the verdict.
    milliseconds wait_until_known(const std::set<std::size_t>& except = {}) {
        const instant began = monotonic_now();
        while (monotonic_now() - began < 2 * contact_time) {
            run_for(tick_interval);
            std::size_t unaware = 0;
            for (std::size_t i = 0; i < monitors_.size(); ++i)
                unaware += stopped.count(i) + except.count(i) == 0 && !knows(i) ? 1 : 0;
            if (unaware == 0)
                break;
        }
        return std::chrono::duration_cast<milliseconds>(monotonic_now() - began);
    }
    std::size_t size() const { return monitors_.size(); }
    net::task& task() { return task_; }

    std::set<std::size_t> stopped;
    std::set<std::size_t> cut_off;
    std::size_t messages = 0;

private:
    /// A run of a request; of one like no other if it is empty.
    ended_run run_at(int endpoint, const http_address& address, const fingerprint& request) {
        ended_run run;
        run.request_id = "r" + std::to_string(++requests_);
        run.request = request.empty() ? fingerprint(run.request_id) : request;
        run.process = {endpoint_id("e" + std::to_string(endpoint)), 1};
        run.address = address;
        run.service = service_id("llm");
        run.sent_at = monotonic_now() - milliseconds(50);
        return run;
    }
    static entry_id name_of(std::size_t index) {
        return entry_id("gateway-" + std::to_string(index));
    }
    void tick() {
        std::deque<std::pair<std::pair<std::size_t, entry_id>, schema::envelope>> now;
        now.swap(envelopes_);
        for (const auto& envelope : now) {
            for (std::size_t i = 0; i < monitors_.size(); ++i) {
                const std::size_t lost =
                    stopped.count(i) + cut_off.count(i) + cut_off.count(envelope.first.first);
                if (members_[i].id == envelope.first.second && lost == 0)
                    monitors_[i]->receive(envelope.second.poison());
            }
        }
        for (std::size_t i = 0; i < monitors_.size(); ++i) {
            if (stopped.count(i) == 0)
                monitors_[i]->tick();
        }
    }

    net::task task_{"test"};
    int requests_ = 0;
    std::vector<policy::fleet_gateway> members_;
    std::vector<std::unique_ptr<metrics>> metrics_;
    std::vector<std::unique_ptr<crash_monitor>> monitors_;
    std::deque<std::pair<std::pair<std::size_t, entry_id>, schema::envelope>> envelopes_;
};

/// Accepts connections at an address until it is destroyed.
class listener {
public:
    listener(net::task& owner, const http_address& address) {
        net::tcp_hooks hooks;
        hooks.on_accepted = [](net::connection_id) {};
        hooks.on_bytes = [](net::connection_id, std::string_view) {};
        hooks.on_closed = [](net::connection_id, bool) {};
        connections_ =
            std::make_unique<net::tcp_connections>(owner, net::tcp_settings(), std::move(hooks));
        REQUIRE(connections_->listen(address));
    }

private:
    std::unique_ptr<net::tcp_connections> connections_;
};

} // namespace

// Guards against gateways that run a request again which crashed endpoints of others.
TEST_CASE("a verdict reaches all gateways in time", "[poison]") {
    const int gateways = GENERATE(1, 2, 8, 60, 300);
    monitor_fleet fleet(gateways);
    fleet.crash(0, 0);
    fleet.run_for(milliseconds(150));
    fleet.crash(7 % fleet.size(), 1);
    fleet.run_for(milliseconds(150));
    CHECK_FALSE(fleet.knows(0));
    fleet.messages = 0;
    fleet.crash(14 % fleet.size(), 2);
    const milliseconds took = fleet.wait_until_known();
    CAPTURE(gateways, took.count(), fleet.messages);
    CHECK(took < contact_time);
    // Two digests each a second, the answers to them, and the verdict over the relays.
    CHECK(fleet.messages <= 12 * fleet.size() + 200);
}

// Guards against a gateway that stays without a verdict since it missed the message.
TEST_CASE("a gateway that was cut off knows the verdict soon afterwards", "[poison]") {
    const int gateways = GENERATE(2, 60);
    monitor_fleet fleet(gateways);
    fleet.cut_off = {1};
    for (int i = 0; i < 3; ++i) {
        fleet.crash(0, i);
        fleet.run_for(milliseconds(150));
    }
    fleet.wait_until_known({1});
    CHECK_FALSE(fleet.knows(1));
    fleet.cut_off.clear();
    CHECK(fleet.wait_until_known() < contact_time);
}

// Guards against a verdict that is lost with the gateways that reached it.
TEST_CASE("a verdict outlasts the gateways that judged, and reaches later ones", "[poison]") {
    const int gateways = GENERATE(4, 40);
    monitor_fleet fleet(gateways);
    for (int i = 0; i < 3; ++i) {
        fleet.crash(0, i);
        fleet.run_for(milliseconds(150));
    }
    REQUIRE(fleet.wait_until_known() < contact_time);
    for (std::size_t i = 0; i + 1 < fleet.size(); ++i)
        fleet.stopped.insert(i);
    fleet.add();
    fleet.update_lists();
    CHECK(fleet.wait_until_known() < contact_time);
}

// Guards against gateways that run requests with a part which crashed endpoints of others.
TEST_CASE("a verdict on a part of prompts reaches all gateways in time", "[poison]") {
    const int gateways = GENERATE(1, 3, 60);
    monitor_fleet fleet(gateways);
    fleet.list_endpoints(12);
    for (std::size_t i = 0; i < fleet.size(); ++i) {
        for (int run = 0; run < 10; ++run)
            fleet.run_parts(i, 1000, {sound_part}, false);
    }
    fleet.run_for(milliseconds(1100));
    for (int i = 0; i < 5; ++i) {
        fleet.run_parts(static_cast<std::size_t>(7 * i) % fleet.size(), i, {sound_part, bad_part},
                        true);
        fleet.run_for(milliseconds(150));
    }
    const instant began = monotonic_now();
    const policy::request_verdict quarantined = policy::request_verdict::quarantined;
    while (fleet.gateways_with(bad_part, quarantined) < fleet.size() &&
           monotonic_now() - began < 2 * contact_time)
        fleet.run_for(tick_interval);
    CHECK(monotonic_now() - began < contact_time);
    CHECK(fleet.gateways_with(sound_part, policy::request_verdict::unsuspected) == fleet.size());
}

// Guards against a crash that stays unknown until the endpoint's replacement reports itself.
TEST_CASE("an endpoint that resets the probe as it ends has crashed", "[poison]") {
    const http_address address("127.77.2.3:7401");
    monitor_fleet fleet(1);
    for (int i = 0; i < 3; ++i) {
        {
            const listener ending(fleet.task(), address);
            fleet.crash(0, i, address);
        }
        fleet.run_for(milliseconds(300));
    }
    CHECK(fleet.wait_until_known() < contact_time);
}

// Guards against runs that clear a part though their endpoint has crashed.
TEST_CASE("a run isn't survived before it is known whether its endpoint crashed", "[poison]") {
    const http_address address("127.77.2.3:7402");
    monitor_fleet fleet(1);
    for (int run = 0; run < 10; ++run)
        fleet.run_parts(0, 1000, {sound_part}, false);
    fleet.run_for(milliseconds(1100));
    const listener accepting(fleet.task(), address);
    for (int i = 0; i < 5; ++i) {
        fleet.complete_and_break(i, address, {sound_part, bad_part}, {sound_part});
        fleet.run_for(milliseconds(1200));
        fleet.replace(address);
        fleet.run_for(milliseconds(100));
    }
    CHECK(fleet.gateways_with(bad_part, policy::request_verdict::suspect) == 1);
    CHECK(fleet.gateways_with(sound_part, policy::request_verdict::unsuspected) == 1);
}

// Guards against a list of quarantines, and counts of them, that keep a part whose quarantine
// ended.
TEST_CASE("a part is listed as quarantined until a retry was survived, and again later",
          "[poison]") {
    monitor_fleet fleet(1);
    const auto publish = [&fleet](std::uint64_t version, std::uint32_t times, bool is_cleared) {
        schema::poison_news news;
        schema::poison_record& record = *news.add_records();
        record.set_fingerprint(bad_part.str());
        record.set_is_part(true);
        record.set_version(version);
        record.set_verdict(static_cast<std::uint32_t>(is_cleared
                                                          ? policy::request_verdict::unsuspected
                                                          : policy::request_verdict::quarantined));
        record.set_quarantine_left_ms(is_cleared ? 0 : 60000);
        record.set_log_odds(is_cleared ? -7 : 8);
        record.set_crashes(is_cleared ? 0 : 5);
        record.set_quarantines(times);
        record.set_crash_age_ms(1000);
        record.set_was_cleared(is_cleared);
        fleet.receive(0, news);
    };
    publish(1, 1, false);
    CHECK(fleet.quarantined(0) == 1);
    CHECK(fleet.counter(0, "prompt_parts_quarantined") == 1);
    publish(2, 1, false);
    CHECK(fleet.counter(0, "prompt_parts_quarantined") == 1);
    publish(3, 1, true);
    CHECK(fleet.quarantined(0) == 0);
    CHECK(fleet.counter(0, "prompt_parts_cleared") == 1);
    publish(4, 1, true);
    CHECK(fleet.counter(0, "prompt_parts_cleared") == 1);
    publish(5, 2, false);
    CHECK(fleet.quarantined(0) == 1);
    CHECK(fleet.counter(0, "prompt_parts_quarantined") == 2);
}

// Guards against a part that is cleared by runs which go on behind the event at which it crashes
// endpoints, and against requests that stay quarantined though their part was cleared by a caller.
TEST_CASE("a quarantined part is cleared by runs from the start only", "[poison]") {
    monitor_fleet fleet(1);
    const milliseconds left(GENERATE(0, 60000));
    schema::poison_news news;
    schema::poison_record& record = *news.add_records();
    record.set_fingerprint(bad_part.str());
    record.set_is_part(true);
    record.set_version(1);
    record.set_verdict(static_cast<std::uint32_t>(policy::request_verdict::quarantined));
    record.set_quarantine_left_ms(left.count());
    record.set_log_odds(8);
    record.set_crashes(5);
    record.set_quarantines(1);
    record.set_crash_age_ms(5000);
    fleet.receive(0, news);
    CAPTURE(left.count());
    fleet.retry(0, true);
    fleet.run_for(milliseconds(1400));
    CHECK(fleet.counter(0, "prompt_parts_cleared") == 0);
    CHECK(fleet.gateways_with(bad_part, policy::request_verdict::unsuspected) == 0);
    fleet.retry(0, false);
    fleet.run_for(milliseconds(1400));
    CHECK(fleet.gateways_with(bad_part, policy::request_verdict::unsuspected) == 1);
    CHECK(fleet.counter(0, "prompt_parts_cleared") == 1);
}
