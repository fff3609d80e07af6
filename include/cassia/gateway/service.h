/// The gateway process: forwards online requests by the routing table, runs batch items in free
/// slots and serves the API of batch jobs.
#pragma once

#include "cassia/base/metrics.h"
#include "cassia/gateway/caller_identity.h"
#include "cassia/gateway/cluster_client.h"
#include "cassia/gateway/crash_monitor.h"
#include "cassia/gateway/dispatcher.h"
#include "cassia/gateway/flow_control.h"
#include "cassia/gateway/header_names.h"
#include "cassia/gateway/item_runner.h"
#include "cassia/gateway/job_access.h"
#include "cassia/gateway/job_service.h"
#include "cassia/gateway/lease_requests.h"
#include "cassia/gateway/origin_exchange.h"
#include "cassia/gateway/request_admission.h"
#include "cassia/gateway/request_tokens.h"
#include "cassia/gateway/trial_exchange.h"
#include "cassia/net/raw_client.h"
#include "cassia/net/raw_server.h"
#include "cassia/net/task.h"
#include "cassia/policy/slot_table.h"
#include "cassia/schema/settings.pb.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>

namespace cassia::gateway {

struct service_hooks {
    /// Called for each request before it is matched to a route, once there is a routing table.
    /// \returns whether the hook responds to the request itself.
    std::function<bool(exchange_id, const net::raw_request&)> intercept_request;
    /// Called to respond to a request that matches a batch route. The team is null if the route
    /// requires no key.
    std::function<void(exchange_id, const net::raw_request&, const schema::route&,
                       const teams::team*)>
        on_batch_request;
    /// How runs migrate between endpoints; empty if they can't.
    migration_protocol migration;
    /// Empty if prompts have no parts that requests share.
    prompt_parts_reader read_prompt_parts;
    /// Empty if requests don't state how much memory they take.
    request_tokens_reader read_request_tokens;
};

class service {
public:
    service(schema::gateway_settings settings, header_names names, service_hooks hooks);
    ~service();

    /// Opens the sockets. \returns an empty string or an error message.
    std::string open();
    /// Serves until the process is told to stop. \returns the exit code.
    int run();

    void respond(exchange_id id, int status, const net::http_fields& fields, std::string_view body);
    /// Applies changes of those settings that may change at run time: the seeds, how long callers
    /// use a list of gateways, the shutdown grace and the retention of results.
    void apply(const schema::gateway_settings& changed);
    net::task& owner() { return task_; }
    job_service& jobs() { return *jobs_; }
    /// Identifies the caller of a request about a job, which belongs to no single route. Requires a
    /// routing table. \param host without a port. \returns nothing if a key is required.
    std::optional<job_caller> identify_job_caller(const net::raw_request& request,
                                                  const std::string& host) const;
    /// Who sends a job, to be kept with it. Requires a routing table.
    schema::job_sender sender_of(const net::raw_request& request) const;
    const schema::gateway_settings& settings() const { return settings_; }
    const header_names& names() const { return names_; }
    /// Of the table in force; 0 if there is none yet.
    std::uint64_t routes_version() const { return routes_ ? routes_->version() : 0; }
    bool is_shutting_down() const { return shutting_down_; }

private:
    void make_flow_control();
    void on_request(exchange_id id, net::raw_request request);
    void admit(exchange_id id, net::raw_request request, instant arrived_at);
    /// A request that arrived before the gateway knew how to handle it.
    struct deferred_request {
        net::raw_request request;
        instant arrived_at{};
        instant expires_at{};                    ///< rejected if it isn't known by then
        std::optional<milliseconds> retry_after; ///< sent with the rejection if the caller has time
    };

    void defer(exchange_id id, net::raw_request request, instant arrived_at);
    void resume_deferred();
    void reject_expired(instant now);
    void reject_without_routes(exchange_id id, const net::raw_request& request,
                               std::optional<milliseconds> retry_after);
    void on_admin_request(exchange_id id, const net::raw_request& request);
    /// Expires old reports of other gateways and sends them the use of slots here.
    void share_usage();
    void set_routes(std::shared_ptr<const routes::table> table);
    /// \param holder of the slot; empty for this gateway.
    void request_yield(const entry_id& holder, const endpoint_id& endpoint);
    void lease(const std::string& route, const group_id& group, std::uint32_t limit,
               const item_runner_hooks::lease_done& done);
    /// Leases items of routes that the table of routes lacks.
    void lease_unrouted(const schema::unrouted_want& want, const group_id& group,
                        const item_runner_hooks::lease_done& done);
    void send_lease(schema::lease_request lease, const group_id& group,
                    const item_runner_hooks::lease_done& done);
    /// Reports to the leaders which items are held and which lease requests are closed.
    void send_held_items();
    void report(const schema::items_end& ends, const item_runner_hooks::report_done& done);
    /// Where a suspect may run, for any gateway.
    policy::trial_schedule::choice
    choose_trial_endpoint(const policy::trial_request& request,
                          const std::set<endpoint_id>& excluded) const;
    void tick();
    void shut_down();
    void check_shutdown(instant stop_at);
    /// Answers what is still open when the gateway has to stop.
    void end_open_requests();
    /// For a request that came in after that.
    void reject_after_stop(exchange_id id, const net::raw_request& request);
    std::string metrics_text();
    std::string dump() const;

    schema::gateway_settings settings_;
    header_names names_;
    service_hooks hooks_;
    net::task task_;
    metrics metrics_;
    policy::slot_table slots_;
    std::unique_ptr<flow_control> flow_;
    std::unique_ptr<net::raw_server> server_;
    std::unique_ptr<net::raw_server> admin_server_;
    std::unique_ptr<net::raw_client> client_;
    std::unique_ptr<cluster_client> cluster_;
    std::unique_ptr<crash_monitor> crashes_;
    std::unique_ptr<trial_exchange> trials_;
    std::unique_ptr<origin_exchange> origins_;
    std::unique_ptr<dispatcher> dispatcher_;
    std::unique_ptr<request_admission> admission_;
    std::unique_ptr<item_runner> items_;
    std::unique_ptr<job_service> jobs_;
    std::shared_ptr<const routes::table> routes_;
    std::map<exchange_id, deferred_request> deferred_;
    std::mt19937_64 random_;
    lease_requests lease_requests_;
    bool shutting_down_ = false;
    bool ended_open_requests_ = false;
    instant shutdown_began_at_{};
};

} // namespace cassia::gateway
