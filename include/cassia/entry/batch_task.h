/// Runs batch items, in the slots that online calls leave free, on the endpoints that this entry
/// owns. Each endpoint has one entry as its owner (also called `steward`), which runs the batch
/// items there. This is a separate task with its own connections, so that online calls never wait
/// for it.
#pragma once

#include "cassia/base/metrics.h"
#include "cassia/entry/control_task.h"
#include "cassia/entry/crash_tracker.h"
#include "cassia/entry/decision_log.h"
#include "cassia/entry/fleet_view.h"
#include "cassia/entry/http_task.h"
#include "cassia/entry/request_text.h"
#include "cassia/net/http_client.h"
#include "cassia/net/task.h"
#include "cassia/schema/messages.pb.h"
#include "cassia/schema/settings.pb.h"

#include <deque>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace cassia::entry {

/// These run on the batch task.
struct batch_task_hooks {
    /// Receives the number of items running at each endpoint.
    std::function<void(std::vector<endpoint_use>)> on_uses;
    std::function<void(decision)> on_decision;
};

class batch_task {
public:
    batch_task(const schema::entry_settings& settings, control_task& control,
               batch_task_hooks hooks);
    ~batch_task();

    void start();
    void stop();

    // The following functions may be called from any task.
    void set_view(cluster_view_ptr view);
    void set_capacities(batch_capacities capacities);
    /// Stops up to this many batch items at an endpoint, to free their slots for online calls.
    void yield(const endpoint_id& endpoint, std::uint32_t slots);
    void cancel_jobs(const std::vector<job_id>& jobs);
    /// Stops leasing items and returns held ones to their groups, except running items that must
    /// not run twice.
    void drain();
    void dump(net::task& reply_task, std::function<void(std::string)> on_dump);

private:
    using item_id = std::pair<job_id, std::uint32_t>;
    struct batch_item {
        schema::leased_item lease;
        service_id service;
        cassia::fingerprint fingerprint;
        bool for_engine = true; ///< a call of a model, not of a plain service
        /// Data of the stream events received, kept when a run is stopped so that the next run can
        /// resume the stream.
        std::vector<std::string> token_events;
        software_version endpoint_software; ///< of the last run's endpoint
        software_version written_by;        ///< of the endpoint that wrote the first token
        int runs = 0;
        instant queued_since{}; ///< when it was last queued for a slot here
        std::set<endpoint_id> failed_endpoints;

        // The current run.
        bool running = false;
        bool suspect = false; ///< has a strike, and this run got no event yet
        endpoint_id endpoint;
        call_id upstream_call;
        net::http_head response_head;
        std::string response_body;
        event_splitter splitter;
        bool done_received = false;
        bool has_output = false; ///< this run has received an event; never set for plain services
        std::string request_id;
    };
    struct endpoint_state {
        batch_capacity capacity;
        std::vector<item_id> running; ///< oldest first
        instant paused_until{};
        std::uint32_t failures = 0; ///< consecutive; a failure during a pause does not count
    };

    // Leasing items and reporting results (batch_leases.cpp).
    void request_leases();
    static void pause_after_failure(endpoint_state& state);
    std::map<service_id, std::uint32_t> items_to_lease() const;
    void on_lease_reply(const schema::keeper_reply& reply, instant requested_at);
    void report_held_items();
    void end_item(const item_id& id, schema::item_end end);
    void return_item(const item_id& id);
    void return_stranded_items();
    void enqueue(const item_id& id, bool at_front);
    void send_item_ends();

    // Running items (batch_items.cpp).
    void discard_unservable(batch_item& item, policy::service_demand& demand) const;
    void place_items();
    bool has_leader_contact(const batch_item& item, instant now) const;
    void start_item(const item_id& id, const policy::endpoint_info& facts);
    std::string upstream_request_body(const batch_item& item) const;
    void stop_newest(endpoint_state& state, std::uint32_t max_running, const char* reason);
    void stop_run(batch_item& item);
    void on_chunk(const item_id& id, std::string_view chunk);
    void on_end(const item_id& id);
    void on_failure(const item_id& id, const net::http_failure& failure);
    void handle_failure(const item_id& id, const net::http_failure& failure, bool crashed);
    void record_crash(const endpoint_id& endpoint);
    void complete(const item_id& id);
    std::string result_body(const batch_item& item) const;
    void report_uses();
    void record_decision(decision_kind kind, const std::string& subject, const std::string& object,
                         const std::string& reason);
    void tick();

    schema::entry_settings settings_;
    control_task& control_;
    batch_task_hooks hooks_;
    net::task task_;
    net::http_client client_;
    metrics metrics_;
    crash_tracker crash_tracker_;
    cluster_view_ptr view_;
    std::map<endpoint_id, endpoint_state> endpoints_;
    std::map<item_id, batch_item> items_;
    std::map<service_id, std::deque<item_id>> queues_; ///< items that wait for a slot
    /// Ended items whose group has not confirmed the end yet.
    std::map<group_id, std::vector<std::pair<item_id, schema::item_end>>> unconfirmed_ends_;
    std::map<group_id, bool> sending_ends_; ///< whether a request with ends is in flight
    std::set<group_id> groups_leasing_;     ///< groups with a lease request in flight
    std::uint32_t next_lease_group_ = 0;
    std::uint64_t last_lease_request_ = 0; ///< number of it
    instant next_lease_at_{};
    bool draining_ = false;
    bool uses_changed_ = false;
};

} // namespace cassia::entry
