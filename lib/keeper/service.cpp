#include "cassia/keeper/service.h"

#include "cassia/base/log.h"
#include "cassia/settings/catalog.h"
#include "cassia/state/sharding.h"

#include <csignal>
#include <utility>

namespace cassia::keeper {

namespace {
using state::control_group;
constexpr milliseconds tick_interval(25);
constexpr milliseconds keeper_heartbeat_interval(300);
// A standby sends a heartbeat only in every third interval: it reports nothing but that it is
// alive.
constexpr std::uint32_t standby_heartbeat_divisor = 3;
// Replacing a lost member takes three membership changes, one per interval, which has to be well
// within the five seconds that platforms allow for a replacement.
constexpr milliseconds membership_check_interval(200);
constexpr milliseconds segment_removal_interval(5000);
constexpr milliseconds traffic_log_interval(10000);
constexpr milliseconds endpoint_save_interval(500);
// After a restart of the whole cluster, gateways need the route table before the control group has
// a leader, so it has to be in a snapshot.
constexpr milliseconds control_snapshot_interval(500);
constexpr milliseconds leadership_transfer_timeout(400);
constexpr std::uint64_t bytes_per_mib = 1ULL << 20U;
// Further batches in flight would only make each of them smaller.
constexpr std::size_t max_syncs_in_flight = 1;
constexpr const char* initial_members_file = "founders";
} // namespace

// With seeds the names of the other keepers aren't configured, so their addresses serve as names.
static std::vector<std::string> initial_nodes(const schema::keeper_settings& settings) {
    std::vector<std::string> names;
    for (const std::string& seed : settings.cluster().seed())
        names.push_back(net::peer_of_seed(seed, settings.peer_address()).str());
    for (const schema::peer_settings& keeper : settings.cluster().keeper())
        names.push_back(keeper.name());
    return names;
}

service::service(schema::keeper_settings settings)
    : settings_(std::move(settings)), task_("keeper"),
      store_(settings_.data_dir(), settings_.segment_mib() * bytes_per_mib, storage::system_disk()),
      planner_(initial_nodes(settings_)),
      node_(uses_seeds() ? settings_.peer_address() : settings_.name()),
      directory_({milliseconds(settings_.endpoint_silent_ms()),
                  membership::endpoint_directory_settings().forget_after}),
      directory_epoch_(random_bits()), roster_(directory_epoch_, gateway_timeout) {
    if (uses_seeds()) {
        planner_.set_target_size(group_size());
        work_planner_.set_target_size(group_size());
    }
}

service::~service() = default;

std::string service::open() {
    storage::result<recovered_store> recovered = store_.open();
    if (!recovered)
        return recovered.error().text;
    recovered_ = std::move(recovered.value());
    log_writer_ = std::make_unique<disk_writer>(
        task_, [this](const storage::error& error) { on_disk_failure(error); });
    snapshot_writer_ = std::make_unique<disk_writer>(
        task_, [this](const storage::error& error) { on_disk_failure(error); });
    hub_ = std::make_unique<net::peer_hub>(
        task_,
        net::peer_hub_settings{settings_.name(), peer_address(settings_.peer_address()),
                               peer_address(settings_.peer_bind()), settings_.cluster().secret(),
                               settings_.cluster().security() != "none"},
        [this](schema::envelope& message) { on_message(message); });
    make_groups();
    const net::result<void> opened = hub_->open();
    if (!opened)
        return opened.error().text;
    return open_http();
}

std::unique_ptr<group_replica> service::make_replica(group_id group, state_machine machine) {
    group_settings settings;
    settings.group = group;
    settings.self = recovered_.disk;
    settings.raft.heartbeat = milliseconds(settings_.heartbeat_ms());
    settings.raft.election_timeout = milliseconds(settings_.election_timeout_ms());
    settings.snapshot_records = settings_.snapshot_records();
    if (group == control_group)
        settings.snapshot_interval = control_snapshot_interval;
    change_loggers_.emplace(group, group_change_logger(group, metrics_));
    return std::make_unique<group_replica>(settings, std::move(machine), store_, *log_writer_,
                                           *snapshot_writer_, [this] { schedule_processing(); });
}

void service::make_groups() {
    const instant started = monotonic_now();
    if (hosts_control())
        replicas_[control_group] = make_replica(control_group, make_control_state_machine());
    // Others report themselves; the zone of this keeper counts too when members are chosen.
    work_planner_.update(
        {node_, recovered_.disk, settings_.peer_address(), false, started, settings_.zone()});
    for (std::uint32_t i = 1; hosts_work() && i <= settings_.cluster().work_groups(); ++i) {
        const group_id id(i);
        work_group& group = work_groups_[id];
        replicas_[id] = make_replica(id, make_work_state_machine(group, id));
        work_leader_hooks hooks;
        hooks.propose = [this, id](const schema::work_command& command,
                                   group_replica::reply_callback reply) {
            replicas_.at(id)->propose(command.SerializeAsString(), std::move(reply),
                                      monotonic_now());
        };
        hooks.read_record = [this](const storage::position& at) { return store_.read_command(at); };
        group.leader = std::make_unique<work_leader>(
            group.state, milliseconds(settings_.holder_timeout_ms()), std::move(hooks));
    }
    std::size_t log_entries = 0;
    for (const std::pair<const group_id, recovered_group>& recovered : recovered_.groups) {
        auto replica = replicas_.find(recovered.first);
        if (replica == replicas_.end())
            continue;
        log_entries += recovered.second.entries.size();
        if (!replica->second->recover(recovered.second, monotonic_now()))
            log_error("group_unreadable").with("group", recovered.first.value());
    }
    const storage::result<std::string> initial_members =
        storage::read_file(settings_.data_dir() + "/" + initial_members_file);
    schema::group_members proto;
    if (initial_members && proto.ParseFromString(initial_members.value()))
        initial_members_ = consensus::members_from_proto(proto);
    log_info("disk_opened")
        .with("disk", recovered_.disk.value())
        .with("groups", recovered_.groups.size())
        .with("log_entries", log_entries)
        .with("us", (monotonic_now() - started).count());
    recovered_.groups.clear();
    if (hosts_control())
        restore_endpoints();
}

state_machine service::make_control_state_machine() {
    state_machine machine;
    machine.apply = [this](const std::string& bytes, const storage::position&) {
        schema::control_command command;
        schema::keeper_reply reply;
        if (command.ParseFromString(bytes))
            *reply.mutable_control() = control_state_.apply(command);
        const bool accepted = reply.control().result() == schema::control_reply::accepted;
        if (accepted && command.has_change())
            on_config_applied();
        if (accepted && command.has_routes()) {
            log_info("routes_applied").with("version", control_state_.routes().version());
            schedule_beacon_push();
        }
        if (accepted && (command.has_found_work() || command.has_retire()))
            push_news();
        return reply;
    };
    machine.save = [this] { return control_state_.save(); };
    machine.load = [this](const std::string& image, const position_map&) {
        state::result<state::control_state> loaded = state::control_state::load(image);
        if (!loaded)
            return false;
        control_state_ = std::move(loaded.value());
        on_config_applied();
        return true;
    };
    machine.referenced_positions = [] { return std::set<storage::position>(); };
    return machine;
}

state_machine service::make_work_state_machine(work_group& group, group_id) {
    state_machine machine;
    machine.apply = [this, &group](const std::string& bytes, const storage::position& at) {
        schema::work_command command;
        schema::keeper_reply reply;
        if (command.ParseFromString(bytes))
            *reply.mutable_work() = group.state.apply(command, at);
        if (command.has_lease())
            group.leader->on_lease_applied(reply, monotonic_now());
        if (command.has_cancel())
            schedule_beacon_push();
        return reply;
    };
    machine.save = [&group] { return group.state.save(); };
    machine.load = [&group](const std::string& image, const position_map& relocations) {
        state::result<state::work_state> loaded = state::work_state::load(image);
        if (!loaded)
            return false;
        group.state = std::move(loaded.value());
        group.state.remap_positions(relocations);
        return true;
    };
    machine.referenced_positions = [&group] { return group.state.referenced_positions(); };
    return machine;
}

int service::run() {
    log_writer_->start();
    snapshot_writer_->start();
    net::on_signal(task_, SIGTERM, [this] { shut_down(); });
    net::on_signal(task_, SIGINT, [this] { shut_down(); });
    net::on_signal(task_, SIGUSR1, [this] { log_info("state_dump").with("dump", dump()); });
    task_.every(tick_interval, [this] { tick(); });
    task_.post([this] { send_keeper_heartbeats(); });
    task_.every(keeper_heartbeat_interval, [this] {
        if (hosts_control())
            try_bootstrap();
        if (!is_standby() || ++heartbeat_rounds_ % standby_heartbeat_divisor == 0)
            send_keeper_heartbeats();
        respond_to_pending_announcements();
        if (hosts_control())
            log_serving_changes();
        directory_.forget_old(monotonic_now());
        versions_.forget_absent(directory_.all());
        forget_old_gateways(monotonic_now());
    });
    task_.every(membership_check_interval, [this] {
        const instant now = monotonic_now();
        for (const std::pair<const group_id, std::unique_ptr<group_replica>>& replica : replicas_) {
            if (!replica.second->raft().leads())
                continue;
            const bool decided_at_run_time = uses_seeds() && replica.first != control_group;
            const membership_planner& planner = decided_at_run_time ? work_planner_ : planner_;
            // A leader doesn't remove itself: it hands over to another member, which removes it.
            if (planner.is_retiring(recovered_.disk, node_))
                replica.second->transfer_leadership(now);
            if (std::optional<consensus::member_list> members =
                    planner.next_change(replica.second->raft(), now))
                replica.second->change_members(*members, now);
        }
        if (hosts_control() && replicas_.at(control_group)->raft().may_read(now)) {
            ++beacon_counter_;
            propose_work_group_members();
            end_retirements();
        }
    });
    if (hosts_control())
        task_.every(endpoint_save_interval, [this] { save_endpoints(); });
    task_.every(traffic_log_interval, [this] { hub_->log_sent(); });
    task_.every(segment_removal_interval, [this] { remove_old_segments(); });
    log_info("keeper_started")
        .with("address", settings_.peer_address())
        .with("zone", settings_.zone());
    net::deliver_signals();
    task_.run();
    log_info("keeper_stopped").with("exit", exit_code_);
    return exit_code_;
}

void service::tick() {
    const instant now = monotonic_now();
    for (const std::pair<const group_id, std::unique_ptr<group_replica>>& replica : replicas_) {
        replica.second->tick(now);
        change_loggers_.at(replica.first).observe(replica.second->raft());
    }
    const wall_time wall = wall_now();
    for (std::pair<const group_id, work_group>& group : work_groups_) {
        group.second.leader->set_leading(replicas_.at(group.first)->raft().leads(), now);
        group.second.leader->tick(now, wall);
    }
    process_groups();
}

void service::schedule_processing() {
    if (processing_scheduled_)
        return;
    processing_scheduled_ = true;
    task_.post([this] {
        processing_scheduled_ = false;
        process_groups();
    });
}

void service::process_groups() {
    const instant now = monotonic_now();
    std::vector<schema::raft_message> out;
    for (const std::pair<const group_id, std::unique_ptr<group_replica>>& replica : replicas_) {
        std::vector<schema::raft_message> messages =
            replica.second->perform_actions(pending_sync_, now);
        std::move(messages.begin(), messages.end(), std::back_inserter(out));
    }
    send_raft(std::move(out));
    flush_log();
}

// While one batch is being synced, records accumulate in the next: under load, one sync serves many
// records.
void service::flush_log() {
    if (syncs_in_flight_ >= max_syncs_in_flight)
        return;
    if (pending_sync_.empty() && !store_.log().has_batch())
        return;
    ++syncs_in_flight_;
    std::shared_ptr<storage::log_batch> batch =
        std::make_shared<storage::log_batch>(store_.log().take_batch());
    std::shared_ptr<pending_sync> pending =
        std::make_shared<pending_sync>(std::exchange(pending_sync_, pending_sync()));
    const instant started = monotonic_now();
    log_writer_->submit(
        [this, batch] {
            return batch->bytes.empty() ? storage::result<void>(success())
                                        : store_.log().write(*batch);
        },
        [this, batch, pending, started] {
            --syncs_in_flight_;
            if (!batch->bytes.empty()) {
                metrics_.count("log_syncs");
                metrics_.count("log_bytes", batch->bytes.size());
                metrics_.observe("log_sync", monotonic_now() - started);
            }
            for (const pending_sync::appended_entry& entry : pending->appended)
                replicas_.at(entry.group)->on_persisted(entry.index, entry.term);
            send_raft(std::move(pending->messages));
            process_groups();
        });
}

// A member that is being added has no member list yet but has to respond to its leader, so
// addresses are also taken from what keepers report about themselves.
peer_address service::address_of(const schema::raft_message& message) const {
    const disk_id disk(message.to());
    for (const consensus::member& member :
         replicas_.at(group_id(message.group()))->raft().log().members()) {
        if (member.disk == disk)
            return peer_address(member.address);
    }
    const peer_address address = planner_.address_of(disk);
    return address.empty() ? work_planner_.address_of(disk) : address;
}

void service::send_raft(std::vector<schema::raft_message> messages) {
    std::map<peer_address, schema::envelope> outbox;
    for (schema::raft_message& message : messages) {
        const peer_address to = address_of(message);
        if (!to.empty())
            *outbox[to].mutable_raft()->add_messages() = std::move(message);
    }
    for (std::pair<const peer_address, schema::envelope>& batch : outbox)
        hub_->send(batch.first, batch.second);
}

void service::try_bootstrap() {
    const bool bootstrapped = replicas_.at(control_group)->is_bootstrapped();
    const instant now = monotonic_now();
    const bool may_bootstrap = !bootstrapped && settings_.first_start();
    planner_.update(
        {node_, recovered_.disk, settings_.peer_address(), may_bootstrap, now, settings_.zone()});
    if (bootstrapped)
        return;
    if (initial_members_.empty()) {
        std::optional<consensus::member_list> members = planner_.initial_members(now);
        if (!members)
            return;
        initial_members_ = std::move(*members);
    }
    const bool is_initial_member = std::any_of(
        initial_members_.begin(), initial_members_.end(),
        [this](const consensus::member& member) { return member.disk == recovered_.disk; });
    if (!is_initial_member) {
        // This disk is not among the initial members: it waits until a leader adds it.
        initial_members_.clear();
        return;
    }
    for (const std::pair<const group_id, std::unique_ptr<group_replica>>& replica : replicas_)
        replica.second->bootstrap(initial_members_, now);
    write_initial_snapshots();
    log_info("cluster_founded").with("members", initial_members_.size());
}

void service::write_initial_snapshots() {
    const storage::result<void> saved =
        storage::write_file(storage::system_disk(), settings_.data_dir(), initial_members_file,
                            consensus::members_to_proto(initial_members_).SerializeAsString());
    if (!saved)
        on_disk_failure(saved.error());
    for (const std::pair<const group_id, std::unique_ptr<group_replica>>& replica : replicas_) {
        const storage::result<void> written =
            store_.write_snapshot(replica.second->make_snapshot());
        if (!written)
            on_disk_failure(written.error());
    }
}

// After a failed write or sync it is unknown what the disk holds, and the state in memory may be
// ahead of it. The process exits, and its restart reads what is there.
void service::on_disk_failure(const storage::error& error) {
    log_error("disk_failed").with("cause", error.text);
    exit_code_ = 1;
    task_.quit();
}

void service::remove_old_segments() {
    std::uint32_t oldest = UINT32_MAX;
    for (const std::pair<const group_id, std::unique_ptr<group_replica>>& replica : replicas_)
        oldest = std::min(oldest, replica.second->oldest_segment());
    if (replicas_.begin()->second->is_bootstrapped())
        store_.log().remove_before(oldest);
}

void service::shut_down() {
    if (stopping_)
        return;
    stopping_ = true;
    log_info("keeper_stopping");
    const instant now = monotonic_now();
    for (const std::pair<const group_id, std::unique_ptr<group_replica>>& replica : replicas_)
        replica.second->transfer_leadership(now);
    process_groups();
    task_.after(leadership_transfer_timeout, [this] { task_.quit(); });
}

} // namespace cassia::keeper
