/// A gateway: forwards requests by the table of routes, and runs batch items in free slots.
#pragma once

#include "cassia/base/metrics.h"
#include "cassia/gateway/caller_identity.h"
#include "cassia/gateway/cluster_client.h"
#include "cassia/gateway/dispatcher.h"
#include "cassia/gateway/header_names.h"
#include "cassia/gateway/item_runner.h"
#include "cassia/gateway/job_service.h"
#include "cassia/gateway/request_admission.h"
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
#include <string>

namespace cassia::gateway {

struct service_hooks {
    /// Offered each request before it is matched to a route, once there is a table of routes.
    /// \returns whether it was taken.
    std::function<bool(exchange_id, const net::raw_request&)> intercept_request;
    /// A request of a batch route, by a team unless the route needs no key.
    std::function<void(exchange_id, const net::raw_request&, const schema::route&,
                       const teams::team*)>
        on_batch_request;
    /// How endpoints are asked to hand runs over; may be empty.
    migration_protocol migration;
};

class service {
public:
    service(schema::gateway_settings settings, header_names names, service_hooks hooks);
    ~service();

    /// Opens the sockets. \returns an empty string or what went wrong.
    std::string open();
    /// Serves until told to stop. \returns the exit code.
    int run();

    void respond(exchange_id id, int status, const net::http_fields& fields, std::string_view body);
    /// Takes over what may change while it runs: the seeds, and how long callers keep lists.
    void apply(const schema::gateway_settings& changed);
    net::task& owner() { return task_; }
    job_service& jobs() { return *jobs_; }
    /// The caller of a request that is for no one route; there is a table of routes.
    caller_identity identify(const net::raw_request& request) const;
    /// Whether the host has a route for jobs that needs no key.
    bool serves_jobs_without_key(const std::string& host) const;
    const schema::gateway_settings& settings() const { return settings_; }
    const header_names& names() const { return names_; }
    bool is_shutting_down() const { return leaving_; }

private:
    void on_request(exchange_id id, net::raw_request request);
    struct early_request {
        net::raw_request request;
        instant until{};                       ///< refused if there is no table by then
        std::optional<milliseconds> come_back; ///< told then, if the caller has time for it
    };

    void take_early(exchange_id id, net::raw_request request);
    void match_early();
    void refuse_early(instant now);
    void refuse(exchange_id id, const net::raw_request& request,
                std::optional<milliseconds> come_back);
    void on_ready_request(exchange_id id, const net::raw_request& request);
    void set_routes(std::shared_ptr<const routes::table> table);
    void yield_slot(const entry_id& holder, const endpoint_id& endpoint);
    void lease(const std::string& route, std::uint32_t limit,
               const item_runner_hooks::lease_done& done);
    void report(const schema::items_end& ends, const item_runner_hooks::report_done& done);
    void tick();
    void shut_down();
    void watch_for_end(instant stop_at);
    std::string metrics_text();
    std::string dump() const;

    schema::gateway_settings settings_;
    header_names names_;
    service_hooks hooks_;
    net::task task_;
    metrics metrics_;
    policy::slot_table slots_;
    std::unique_ptr<net::raw_server> server_;
    std::unique_ptr<net::raw_server> ready_server_;
    std::unique_ptr<net::raw_client> client_;
    std::unique_ptr<fleet_link> fleet_;
    std::unique_ptr<dispatcher> dispatcher_;
    std::unique_ptr<request_admission> admission_;
    std::unique_ptr<item_runner> items_;
    std::unique_ptr<job_service> jobs_;
    std::shared_ptr<const routes::table> routes_;
    std::map<exchange_id, early_request> early_; ///< came before there was a table
    std::mt19937_64 random_;
    std::uint32_t lease_turn_ = 0;
    bool leaving_ = false;
    instant leaving_since_{};
};

} // namespace cassia::gateway
