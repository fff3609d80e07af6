// Messages between a keeper and gateways.

#include "cassia/base/log.h"
#include "cassia/keeper/service.h"
#include "cassia/settings/catalog.h"
#include "cassia/state/sharding.h"

#include <algorithm>
#include <optional>
#include <utility>

namespace cassia::keeper {

namespace {
using state::control_group;
constexpr milliseconds gateway_forget_timeout(60000);
constexpr milliseconds incarnation_overlap(1000);
// A thirtieth of the 3 s without a heartbeat after which gateways and keepers are presumed dead.
constexpr milliseconds list_refresh_interval(100);
constexpr milliseconds push_time_per_gateway(3);
// Endpoints announce themselves once a second, and keepers report that each 300 ms.
constexpr milliseconds announcement_late_after(1600);
// Heartbeats responded to before further messages are read.
constexpr std::size_t heartbeat_batch = 16;
} // namespace

static std::string holder_name(const schema::entry_hello& heartbeat) {
    return heartbeat.entry() + "/" + std::to_string(heartbeat.incarnation());
}

// Raft messages must be handled in time however many gateways there are, so a heartbeat is
// responded to only after the messages that have already arrived.
void service::queue_heartbeat(const schema::entry_hello& heartbeat) {
    // At once: the queue keeps only the latest heartbeat, and the gateway may follow again by then.
    if (!heartbeat.follows())
        on_unfollowed(heartbeat.entry());
    heartbeat_queue_.add(heartbeat);
    if (std::exchange(heartbeats_scheduled_, true))
        return;
    task_.post([this] { respond_to_queued_heartbeats(); });
}

// The gateway has dropped the list of endpoints of this keeper, also what is still in transit.
void service::on_unfollowed(const std::string& name) {
    auto found = gateways_.find(name);
    if (found == gateways_.end())
        return;
    found->second.heartbeat.set_follows(false);
    found->second.endpoint_list.reset();
}

void service::respond_to_queued_heartbeats() {
    for (std::size_t i = 0; i < heartbeat_batch; ++i) {
        if (const std::optional<schema::entry_hello> heartbeat = heartbeat_queue_.next())
            on_gateway_heartbeat(*heartbeat);
    }
    heartbeats_scheduled_ = !heartbeat_queue_.empty();
    if (heartbeats_scheduled_)
        task_.post([this] { respond_to_queued_heartbeats(); });
}

void service::on_gateway_heartbeat(const schema::entry_hello& heartbeat) {
    const instant now = monotonic_now();
    known_gateway& gateway = gateways_[heartbeat.entry()];
    // A lower incarnation is usually a delayed message of an earlier process. But a VM that was
    // restarted may start counting again, so a lower one is accepted once the higher one
    // has not been seen for `incarnation_overlap`.
    if (heartbeat.incarnation() < gateway.heartbeat.incarnation() &&
        now - gateway.last_seen < incarnation_overlap)
        return;
    if (heartbeat.incarnation() != gateway.heartbeat.incarnation()) {
        gateway.route_table.reset();
        gateway.endpoint_list.reset();
    }
    gateway.heartbeat = heartbeat;
    gateway.last_seen = now;
    gateway.heartbeat_received_at = now;
    if (hosts_control() && uses_seeds())
        roster_.observe(heartbeat, now);
    const std::string holder = holder_name(heartbeat);
    for (std::pair<const group_id, work_group>& group : work_groups_)
        group.second.leader->mark_holder_alive(holder, now);
    send_beacon(gateway);
    send_confirmed_beacon(heartbeat.entry(), now);
}

// Without a lease the beacon doesn't name the groups that this keeper leads. It is sent again when
// a quorum has confirmed that this keeper still led after the heartbeat.
void service::send_confirmed_beacon(const std::string& name, instant now) {
    for (const std::pair<const group_id, work_group>& group : work_groups_) {
        group_replica& replica = *replicas_.at(group.first);
        if (!replica.raft().is_ready() || replica.raft().may_read(now))
            continue;
        replica.read(
            [this, name](bool confirmed) {
                auto gateway = gateways_.find(name);
                if (confirmed && gateway != gateways_.end())
                    send_beacon(gateway->second);
            },
            now);
    }
}

void service::forget_old_gateways(instant now) {
    std::erase_if(gateways_, [now](const std::pair<const std::string, known_gateway>& one) {
        return now - one.second.last_seen > gateway_forget_timeout;
    });
}

void service::write_control_state(const known_gateway& gateway, schema::keeper_beacon& beacon) {
    const instant now = monotonic_now();
    const consensus::raft_group& control = replicas_.at(control_group)->raft();
    beacon.set_beacon_term(control.term().value());
    // The beacon states that this leader had a quorum just now. Without checking its lease, a
    // leader that is cut off would go on confirming lists that its successor has replaced.
    beacon.set_in_touch(control.leads() ? control.may_read(now) : control.leader() != disk_id());
    if (control.may_read(now)) {
        beacon.set_leads_control(true);
        beacon.set_beacon(beacon_counter_);
        beacon.set_config_version(control_state_.version());
        if (gateway.heartbeat.config_version() < control_state_.version())
            *beacon.mutable_config() = *control_state_.current();
    }
    // Route tables need no lease: a table that a member has applied is committed, and gateways
    // never go back to a lower version.
    update_gateway_routes();
    const std::uint64_t latest = control_state_.routes().version();
    if (uses_seeds() &&
        gateway.route_table.is_due(latest, gateway.heartbeat.routes_version(), now)) {
        // Released by send_beacon(): a copy for each gateway takes four times as long as sending
        // it.
        beacon.set_allocated_routes(gateway_routes_.get());
    }
    write_keepers(gateway, beacon);
}

// Gateways don't need the original document; only keepers return it.
void service::update_gateway_routes() {
    if (gateway_routes_ && gateway_routes_->version() == control_state_.routes().version())
        return;
    gateway_routes_ = std::make_unique<schema::route_table>(control_state_.routes());
    gateway_routes_->clear_document();
}

void service::write_endpoints(known_gateway& gateway, schema::keeper_beacon& beacon,
                              instant now) const {
    beacon.set_directory_epoch(directory_epoch_);
    if (!gateway.heartbeat.follows())
        return;
    const std::uint64_t acknowledged = acknowledged_revision(gateway.heartbeat);
    const instant reported_at = from_us(gateway.heartbeat.sent_at_us());
    const std::uint64_t base = gateway.endpoint_list.base(acknowledged, reported_at);
    beacon.set_endpoints_base(base);
    beacon.set_directory_revision(directory_.revision());
    for (schema::endpoint_record& record : directory_.records_since(base, now)) {
        // Gateways learn of the version, but begin nothing there.
        if (uses_seeds() && !versions_.is_confirmed(record))
            record.set_unresponsive(true);
        *beacon.add_endpoints() = std::move(record);
    }
    if (beacon.endpoints_size() > 0)
        gateway.endpoint_list.on_sent(acknowledged, base, directory_.revision(), reported_at);
}

// With seeds, gateways talk only to work keepers that are members of a work group. The
// standbys, which may be many, are left out.
void service::write_keepers(const known_gateway& gateway, schema::keeper_beacon& beacon) const {
    const instant now = monotonic_now();
    beacon.set_keepers_digest(keepers_digest_);
    if (uses_seeds() && gateway.heartbeat.keepers_digest() == keepers_digest_)
        return;
    const std::set<std::uint64_t> members = work_group_disks(now);
    for (const std::pair<const std::string, known_keeper>& keeper : keepers_) {
        const schema::keeper_hello& heartbeat = keeper.second.heartbeat;
        const bool in_group = heartbeat.work() && members.count(heartbeat.disk()) > 0;
        const bool included = !uses_seeds() || heartbeat.control() || in_group;
        if (!included || now - keeper.second.last_seen >= keeper_timeout)
            continue;
        schema::keeper_hello* added = beacon.add_keepers();
        *added = heartbeat;
        added->set_in_work_group(in_group);
    }
}

void service::write_gateways(const known_gateway& gateway, schema::keeper_beacon& beacon) const {
    const instant now = monotonic_now();
    if (uses_seeds()) {
        if (gateway.heartbeat.follows())
            roster_.write(gateway.heartbeat.entries_epoch(), gateway.heartbeat.entries_revision(),
                          beacon, now);
        return;
    }
    for (const std::pair<const std::string, known_gateway>& other : gateways_) {
        const microseconds age = now - other.second.last_seen;
        if (age >= gateway_timeout)
            continue;
        // Without its age, the last heartbeat of a dead gateway would count as new and keep the
        // gateway on the callers' list for twice as long.
        schema::entry_hello* added = beacon.add_entries();
        *added = other.second.heartbeat;
        added->set_age_ms(
            static_cast<std::uint32_t>(std::chrono::duration_cast<milliseconds>(age).count()));
    }
}

void service::refresh_lists(instant now) {
    if (now - lists_refreshed_at_ < list_refresh_interval)
        return;
    lists_refreshed_at_ = now;
    roster_.mark_lost(now);
    keepers_digest_ = compute_keepers_digest();
    lacks_announcements_ = directory_.any_unresponsive_for(announcement_late_after, now);
    if (directory_.mark_unresponsive(now))
        schedule_beacon_push();
}

void service::send_beacon(known_gateway& gateway) {
    const instant now = monotonic_now();
    schema::envelope envelope;
    schema::keeper_beacon* beacon = envelope.mutable_beacon();
    beacon->set_keeper(node_);
    beacon->set_sent_at_us(gateway.heartbeat.sent_at_us());
    beacon->set_keeper_clock_us(to_us(now));
    if (hosts_control()) {
        refresh_lists(now);
        write_control_state(gateway, *beacon);
        write_endpoints(gateway, *beacon, now);
        write_gateways(gateway, *beacon);
        if (beacon->has_routes())
            gateway.route_table.on_sent(beacon->routes().version(), now);
    }
    const std::string holder = holder_name(gateway.heartbeat);
    for (const std::pair<const group_id, work_group>& group : work_groups_) {
        const consensus::raft_group& raft = replicas_.at(group.first)->raft();
        if (!raft.may_read(now) && !raft.may_read_since(gateway.heartbeat_received_at))
            continue;
        beacon->add_leads(static_cast<std::uint32_t>(group.first.value()));
        for (const state::item_key& key : group.second.state.leases_of(holder)) {
            auto job = group.second.state.jobs().find(key.first);
            const bool is_cancelling = job != group.second.state.jobs().end() &&
                                       job->second.status == state::job_status::cancelling;
            const int count = beacon->cancelled_jobs_size();
            const bool already_added =
                count > 0 && beacon->cancelled_jobs(count - 1) == key.first.str();
            if (is_cancelling && !already_added)
                beacon->add_cancelled_jobs(key.first.str());
        }
    }
    const bool is_occasional_peer = hosts_control() && !gateway.heartbeat.follows();
    const net::peer_watch watch =
        is_occasional_peer ? net::peer_watch::relaxed : net::peer_watch::steady;
    hub_->send(peer_address(gateway.heartbeat.peer_address()), envelope,
               uses_seeds() ? watch : net::peer_watch::close);
    if (beacon->has_routes())
        static_cast<void>(beacon->release_routes());
}

void service::on_config_applied() {
    const schema::change_record* current = control_state_.current();
    if (current == nullptr)
        return;
    settings::result<std::shared_ptr<const settings::catalog>> parsed = settings::catalog::parse(
        current->version(), "plans", current->plans(), "allowances", current->allowances());
    if (parsed) {
        for (std::pair<const group_id, work_group>& group : work_groups_) {
            for (const std::pair<const team_id, settings::plan>& plan : parsed.value()->plans())
                group.second.leader->set_weight(plan.first, plan.second.weight);
        }
    }
    log_info("config_applied").with("version", current->version());
    schedule_beacon_push();
}

// Changes and cancellations are pushed at once; if a push is lost, the next heartbeat, which names
// the gateway's version, makes up for it. With seeds, each gateway follows one keeper of the
// control group, which pushes changes, and the keepers of the work groups push cancellations to the
// gateways that hold leases.
void service::schedule_beacon_push() {
    if (std::exchange(beacon_push_scheduled_, true))
        return;
    const microseconds delay = last_push_ + min_push_interval_ - monotonic_now();
    const milliseconds rounded_up =
        std::chrono::ceil<milliseconds>(std::max(delay, microseconds(0)));
    task_.after(rounded_up, [this] { push_beacons(); });
}

// The delay until the next push grows with the number of receivers, so that a burst of changes, as
// when all endpoints start, is sent in few pushes.
void service::push_beacons() {
    beacon_push_scheduled_ = false;
    last_push_ = monotonic_now();
    min_push_interval_ = milliseconds(0);
    for (std::pair<const std::string, known_gateway>& gateway : gateways_) {
        const bool follows = hosts_control() && gateway.second.heartbeat.follows();
        const bool is_receiver = !uses_seeds() || follows || holds_items(gateway.second.heartbeat);
        if (!is_receiver)
            continue;
        send_beacon(gateway.second);
        min_push_interval_ += push_time_per_gateway;
    }
}

bool service::holds_items(const schema::entry_hello& heartbeat) const {
    const std::string holder = holder_name(heartbeat);
    return std::any_of(work_groups_.begin(), work_groups_.end(), [&holder](const auto& group) {
        return !group.second.state.leases_of(holder).empty();
    });
}

} // namespace cassia::keeper
