/// An item runner with what it needs of its gateway, and endpoints on loopback.
#pragma once

#include "cassia/base/log.h"
#include "cassia/gateway/item_runner.h"
#include "cassia/gateway/request_fingerprint.h"
#include "cassia/net/raw_server.h"
#include "cassia/net/task.h"

#include <catch2/catch.hpp>

#include <unistd.h>

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace cassia::gateway {

// An accepted item that isn't listed runs within this time wherever an endpoint has room.
constexpr milliseconds max_idle_time(5000);
// Any accepted item runs within this time of its last run, also one that will probably fail again.
constexpr milliseconds max_untried_time(20000);
// From the end of a gateway until another one may run what it held.
constexpr milliseconds max_handover_time(5000);
// An item that will probably fail again costs an endpoint's work no more often than that.
constexpr milliseconds min_barred_time(12000);
constexpr milliseconds tick_interval(20);
constexpr milliseconds lease_time(200);
// From a request to a group that doesn't reply until it is given up.
constexpr milliseconds lease_timeout(2500);
constexpr std::uint32_t slots_per_endpoint = 4;

/// Loopback addresses of this process, so that several may run at once.
inline std::string own_net() {
    constexpr int numbers = 250;
    const int process = static_cast<int>(getpid());
    return "127." + std::to_string(64 + process / numbers % 60) + "." +
           std::to_string(process % numbers);
}

struct route_spec {
    std::string name;
    std::vector<std::string> services;
    std::string prefix = ""; ///< that of the name, if empty
    schema::route::route_kind kind = schema::route::batch;
};

inline std::shared_ptr<const routes::table> make_routes(std::uint64_t version,
                                                        const std::vector<route_spec>& specs) {
    schema::route_table source;
    source.set_version(version);
    std::set<std::string> services;
    for (const route_spec& spec : specs) {
        schema::route& route = *source.add_routes();
        route.set_name(spec.name);
        route.set_host("shop.example");
        route.set_path_prefix(spec.prefix.empty() ? "/" + spec.name + "/" : spec.prefix);
        route.set_kind(spec.kind);
        route.set_resumable(true);
        route.set_timeout_ms(5000);
        route.set_result_due_ms(18000);
        for (const std::string& service : spec.services) {
            schema::route_target& target = *route.add_targets();
            target.set_service(service);
            target.set_weight(1);
            services.insert(service);
        }
    }
    for (const std::string& service : services)
        source.add_services()->set_name(service);
    return routes::table::compile(source).value();
}

/// An endpoint on loopback. It begins a response to each item and completes it on request only.
class endpoint_stub {
public:
    endpoint_stub(net::task& owner, const http_address& address)
        : server_(owner, net::raw_server_limits(),
                  {[this](exchange_id id, const net::raw_request& request) {
                       ++requests_;
                       received_.insert(std::string(request.fields.find("Cassia-Request-Id")));
                       answer(id, request);
                   },
                   [this](exchange_id) { ++abandoned_; }}) {
        REQUIRE(server_.listen(address));
    }
    bool has_received(const std::string& item) const { return received_.count(item) > 0; }
    std::size_t requests() const { return requests_; }
    /// Requests whose connection was closed before their response.
    std::size_t abandoned() const { return abandoned_; }

    net::raw_server& server() { return server_; }

    bool is_silent = false; ///< sends no response
    /// Begins a success without a stated length.
    void begin_response(exchange_id id, const net::raw_request& request) {
        net::raw_head head;
        head.status = 200;
        head.fields.add("Cassia-Request-Id", request.fields.find("Cassia-Request-Id"));
        head.fields.add("Cassia-Stamp", "stamp");
        head.framing = net::body_framing::chunked;
        server_.begin(id, head);
    }
    /// Completes each item at once.
    void complete_items() {
        respond = [this](exchange_id id, const net::raw_request& request) {
            begin_response(id, request);
            server_.piece(id, "id: 1\ndata: x\n\n");
            server_.end(id);
        };
    }
    /// Closes the connection of each request without a response.
    void abort_requests() {
        respond = [this](exchange_id id, const net::raw_request&) { server_.abort(id); };
    }
    /// Responds in place of the endpoint, if set.
    std::function<void(exchange_id, const net::raw_request&)> respond;

private:
    void answer(exchange_id id, const net::raw_request& request) {
        if (is_silent)
            return;
        if (respond) {
            respond(id, request);
            return;
        }
        net::raw_head head;
        head.status = 200;
        head.fields.add("Cassia-Request-Id", request.fields.find("Cassia-Request-Id"));
        head.fields.add("Cassia-Stamp", "stamp");
        server_.respond(id, head, "id: 9\ndata: x\n\n");
    }

    std::set<std::string> received_;
    std::size_t requests_ = 0;
    std::size_t abandoned_ = 0;
    net::raw_server server_;
};

/// An item runner with what it needs of its gateway, the only one of its fleet.
class runner_fixture {
public:
    /// \param knows_records the records of another gateway have been received.
    explicit runner_fixture(bool knows_records = true)
        : client_(task_, ""), crashes_(task_, "", self, zone_id("z"), metrics_, crash_hooks()),
          trials_(self, trial_hooks()),
          runner(client_, slots_, crashes_, trials_, metrics_, header_names(), 16, item_hooks()) {
        start_logs("test", log_level::error, "");
        crashes_.set_gateways({});
        if (knows_records)
            receive_records();
        task_.every(tick_interval, [this] {
            crashes_.tick();
            trials_.tick();
            runner.tick(monotonic_now(), wall_now());
        });
    }

    /// Receives the records of another gateway, which are empty.
    void receive_records() {
        schema::poison_news answer;
        answer.set_answers(true);
        crashes_.receive(answer);
    }
    endpoint_stub& add_endpoint(const std::string& service, const std::string& version) {
        const std::string number = std::to_string(stubs_.size() + 1);
        const http_address address(own_net() + "." + number + ":7301");
        listed_.push_back({endpoint_id("e" + number), 1, address, zone_id("z"), service_id(service),
                           slots_per_endpoint, software_version(version)});
        publish();
        stubs_.push_back(std::make_unique<endpoint_stub>(task_, address));
        return *stubs_.back();
    }
    /// Lists an endpoint whose slots other gateways use.
    void add_full_endpoint(const std::string& service, const std::string& version) {
        const endpoint_id id("full" + std::to_string(listed_.size()));
        listed_.push_back({id, 1, http_address(own_net() + ".200:7301"), zone_id("z"),
                           service_id(service), slots_per_endpoint, software_version(version)});
        publish();
        use_slots(id, slots_per_endpoint);
    }
    void set_memory_limit(const std::string& service, std::uint64_t tokens) {
        slots_.set_memory_limits({{service_id(service), tokens}});
    }
    /// Another gateway uses slots of an endpoint.
    void use_slots(const endpoint_id& endpoint, std::uint32_t slots) {
        task_.every(tick_interval, [this, endpoint, slots] {
            slots_.set_remote_usage(entry_id("user of " + endpoint.str()),
                                    {{endpoint, {slots, 0, 0}}}, monotonic_now());
        });
    }
    /// Lists an endpoint that nothing listens for.
    void add_unreachable_endpoint(const std::string& service, const std::string& version) {
        listed_.push_back({endpoint_id("unreachable"), 1, http_address(own_net() + ".201:7301"),
                           zone_id("z"), service_id(service), slots_per_endpoint,
                           software_version(version)});
        publish();
    }
    void remove_endpoints(const std::string& service, const std::string& version) {
        std::erase_if(listed_, [&](const policy::slot_endpoint& one) {
            return one.service.str() == service && one.version.str() == version;
        });
        publish();
    }
    /// \param deadline orders the items; later ones come later.
    schema::leased_item make_item(const std::string& id, const std::string& route,
                                  std::uint64_t deadline) const {
        schema::leased_item leased;
        leased.set_job("job-" + id);
        leased.set_attempt(1);
        leased.set_team("shop.example");
        leased.set_host("shop.example");
        leased.set_deadline(to_unix_ms(wall_now()) + 60000 + deadline);
        leased.mutable_item()->set_custom_id(id);
        leased.mutable_item()->set_url("/" + route + "/x");
        leased.mutable_item()->set_service(route);
        leased.set_route_prefix("/" + route + "/");
        leased.mutable_item()->set_body("prompt of " + id);
        return leased;
    }
    static void add_progress(schema::leased_item& leased, const std::string& service,
                             const std::string& version) {
        leased.set_progress("x");
        leased.set_events(1);
        leased.mutable_written_by()->set_service(service);
        leased.mutable_written_by()->set_version(version);
    }
    /// All gateways suspect that the item crashes endpoints.
    void suspect(const schema::leased_item& leased) {
        judge(leased, policy::request_verdict::suspect);
    }
    /// The item was quarantined a moment ago, or a further crash is held against it.
    void quarantine(const schema::leased_item& leased, std::uint32_t crashes = 2,
                    milliseconds crash_age = milliseconds(0)) {
        judge(leased, policy::request_verdict::quarantined, crashes, crash_age);
    }
    /// All items have the part, which was quarantined a moment ago.
    void quarantine_part(const std::string& service, const prompt_part_id& part) {
        runner.set_prompt_parts_reader(
            [part](const net::http_fields&) { return std::vector<prompt_part_id>{part}; });
        schema::poison_news news = make_part_record(service, part);
        news.mutable_records(0)->set_verdict(
            static_cast<std::uint32_t>(policy::request_verdict::quarantined));
        news.mutable_records(0)->set_quarantine_left_ms(60000);
        crashes_.receive(news);
    }
    /// The part of which items were quarantined crashes nothing any more.
    void clear_part(const std::string& service, const prompt_part_id& part) {
        schema::poison_news news = make_part_record(service, part);
        news.mutable_records(0)->set_version(4);
        crashes_.receive(news);
    }
    void judge(const schema::leased_item& leased, policy::request_verdict verdict,
               std::uint32_t crashes = 2, milliseconds crash_age = milliseconds(0)) {
        schema::poison_news news;
        schema::poison_record& record = *news.add_records();
        record.set_fingerprint(
            make_item_fingerprint(leased.job(), leased.item().custom_id()).str());
        record.set_version(crashes);
        record.set_verdict(static_cast<std::uint32_t>(verdict));
        if (verdict == policy::request_verdict::quarantined)
            record.set_quarantine_left_ms(60000);
        record.set_log_odds(1);
        record.set_crashes(crashes);
        record.set_crash_age_ms(static_cast<std::uint32_t>(crash_age.count()));
        crashes_.receive(news);
    }
    void offer(const schema::leased_item& leased) { offered_.push_back(leased); }
    void run_for(milliseconds time) {
        task_.after(time, [this] { task_.quit(); });
        task_.run();
    }
    net::task& task() { return task_; }
    /// Waits until the endpoint gets a request. \returns whether it does in time.
    bool is_requested_in_time(const endpoint_stub& endpoint) {
        const instant end = monotonic_now() + max_idle_time;
        while (monotonic_now() < end && endpoint.requests() == 0)
            run_for(tick_interval);
        return endpoint.requests() > 0;
    }
    bool is_received_in_time(const endpoint_stub& endpoint, const std::string& item) {
        const instant end = monotonic_now() + max_idle_time;
        while (monotonic_now() < end && !endpoint.has_received(item))
            run_for(tick_interval);
        return endpoint.has_received(item);
    }

private:
    static schema::poison_news make_part_record(const std::string& service,
                                                const prompt_part_id& part) {
        schema::poison_news news;
        schema::poison_record& record = *news.add_records();
        record.set_fingerprint(make_part_keys(service_id(service), {part}).front().str());
        record.set_version(3);
        record.set_log_odds(1);
        record.set_crashes(3);
        record.set_all_crashes(3);
        record.set_is_part(true);
        return news;
    }
    void publish() {
        slots_.set_endpoints(listed_);
        crashes_.set_endpoints(listed_);
    }
    crash_monitor_hooks crash_hooks() {
        crash_monitor_hooks hooks;
        hooks.send = [](const entry_id&, schema::envelope&) { return false; };
        hooks.on_crash = [this](const policy::endpoint_process& process) {
            slots_.record_crash(process.endpoint, process.incarnation, monotonic_now());
        };
        hooks.on_quarantine = [] {};
        return hooks;
    }
    trial_exchange_hooks trial_hooks() {
        trial_exchange_hooks hooks;
        hooks.send = [](const entry_id&, schema::envelope&) { return false; };
        hooks.coordinators = [] { return std::vector<entry_id>{self}; };
        hooks.choose_endpoint = [this](const policy::trial_request& request,
                                       const std::set<endpoint_id>& excluded) {
            if (!grants_trials)
                return policy::trial_schedule::choice{std::nullopt, 1};
            if (unusable_grants > 0) {
                --unusable_grants;
                return policy::trial_schedule::choice{endpoint_id("unknown"), 1};
            }
            const std::optional<policy::placement> found =
                slots_.place_alone(request.service, excluded, monotonic_now(), request.version);
            return policy::trial_schedule::choice{
                found ? std::optional<endpoint_id>(found->endpoint) : std::nullopt,
                policy::max_trials(slots_.count_endpoints(request.service))};
        };
        return hooks;
    }
    item_runner_hooks item_hooks() {
        item_runner_hooks hooks;
        hooks.lease = [this](const std::string& route, const group_id& group, std::uint32_t limit,
                             const item_runner_hooks::lease_done& done) {
            leased_groups[route].insert(group);
            if (group == unresponsive_group) {
                task_.after(lease_timeout, [done] { done({}); });
                return;
            }
            std::vector<schema::leased_item> granted;
            const std::string prefix = "/" + route + "/";
            for (auto item = offered_.begin(); item != offered_.end();) {
                if (granted.size() < limit && item->item().url().rfind(prefix, 0) == 0) {
                    granted.push_back(*item);
                    item = offered_.erase(item);
                } else {
                    ++item;
                }
            }
            task_.after(lease_delay, [done, granted] { done(granted); });
        };
        hooks.lease_unrouted = [this](const schema::unrouted_want& want, const group_id&,
                                      const item_runner_hooks::lease_done& done) {
            const std::set<std::string> known(want.known().begin(), want.known().end());
            std::vector<schema::leased_item> granted;
            std::erase_if(offered_, [&](const schema::leased_item& item) {
                const bool grants =
                    granted.size() < want.limit() && known.count(item.item().service()) == 0;
                if (grants)
                    granted.push_back(item);
                return grants;
            });
            task_.after(lease_delay, [done, granted] { done(granted); });
        };
        hooks.report = [this](const schema::items_end& ends,
                              const item_runner_hooks::report_done& done) {
            for (const schema::item_end& end : ends.ends()) {
                reported.insert(end.job());
                statuses[end.job()] = end.status();
                texts[end.job()] = end.body();
            }
            task_.post([done] { done(true); });
        };
        return hooks;
    }

    inline static const entry_id self{"gateway"};
    net::task task_{"test"};
    metrics metrics_;
    policy::slot_table slots_{zone_id("z")};
    net::raw_client client_;
    crash_monitor crashes_;
    trial_exchange trials_;
    std::vector<policy::slot_endpoint> listed_;
    std::vector<std::unique_ptr<endpoint_stub>> stubs_;
    std::vector<schema::leased_item> offered_;

public:
    bool grants_trials = true;       ///< endpoints are chosen for runs of suspects
    std::size_t unusable_grants = 0; ///< next ones, of an endpoint that isn't listed
    milliseconds lease_delay{0};     ///< of the replies to lease requests
    group_id unresponsive_group;     ///< replies late, and grants nothing
    std::map<std::string, std::set<group_id>> leased_groups; ///< that each route asked
    std::set<std::string> reported; ///< jobs of the items whose end was reported
    std::map<std::string, schema::item_status> statuses; ///< the latest, by job
    std::map<std::string, std::string> texts;            ///< the latest, by job
    item_runner runner;
};

} // namespace cassia::gateway
