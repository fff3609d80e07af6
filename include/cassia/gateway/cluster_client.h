/// A gateway's communication with the keepers and with other gateways. The keepers send it the
/// routing table, the lists of endpoints and gateways and the jobs to cancel, and reply to its
/// requests. With other gateways it exchanges slot usage and quota messages.
#pragma once

#include "cassia/base/clock.h"
#include "cassia/base/ids.h"
#include "cassia/entry/keeper_client.h"
#include "cassia/gateway/quota_coordinator.h"
#include "cassia/gateway/usage_coordinator.h"
#include "cassia/gateway/version_evidence.h"
#include "cassia/membership/control_lists.h"
#include "cassia/membership/entry_roster.h"
#include "cassia/membership/followed_endpoints.h"
#include "cassia/membership/followed_keeper.h"
#include "cassia/membership/version_history.h"
#include "cassia/net/peer_hub.h"
#include "cassia/policy/slot_table.h"
#include "cassia/routes/table.h"
#include "cassia/schema/messages.pb.h"
#include "cassia/schema/settings.pb.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace cassia::net {
class task;
}

namespace cassia::gateway {

struct cluster_hooks {
    std::function<void(std::shared_ptr<const routes::table>)> on_routes;
    std::function<void(const std::vector<policy::slot_endpoint>&)> on_endpoints;
    /// The list of other live gateways has changed.
    std::function<void(const std::vector<policy::fleet_gateway>&)> on_gateways;
    /// Another gateway's news of requests that crash endpoints.
    std::function<void(const schema::poison_news&)> on_poison_news;
    /// Another gateway's news of which software began streams.
    std::function<void(const schema::stream_origin_news&)> on_stream_origins;
    /// The other gateways of this zone, and those of all zones.
    std::function<void(policy::peer_group own_zone, policy::peer_group all_zones)> on_peers;
    /// The slots in use by another gateway or by a whole zone.
    std::function<void(const entry_id&, policy::slot_usage_map)> on_usage;
    /// Slot time of teams at another gateway, or at all others.
    std::function<void(const entry_id&, policy::team_use_map)> on_team_use;
    /// Another gateway needs slots that batch items of this one hold.
    std::function<void(const endpoint_id&, std::uint32_t slots)> on_yield_request;
    /// Jobs whose items must stop.
    std::function<void(const std::set<job_id>&)> on_jobs_cancelled;
    /// Items whose leases this gateway has lost.
    std::function<void(const schema::stale_items&)> on_stale_items;
    /// The decision on a request that the owner of the team's quota was asked about.
    std::function<void(const policy::quota_decision&)> on_quota_decision;
    /// A control keeper's list of endpoints was read after a call of request_lists().
    std::function<void()> on_list_read;
};

class cluster_client {
public:
    cluster_client(net::task& owner, const schema::gateway_settings& settings, cluster_hooks hooks);
    ~cluster_client();

    /// Opens the socket and sends the first heartbeat. \returns an empty string or an error
    /// message.
    std::string open();
    /// Announces that this gateway is draining, so that keepers no longer list it as serving, and
    /// gives up its quotas and its role as a relay.
    void leave();
    /// Replaces the seeds after a change of settings.
    void set_seeds(const std::vector<std::string>& seeds);

    /// Sends a request to the leader of a group; see entry::keeper_client.
    void send_request(schema::keeper_request request, entry::request_options options,
                      entry::keeper_client::reply_callback done);
    /// Tells the group's leader, if it is known, which items are held. Sent once, without a reply.
    void send_held_items(schema::held_items held, group_id group);
    /// Sends the slots in use here, and the teams that use them, to other gateways when due.
    void share_usage(const policy::slot_usage_map& usage, const policy::team_use_map& teams) {
        usage_.share(usage, teams);
    }
    /// \param holder a gateway, or a zone by its key in the slot table.
    void request_yield(const entry_id& holder, const endpoint_id& endpoint, std::uint32_t slots) {
        usage_.request_yield(holder, endpoint, slots);
    }

    quota_coordinator& quota() { return quota_; }
    /// \returns false if the gateway's address is unknown.
    bool send_to_gateway(const entry_id& to, schema::envelope& envelope);

    /// Name under which this process holds leases; a different one after each start.
    const std::string& lease_holder() const { return lease_holder_; }
    const net::peer_hub& peers() const { return hub_; }
    /// Reads the lists of endpoints of all control keepers soon.
    void request_lists();
    /// The software version of all endpoints that the service had lately, as a majority of the
    /// control keepers knew them after `since`; see request_lists().
    version_evidence only_version(const service_id& service, instant since) const;
    bool heard_control_keepers() const { return last_control_beacon_at_ != instant(); }
    bool knows_work_keepers() const { return !work_keepers_.empty(); }

private:
    struct keeper_state {
        std::uint64_t clock_us = 0; ///< of its last beacon
        std::uint64_t keepers_digest = 0;
        std::vector<schema::keeper_hello> keepers; ///< as last listed by it
        instant last_beacon_at{};
    };

    /// Keepers that get a heartbeat. The followed keeper is the one of the control group from which
    /// this gateway copies the list of gateways; see membership::followed_keeper.
    enum class heartbeat_scope { followed_keeper, control_keepers, work_keepers, all_keepers };
    /// The control keepers that get a heartbeat of this scope.
    std::set<peer_address> control_recipients(const peer_address& followed, heartbeat_scope scope,
                                              instant now) const;
    /// Whether heartbeats ask all control keepers for their lists of endpoints.
    bool reads_lists(instant now) const;
    void read_lists(const schema::keeper_beacon& beacon, instant now);
    bool is_starting(instant now) const;
    std::vector<peer_address> ranked_seeds() const;
    /// Asks one more seed for as long as there is no routing table.
    void ask_next_seed();
    peer_address choose_followed(instant now);
    void send_heartbeat(heartbeat_scope scope);
    net::peer_watch watch_for(const peer_address& keeper, const peer_address& followed) const;
    void on_message(const schema::envelope& message);
    void on_beacon(const schema::keeper_beacon& beacon);
    void update_gateways(const schema::keeper_beacon& beacon);
    void on_control_beacon(const schema::keeper_beacon& beacon, instant now);
    void update_keepers(const schema::keeper_beacon& beacon, instant now);
    /// \returns whether any was removed.
    bool remove_silent(std::map<peer_address, instant>& keepers, instant now);
    void publish_endpoints(instant now);
    void check_control_contact(instant now);
    void tick();

    net::task& owner_;
    schema::gateway_settings settings_;
    cluster_hooks hooks_;
    instant started_at_ = monotonic_now();
    std::uint64_t incarnation_;
    std::string lease_holder_;
    net::peer_hub hub_;
    entry::keeper_client keeper_client_;
    std::set<peer_address> seeds_;
    std::size_t asked_seeds_ = 0;
    std::map<peer_address, instant> control_keepers_; ///< when each was last heard or listed
    std::map<peer_address, instant> work_keepers_;    ///< when each was last listed
    std::map<peer_address, keeper_state> keepers_;
    std::map<group_id, peer_address> leaders_;
    membership::followed_keeper followed_;
    membership::roster_copy roster_;
    membership::followed_endpoints endpoints_;
    membership::version_history versions_;
    membership::control_lists lists_;
    instant lists_requested_at_{}; ///< when control keepers were last asked for their lists
    bool list_request_scheduled_ = false;
    std::set<peer_address> read_keepers_; ///< have been sent `follows` for their lists alone
    std::vector<policy::slot_endpoint> published_endpoints_; ///< as last passed to on_endpoints
    std::uint64_t published_changes_ = 0; ///< endpoints_.changes() at the last check
    instant endpoints_checked_at_{};
    instant versions_observed_at_{};
    std::shared_ptr<const routes::table> routes_;
    instant last_control_beacon_at_{};
    bool control_lost_ = false;
    bool leaving_ = false;
    usage_coordinator usage_;
    quota_coordinator quota_;
    std::uint32_t heartbeat_rounds_ = 0;
};

} // namespace cassia::gateway
