/// The task that serves HTTP: it receives each request, authenticates its sender and passes it to
/// the component that responds to it.
#pragma once

#include "cassia/base/metrics.h"
#include "cassia/entry/control_task.h"
#include "cassia/entry/decision_log.h"
#include "cassia/entry/fleet_view.h"
#include "cassia/entry/refusal.h"
#include "cassia/net/http_client.h"
#include "cassia/net/http_server.h"
#include "cassia/net/task.h"
#include "cassia/schema/settings.pb.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace cassia::entry {

class announce_api;
class batch_api;
class online_calls;
class operator_api;

/// State shared by the components that run on the HTTP task.
struct http_context {
    const schema::entry_settings& settings;
    net::task& task;
    control_task& control;
    metrics& counters;
    decision_log& decisions;
    net::http_server* server = nullptr;
    cluster_view_ptr view;
    bool draining = false;

    /// Responds to the exchange with an error.
    void reject(exchange_id exchange, const rejection& rejected, const std::string& request_id);
};

/// A caller that presented a known API key.
struct authenticated_caller {
    const settings::plan* plan = nullptr; ///< valid as long as `catalog`
    std::shared_ptr<const settings::catalog> catalog;
};

/// What the batch task may use of one endpoint.
struct batch_capacity {
    std::uint32_t slots = 0;
    bool suspect_running = false; ///< a request suspected of crashing endpoints runs there
};
using batch_capacities = std::map<endpoint_id, batch_capacity>;

struct http_task_hooks {
    /// Runs on the HTTP task.
    std::function<void(batch_capacities)> on_batch_capacities;
    /// Requests the batch task's part of the state dump, as JSON; `on_dump` runs on the HTTP task.
    std::function<void(std::function<void(std::string)> on_dump)> dump_batch;
    std::function<void()> drain_batch;
    std::function<void()> on_drained;
};

class http_task {
public:
    http_task(const schema::entry_settings& settings, control_task& control, http_task_hooks hooks);
    ~http_task();

    /// Opens the socket. \returns an empty string or an error message.
    std::string open();
    /// Serves on the calling thread until drained.
    void run();

    // The following functions may be called from any task.
    void set_view(cluster_view_ptr view);
    void set_batch_uses(std::vector<endpoint_use> uses);
    /// Adds a decision made by another task to the decision log.
    void add_decision(decision added);
    net::task& task() { return task_; }
    void drain();

private:
    void on_request(exchange_id exchange, net::http_request request);
    void serve_entries(exchange_id exchange, const std::string& request_id);
    void serve_dump(exchange_id exchange);
    void serve_metrics(exchange_id exchange);
    std::optional<authenticated_caller> authenticate(exchange_id exchange,
                                                     const net::http_request& request,
                                                     const std::string& request_id);
    void check_drained();
    void log_state_dump();

    schema::entry_settings settings_;
    http_task_hooks hooks_;
    net::task task_;
    metrics metrics_;
    decision_log decisions_;
    http_context context_;
    std::unique_ptr<net::http_server> server_;
    std::unique_ptr<online_calls> online_;
    std::unique_ptr<batch_api> batch_;
    std::unique_ptr<operator_api> operators_;
    std::unique_ptr<announce_api> announcements_;
    instant draining_since_{};
};

} // namespace cassia::entry
