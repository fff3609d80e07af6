/// The task that exchanges messages with keepers and other entries and maintains this entry's
/// knowledge of the cluster.
#pragma once

#include "cassia/base/metrics.h"
#include "cassia/entry/fleet_view.h"
#include "cassia/entry/keeper_client.h"
#include "cassia/membership/beacon_freshness.h"
#include "cassia/membership/endpoint_directory.h"
#include "cassia/membership/entry_list.h"
#include "cassia/membership/message_age.h"
#include "cassia/net/peer_hub.h"
#include "cassia/net/task.h"
#include "cassia/policy/strikes.h"
#include "cassia/schema/settings.pb.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace cassia::entry {

/// The number of requests that a task has running at one endpoint.
struct endpoint_use {
    endpoint_id endpoint;
    std::uint32_t online = 0;
    std::uint32_t batch = 0;
    std::uint32_t suspects = 0;
};

struct control_task_hooks {
    /// All hooks run on the control task.
    std::function<void(cluster_view_ptr)> on_view_changed;
    std::function<void(const endpoint_id&, std::uint32_t slots)> on_yield;
    std::function<void(const std::vector<job_id>&)> on_jobs_cancelled;
};

/// An entry is considered unresponsive after this long without a message.
inline constexpr milliseconds peer_timeout(3000);

class control_task {
public:
    control_task(const schema::entry_settings& settings, control_task_hooks hooks);
    ~control_task();

    /// Opens the socket. \returns an empty string or an error message.
    std::string open();
    void start();
    void stop();

    // The following functions may be called from any task.

    /// Sends a request to the keepers. `on_reply` runs on `reply_task`.
    void send_request(schema::keeper_request request, request_options options,
                      net::task& reply_task, keeper_client::reply_callback on_reply);
    void record_announcement(schema::endpoint_record record);
    void report_online(std::vector<endpoint_use> uses, std::map<team_id, double> rates);
    void report_batch(std::vector<endpoint_use> uses);
    void add_strike(const policy::strike& strike);
    /// Asks the owner of an endpoint to free this many slots by stopping batch items.
    void request_yield(const endpoint_id& endpoint, std::uint32_t slots);
    /// Removes this entry from the list of entries immediately.
    void set_draining();
    /// Passes this task's part of the state dump, as JSON, to `on_dump` on `reply_task`.
    void dump(net::task& reply_task, std::function<void(std::string)> on_dump);

    /// This process's name and incarnation, which identify it as the holder of leases.
    const std::string& holder() const { return holder_; }

private:
    void on_message(schema::envelope& message);
    void on_beacon(const schema::keeper_beacon& beacon);
    void on_gossip(const schema::gossip& gossip);
    void on_yield(const schema::yield_request& yield);
    void apply_config(const schema::change_record& config);
    schema::entry_hello make_heartbeat() const;
    void send_heartbeats();
    void send_gossip();
    /// Writes when the receiver sent its latest gossip, so that it can judge the age of this one.
    void write_echo(const entry_id& receiver, instant now, schema::gossip& gossip) const;
    void publish_view();
    std::vector<policy::endpoint_info> endpoint_info(instant now) const;
    void tick();
    std::string dump_json() const;

    schema::entry_settings settings_;
    control_task_hooks hooks_;
    std::uint64_t incarnation_;
    std::string holder_;
    net::task task_;
    std::unique_ptr<net::peer_hub> hub_;
    keeper_client keepers_;
    membership::endpoint_directory directory_;
    membership::entry_list entries_;
    membership::beacon_freshness freshness_;
    policy::strike_list strikes_;
    schema::change_record config_;
    std::shared_ptr<const settings::catalog> catalog_;
    std::map<group_id, instant> leader_last_heard_;
    std::map<group_id, std::uint64_t> leader_clocks_;

    std::vector<endpoint_use> online_uses_;
    std::vector<endpoint_use> batch_uses_;
    std::map<team_id, double> rates_;
    struct peer_entry {
        schema::gossip last_gossip;
        instant received_at{}; ///< of `last_gossip`
        instant last_heard{};  ///< the earliest time at which it may have been sent
    };
    std::map<entry_id, peer_entry> peers_;
    std::uint64_t gossip_sequence_ = 0;
    bool draining_ = false;
};

} // namespace cassia::entry
