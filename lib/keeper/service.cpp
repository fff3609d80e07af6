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
constexpr milliseconds hello_interval(300);
// A spare has no news of its own but that it lives.
constexpr std::uint32_t heartbeats_for_each_of_a_spare = 3;
// A lost member is replaced in three changes, each at one of these, and well within the five
// seconds that platforms allow for it.
constexpr milliseconds repair_interval(200);
constexpr milliseconds segment_interval(5000);
constexpr milliseconds traffic_log_interval(10000);
constexpr milliseconds endpoints_interval(500);
// After the loss of all processes gateways need the table before the group has a leader.
constexpr milliseconds control_snapshot_interval(500);
constexpr milliseconds hand_over_wait(400);
constexpr std::uint64_t bytes_per_mib = 1ULL << 20U;
// More batches under way than this only make each of them smaller.
constexpr std::size_t most_syncs_in_flight = 1;
constexpr const char* founders_file = "founders";
} // namespace

// Keepers that find each other by seeds are known by their addresses: nobody tells them names.
static std::vector<std::string> founder_names(const schema::keeper_settings& settings) {
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
      founding_(founder_names(settings_)),
      node_(uses_seeds() ? settings_.peer_address() : settings_.name()),
      directory_({milliseconds(settings_.endpoint_silent_ms()),
                  membership::endpoint_directory_settings().forget_after}),
      directory_epoch_(random_bits()), roster_(directory_epoch_, entry_alive) {
    if (uses_seeds()) {
        founding_.set_target(group_size());
        work_founding_.set_target(group_size());
    }
}

service::~service() = default;

std::string service::open() {
    storage::result<recovered_store> found = store_.open();
    if (!found)
        return found.error().text;
    recovered_ = std::move(found.value());
    log_writer_ = std::make_unique<disk_writer>(
        task_, [this](const storage::error& problem) { on_disk_failure(problem); });
    snapshot_writer_ = std::make_unique<disk_writer>(
        task_, [this](const storage::error& problem) { on_disk_failure(problem); });
    hub_ = std::make_unique<net::peer_hub>(
        task_,
        net::peer_hub_settings{settings_.name(), peer_address(settings_.peer_address()),
                               peer_address(settings_.peer_bind()), settings_.cluster().secret(),
                               settings_.cluster().security() != "none"},
        [this](schema::envelope& message) { on_message(message); });
    make_groups();
    const net::result<void> peers = hub_->open();
    if (!peers)
        return peers.error().text;
    return open_http();
}

std::unique_ptr<group_host> service::make_host(group_id group, state_machine machine) {
    group_settings settings;
    settings.group = group;
    settings.self = recovered_.disk;
    settings.raft.heartbeat = milliseconds(settings_.heartbeat_ms());
    settings.raft.election_timeout = milliseconds(settings_.election_timeout_ms());
    settings.snapshot_records = settings_.snapshot_records();
    if (group == control_group)
        settings.snapshot_interval = control_snapshot_interval;
    watches_.emplace(group, group_watch(group, metrics_));
    return std::make_unique<group_host>(settings, std::move(machine), store_, *log_writer_,
                                        *snapshot_writer_, [this] { schedule_pump(); });
}

void service::make_groups() {
    const instant started = monotonic_now();
    if (hosts_control())
        hosts_[control_group] = make_host(control_group, control_machine());
    for (std::uint32_t i = 1; hosts_work() && i <= settings_.cluster().work_groups(); ++i) {
        const group_id id(i);
        work_group& group = work_[id];
        hosts_[id] = make_host(id, work_machine(group, id));
        work_leader_hooks hooks;
        hooks.propose = [this, id](const schema::work_command& command,
                                   group_host::reply_function reply) {
            hosts_.at(id)->propose(command.SerializeAsString(), std::move(reply), monotonic_now());
        };
        hooks.read = [this](const storage::position& at) { return store_.read_command(at); };
        group.leader = std::make_unique<work_leader>(
            group.state, milliseconds(settings_.holder_timeout_ms()), std::move(hooks));
    }
    std::size_t entries = 0;
    for (const std::pair<const group_id, recovered_group>& found : recovered_.groups) {
        auto host = hosts_.find(found.first);
        if (host == hosts_.end())
            continue;
        entries += found.second.entries.size();
        if (!host->second->recover(found.second, monotonic_now()))
            log_error("group_unreadable").with("group", found.first.value());
    }
    const storage::result<std::string> founders =
        storage::read_file(settings_.data_dir() + "/" + founders_file);
    schema::group_members list;
    if (founders && list.ParseFromString(founders.value()))
        founders_ = consensus::members_from_proto(list);
    log_info("disk_opened")
        .with("disk", recovered_.disk.value())
        .with("groups", recovered_.groups.size())
        .with("log_entries", entries)
        .with("us", (monotonic_now() - started).count());
    recovered_.groups.clear();
    if (hosts_control())
        restore_endpoints();
}

state_machine service::control_machine() {
    state_machine machine;
    machine.apply = [this](const std::string& bytes, const storage::position&) {
        schema::control_command command;
        schema::keeper_reply reply;
        if (command.ParseFromString(bytes))
            *reply.mutable_control() = control_.apply(command);
        const bool accepted = reply.control().result() == schema::control_reply::accepted;
        if (accepted && command.has_change())
            on_config_applied();
        if (accepted && command.has_routes()) {
            log_info("routes_applied").with("version", control_.routes().version());
            send_beacons_soon();
        }
        if (accepted && (command.has_found_work() || command.has_retire()))
            push_news();
        return reply;
    };
    machine.save = [this] { return control_.save(); };
    machine.load = [this](const std::string& image, const position_map&) {
        state::result<state::control_state> loaded = state::control_state::load(image);
        if (!loaded)
            return false;
        control_ = std::move(loaded.value());
        on_config_applied();
        return true;
    };
    machine.positions = [] { return std::set<storage::position>(); };
    return machine;
}

state_machine service::work_machine(work_group& group, group_id) {
    state_machine machine;
    machine.apply = [this, &group](const std::string& bytes, const storage::position& at) {
        schema::work_command command;
        schema::keeper_reply reply;
        if (command.ParseFromString(bytes))
            *reply.mutable_work() = group.state.apply(command, at);
        if (command.has_lease())
            group.leader->leased(reply, monotonic_now());
        if (command.has_cancel())
            send_beacons_soon();
        return reply;
    };
    machine.save = [&group] { return group.state.save(); };
    machine.load = [&group](const std::string& image, const position_map& places) {
        state::result<state::work_state> loaded = state::work_state::load(image);
        if (!loaded)
            return false;
        group.state = std::move(loaded.value());
        group.state.remap_positions(places);
        return true;
    };
    machine.positions = [&group] { return group.state.referenced_positions(); };
    return machine;
}

int service::run() {
    log_writer_->start();
    snapshot_writer_->start();
    net::on_signal(task_, SIGTERM, [this] { shut_down(); });
    net::on_signal(task_, SIGINT, [this] { shut_down(); });
    net::on_signal(task_, SIGUSR1, [this] { log_info("state_dump").with("dump", dump()); });
    task_.every(tick_interval, [this] { tick(); });
    task_.every(hello_interval, [this] {
        if (hosts_control())
            try_to_found();
        if (!waits_as_spare() || ++greetings_skipped_ % heartbeats_for_each_of_a_spare == 0) {
            for (const peer_address& keeper : keepers_to_greet())
                send_keeper_hello(keeper);
        }
        answer_waiting_words();
        log_listed_entries();
        directory_.forget_old(monotonic_now());
    });
    task_.every(repair_interval, [this] {
        const instant now = monotonic_now();
        for (const std::pair<const group_id, std::unique_ptr<group_host>>& host : hosts_) {
            if (!host.second->raft().leads())
                continue;
            const bool by_decision = uses_seeds() && host.first != control_group;
            const founding& members = by_decision ? work_founding_ : founding_;
            // A leader doesn't put itself out: another one takes over and does it.
            if (members.is_retiring(recovered_.disk))
                host.second->hand_over(now);
            if (std::optional<consensus::member_list> next =
                    members.next_change(host.second->raft(), now))
                host.second->change_members(*next, now);
        }
        if (hosts_control() && hosts_.at(control_group)->raft().may_read(now)) {
            ++beacon_;
            decide_work_founders();
        }
    });
    if (hosts_control())
        task_.every(endpoints_interval, [this] { save_endpoints(); });
    task_.every(traffic_log_interval, [this] { hub_->log_sent(); });
    task_.every(segment_interval, [this] { remove_old_segments(); });
    log_info("keeper_started")
        .with("address", settings_.peer_address())
        .with("zone", settings_.zone());
    task_.run();
    log_info("keeper_stopped").with("exit", exit_code_);
    return exit_code_;
}

void service::tick() {
    const instant now = monotonic_now();
    for (const std::pair<const group_id, std::unique_ptr<group_host>>& host : hosts_) {
        host.second->tick(now);
        watches_.at(host.first).look(host.second->raft());
    }
    const wall_time wall = wall_now();
    for (std::pair<const group_id, work_group>& group : work_) {
        group.second.leader->lead(hosts_.at(group.first)->raft().leads(), now);
        group.second.leader->tick(now, wall);
    }
    pump();
}

void service::schedule_pump() {
    if (pump_scheduled_)
        return;
    pump_scheduled_ = true;
    task_.post([this] {
        pump_scheduled_ = false;
        pump();
    });
}

void service::pump() {
    const instant now = monotonic_now();
    std::vector<schema::raft_message> out;
    for (const std::pair<const group_id, std::unique_ptr<group_host>>& host : hosts_) {
        std::vector<schema::raft_message> messages = host.second->perform(awaiting_, now);
        std::move(messages.begin(), messages.end(), std::back_inserter(out));
    }
    send_raft(std::move(out));
    flush_log();
}

// While one batch is being synced the next gathers: under load one sync serves many records.
void service::flush_log() {
    if (syncs_in_flight_ >= most_syncs_in_flight)
        return;
    if (awaiting_.empty() && !store_.log().has_batch())
        return;
    ++syncs_in_flight_;
    std::shared_ptr<storage::log_batch> batch =
        std::make_shared<storage::log_batch>(store_.log().take_batch());
    std::shared_ptr<awaiting_sync> waiting =
        std::make_shared<awaiting_sync>(std::exchange(awaiting_, awaiting_sync()));
    const instant started = monotonic_now();
    log_writer_->submit(
        [this, batch] {
            return batch->bytes.empty() ? storage::result<void>(success())
                                        : store_.log().write(*batch);
        },
        [this, batch, waiting, started] {
            --syncs_in_flight_;
            if (!batch->bytes.empty()) {
                metrics_.count("log_syncs");
                metrics_.count("log_bytes", batch->bytes.size());
                metrics_.observe("log_sync", monotonic_now() - started);
            }
            for (const awaiting_sync::mark& mark : waiting->persisted)
                hosts_.at(mark.group)->persisted(mark.index, mark.term);
            send_raft(std::move(waiting->messages));
            pump();
        });
}

// A member that is just joining knows no members yet and still has to answer its leader, so disks
// are also known by what keepers say of themselves.
peer_address service::address_of(const schema::raft_message& message) const {
    const disk_id disk(message.to());
    for (const consensus::member& member :
         hosts_.at(group_id(message.group()))->raft().log().members()) {
        if (member.disk == disk)
            return peer_address(member.address);
    }
    const peer_address address = founding_.address_of(disk);
    return address.empty() ? work_founding_.address_of(disk) : address;
}

void service::send_raft(std::vector<schema::raft_message> messages) {
    std::map<peer_address, schema::envelope> outbox;
    for (schema::raft_message& message : messages) {
        const peer_address to = address_of(message);
        if (!to.empty())
            *outbox[to].mutable_raft()->add_messages() = std::move(message);
    }
    for (std::pair<const peer_address, schema::envelope>& one : outbox)
        hub_->send(one.first, one.second);
}

void service::try_to_found() {
    const bool founded = hosts_.at(control_group)->founded();
    const instant now = monotonic_now();
    const bool may_found = !founded && settings_.first_start();
    founding_.saw({node_, recovered_.disk, settings_.peer_address(), may_found, now});
    if (founded)
        return;
    if (founders_.empty()) {
        std::optional<consensus::member_list> members = founding_.first_members(now);
        if (!members)
            return;
        founders_ = std::move(*members);
    }
    const bool one_of_them =
        std::any_of(founders_.begin(), founders_.end(),
                    [this](const consensus::member& one) { return one.disk == recovered_.disk; });
    if (!one_of_them) {
        // This disk is not one of the first: it waits until a leader takes it in.
        founders_.clear();
        return;
    }
    for (const std::pair<const group_id, std::unique_ptr<group_host>>& host : hosts_)
        host.second->found(founders_, now);
    write_first_snapshots();
    log_info("cluster_founded").with("members", founders_.size());
}

void service::write_first_snapshots() {
    const storage::result<void> noted =
        storage::write_file(storage::system_disk(), settings_.data_dir(), founders_file,
                            consensus::members_to_proto(founders_).SerializeAsString());
    if (!noted)
        on_disk_failure(noted.error());
    for (const std::pair<const group_id, std::unique_ptr<group_host>>& host : hosts_) {
        const storage::result<void> written = store_.write_snapshot(host.second->make_snapshot());
        if (!written)
            on_disk_failure(written.error());
    }
}

// What the disk holds after a failed write or sync is unknown, and what memory holds may promise
// more than it. The process ends; its restart reads what is really there.
void service::on_disk_failure(const storage::error& problem) {
    log_error("disk_failed").with("cause", problem.text);
    exit_code_ = 1;
    task_.quit();
}

void service::remove_old_segments() {
    std::uint32_t oldest = UINT32_MAX;
    for (const std::pair<const group_id, std::unique_ptr<group_host>>& host : hosts_)
        oldest = std::min(oldest, host.second->oldest_segment());
    if (hosts_.begin()->second->founded())
        store_.log().remove_before(oldest);
}

void service::shut_down() {
    if (stopping_)
        return;
    stopping_ = true;
    log_info("keeper_stopping");
    const instant now = monotonic_now();
    for (const std::pair<const group_id, std::unique_ptr<group_host>>& host : hosts_)
        host.second->hand_over(now);
    pump();
    task_.after(hand_over_wait, [this] { task_.quit(); });
}

} // namespace cassia::keeper
