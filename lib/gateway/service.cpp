#include "cassia/gateway/service.h"

#include "cassia/base/digest.h"
#include "cassia/base/log.h"
#include "cassia/net/http_server.h"
#include "cassia/policy/refusal.h"
#include "cassia/state/sharding.h"

#include <algorithm>
#include <csignal>
#include <utility>

namespace cassia::gateway {

namespace {
// Deadlines, silence and waiting requests are looked at this often: fine enough against targets of
// some hundred ms.
constexpr milliseconds tick_interval(20);
constexpr milliseconds share_interval(50);
constexpr milliseconds held_interval(1000);
constexpr milliseconds end_check_interval(50);
constexpr milliseconds traffic_log_interval(10000);
// Ends of items wait for a leader this long before they are sent anew.
constexpr milliseconds report_patience(3000);
constexpr milliseconds lease_patience(2500);
// Some callers keep a list three times as long as it says.
constexpr int list_ages = 3;
// Left of the grace for the last answers to go out and the process to end.
constexpr milliseconds end_margin(700);
constexpr milliseconds idle_grace(250);
// Of a request that names none.
constexpr milliseconds unnamed_deadline(5000);
constexpr int status_missing = 404;
constexpr int status_unavailable = 503;
constexpr int ms_per_s = 1000;
} // namespace

service::service(schema::gateway_settings settings, field_names names, service_hooks hooks)
    : settings_(std::move(settings)), names_(std::move(names)), hooks_(std::move(hooks)),
      task_("gateway"), slots_(zone_id(settings_.zone())), random_(random_bits()) {
    net::raw_server_hooks served;
    served.on_request = [this](exchange_id id, net::raw_request request) {
        on_request(id, std::move(request));
    };
    served.on_gone = [this](exchange_id id) {
        early_.erase(id);
        admission_->abandon(id);
        dispatcher_->abandon(id);
    };
    server_ = std::make_unique<net::raw_server>(task_, net::raw_server_limits(), served);
    net::raw_server_hooks ready;
    ready.on_request = [this](exchange_id id, const net::raw_request& request) {
        on_ready_request(id, request);
    };
    ready.on_gone = [](exchange_id) {};
    ready_server_ = std::make_unique<net::raw_server>(task_, net::raw_server_limits(), ready);
    client_ = std::make_unique<net::raw_client>(task_, net::ip_of(settings_.peer_address()));
    dispatcher_hooks dispatch;
    dispatch.yield_slot = [this](const entry_id& holder, const endpoint_id& endpoint) {
        yield_slot(holder, endpoint);
    };
    dispatch.give_back = [this](const policy::quota_grant& grant) {
        fleet_->quota().give_back(grant);
    };
    dispatcher_ =
        std::make_unique<dispatcher>(*server_, *client_, slots_, metrics_, names_, dispatch);
    dispatcher_->set_moves(hooks_.moves);
    item_runner_hooks items;
    items.lease = [this](const std::string& route, std::uint32_t limit,
                         const item_runner_hooks::lease_done& done) { lease(route, limit, done); };
    items.report = [this](const schema::items_end& ends,
                          const item_runner_hooks::report_done& done) { report(ends, done); };
    items_ = std::make_unique<item_runner>(*client_, slots_, metrics_, names_,
                                           settings_.batch_window(), std::move(items));
    fleet_hooks fleet;
    fleet.on_routes = [this](std::shared_ptr<const routes::table> table) {
        set_routes(std::move(table));
    };
    fleet.on_endpoints = [this](const std::vector<policy::slot_endpoint>& endpoints) {
        slots_.set_endpoints(endpoints);
        dispatcher_->serve_waiting();
    };
    fleet.on_uses = [this](const entry_id& entry, policy::use_map uses) {
        slots_.set_others(entry, std::move(uses), monotonic_now());
    };
    fleet.on_yield = [this](const endpoint_id& endpoint, std::uint32_t slots) {
        items_->yield(endpoint, slots);
    };
    fleet.on_cancelled = [this](const std::set<job_id>& jobs) { items_->cancel_jobs(jobs); };
    fleet.on_stale = [this](const schema::stale_items& stale) { items_->drop_stale(stale); };
    fleet.on_quota = [this](const policy::quota_decision& decision) {
        admission_->on_decision(decision);
    };
    fleet_ = std::make_unique<fleet_link>(task_, settings_, std::move(fleet));
    admission_hooks admission;
    admission.on_admitted = [this](admitted_request request) {
        dispatcher_->accept(std::move(request));
    };
    admission.reject = [this](exchange_id id, int status, const net::http_fields& fields) {
        respond(id, status, fields, "");
    };
    admission_ = std::make_unique<request_admission>(fleet_->quota(), metrics_, names_,
                                                     std::move(admission));
    jobs_ = std::make_unique<job_service>(*fleet_, settings_.cluster().work_groups());
}

service::~service() = default;

std::string service::open() {
    std::string problem = fleet_->open();
    if (!problem.empty())
        return problem;
    const net::result<void> served = server_->listen(http_address(settings_.serve_address()));
    if (!served)
        return served.error().text;
    for (const std::string& address : {settings_.ready_address(), settings_.metrics_address()}) {
        if (address.empty())
            continue;
        const net::result<void> ready = ready_server_->listen(http_address(address));
        if (!ready)
            return ready.error().text;
    }
    return "";
}

int service::run() {
    net::on_signal(task_, SIGTERM, [this] { shut_down(); });
    net::on_signal(task_, SIGINT, [this] { shut_down(); });
    net::on_signal(task_, SIGUSR1, [this] { log_info("state_dump").with("dump", dump()); });
    task_.every(tick_interval, [this] { tick(); });
    task_.every(share_interval, [this] {
        slots_.forget_others(monotonic_now());
        fleet_->share_uses(slots_.own_uses());
    });
    task_.every(traffic_log_interval, [this] { fleet_->peers().log_sent(); });
    task_.every(held_interval, [this] {
        const schema::held_items held = items_->held();
        for (std::uint32_t group = 1; group <= settings_.cluster().work_groups(); ++group) {
            schema::held_items part;
            for (const schema::held_job& job : held.jobs()) {
                if (state::group_of_job(job_id(job.job()), settings_.cluster().work_groups()) ==
                    group_id(group))
                    *part.add_jobs() = job;
            }
            fleet_->tell_held(std::move(part), group_id(group));
        }
    });
    log_info("gateway_started")
        .with("address", settings_.serve_address())
        .with("zone", settings_.zone());
    task_.run();
    log_info("gateway_stopped");
    return 0;
}

void service::set_routes(std::shared_ptr<const routes::table> table) {
    routes_ = std::move(table);
    items_->set_routes(routes_);
    const schema::request_limits& limits = routes_->limits();
    net::raw_server_limits used;
    used.header_bytes = limits.header_bytes();
    used.body_bytes = limits.body_bytes();
    used.header_timeout = milliseconds(limits.header_timeout_ms());
    used.idle_timeout = milliseconds(limits.idle_timeout_ms());
    server_->set_limits(used);
    match_early();
}

caller_identity service::identify(const net::raw_request& request) const {
    return identify_caller(*routes_, nullptr, request.fields, names_);
}

bool service::serves_jobs_without_key(const std::string& host) const {
    const std::vector<const schema::route*> routes = routes_->of_kind(schema::route::batch);
    return std::any_of(routes.begin(), routes.end(), [&host](const schema::route* one) {
        return one->needs_no_key() && net::equal_ignoring_case(one->host(), host);
    });
}

void service::on_request(exchange_id id, net::raw_request request) {
    if (!routes_) {
        take_early(id, std::move(request));
        return;
    }
    if (hooks_.take_request(id, request))
        return;
    const schema::route* route =
        routes_->match(request.fields.find("Host"), net::path_of(request.target));
    if (route == nullptr) {
        log_info("request_unrouted")
            .with("request", request.fields.find(names_.request_id))
            .with("target", request.target)
            .with("routes_version", routes_->version());
        respond(id, status_missing, {}, "");
        return;
    }
    const caller_identity caller = identify_caller(*routes_, route, request.fields, names_);
    if (!caller.accepted) {
        admission_->reject_key(id, request);
        return;
    }
    if (route->kind() == schema::route::batch) {
        hooks_.on_batch(id, request, *route, caller.team);
        return;
    }
    admission_->offer({id, std::move(request), routes_, route, caller.team, {}, monotonic_now()});
}

// Without a table nothing can be said about a request but that it didn't run.
void service::take_early(exchange_id id, net::raw_request request) {
    const instant now = monotonic_now();
    const milliseconds left =
        net::read_milliseconds(request.fields.find(names_.deadline)).value_or(unnamed_deadline);
    std::uniform_real_distribution<double> draw(0, 1);
    const std::optional<milliseconds> come_back =
        policy::come_back_with_routes(left, draw(random_));
    const instant until = now + policy::wait_for_routes(left, come_back.has_value());
    log_info("request_kept")
        .with("request", request.fields.find(names_.request_id))
        .with("cause", "no_routes")
        .with("left_ms", left.count());
    early_[id] = {std::move(request), until, come_back};
}

void service::match_early() {
    std::map<exchange_id, early_request> early = std::move(early_);
    early_.clear();
    for (std::pair<const exchange_id, early_request>& one : early)
        on_request(one.first, std::move(one.second.request));
}

void service::refuse_early(instant now) {
    for (auto one = early_.begin(); one != early_.end();) {
        if (now < one->second.until) {
            ++one;
            continue;
        }
        refuse(one->first, one->second.request, one->second.come_back);
        one = early_.erase(one);
    }
}

void service::refuse(exchange_id id, const net::raw_request& request,
                     std::optional<milliseconds> come_back) {
    log_warning("request_refused")
        .with("request", request.fields.find(names_.request_id))
        .with("cause", "no_routes")
        .with("come_back_ms", come_back.value_or(milliseconds(0)).count());
    net::http_fields fields;
    if (come_back)
        fields.add("Retry-After", net::to_seconds(*come_back));
    metrics_.count("refused_without_routes");
    respond(id, status_unavailable, fields, "");
}

void service::respond(exchange_id id, int status, const net::http_fields& fields,
                      std::string_view body) {
    net::raw_head head;
    head.status = status;
    head.fields = fields;
    server_->respond(id, head, body);
}

void service::yield_slot(const entry_id& holder, const endpoint_id& endpoint) {
    if (holder.empty())
        items_->yield(endpoint, 1);
    else
        fleet_->ask_to_yield(holder, endpoint, 1);
}

void service::lease(const std::string& route, std::uint32_t limit,
                    const item_runner_hooks::lease_done& done) {
    // Each question goes to one group; over time all are asked.
    schema::keeper_request request;
    request.set_group(1 + lease_turn_++ % settings_.cluster().work_groups());
    request.mutable_lease()->set_holder(fleet_->holder());
    schema::lease_want* want = request.mutable_lease()->add_wants();
    want->set_service(route);
    want->set_limit(limit);
    entry::request_options options;
    options.timeout = lease_patience;
    // Sent once: the reply of a lost first question would come beside that of the second.
    options.resend = false;
    fleet_->ask(std::move(request), options, [done](const schema::keeper_reply& reply) {
        done({reply.work().leased().begin(), reply.work().leased().end()});
    });
}

void service::report(const schema::items_end& ends, const item_runner_hooks::report_done& done) {
    std::map<group_id, schema::items_end> by_group;
    for (const schema::item_end& one : ends.ends()) {
        const group_id group =
            state::group_of_job(job_id(one.job()), settings_.cluster().work_groups());
        *by_group[group].add_ends() = one;
    }
    // Durable only as a whole; ends that are reported twice count once.
    std::shared_ptr<std::size_t> open = std::make_shared<std::size_t>(by_group.size());
    std::shared_ptr<bool> all = std::make_shared<bool>(true);
    entry::request_options options;
    options.timeout = report_patience;
    for (std::pair<const group_id, schema::items_end>& part : by_group) {
        part.second.set_holder(fleet_->holder());
        part.second.set_at(to_unix_ms(wall_now()));
        schema::keeper_request request;
        request.set_group(static_cast<std::uint32_t>(part.first.value()));
        *request.mutable_work()->mutable_ends() = std::move(part.second);
        fleet_->ask(std::move(request), options,
                    [open, all, done](const schema::keeper_reply& reply) {
                        *all = *all && reply.result() == schema::keeper_reply::done;
                        if (--*open == 0)
                            done(*all);
                    });
    }
}

void service::apply(const schema::gateway_settings& changed) {
    fleet_->set_seeds({changed.cluster().seed().begin(), changed.cluster().seed().end()});
    settings_.set_list_age_ms(changed.list_age_ms());
    settings_.set_grace_s(changed.grace_s());
    settings_.set_result_retention_s(changed.result_retention_s());
}

void service::tick() {
    const instant now = monotonic_now();
    refuse_early(now);
    fleet_->quota().flush();
    dispatcher_->tick(now);
    items_->tick(now, wall_now());
}

// Callers may come for as long as they keep their lists; after that new connections are refused,
// what is open is answered, and the process ends well before it would be killed.
void service::shut_down() {
    if (leaving_)
        return;
    leaving_ = true;
    leaving_since_ = monotonic_now();
    log_info("gateway_stopping").with("open", server_->open_exchanges());
    fleet_->leave();
    items_->leave();
    server_->wind_down(idle_grace);
    const milliseconds grace(static_cast<std::int64_t>(settings_.grace_s() * ms_per_s));
    const instant stop_at = leaving_since_ + std::max(grace - end_margin, milliseconds(0));
    task_.every(end_check_interval, [this, stop_at] { watch_for_end(stop_at); });
}

void service::watch_for_end(instant stop_at) {
    const instant now = monotonic_now();
    const milliseconds lists_end = milliseconds(settings_.list_age_ms()) * list_ages + idle_grace;
    if (now >= leaving_since_ + lists_end || now >= stop_at)
        server_->stop_listening();
    else
        return;
    const bool done = server_->open_exchanges() == 0 && items_->unreported() == 0;
    if (done || now >= stop_at)
        task_.quit();
}

} // namespace cassia::gateway
