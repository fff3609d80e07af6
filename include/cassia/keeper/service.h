/// A keeper: the groups it hosts, and its conversations with other keepers and with entries.
#pragma once

#include "cassia/base/metrics.h"
#include "cassia/keeper/disk_writer.h"
#include "cassia/keeper/founding.h"
#include "cassia/keeper/group_host.h"
#include "cassia/keeper/group_watch.h"
#include "cassia/keeper/heartbeat_queue.h"
#include "cassia/keeper/store.h"
#include "cassia/keeper/table_delivery.h"
#include "cassia/keeper/work_leader.h"
#include "cassia/membership/endpoint_directory.h"
#include "cassia/membership/entry_roster.h"
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

    /// Opens disk and sockets. \returns an empty string or what went wrong.
    std::string open();
    /// Serves until told to stop. \returns the exit code.
    int run();

    // For an interface that runs on this keeper's task (service_api.cpp).

    /// What became of a request that only the control group's leader can serve.
    enum class control_outcome {
        done,
        elsewhere, ///< another keeper leads; its address is handed over
        unknown,   ///< no leader known, or the outcome can't be told
    };
    struct control_answer {
        control_outcome outcome = control_outcome::unknown;
        std::string leader_ip; ///< with `elsewhere`
        schema::route_table routes;
    };
    using control_done = std::function<void(const control_answer&)>;

    /// Puts a checked table in force; done once it is durable on a majority.
    void put_routes(const schema::route_table& table, const control_done& done);
    /// The table that is in force now, or not done.
    void read_routes(const control_done& done);
    /// Takes an endpoint's word. `done(true)` once it can't be lost with this keeper: at once for
    /// a sign of life, and for the end of its service once another keeper has it too.
    void announce(const schema::endpoint_record& record, std::function<void(bool)> done);
    /// An endpoint says that it ends. \param incarnation 0: the one that is known.
    void end_endpoint(const endpoint_id& endpoint, std::uint64_t incarnation,
                      std::function<void(bool)> done);
    enum class retire_outcome { done, missing, too_few, elsewhere, unknown };
    struct retire_answer {
        retire_outcome outcome = retire_outcome::unknown;
        std::string leader_ip; ///< with `elsewhere`
    };
    /// Begins to empty a keeper of its work groups.
    void retire(const std::string& name, const std::function<void(const retire_answer&)>& done);
    /// Whether a keeper that is being emptied belongs to no group any more; nothing if it isn't
    /// being emptied, as far as this keeper knows.
    std::optional<bool> is_retired(const std::string& name) const;
    /// Entries that live and take new connections.
    std::vector<schema::entry_hello> serving_entries() const;
    /// Takes over what may change while it runs: the seeds.
    void apply(const schema::keeper_settings& changed);
    net::task& owner() { return task_; }

private:
    /// Silence after which others count as gone: ten hellos of a keeper, twelve of an entry.
    static constexpr milliseconds keeper_alive{3000};
    static constexpr milliseconds entry_alive{3000};

    struct work_group {
        state::work_state state;
        std::unique_ptr<work_leader> leader;
    };
    struct known_entry {
        schema::entry_hello hello;
        instant seen{};
        instant own_seen{}; ///< by this keeper itself
        table_delivery table;
        bool listed = false; ///< callers are sent to it, as last logged
    };
    struct known_keeper {
        schema::keeper_hello hello;
        instant seen{};
    };
    /// An endpoint's word that waits until another keeper has it.
    struct waiting_word {
        std::uint64_t revision = 0;
        instant until{};
        std::function<void(bool)> done;
    };

    // Wiring (service.cpp).
    void make_groups();
    std::unique_ptr<group_host> make_host(group_id group, state_machine machine);
    state_machine control_machine();
    state_machine work_machine(work_group& group, group_id id);
    void schedule_pump();
    void pump();
    void flush_log();
    peer_address address_of(const schema::raft_message& message) const;
    void send_raft(std::vector<schema::raft_message> messages);
    void tick();
    void try_to_found();
    void write_first_snapshots();
    void on_disk_failure(const storage::error& problem);
    void shut_down();
    void remove_old_segments();

    // Conversations (service_requests.cpp, service_entries.cpp).
    void on_message(schema::envelope& message);
    void on_request(const schema::keeper_request& request, const std::string& reply_to);
    void serve_work(const schema::keeper_request& request, const group_host::reply_function& reply);
    void serve_held(const schema::held_items& held, group_id group, const std::string& reply_to);
    void serve_history(const schema::keeper_request& request,
                       const group_host::reply_function& reply);
    void propose_claim(const schema::work_command& command, group_id group,
                       const group_host::reply_function& reply);
    std::string leader_node(const group_host& host) const;
    void take_heartbeat(const schema::entry_hello& hello);
    void answer_heartbeats();
    void on_entry_hello(const schema::entry_hello& hello);
    void send_beacon(known_entry& entry);
    void write_control_news(const known_entry& entry, schema::keeper_beacon& beacon) const;
    void write_entries(const known_entry& entry, schema::keeper_beacon& beacon) const;
    void write_keepers(const known_entry& entry, schema::keeper_beacon& beacon) const;
    /// Writes the endpoints that a listener lacks, by what it says it has of this directory.
    /// \param pulses whether it is also told which were heard and didn't change.
    template <class Listener, class News>
    void write_endpoints(const Listener& listener, News& news, bool pulses) const {
        const bool known_epoch = listener.directory_epoch() == directory_epoch_;
        const std::uint64_t known = known_epoch ? listener.directory_revision() : 0;
        news.set_directory_epoch(directory_epoch_);
        news.set_directory_revision(directory_.revision());
        for (schema::endpoint_record& record : directory_.records_since(known, monotonic_now()))
            *news.add_endpoints() = std::move(record);
        if (!pulses)
            return;
        for (schema::endpoint_pulse& pulse : directory_.pulses_since(known, monotonic_now()))
            *news.add_pulses() = std::move(pulse);
    }
    /// Makes anew, once in `list_age`, what each hello of each entry asks for: who is there, and a
    /// digest to be compared with what a listener knows.
    void refresh_lists(instant now);
    void on_keeper_hello(const schema::keeper_hello& hello);
    void send_keeper_hello(const peer_address& to);
    void on_config_applied();
    void send_beacons_soon();
    void push_beacons();
    bool holds_items(const schema::entry_hello& hello) const;
    void write_sightings(schema::keeper_news& news) const;
    void learn_sightings(const schema::keeper_news& news, instant now);

    // State dump and metrics (service_http.cpp).
    std::string open_http();
    std::string metrics_text();
    std::string dump() const;

    // Keepers that find each other by seeds (service_fleet.cpp).
    bool hosts_control() const { return settings_.groups() != "work"; }
    bool hosts_work() const { return settings_.groups() != "control"; }
    bool uses_seeds() const { return settings_.cluster().seed_size() > 0; }
    std::size_t group_size() const { return 2 * std::size_t{settings_.tolerated_losses()} + 1; }
    std::vector<peer_address> keepers_to_greet() const;
    /// Whether the work groups exist, and this keeper hosts none of them.
    bool waits_as_spare() const;
    void see_keeper(const schema::keeper_hello& hello, instant seen);
    void send_news(const peer_address& to, const known_keeper& keeper);
    void on_news(const schema::keeper_news& news);
    void push_news();
    void decide_work_founders();
    void found_work_groups(const schema::group_members& founders);
    const known_keeper* find_work_keeper(const std::string& name) const;
    std::set<disk_id> retiring_disks() const;
    bool is_serving(const known_entry& entry, instant now) const;
    void log_listed_entries();
    void answer_waiting_words();
    void restore_endpoints();
    void save_endpoints();
    schema::keeper_hello own_hello(const peer_address& to) const;
    /// Disks of the members of the work groups.
    std::set<std::uint64_t> work_group_disks(instant now) const;
    /// Whether a keeper hosts no group and waits to replace a member.
    static bool is_spare(const schema::keeper_hello& hello, const std::set<std::uint64_t>& members);
    std::uint64_t keepers_digest() const;

    schema::keeper_settings settings_;
    net::task task_;
    store store_;
    recovered_store recovered_;
    metrics metrics_;
    std::unique_ptr<disk_writer> log_writer_;
    std::unique_ptr<disk_writer> snapshot_writer_;
    std::unique_ptr<net::peer_hub> hub_;
    std::unique_ptr<net::http_server> http_;
    founding founding_;
    founding work_founding_{std::vector<std::string>()};
    std::string node_; ///< name among the members of groups

    state::control_state control_;
    std::map<group_id, work_group> work_;
    std::map<group_id, std::unique_ptr<group_host>> hosts_;
    std::map<group_id, group_watch> watches_;
    awaiting_sync awaiting_;
    std::size_t syncs_in_flight_ = 0;
    bool pump_scheduled_ = false;
    std::map<std::string, known_entry> entries_;
    std::map<std::string, known_keeper> keepers_; ///< by node
    membership::endpoint_directory directory_;
    const std::uint64_t directory_epoch_;
    membership::entry_roster roster_;
    std::map<std::string, std::pair<std::uint64_t, std::uint64_t>>
        heard_revisions_; ///< epoch and revision of each keeper's directory, by its address
    std::vector<waiting_word> waiting_words_;
    instant work_founders_possible_{};
    std::size_t retiring_known_ = 0;
    std::uint64_t saved_changes_ = 0; ///< of the directory, as on the disk or on the way there
    bool saving_endpoints_ = false;
    std::uint64_t beacon_ = 0;
    std::uint64_t keepers_digest_ = 0;
    instant lists_made_at_{};
    consensus::member_list founders_;
    heartbeat_queue waiting_heartbeats_;
    bool heartbeats_scheduled_ = false;
    bool beacons_scheduled_ = false;
    instant pushed_at_{};         ///< beacons, on a change
    microseconds push_pause_{0};  ///< from then on until the next push
    bool groups_founded_ = false; ///< as the control group told
    std::uint32_t greetings_skipped_ = 0;
    bool stopping_ = false;
    int exit_code_ = 0;
};

} // namespace cassia::keeper
