/// A keeper: its replicas of the Raft groups, and the messages that it exchanges with other keepers
/// and with gateways.
///
/// Gateways are the processes that accept callers' requests; the message schema calls them entries.
#pragma once

#include "cassia/base/metrics.h"
#include "cassia/keeper/disk_writer.h"
#include "cassia/keeper/endpoint_list_delivery.h"
#include "cassia/keeper/group_change_logger.h"
#include "cassia/keeper/group_replica.h"
#include "cassia/keeper/heartbeat_queue.h"
#include "cassia/keeper/membership_planner.h"
#include "cassia/keeper/route_table_delivery.h"
#include "cassia/keeper/store.h"
#include "cassia/keeper/work_leader.h"
#include "cassia/membership/endpoint_directory.h"
#include "cassia/membership/entry_roster.h"
#include "cassia/membership/version_spread.h"
#include "cassia/net/http_server.h"
#include "cassia/net/peer_hub.h"
#include "cassia/net/task.h"
#include "cassia/schema/messages.pb.h"
#include "cassia/schema/settings.pb.h"
#include "cassia/state/control_state.h"
#include "cassia/state/work_state.h"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace cassia::keeper {

class service {
public:
    explicit service(schema::keeper_settings settings);
    ~service();

    /// Opens disk and sockets. \returns an error message, empty on success.
    std::string open();
    /// Serves until told to stop. \returns the exit code.
    int run();

    // For an API server that runs on this keeper's task (service_api.cpp).

    /// Result of a request that only the control group's leader can serve.
    enum class control_outcome {
        done,
        not_leader, ///< another keeper leads; its address is returned
        unknown,    ///< no leader is known, or whether the request was applied is unknown
    };
    struct control_response {
        control_outcome outcome = control_outcome::unknown;
        std::string leader_ip; ///< with `not_leader`
        schema::route_table routes;
    };
    using control_callback = std::function<void(const control_response&)>;

    /// Puts a validated route table in force; done once it is committed and applied.
    void put_routes(const schema::route_table& table, const control_callback& done);
    /// Passes the route table in force to `done`, by a linearizable read.
    void read_routes(const control_callback& done);
    /// Records an endpoint's announcement and calls `done(true)`: at once unless the
    /// endpoint is leaving or gone, because a live endpoint repeats its announcement; otherwise
    /// once a majority of the control group has the record, so that losing this keeper can't lose
    /// it. Calls `done(false)` if that takes too long.
    void announce_endpoint(const schema::endpoint_record& record, std::function<void(bool)> done);
    /// Records that an endpoint is gone. \param incarnation 0: the latest known one.
    void remove_endpoint(const endpoint_id& endpoint, std::uint64_t incarnation,
                         std::function<void(bool)> done);
    enum class retire_outcome { done, not_found, too_few_keepers, not_leader, unknown };
    struct retire_response {
        retire_outcome outcome = retire_outcome::unknown;
        std::string leader_ip; ///< with `not_leader`
    };
    /// Starts to remove a keeper from all work groups, so that its VM can be taken away.
    void retire_keeper(const std::string& name,
                       const std::function<void(const retire_response&)>& done);
    /// Whether a retiring keeper is no longer a member of any work group; nothing if, as far as
    /// this keeper knows, it isn't retiring.
    std::optional<bool> is_keeper_retired(const std::string& name) const;
    /// Gateways that are alive and take new connections.
    /// Pointers are valid until the next event of this keeper.
    std::vector<const schema::entry_hello*> serving_gateways() const;
    /// Applies the settings that may change at run time: the seeds.
    void apply_settings(const schema::keeper_settings& changed);
    net::task& owner() { return task_; }

private:
    /// Time without a heartbeat after which a peer is presumed dead: ten intervals of a keeper's
    /// heartbeat, twelve of a gateway's.
    static constexpr milliseconds keeper_timeout{3000};
    static constexpr milliseconds gateway_timeout{3000};

    struct work_group {
        state::work_state state;
        std::unique_ptr<work_leader> leader;
    };
    struct known_gateway {
        schema::entry_hello heartbeat;   ///< the latest; `draining` also from other keepers
        instant last_seen{};             ///< by any keeper
        instant heartbeat_received_at{}; ///< by this keeper
        route_table_delivery route_table;
        endpoint_list_delivery endpoint_list;
        bool serving = false; ///< whether callers are directed to it, as last logged
    };
    struct known_keeper {
        schema::keeper_hello heartbeat;
        instant last_seen{};
        endpoint_list_delivery endpoint_list;
    };
    /// An announcement that is acknowledged once a majority of the control group has it.
    struct pending_announcement {
        std::uint64_t revision = 0; ///< of the directory that includes it
        instant deadline{};
        std::function<void(bool)> done;
    };

    // Set-up, Raft groups and log (service.cpp).
    void make_groups();
    std::unique_ptr<group_replica> make_replica(group_id group, state_machine machine);
    state_machine make_control_state_machine();
    state_machine make_work_state_machine(work_group& group, group_id id);
    /// Runs process_groups() after the messages that are already queued for this task.
    void schedule_processing();
    void process_groups();
    void flush_log();
    peer_address address_of(const schema::raft_message& message) const;
    void send_raft(std::vector<schema::raft_message> messages);
    void tick();
    void try_bootstrap();
    void write_initial_snapshots();
    void on_disk_failure(const storage::error& error);
    void shut_down();
    void remove_old_segments();

    // Requests and messages (service_requests.cpp, service_gateways.cpp).
    void on_message(schema::envelope& message);
    void on_request(const schema::keeper_request& request, const std::string& reply_to);
    void serve_request(const schema::keeper_request& request, const std::string& reply_to,
                       const group_replica::reply_callback& reply);
    void serve_work(const schema::keeper_request& request,
                    const group_replica::reply_callback& reply);
    void reconcile_held_items(const schema::held_items& held, group_id group,
                              const std::string& reply_to);
    /// Replies with the recorded configuration changes; only the latest with its documents.
    void serve_history(const schema::keeper_request& request,
                       const group_replica::reply_callback& reply);
    /// Proposes the claim of an idempotency key. If the key's request has already completed, its
    /// stored response is added to the reply.
    void propose_claim(const schema::work_command& command, group_id group,
                       const group_replica::reply_callback& reply);
    std::string leader_node(const group_replica& replica) const;
    void queue_heartbeat(const schema::entry_hello& heartbeat);
    void on_unfollowed(const std::string& name);
    void respond_to_queued_heartbeats();
    void on_gateway_heartbeat(const schema::entry_hello& heartbeat);
    void forget_old_gateways(instant now);
    /// Sends a gateway what it lacks: in response to its heartbeat, or to push a change.
    void send_beacon(known_gateway& gateway);
    void send_confirmed_beacon(const std::string& name, instant now);
    /// Writes whether this keeper leads or hears the leader of the control group, and the
    /// configuration, routes, endpoints and keepers that the gateway lacks.
    void write_control_state(const known_gateway& gateway, schema::keeper_beacon& beacon);
    void update_gateway_routes();
    void write_gateways(const known_gateway& gateway, schema::keeper_beacon& beacon) const;
    void write_keepers(const known_gateway& gateway, schema::keeper_beacon& beacon) const;
    /// Writes what a gateway that follows this keeper lacks of the list of endpoints, which
    /// includes this keeper's judgement of which are alive.
    void write_endpoints(known_gateway& gateway, schema::keeper_beacon& beacon, instant now) const;
    /// Writes what another keeper lacks of the endpoints, and which were heard again without a
    /// change: each keeper judges by itself which are alive.
    void write_endpoints(known_keeper& keeper, schema::keeper_news& news) const;
    template <class Receiver>
    std::uint64_t acknowledged_revision(const Receiver& receiver) const {
        return receiver.directory_epoch() == directory_epoch_ ? receiver.directory_revision() : 0;
    }
    /// Refreshes, at most once per `list_refresh_interval`, what would otherwise be computed for
    /// each heartbeat: the list of live gateways, and the digest of the list of keepers.
    void refresh_lists(instant now);
    void on_keeper_heartbeat(const schema::keeper_hello& heartbeat);
    void send_keeper_heartbeat(const peer_address& to);
    void send_keeper_heartbeats();
    /// Reports what was received, without asking for news.
    void acknowledge_news(const peer_address& to);
    void merge_endpoints(const schema::keeper_news& news, instant now);
    void on_config_applied();
    void schedule_beacon_push();
    void push_beacons();
    bool holds_items(const schema::entry_hello& heartbeat) const;
    /// Tells the other control keepers which of the gateways that follow this one are alive.
    void write_sightings(schema::keeper_news& news) const;
    void merge_sightings(const schema::keeper_news& news, instant now);

    // State dump and metrics (service_http.cpp).
    std::string open_http();
    std::string metrics_text();
    std::string dump() const;

    // Discovery of other keepers by seeds, and the news that keepers send each other
    // (service_discovery.cpp).
    bool hosts_control() const { return settings_.groups() != "work"; }
    bool hosts_work() const { return settings_.groups() != "control"; }
    bool uses_seeds() const { return settings_.cluster().seed_size() > 0; }
    std::size_t group_size() const { return 2 * std::size_t{settings_.tolerated_losses()} + 1; }
    std::vector<peer_address> heartbeat_targets() const;
    /// Whether the work groups exist, and this keeper holds the state of none of them.
    bool is_standby() const;
    void record_keeper(const schema::keeper_hello& heartbeat, instant seen);
    /// Records a keeper of which another one reports.
    void record_forwarded_keeper(schema::keeper_hello heartbeat, instant seen);
    /// Sends a keeper what this one knows of other keepers, work groups, endpoints and gateways.
    void send_news(const peer_address& to, known_keeper& keeper);
    void on_news(const schema::keeper_news& news);
    void push_news();
    /// Proposes the initial members of the work groups to the control group, if not decided yet.
    void propose_work_group_members();
    void bootstrap_work_groups(const schema::group_members& proto);
    const known_keeper* find_work_keeper(const std::string& name) const;
    struct retiring_keepers {
        std::set<disk_id> disks;     ///< also of keepers that have been removed
        std::set<std::string> nodes; ///< whatever their disks are
    };
    retiring_keepers find_retiring() const;
    /// Whether a work group may go on with this keeper.
    bool may_stay(const known_keeper& keeper, const retiring_keepers& retiring, instant now) const;
    /// Ends the retirements of keepers that have been removed.
    void end_retirements();
    void on_retirements(const schema::keeper_news& news);
    bool is_serving(const known_gateway& gateway, instant now) const;
    void log_serving_changes();
    void respond_to_pending_announcements();
    /// \param from the other keeper that reported the endpoint; empty if it announced itself here.
    void note_version(const schema::endpoint_record& record, const std::string& from);
    void confirm_versions();
    void restore_endpoints();
    void save_endpoints();
    schema::keeper_hello own_heartbeat(const peer_address& to) const;
    /// Disks of the members of the work groups.
    std::set<std::uint64_t> work_group_disks(instant now) const;
    /// Whether a keeper is a member of no group and stands by to replace a member.
    /// \param members disks of the members of the work groups.
    static bool is_standby_keeper(const schema::keeper_hello& heartbeat,
                                  const std::set<std::uint64_t>& members);
    /// Digest of the list of keepers that gateways are sent.
    std::uint64_t compute_keepers_digest() const;

    schema::keeper_settings settings_;
    net::task task_;
    store store_;
    recovered_store recovered_;
    metrics metrics_;
    std::unique_ptr<disk_writer> log_writer_;
    std::unique_ptr<disk_writer> snapshot_writer_;
    std::unique_ptr<net::peer_hub> hub_;
    std::unique_ptr<net::http_server> http_;
    membership_planner planner_; ///< of the control group, and without seeds of all groups
    membership_planner work_planner_{std::vector<std::string>()}; ///< with seeds, of work groups
    std::string node_; ///< name of this keeper among the members of groups

    state::control_state control_state_;
    std::unique_ptr<schema::route_table> gateway_routes_; ///< as sent to gateways
    std::map<group_id, work_group> work_groups_;
    std::map<group_id, std::unique_ptr<group_replica>> replicas_;
    std::map<group_id, group_change_logger> change_loggers_;
    pending_sync pending_sync_;
    std::size_t syncs_in_flight_ = 0;
    bool processing_scheduled_ = false;
    std::map<std::string, known_gateway> gateways_;
    std::map<std::string, known_keeper> keepers_; ///< by node
    membership::endpoint_directory directory_;
    membership::version_spread versions_;
    const std::uint64_t directory_epoch_;
    membership::entry_roster roster_;
    std::map<std::string, std::pair<std::uint64_t, std::uint64_t>>
        received_revisions_; ///< epoch and revision of each keeper's directory, by its address
    std::vector<pending_announcement> pending_announcements_;
    instant enough_candidates_since_{};   ///< to bootstrap the work groups; instant() while too few
    std::uint64_t known_retirements_ = 0; ///< changes of the latest list received
    const instant started_at_ = monotonic_now();
    std::uint64_t saved_changes_ = 0; ///< directory_.changes() at the last save or restore
    bool saving_endpoints_ = false;
    std::uint64_t beacon_counter_ = 0; ///< counts up while this keeper leads the control group
    std::uint64_t keepers_digest_ = 0;
    instant lists_refreshed_at_{};
    bool lacks_announcements_ = false;       ///< some announcement is overdue
    consensus::member_list initial_members_; ///< of the groups that this keeper helps to bootstrap
    heartbeat_queue heartbeat_queue_;
    bool heartbeats_scheduled_ = false;
    bool beacon_push_scheduled_ = false;
    instant last_push_{};                   ///< of beacons, because of a change
    microseconds min_push_interval_{0};     ///< from the last push to the next
    bool work_groups_bootstrapped_ = false; ///< as the control group reports
    std::uint32_t heartbeat_rounds_ = 0;    ///< while this keeper is a standby
    bool stopping_ = false;
    int exit_code_ = 0;
};

} // namespace cassia::keeper
