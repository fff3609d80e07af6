/// A keeper: the groups it hosts, and its conversations with other keepers and with entries.
#pragma once

#include "cassia/base/metrics.h"
#include "cassia/keeper/disk_writer.h"
#include "cassia/keeper/founding.h"
#include "cassia/keeper/group_host.h"
#include "cassia/keeper/store.h"
#include "cassia/keeper/work_leader.h"
#include "cassia/net/http_server.h"
#include "cassia/net/peer_hub.h"
#include "cassia/net/task.h"
#include "cassia/schema/messages.pb.h"
#include "cassia/schema/settings.pb.h"
#include "cassia/state/control_state.h"
#include "cassia/state/work_state.h"

#include <map>
#include <memory>
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

private:
    struct work_group {
        state::work_state state;
        std::unique_ptr<work_leader> leader;
    };
    struct known_entry {
        schema::entry_hello hello;
        instant seen{};
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

    // Conversations (service_requests.cpp).
    void on_message(schema::envelope& message);
    void on_request(const schema::keeper_request& request, const std::string& reply_to);
    void serve_work(const schema::keeper_request& request, const group_host::reply_function& reply);
    void serve_history(const schema::keeper_request& request,
                       const group_host::reply_function& reply);
    void propose_claim(const schema::work_command& command, group_id group,
                       const group_host::reply_function& reply);
    std::string leader_node(const group_host& host) const;
    void on_entry_hello(const schema::entry_hello& hello);
    void send_beacon(const known_entry& entry);
    void on_keeper_hello(const schema::keeper_hello& hello);
    void send_keeper_hello(const peer_address& to);
    void on_config_applied();
    void send_beacons_soon();
    std::string dump() const;

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

    state::control_state control_;
    std::map<group_id, work_group> work_;
    std::map<group_id, std::unique_ptr<group_host>> hosts_;
    awaiting_sync awaiting_;
    std::size_t syncs_in_flight_ = 0;
    bool pump_scheduled_ = false;
    std::map<std::string, known_entry> entries_;
    std::uint64_t beacon_ = 0;
    consensus::member_list founders_;
    bool stopping_ = false;
    int exit_code_ = 0;
};

} // namespace cassia::keeper
