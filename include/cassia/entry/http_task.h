/// The task that serves HTTP: it receives each request, checks who sends it, and hands it to the
/// part that answers it.
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

/// What the parts of the front share. They run on its task.
struct front_context {
    const schema::entry_settings& settings;
    net::task& task;
    control_task& control;
    metrics& counters;
    decision_log& decisions;
    net::http_server* server = nullptr;
    fleet_view_ptr view;
    bool draining = false;

    /// Answers the exchange with a refusal.
    void refuse(exchange_id exchange, const refusal& refused, const std::string& request_id);
};

/// A caller who showed a known key.
struct caller {
    const settings::plan* plan = nullptr; ///< valid as long as `catalog`
    std::shared_ptr<const settings::catalog> catalog;
};

/// What the batch task may do at one endpoint.
struct batch_offer {
    std::uint32_t slots = 0;
    bool suspect_running = false; ///< an online call that may crash it runs there
};
using batch_offers = std::map<endpoint_id, batch_offer>;

struct front_hooks {
    /// On the front's task.
    std::function<void(batch_offers)> on_batch_offers;
    /// The batch task's part of the dump, as JSON; `done` runs on the front's task.
    std::function<void(std::function<void(std::string)> done)> dump_batch;
    std::function<void()> drain_batch;
    std::function<void()> on_drained;
};

class front_task {
public:
    front_task(const schema::entry_settings& settings, control_task& control, front_hooks hooks);
    ~front_task();

    /// Opens the socket. \returns an empty string or what went wrong.
    std::string open();
    /// Serves on the calling thread until drained.
    void run();

    // These may be called from any task.
    void set_view(fleet_view_ptr view);
    void set_batch_uses(std::vector<endpoint_use> uses);
    /// Keeps a decision of another task for the explanations.
    void note(decision one);
    net::task& home() { return task_; }
    void drain();

private:
    void on_request(exchange_id exchange, net::http_request request);
    void serve_entries(exchange_id exchange, const std::string& request_id);
    void serve_dump(exchange_id exchange);
    void serve_metrics(exchange_id exchange);
    std::optional<caller> authenticate(exchange_id exchange, const net::http_request& request,
                                       const std::string& request_id);
    void check_drained();
    void on_signal_dump();

    schema::entry_settings settings_;
    front_hooks hooks_;
    net::task task_;
    metrics metrics_;
    decision_log decisions_;
    front_context context_;
    std::unique_ptr<net::http_server> server_;
    std::unique_ptr<online_calls> online_;
    std::unique_ptr<batch_api> batch_;
    std::unique_ptr<operator_api> operators_;
    std::unique_ptr<announce_api> announcements_;
    instant draining_since_{};
};

} // namespace cassia::entry
