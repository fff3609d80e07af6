/// Runs batch items on the endpoints that this entry is the steward of, in the slots that online
/// calls leave. A task of its own, with its own connections: nothing online waits behind it.
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

/// Run on the batch task.
struct batch_hooks {
    /// What runs where now.
    std::function<void(std::vector<endpoint_use>)> on_uses;
    /// Something worth explaining later.
    std::function<void(decision)> on_decision;
};

class batch_task {
public:
    batch_task(const schema::entry_settings& settings, control_task& control, batch_hooks hooks);
    ~batch_task();

    void start();
    void stop();

    // These may be called from any task.
    void set_view(fleet_view_ptr view);
    void set_offers(batch_offers offers);
    /// Online calls want slots of an endpoint: batch items there stop at once.
    void yield(const endpoint_id& endpoint, std::uint32_t slots);
    void cancel_jobs(const std::vector<job_id>& jobs);
    /// Takes no further items and gives back those it holds.
    void drain();
    void dump(net::task& home, std::function<void(std::string)> done);

private:
    using item_id = std::pair<job_id, std::uint32_t>;
    struct item {
        schema::leased_item lease;
        service_id service;
        cassia::fingerprint print;
        bool engine = true;
        std::vector<std::string> tokens; ///< kept over a yield, so that the stream can go on
        int runs = 0;
        instant ready_since{}; ///< when it began to wait for a slot here
        std::set<endpoint_id> failed_at;

        // The run under way.
        bool running = false;
        bool suspect = false;
        endpoint_id endpoint;
        call_id upstream;
        net::http_head head;
        std::string answer;
        event_splitter events;
        bool done_seen = false;
        bool has_output = false; ///< a token came in this run
        std::string request_id;
    };
    struct seat {
        batch_offer offer;
        std::vector<item_id> running; ///< newest last
        instant paused_until{};
        std::uint32_t failures = 0; ///< in a row, each behind the pause for the one before
    };

    // Leases and ends (batch_leases.cpp).
    void request_leases();
    static void pause_seat(seat& at);
    std::map<service_id, std::uint32_t> wanted_items() const;
    void on_leased(const schema::keeper_reply& reply, instant asked_at);
    void tell_held();
    void end_item(const item_id& id, schema::item_end end);
    void give_back(const item_id& id);
    void give_back_stranded();
    void make_ready(const item_id& id, bool first);
    void flush_ends();

    // Running items (batch_items.cpp).
    void place_items();
    bool may_start(const item& one, instant now) const;
    void start_item(const item_id& id, const policy::endpoint_facts& facts);
    std::string upstream_body(const item& one) const;
    void shrink(seat& at, std::uint32_t to, const char* reason);
    void stop_run(item& one);
    void on_piece(const item_id& id, std::string_view piece);
    void on_end(const item_id& id);
    void on_failure(const item_id& id, const net::http_failure& failed);
    void decide_after_failure(const item_id& id, const net::http_failure& failed, bool died);
    void blame_death(const endpoint_id& endpoint);
    void complete(const item_id& id);
    std::string assembled_body(const item& one) const;
    void report_uses();
    void explain(decision_kind kind, const std::string& subject, const std::string& object,
                 const std::string& reason);
    void tick();

    schema::entry_settings settings_;
    control_task& control_;
    batch_hooks hooks_;
    net::task task_;
    net::http_client client_;
    metrics metrics_;
    crash_tracker crash_tracker_;
    fleet_view_ptr view_;
    std::map<endpoint_id, seat> seats_;
    std::map<item_id, item> items_;
    std::map<service_id, std::deque<item_id>> ready_;
    std::map<group_id, std::vector<std::pair<item_id, schema::item_end>>> ends_;
    std::map<group_id, bool> flushing_;
    std::set<group_id> leasing_;
    std::uint32_t next_group_ = 0;
    instant next_lease_at_{};
    bool draining_ = false;
    bool uses_changed_ = false;
};

} // namespace cassia::entry
