/// Runs items of batch jobs: leases items from the keepers, runs them in free slots, yields slots
/// to online requests, resumes interrupted items after their last complete event and reports
/// results.
#pragma once

#include "cassia/base/clock.h"
#include "cassia/base/ids.h"
#include "cassia/base/metrics.h"
#include "cassia/gateway/crash_monitor.h"
#include "cassia/gateway/header_names.h"
#include "cassia/gateway/prompt_parts.h"
#include "cassia/gateway/request_tokens.h"
#include "cassia/gateway/sse_parser.h"
#include "cassia/gateway/trial_exchange.h"
#include "cassia/net/raw_client.h"
#include "cassia/policy/lease_schedule.h"
#include "cassia/policy/slot_table.h"
#include "cassia/routes/table.h"
#include "cassia/schema/messages.pb.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace cassia::gateway {

enum class item_wait;

/// Items that don't run as they, or a part of their prompts, are quarantined.
struct quarantine_wait {
    std::size_t items = 0;
    instant idle_since{}; ///< of the one that has been idle for longest
    std::string oldest;   ///< its id
};

struct item_runner_hooks {
    using lease_done = std::function<void(const std::vector<schema::leased_item>&)>;
    using report_done = std::function<void(bool durable)>;

    /// Requests leases of at most `limit` items of a batch route from a work group.
    std::function<void(const std::string& route, const group_id&, std::uint32_t limit, lease_done)>
        lease;
    /// Requests leases of items whose routes the gateway's table of routes lacks.
    std::function<void(const schema::unrouted_want&, const group_id&, lease_done)> lease_unrouted;
    /// Reports the ends and the progress of items to the keepers; `report_done` tells whether all
    /// of it was stored. If not, the runner reports it again.
    std::function<void(const schema::items_end&, report_done)> report;
};

class item_runner {
public:
    /// \param max_items no more leases are requested while this many items are held that may run.
    item_runner(net::raw_client& client, policy::slot_table& slots, crash_monitor& crashes,
                trial_exchange& trials, metrics& counts, header_names names,
                std::uint32_t max_items, item_runner_hooks hooks);
    ~item_runner();

    /// Without it items have no parts of prompts.
    void set_prompt_parts_reader(prompt_parts_reader reader) {
        read_prompt_parts_ = std::move(reader);
    }
    /// Without it only items that state their tokens themselves take memory.
    void set_request_tokens_reader(request_tokens_reader reader) {
        read_request_tokens_ = std::move(reader);
    }
    /// \param bytes that the texts of all items may take; 0: as many as they need.
    void set_memory_share(std::uint64_t bytes) { memory_share_ = bytes; }
    void set_routes(std::shared_ptr<const routes::table> table);
    /// \param groups that hold the jobs; one unless set.
    void set_work_groups(std::uint32_t groups) { leases_ = policy::lease_schedule(groups); }
    /// \param gateways of the fleet, which share the requests for items without a route.
    void set_fleet_size(std::size_t gateways) { fleet_size_ = gateways; }
    void tick(instant now, wall_time wall);
    /// Interrupts items at an endpoint, those started last first; they are resumed later.
    /// \returns how many.
    std::uint32_t yield(const endpoint_id& endpoint, std::uint32_t slots);
    void cancel_jobs(const std::set<job_id>& jobs);
    /// Drops items whose leases were lost.
    void drop_stale(const schema::stale_items& stale);
    /// Interrupts items that are quarantined by now; they wait.
    void stop_quarantined();
    /// Starts suspected items whose runs were granted.
    void start_granted();
    /// Returns all items to the keepers and requests no more leases.
    void shut_down();
    /// The items held, including those whose end is not yet durable.
    schema::held_items held() const;
    std::size_t size() const { return items_.size(); }
    /// Number of ends and saves of progress that the keepers have not yet stored.
    std::size_t unreported() const;
    std::size_t running() const;
    /// Items that wait at this gateway, by what is quarantined.
    std::map<fingerprint, quarantine_wait> quarantine_waits() const;

private:
    using item_key = std::pair<job_id, std::uint32_t>; ///< job and ordinal of the item
    struct held_item;
    /// What the route of an item is found by.
    struct route_key {
        std::string name;
        std::string host;
        std::string prefix;

        friend auto operator<=>(const route_key&, const route_key&) = default;
    };

    /// Whether it waits for what only items like it need: a run as a suspect, or a slot.
    static bool is_blocked(const held_item& item);
    bool is_window_full() const;
    void request_leases(instant now);
    void request_lease(const std::string& route, const group_id& group, std::uint32_t limit,
                       instant now);
    /// Items held that wait for a slot or their route.
    std::uint32_t count_startable() const;
    /// Removed routes leave items that no gateway asks for by the name of their route.
    void request_unrouted(instant now);
    /// Keeps an item without a route for a while, and then ends it.
    void hold_unrouted(const item_key& key, held_item& item, instant now);
    /// Starts them, or returns them during a shutdown.
    void add_leased(const std::vector<schema::leased_item>& items);
    void add(const schema::leased_item& leased);
    /// Returns all items to the keepers.
    void return_items();
    void start_ready_items(instant now);
    bool start(const item_key& key, held_item& item, instant now);
    const fingerprint& fingerprint_of(held_item& item) const;
    judged_cause judge(held_item& item) const;
    bool is_quarantined_itself(held_item& item) const;
    /// The quarantined part that the item waits for, if any.
    std::optional<fingerprint> quarantined_part(held_item& item) const;
    static policy::retry_history retry_of(const held_item& item);
    std::vector<fingerprint> parts_of(held_item& item) const;
    ended_run run_of(held_item& item) const;
    void record_complete_run(held_item& item) const;
    /// Where a suspect may run now, if anywhere.
    std::optional<policy::placement> find_trial_endpoint(held_item& item, instant now,
                                                         const software_version& version);
    void end_trial(held_item& item);
    /// Chooses the items that ask for a retry of a quarantined part.
    void choose_retries(instant now);
    bool is_run_granted(const held_item& item) const;
    /// Whether it waits for a quarantined part and doesn't ask for a retry.
    bool is_retry_deferred(const held_item& item) const;
    /// Whether its route has another service, at which no part of its prompt is quarantined.
    bool may_run_elsewhere(const held_item& item) const;
    /// Whether it runs beside other suspects.
    bool shares_endpoint(const held_item& item) const;
    /// Keeps the free slots of endpoints where suspects run from other requests, and ends trials
    /// that idle items have no use for any more.
    void check_trials();
    bool keeps_service(const held_item& item, const schema::route& route, instant now) const;
    /// Whether the endpoint may run the item and has sent nothing for some time.
    bool is_silent(const held_item& item) const;
    /// Items of the route that could start now but have no slot.
    std::uint32_t count_ready(const schema::route& route, instant now) const;
    /// Slots that batch may take, at all targets of the route.
    std::uint32_t batch_capacity(const schema::route& route, instant now) const;
    /// Items of a route that may wait here once the next lease is granted.
    std::uint32_t lease_window(std::uint32_t free_slots) const;
    void note_lease_time(milliseconds latest);
    /// From when on the interval between runs of a quarantined item counts.
    instant quarantined_since(held_item& item) const;
    /// Delays an item that is quarantined by itself. \returns whether it has to wait.
    bool waits_for_quarantine(held_item& item, instant now);
    std::optional<policy::placement> place(held_item& item, const schema::route& route,
                                           instant now);
    std::uint64_t tokens_of(const schema::item_body& item) const;
    /// Keeps an item that no endpoint of its route can hold from being sent, and ends it if it may
    /// be given up at any time. \returns whether it is such an item.
    bool hold_oversized(const item_key& key, held_item& item, const schema::route& route);
    /// Delays an item that waits for the memory that it reserved. \returns whether it does.
    bool waits_for_memory(held_item& item, instant now);
    /// Whether the item may go on behind its last event at some endpoint, however busy it is.
    bool may_go_on(const held_item& item, const schema::route& route) const;
    /// Delays an item whose version has no free slot. \returns false if it has waited for long.
    static bool waits_for_version(held_item& item, instant now);
    bool has_room_at_version(const held_item& item, instant now) const;
    /// Whether any target of the route has a free slot.
    bool has_room(const schema::route& route, instant now) const;
    /// Places an item at any version; its events so far are discarded if there is a free slot.
    std::optional<policy::placement> place_anew(held_item& item, const schema::route& route,
                                                instant now);
    void begin_anew(held_item& item, const std::string& cause);
    static void write_software(const held_item& item, schema::item_end& out);
    net::raw_request make_upstream_request(const held_item& item,
                                           const endpoint_id& endpoint) const;
    void on_head(const item_key& key, const net::raw_head& head);
    void on_body(const item_key& key, std::string_view bytes);
    void on_end(const item_key& key);
    void on_failure(const item_key& key, const net::raw_failure& failure);
    /// Appends the data of complete events to the item's text. \returns false if one is out of
    /// order.
    bool append_events(held_item& item, std::string_view bytes);
    /// Whether more was received of the item than it may return.
    static bool exceeds_limit(const held_item& item);
    /// Discards the events so far, also those that were saved.
    void discard_events(const item_key& key, held_item& item);
    /// Whether no further run of the item would help.
    bool is_overlong_everywhere(const held_item& item) const;
    /// Gives up a run whose response has no end. The item runs elsewhere, or fails.
    void on_overlong_response(const item_key& key, held_item& item);
    /// Delays an item until there is a slot at an endpoint that hasn't sent it too much.
    /// \returns false if there is no such endpoint.
    bool waits_for_other_endpoint(held_item& item, instant now);
    std::uint64_t held_text() const;
    /// Whether what is held leaves no room for more items.
    bool is_memory_short() const;
    /// Returns the running item that holds most, with its events, if all hold too much together.
    void release_memory();
    /// Gives up runs that take too long, or send no events.
    void check_run_limits(instant now);
    void stop(held_item& item);
    /// Stops an item and makes it ready to start again after a delay.
    void requeue(held_item& item, milliseconds delay, const std::string& cause);
    void finish(const item_key& key, schema::item_status status, bool failed_run,
                const std::string& cause);
    void check_inactivity(instant now);
    static void set_wait(held_item& item, item_wait wait);
    /// Logs items that have waited in one way for long, and counts all that wait.
    void report_waits(instant now);
    void log_wait(held_item& item, instant now) const;
    /// Logs the quarantined parts of prompts that items wait for, at intervals.
    void report_quarantine_waits(instant now);
    /// Logs why no leases are requested, if that lasts.
    void note_lease_pause(const std::string& cause, instant now);
    void save_progress(instant now);
    void send_reports();
    /// The batch route that the item's job was accepted by, under its present name; or null.
    const schema::route* find_route(const held_item& item) const;
    const schema::route* find_route(const std::string& name, const std::string& host,
                                    const std::string& prefix) const;

    net::raw_client& client_;
    policy::slot_table& slots_;
    crash_monitor& crashes_;
    trial_exchange& trials_;
    metrics& metrics_;
    header_names names_;
    std::uint32_t max_items_;
    std::uint64_t memory_share_ = 0;
    prompt_parts_reader read_prompt_parts_;
    request_tokens_reader read_request_tokens_;
    item_runner_hooks hooks_;
    std::shared_ptr<const routes::table> routes_;
    std::map<item_key, std::unique_ptr<held_item>> items_;
    schema::items_end unsent_ends_;    ///< ends and saves of progress
    schema::items_end ends_in_flight_; ///< sent, but not yet durable
    bool report_in_flight_ = false;
    policy::lease_schedule leases_{1};
    milliseconds lease_time_{0}; ///< that leases took of late
    std::string lease_pause_;    ///< why no leases are requested; empty while they are
    instant lease_pause_since_{};
    instant lease_pause_logged_at_{};
    instant next_quarantine_log_at_{};
    instant next_retry_choice_at_{};
    instant wait_lines_since_{};
    std::size_t wait_lines_left_ = 0; ///< that may be logged until the interval is over
    std::size_t fleet_size_ = 1;
    std::map<route_key, instant> routes_missing_since_;
    bool shutting_down_ = false;
    std::uint64_t start_count_ = 0; ///< items started so far
    std::mt19937_64 random_;
};

} // namespace cassia::gateway
