/// A dispatcher and a caller of it, over real sockets; a test brings the endpoints.
#pragma once

#include "cassia/base/log.h"
#include "cassia/gateway/dispatcher.h"
#include "cassia/net/task.h"

#include <catch2/catch.hpp>

#include <unistd.h>

#include <algorithm>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace cassia::gateway {

inline constexpr std::uint32_t slots_per_fixture_endpoint = 4;

/// Loopback addresses of this process, so that several may run at once.
inline std::string address_of(int number) {
    const int process = static_cast<int>(getpid());
    return "127." + std::to_string(130 + process / 250 % 60) + "." + std::to_string(process % 250) +
           "." + std::to_string(number) + ":7311";
}

/// What the fixture's route and service allow beyond single runs.
struct fixture_options {
    bool resumable = false;
    bool moves_runs = false;
};

/// Request id in the bytes of a request.
inline std::string id_of(std::string_view request) {
    constexpr std::string_view name = "Cassia-Request-Id: ";
    const std::size_t begin = request.find(name) + name.size();
    return std::string(request.substr(begin, request.find("\r\n", begin) - begin));
}

/// A whole response of an endpoint, on a connection that it keeps.
inline std::string response(const std::string& status, const std::string& request,
                            const std::string& body) {
    return "HTTP/1.1 " + status + "\r\nCassia-Stamp: s\r\nCassia-Request-Id: " + request +
           "\r\nKeep-Alive: timeout=5\r\nContent-Length: " + std::to_string(body.size()) +
           "\r\n\r\n" + body;
}

/// A dispatcher with what it needs of its gateway, and a caller.
class dispatcher_fixture {
public:
    dispatcher_fixture(schema::route::route_kind kind, std::uint32_t max_attempts,
                       milliseconds target, fixture_options options = {})
        : routes_(make_routes(kind, max_attempts, target, options)),
          server_(task_, net::raw_server_limits(),
                  {[this](exchange_id id, net::raw_request request) {
                       // The owner of a grant stands for its request.
                       const policy::quota_grant grant{
                           {}, entry_id(std::string(request.fields.find("Cassia-Request-Id")))};
                       dispatcher_.submit({id, std::move(request), routes_, routes_->find("web"),
                                           nullptr, grant, monotonic_now()});
                   },
                   [this](exchange_id id) { dispatcher_.on_caller_gone(id); }}),
          client_(task_, ""), crashes_(task_, "", self, zone_id("z"), metrics_, crash_hooks()),
          trials_(self, trial_hooks()),
          origins_(task_, self, zone_id("z"), metrics_, origin_hooks()),
          dispatcher_(server_, client_, slots_, crashes_, trials_, origins_, metrics_,
                      header_names(), hooks()),
          caller_(task_, "") {
        start_logs("test", log_level::error, "");
        REQUIRE(server_.listen(http_address(address_of(9))));
        crashes_.set_gateways({});
        task_.every(milliseconds(20), [this] {
            crashes_.tick();
            trials_.tick();
            dispatcher_.tick(monotonic_now());
        });
    }

    /// Status, 0 for a closed connection, and time of a call.
    std::pair<int, milliseconds> ask(milliseconds leaves_after = milliseconds(5000)) {
        const instant began = monotonic_now();
        int status = -1;
        net::raw_call call;
        call.to = http_address(address_of(9));
        call.request.method = "POST";
        call.request.target = "/x";
        call.request.fields.add("Host", "shop.example");
        call.request.fields.add("Cassia-Request-Id", "r" + std::to_string(++asked_));
        net::raw_call_hooks got;
        int head_status = 0;
        got.on_head = [&](const net::raw_head& head) { head_status = head.status; };
        got.on_piece = [](std::string_view) {};
        got.on_end = [&] {
            status = head_status;
            ++responses;
            task_.quit();
        };
        got.on_failure = [&](const net::raw_failure&) {
            status = 0;
            task_.quit();
        };
        const call_id id = caller_.start(std::move(call), std::move(got));
        const timer_id leaves = task_.after(leaves_after, [this] { task_.quit(); });
        task_.run();
        task_.cancel(leaves);
        if (status < 0)
            caller_.cancel(id);
        return {status, std::chrono::duration_cast<milliseconds>(monotonic_now() - began)};
    }
    void after(milliseconds time, std::function<void()> action) {
        task_.after(time, std::move(action));
    }
    void run_for(milliseconds time) {
        task_.after(time, [this] { task_.quit(); });
        task_.run();
    }
    bool holds_slots() const {
        const policy::slot_usage_map usage = slots_.own_usage();
        return std::any_of(usage.begin(), usage.end(),
                           [](const auto& one) { return one.second.online > 0; });
    }
    std::size_t open_calls() const { return dispatcher_.open_calls() + client_.open_calls(); }

    /// Lists the endpoints with these numbers, and no others.
    void list(const std::vector<int>& numbers) {
        std::vector<policy::slot_endpoint> listed;
        for (const int number : numbers)
            listed.push_back({endpoint_id("e" + std::to_string(number)),
                              static_cast<std::uint64_t>(number), http_address(address_of(number)),
                              zone_id("z"), service_id("web"), slots_per_fixture_endpoint,
                              software_version("v")});
        slots_.set_endpoints(listed);
        crashes_.set_endpoints(listed);
    }

private:
    static std::shared_ptr<const routes::table> make_routes(schema::route::route_kind kind,
                                                            std::uint32_t max_attempts,
                                                            milliseconds target,
                                                            fixture_options options) {
        schema::route_table source;
        source.set_version(1);
        schema::route& route = *source.add_routes();
        route.set_name("web");
        route.set_host("shop.example");
        route.set_path_prefix("/");
        route.set_kind(kind);
        route.set_timeout_ms(1500);
        route.set_target_ms(target.count());
        route.set_max_attempts(max_attempts);
        route.set_resumable(options.resumable);
        schema::route_target& to = *route.add_targets();
        to.set_service("web");
        to.set_weight(1);
        schema::routed_service& service = *source.add_services();
        service.set_name("web");
        service.set_moves_runs(options.moves_runs);
        return routes::table::compile(source).value();
    }
    crash_monitor_hooks crash_hooks() {
        crash_monitor_hooks hooks;
        hooks.send = [](const entry_id&, schema::envelope&) { return false; };
        hooks.on_crash = [this](const policy::endpoint_process& process) {
            crashed.push_back(process.endpoint.str() + "/" + std::to_string(process.incarnation));
        };
        hooks.on_quarantine = [] {};
        return hooks;
    }
    trial_exchange_hooks trial_hooks() {
        trial_exchange_hooks hooks;
        hooks.send = [](const entry_id&, schema::envelope&) { return false; };
        hooks.coordinators = [] { return std::vector<entry_id>{self}; };
        hooks.choose_endpoint = [this](const policy::trial_request& asked,
                                       const std::set<endpoint_id>& excluded) {
            policy::trial_schedule::choice choice;
            const std::optional<policy::placement> found =
                slots_.place_alone(asked.service, excluded, monotonic_now(), asked.version);
            if (found && grants_trials)
                choice.endpoint = found->endpoint;
            return choice;
        };
        return hooks;
    }
    static origin_exchange_hooks origin_hooks() {
        origin_exchange_hooks hooks;
        hooks.send = [](const entry_id&, schema::envelope&) { return false; };
        hooks.on_decision = [](const policy::stream_origin_decision&) {};
        return hooks;
    }
    dispatcher_hooks hooks() {
        dispatcher_hooks hooks;
        hooks.request_yield = [](const entry_id&, const endpoint_id&) {};
        hooks.refund_quota = [this](const policy::quota_grant& grant) {
            ++refunds;
            refunded.insert(grant.owner.str());
        };
        hooks.reports_pace = [this](const service_id&) { return reports_pace; };
        return hooks;
    }

protected:
    inline static const entry_id self{"gateway"};
    net::task task_{"test"};
    metrics metrics_;
    policy::slot_table slots_{zone_id("z")};
    std::shared_ptr<const routes::table> routes_;
    net::raw_server server_;
    net::raw_client client_;
    crash_monitor crashes_;
    trial_exchange trials_;
    origin_exchange origins_;
    dispatcher dispatcher_;
    net::raw_client caller_;
    int asked_ = 0;

public:
    bool reports_pace = true;
    bool grants_trials = true;
    int refunds = 0;
    std::set<std::string> refunded; ///< request ids
    int responses = 0;
    std::vector<std::string> crashed; ///< endpoints and their incarnations
};

} // namespace cassia::gateway
