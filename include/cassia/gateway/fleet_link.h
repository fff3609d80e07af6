/// A gateway's conversation with keepers and with other gateways: what is in force, who is there,
/// and who has how much under way.
#pragma once

#include "cassia/base/clock.h"
#include "cassia/base/ids.h"
#include "cassia/entry/keeper_client.h"
#include "cassia/gateway/quota_link.h"
#include "cassia/gateway/usage_link.h"
#include "cassia/membership/directory.h"
#include "cassia/membership/entry_roster.h"
#include "cassia/membership/followed_keeper.h"
#include "cassia/net/peer_hub.h"
#include "cassia/policy/slot_table.h"
#include "cassia/routes/table.h"
#include "cassia/schema/messages.pb.h"
#include "cassia/schema/settings.pb.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace cassia::net {
class task;
}

namespace cassia::gateway {

struct fleet_hooks {
    std::function<void(std::shared_ptr<const routes::table>)> on_routes;
    std::function<void(const std::vector<policy::slot_endpoint>&)> on_endpoints;
    std::function<void(const entry_id&, policy::use_map)> on_uses;
    /// Another gateway needs slots that batch items of this one hold.
    std::function<void(const endpoint_id&, std::uint32_t slots)> on_yield;
    /// Jobs whose items must stop.
    std::function<void(const std::set<job_id>&)> on_cancelled;
    /// Items that are leased to this gateway no more.
    std::function<void(const schema::stale_items&)> on_stale;
    /// A decision on a request whose team's quota was asked for.
    std::function<void(const policy::quota_decision&)> on_quota;
};

class fleet_link {
public:
    fleet_link(net::task& owner, const schema::gateway_settings& settings, fleet_hooks hooks);
    ~fleet_link();

    /// Opens the socket and begins to talk. \returns an empty string or what went wrong.
    std::string open();
    /// From now on the keepers list this gateway no more.
    void leave();
    /// Other seeds, where settings changed.
    void set_seeds(const std::vector<std::string>& seeds);

    /// Asks the leader of a group; see entry::keeper_client.
    void ask(schema::keeper_request request, entry::request_options options,
             entry::keeper_client::reply_callback done);
    /// Tells a keeper that leads the group, once, without an answer.
    void tell_held(schema::held_items held, group_id group);
    /// Tells other gateways what this one has under way, as far as that is due.
    void share_uses(const policy::use_map& uses) { usage_.share(uses); }
    /// \param holder as the slot table names it.
    void ask_to_yield(const entry_id& holder, const endpoint_id& endpoint, std::uint32_t slots) {
        usage_.ask_to_yield(holder, endpoint, slots);
    }

    quota_link& quota() { return quota_; }

    /// Name under which this process holds leases; new at each start.
    const std::string& holder() const { return holder_; }
    const net::peer_hub& peers() const { return hub_; }
    bool heard_keepers() const { return last_news_ != instant(); }
    bool knows_work_keepers() const { return !work_keepers_.empty(); }

private:
    struct keeper_state {
        std::uint64_t directory_epoch = 0;
        std::uint64_t directory_revision = 0;
        std::uint64_t clock_us = 0; ///< of its last beacon
        std::uint64_t keepers_digest = 0;
        std::vector<schema::keeper_hello> keepers; ///< those that it named last
        instant heard{};
    };

    enum class audience { followed_keeper, work_keepers, all_keepers };
    void say_hello(audience to);
    net::peer_watch watch_of(const peer_address& keeper, const peer_address& followed) const;
    bool send_to_gateway(const entry_id& to, schema::envelope& envelope);
    void on_message(const schema::envelope& message);
    void on_beacon(const schema::keeper_beacon& beacon);
    void learn_entries(const schema::keeper_beacon& beacon);
    void learn_control(const schema::keeper_beacon& beacon, instant now);
    void learn_keepers(const schema::keeper_beacon& beacon, instant now);
    bool forget_silent(std::map<peer_address, instant>& keepers, instant now);
    void learn_endpoints(const schema::keeper_beacon& beacon, instant now);
    void publish_endpoints(instant now);
    void watch_control(instant now);
    void tick();

    net::task& owner_;
    schema::gateway_settings settings_;
    fleet_hooks hooks_;
    std::uint64_t incarnation_;
    std::string holder_;
    net::peer_hub hub_;
    entry::keeper_client keeper_client_;
    std::set<peer_address> seeds_;
    std::map<peer_address, instant> control_keepers_; ///< when last heard of
    std::map<peer_address, instant> work_keepers_;
    std::map<peer_address, keeper_state> keepers_;
    std::map<group_id, peer_address> leaders_;
    membership::followed_keeper followed_;
    membership::roster_copy roster_;
    membership::directory directory_;
    std::vector<policy::slot_endpoint> published_; ///< endpoints as last handed over
    std::uint64_t published_changes_ = 0;          ///< of the directory at that time
    instant published_at_{};
    std::shared_ptr<const routes::table> routes_;
    instant last_news_{};
    bool control_lost_ = false;
    bool leaving_ = false;
    usage_link usage_;
    quota_link quota_;
    std::uint32_t heartbeats_ = 0;
};

} // namespace cassia::gateway
