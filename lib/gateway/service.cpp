#include "cassia/gateway/service.h"

#include "cassia/base/digest.h"
#include "cassia/base/log.h"
#include "cassia/gateway/load_report.h"
#include "cassia/net/http_server.h"

#include <algorithm>
#include <csignal>
#include <utility>

namespace cassia::gateway {

namespace {
// Interval of the checks of deadlines, inactivity and queued requests; short compared with targets
// of a few hundred milliseconds.
constexpr milliseconds tick_interval(20);
constexpr milliseconds usage_interval(50);
constexpr std::uint64_t bytes_in_mib = 1024ULL * 1024;
// Half of the memory is for what is held for online calls; copies of items are also in reports.
constexpr std::uint64_t item_memory_parts = 8;
constexpr milliseconds held_items_interval(1000);
constexpr milliseconds traffic_log_interval(10000);
constexpr int status_not_found = 404;
} // namespace

service::service(schema::gateway_settings settings, header_names names, service_hooks hooks)
    : settings_(std::move(settings)), names_(std::move(names)), hooks_(std::move(hooks)),
      task_("gateway"), slots_(zone_id(settings_.zone())), random_(random_bits()) {
    slots_.set_memory_seed(random_bits());
    slots_.pace().set_source(read_pace_source(settings_.endpoint_pace()));
    net::raw_server_hooks server_callbacks;
    server_callbacks.on_request = [this](exchange_id id, net::raw_request request) {
        on_request(id, std::move(request));
    };
    server_callbacks.on_gone = [this](exchange_id id) {
        deferred_.erase(id);
        admission_->on_caller_gone(id);
        dispatcher_->on_caller_gone(id);
    };
    client_ = std::make_unique<net::raw_client>(task_, net::ip_of(settings_.peer_address()));
    make_flow_control();
    server_ = std::make_unique<net::raw_server>(task_, net::raw_server_limits(), server_callbacks,
                                                flow_->server_flow());
    flow_->bind(*server_);
    net::raw_server_hooks admin_callbacks;
    admin_callbacks.on_request = [this](exchange_id id, const net::raw_request& request) {
        on_admin_request(id, request);
    };
    admin_callbacks.on_gone = [](exchange_id) {};
    admin_server_ =
        std::make_unique<net::raw_server>(task_, net::raw_server_limits(), admin_callbacks);
    crash_monitor_hooks crash_callbacks;
    crash_callbacks.send = [this](const entry_id& to, schema::envelope& envelope) {
        return cluster_->send_to_gateway(to, envelope);
    };
    crash_callbacks.on_crash = [this](const policy::endpoint_process& process) {
        slots_.record_crash(process.endpoint, process.incarnation, monotonic_now());
    };
    crash_callbacks.on_quarantine = [this] {
        dispatcher_->stop_quarantined();
        items_->stop_quarantined();
    };
    crashes_ = std::make_unique<crash_monitor>(
        task_, net::ip_of(settings_.peer_address()), entry_id(settings_.name()),
        zone_id(settings_.zone()), metrics_, std::move(crash_callbacks));
    trial_exchange_hooks trial_callbacks;
    trial_callbacks.send = [this](const entry_id& to, schema::envelope& envelope) {
        return cluster_->send_to_gateway(to, envelope);
    };
    trial_callbacks.coordinators = [this] { return crashes_->coordinators(); };
    trial_callbacks.choose_endpoint = [this](const policy::trial_request& request,
                                             const std::set<endpoint_id>& excluded) {
        return choose_trial_endpoint(request, excluded);
    };
    trial_callbacks.is_listed = [this](const endpoint_id& one) { return slots_.contains(one); };
    trial_callbacks.on_granted = [this] { items_->start_granted(); };
    trial_callbacks.risk_of = [this](const fingerprint& cause) { return crashes_->risk_of(cause); };
    trials_ =
        std::make_unique<trial_exchange>(entry_id(settings_.name()), std::move(trial_callbacks));
    client_->on_idle_closed(
        [this](const http_address& address) { crashes_->record_idle_closed(address); });
    origin_exchange_hooks origin_callbacks;
    origin_callbacks.send = [this](const entry_id& to, schema::envelope& envelope) {
        return cluster_->send_to_gateway(to, envelope);
    };
    origin_callbacks.on_decision = [this](const policy::stream_origin_decision& decision) {
        dispatcher_->on_origin(decision);
    };
    origins_ = std::make_unique<origin_exchange>(task_, entry_id(settings_.name()),
                                                 zone_id(settings_.zone()), metrics_,
                                                 std::move(origin_callbacks));
    dispatcher_hooks dispatcher_callbacks;
    dispatcher_callbacks.request_yield = [this](const entry_id& holder,
                                                const endpoint_id& endpoint) {
        request_yield(holder, endpoint);
    };
    dispatcher_callbacks.refund_quota = [this](const policy::quota_grant& grant) {
        cluster_->quota().refund(grant);
    };
    dispatcher_callbacks.only_version = [this](const service_id& service, instant since) {
        return cluster_->only_version(service, since);
    };
    dispatcher_callbacks.request_versions = [this] { cluster_->request_lists(); };
    dispatcher_callbacks.reports_pace = [this](const service_id& service) {
        return slots_.pace().reports_pace(service);
    };
    dispatcher_ = std::make_unique<dispatcher>(*server_, *client_, slots_, *crashes_, *trials_,
                                               *origins_, metrics_, names_, dispatcher_callbacks);
    dispatcher_->set_hedge_percent(settings_.hedge_percent());
    dispatcher_->set_migration_protocol(hooks_.migration);
    dispatcher_->set_refuse_ahead(settings_.refuse_ahead());
    dispatcher_->set_prompt_parts_reader(hooks_.read_prompt_parts);
    dispatcher_->set_request_tokens_reader(hooks_.read_request_tokens);
    dispatcher_->set_flow_control(flow_.get());
    item_runner_hooks item_callbacks;
    item_callbacks.lease = [this](const std::string& route, const group_id& group,
                                  std::uint32_t limit, const item_runner_hooks::lease_done& done) {
        lease(route, group, limit, done);
    };
    item_callbacks.lease_unrouted = [this](const schema::unrouted_want& want, const group_id& group,
                                           const item_runner_hooks::lease_done& done) {
        lease_unrouted(want, group, done);
    };
    item_callbacks.report = [this](const schema::items_end& ends,
                                   const item_runner_hooks::report_done& done) {
        report(ends, done);
    };
    items_ = std::make_unique<item_runner>(*client_, slots_, *crashes_, *trials_, metrics_, names_,
                                           settings_.batch_window(), std::move(item_callbacks));
    items_->set_work_groups(settings_.cluster().work_groups());
    items_->set_memory_share(settings_.memory_mib() * bytes_in_mib / item_memory_parts);
    items_->set_prompt_parts_reader(hooks_.read_prompt_parts);
    items_->set_request_tokens_reader(hooks_.read_request_tokens);
    cluster_hooks cluster_callbacks;
    cluster_callbacks.on_routes = [this](std::shared_ptr<const routes::table> table) {
        set_routes(std::move(table));
    };
    cluster_callbacks.on_endpoints = [this](const std::vector<policy::slot_endpoint>& endpoints) {
        slots_.set_endpoints(endpoints);
        dispatcher_->shares().set_capacity(slots_.capacity());
        crashes_->set_endpoints(endpoints);
        dispatcher_->end_unservable();
        dispatcher_->dispatch_queued();
    };
    cluster_callbacks.on_gateways = [this](const std::vector<policy::fleet_gateway>& others) {
        crashes_->set_gateways(others);
        origins_->set_gateways(others);
        items_->set_fleet_size(others.size() + 1);
    };
    cluster_callbacks.on_list_read = [this] { dispatcher_->check_unknown_origins(); };
    cluster_callbacks.on_stream_origins = [this](const schema::stream_origin_news& news) {
        origins_->receive(news);
    };
    cluster_callbacks.on_poison_news = [this](const schema::poison_news& news) {
        crashes_->receive(news);
        trials_->receive(news);
    };
    cluster_callbacks.on_peers = [this](policy::peer_group own_zone, policy::peer_group all) {
        slots_.set_peers(own_zone, all);
    };
    cluster_callbacks.on_usage = [this](const entry_id& holder, policy::slot_usage_map usage) {
        slots_.set_remote_usage(holder, std::move(usage), monotonic_now());
    };
    cluster_callbacks.on_team_use = [this](const entry_id& holder, policy::team_use_map use) {
        dispatcher_->shares().set_remote_use(holder, std::move(use), monotonic_now());
    };
    cluster_callbacks.on_yield_request = [this](const endpoint_id& endpoint, std::uint32_t slots) {
        items_->yield(endpoint, slots);
    };
    cluster_callbacks.on_jobs_cancelled = [this](const std::set<job_id>& jobs) {
        items_->cancel_jobs(jobs);
    };
    cluster_callbacks.on_stale_items = [this](const schema::stale_items& stale) {
        items_->drop_stale(stale);
    };
    cluster_callbacks.on_quota_decision = [this](const policy::quota_decision& decision) {
        admission_->on_quota_decision(decision);
    };
    cluster_ = std::make_unique<cluster_client>(task_, settings_, std::move(cluster_callbacks));
    admission_hooks admission_callbacks;
    admission_callbacks.on_admitted = [this](routed_request request) {
        dispatcher_->submit(std::move(request));
    };
    admission_callbacks.reject = [this](exchange_id id, int status,
                                        const net::http_fields& fields) {
        respond(id, status, fields, "");
    };
    admission_ = std::make_unique<request_admission>(cluster_->quota(), metrics_, names_,
                                                     std::move(admission_callbacks));
    jobs_ = std::make_unique<job_service>(*cluster_, settings_.cluster().work_groups());
}

service::~service() = default;

std::string service::open() {
    std::string problem = cluster_->open();
    if (!problem.empty())
        return problem;
    const net::result<void> opened = server_->listen(http_address(settings_.serve_address()));
    if (!opened)
        return opened.error().text;
    for (const std::string& address : {settings_.ready_address(), settings_.metrics_address()}) {
        if (address.empty())
            continue;
        const net::result<void> admin_opened = admin_server_->listen(http_address(address));
        if (!admin_opened)
            return admin_opened.error().text;
    }
    return "";
}

int service::run() {
    net::on_signal(task_, SIGTERM, [this] { shut_down(); });
    net::on_signal(task_, SIGINT, [this] { shut_down(); });
    net::on_signal(task_, SIGUSR1, [this] { log_info("state_dump").with("dump", dump()); });
    task_.every(tick_interval, [this] { tick(); });
    task_.every(usage_interval, [this] { share_usage(); });
    task_.every(traffic_log_interval, [this] {
        cluster_->peers().log_sent();
        dispatcher_->log_shares();
    });
    task_.every(held_items_interval, [this] { send_held_items(); });
    log_info("gateway_started")
        .with("address", settings_.serve_address())
        .with("zone", settings_.zone());
    net::deliver_signals();
    task_.run();
    log_info("gateway_stopped");
    return 0;
}

void service::set_routes(std::shared_ptr<const routes::table> table) {
    routes_ = std::move(table);
    items_->set_routes(routes_);
    std::map<service_id, std::uint64_t> memory_limits;
    for (const schema::routed_service& one : routes_->services())
        memory_limits[service_id(one.name())] = one.memory_tokens();
    slots_.set_memory_limits(std::move(memory_limits));
    dispatcher_->set_teams(routes_->teams());
    const schema::request_limits& limits = routes_->limits();
    net::raw_server_limits server_limits;
    server_limits.header_bytes = limits.header_bytes();
    server_limits.body_bytes = limits.body_bytes();
    server_limits.header_timeout = milliseconds(limits.header_timeout_ms());
    server_limits.idle_timeout = milliseconds(limits.idle_timeout_ms());
    server_->set_limits(server_limits);
    resume_deferred();
}

std::optional<job_caller> service::identify_job_caller(const net::raw_request& request,
                                                       const std::string& host) const {
    const caller_identity caller = identify_caller(*routes_, nullptr, request.fields, names_);
    if (!caller.accepted && !has_public_batch_route(*routes_, host))
        return std::nullopt;
    return job_caller{routes_, caller.team == nullptr ? team_id() : caller.team->id, host};
}

schema::job_sender service::sender_of(const net::raw_request& request) const {
    const caller_identity caller = identify_caller(*routes_, nullptr, request.fields, names_);
    schema::job_sender sender;
    if (caller.team != nullptr)
        sender.set_team(caller.team->id.str());
    sender.set_key_digest(caller_key_digest(request.fields, names_).str());
    sender.set_teams_known(routes_->needs_keys());
    return sender;
}

void service::on_request(exchange_id id, net::raw_request request) {
    if (ended_open_requests_)
        reject_after_stop(id, request);
    else
        admit(id, std::move(request), monotonic_now());
}

void service::admit(exchange_id id, net::raw_request request, instant arrived_at) {
    if (!routes_ || !crashes_->is_synchronized()) {
        defer(id, std::move(request), arrived_at);
        return;
    }
    if (hooks_.intercept_request(id, request))
        return;
    const schema::route* route =
        routes_->match(request.fields.find("Host"), net::path_of(request.target));
    if (route == nullptr) {
        log_info("request_unrouted")
            .with("request", request.fields.find(names_.request_id))
            .with("target", request.target)
            .with("routes_version", routes_->version());
        respond(id, status_not_found, {}, "");
        return;
    }
    const caller_identity caller = identify_caller(*routes_, route, request.fields, names_);
    if (!caller.accepted) {
        admission_->reject_unknown_key(id, request);
        return;
    }
    if (route->kind() == schema::route::batch) {
        hooks_.on_batch_request(id, request, *route, caller.team);
        return;
    }
    admission_->submit({id, std::move(request), routes_, route, caller.team, {}, arrived_at});
}

void service::respond(exchange_id id, int status, const net::http_fields& fields,
                      std::string_view body) {
    flow_->on_answer(id);
    net::raw_head head;
    head.status = status;
    head.fields = fields;
    server_->respond(id, head, body);
}

void service::request_yield(const entry_id& holder, const endpoint_id& endpoint) {
    if (holder.empty())
        items_->yield(endpoint, 1);
    else
        cluster_->request_yield(holder, endpoint, 1);
}

void service::apply(const schema::gateway_settings& changed) {
    cluster_->set_seeds({changed.cluster().seed().begin(), changed.cluster().seed().end()});
    settings_.set_list_age_ms(changed.list_age_ms());
    settings_.set_grace_s(changed.grace_s());
    settings_.set_result_retention_s(changed.result_retention_s());
}

policy::trial_schedule::choice
service::choose_trial_endpoint(const policy::trial_request& request,
                               const std::set<endpoint_id>& excluded) const {
    const instant now = monotonic_now();
    if (crashes_->awaits_control(request.request, request.service))
        return {};
    std::set<endpoint_id> unusable = excluded;
    std::optional<policy::placement> found =
        slots_.place_alone(request.service, unusable, now, request.version);
    // Without the control group endpoints that have crashed stay listed.
    while (found && crashes_->has_crashed({found->endpoint, found->incarnation})) {
        unusable.insert(found->endpoint);
        found = slots_.place_alone(request.service, unusable, now, request.version);
    }
    return {found ? std::optional<endpoint_id>(found->endpoint) : std::nullopt,
            policy::max_trials(slots_.count_endpoints(request.service)),
            found ? static_cast<std::size_t>(std::max<std::int64_t>(found->free, 1)) : 1, true};
}

void service::tick() {
    const instant now = monotonic_now();
    crashes_->tick();
    resume_deferred();
    reject_expired(now);
    cluster_->quota().flush();
    trials_->tick();
    origins_->tick();
    dispatcher_->tick(now);
    flow_->tick(now);
    items_->tick(now, wall_now());
}

} // namespace cassia::gateway
