/// The entry's conversations with keepers and other entries, and what it knows of the fleet.
#pragma once

#include "cassia/base/metrics.h"
#include "cassia/entry/fleet_view.h"
#include "cassia/entry/keeper_client.h"
#include "cassia/membership/directory.h"
#include "cassia/membership/entry_list.h"
#include "cassia/membership/freshness.h"
#include "cassia/net/peer_hub.h"
#include "cassia/net/task.h"
#include "cassia/policy/strikes.h"
#include "cassia/schema/settings.pb.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace cassia::entry {

/// What another task has under way at one endpoint.
struct endpoint_use {
    endpoint_id endpoint;
    std::uint32_t online = 0;
    std::uint32_t batch = 0;
    std::uint32_t suspects = 0;
};

struct control_hooks {
    /// All of them run on the control task.
    std::function<void(view_pointer)> on_view;
    std::function<void(const endpoint_id&, std::uint32_t slots)> on_yield;
    std::function<void(const std::vector<job_id>&)> on_cancelled;
};

/// An entry that has said nothing for this long is taken for gone.
inline constexpr milliseconds others_silent_after(3000);

class control_task {
public:
    control_task(const schema::entry_settings& settings, control_hooks hooks);
    ~control_task();

    /// Opens the socket. \returns an empty string or what went wrong.
    std::string open();
    void start();
    void stop();

    // These may be called from any task.

    /// `done` runs on `home`.
    void send_request(schema::keeper_request request, request_options options, net::task& home,
                      keeper_client::reply_callback done);
    void announced(schema::endpoint_record record);
    void report_online(std::vector<endpoint_use> uses, std::map<team_id, double> rates);
    void report_batch(std::vector<endpoint_use> uses);
    void add_strike(const policy::strike& one);
    /// Asks the steward of an endpoint to free slots that its batch items hold.
    void request_yield(const endpoint_id& endpoint, std::uint32_t slots);
    /// Leaves the list of entries at once.
    void set_draining();
    /// Hands the task's part of the state dump, as JSON, to `done` on `home`.
    void dump(net::task& home, std::function<void(std::string)> done);

    /// This process's name and incarnation, as leases name their holder.
    const std::string& holder() const { return holder_; }

private:
    void on_message(schema::envelope& message);
    void on_beacon(const schema::keeper_beacon& beacon);
    void on_gossip(const schema::gossip& rumor);
    void on_yield(const schema::yield_request& yield);
    void take_config(const schema::change_record& config);
    schema::entry_hello make_hello() const;
    void send_hellos();
    void send_gossip();
    void publish_view();
    std::vector<policy::endpoint_facts> endpoint_facts(instant now) const;
    void tick();
    std::string dump_text() const;

    schema::entry_settings settings_;
    control_hooks hooks_;
    std::uint64_t incarnation_;
    std::string holder_;
    net::task task_;
    std::unique_ptr<net::peer_hub> hub_;
    keeper_client keepers_;
    membership::directory directory_;
    membership::entry_list entries_;
    membership::freshness freshness_;
    policy::strike_list strikes_;
    schema::change_record config_;
    std::shared_ptr<const settings::catalog> catalog_;
    std::map<group_id, instant> leader_contacts_;
    std::map<group_id, std::uint64_t> keeper_clocks_;

    std::vector<endpoint_use> online_uses_;
    std::vector<endpoint_use> batch_uses_;
    std::map<team_id, double> rates_;
    struct other_entry {
        schema::gossip rumor;
        instant heard{};
    };
    std::map<entry_id, other_entry> others_;
    std::uint64_t gossip_sequence_ = 0;
    bool draining_ = false;
};

} // namespace cassia::entry
