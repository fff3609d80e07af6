// Discovery of other keepers by seeds, the news that keepers send each other, and the bootstrap of
// the work groups.

#include "cassia/base/digest.h"
#include "cassia/base/log.h"
#include "cassia/keeper/service.h"
#include "cassia/state/sharding.h"

#include <algorithm>
#include <set>
#include <utility>

namespace cassia::keeper {

namespace {
using state::control_group;
// All VMs start within a few hundred ms of each other. After this delay the keepers of every zone
// have been heard, and the initial members can be spread over the zones.
constexpr milliseconds candidate_gathering_time(700);
} // namespace

std::vector<peer_address> service::heartbeat_targets() const {
    std::set<peer_address> targets;
    for (const schema::peer_settings& keeper : settings_.cluster().keeper())
        targets.insert(peer_address(keeper.address()));
    for (const std::string& seed : settings_.cluster().seed())
        targets.insert(net::peer_of_seed(seed, settings_.peer_address()));
    // The seeds may be out of date: control group members may have been replaced since they were
    // configured.
    if (uses_seeds()) {
        const instant now = monotonic_now();
        for (const std::pair<const std::string, known_keeper>& keeper : keepers_) {
            if (keeper.second.heartbeat.control() && now - keeper.second.last_seen < keeper_timeout)
                targets.insert(peer_address(keeper.second.heartbeat.address()));
        }
    }
    if (uses_seeds() && hosts_control()) {
        for (const consensus::member& member : replicas_.at(control_group)->raft().log().members())
            targets.insert(peer_address(member.address));
    }
    targets.erase(peer_address(settings_.peer_address()));
    return {targets.begin(), targets.end()};
}

bool service::is_standby() const {
    return uses_seeds() && !hosts_control() && work_groups_bootstrapped_ &&
           !replicas_.begin()->second->is_bootstrapped();
}

schema::keeper_hello service::own_heartbeat(const peer_address& to) const {
    schema::keeper_hello heartbeat;
    const bool bootstrapped = replicas_.begin()->second->is_bootstrapped();
    heartbeat.set_node(node_);
    heartbeat.set_zone(settings_.zone());
    heartbeat.set_name(settings_.name());
    for (const std::pair<const group_id, std::unique_ptr<group_replica>>& replica : replicas_) {
        if (replica.first == control_group || !replica.second->raft().leads())
            continue;
        schema::group_view* view = heartbeat.add_leads();
        view->set_group(static_cast<std::uint32_t>(replica.first.value()));
        view->set_term(replica.second->raft().term().value());
        for (const consensus::member& member : counted_members(replica.second->raft())) {
            view->add_disks(member.disk.value());
            view->add_nodes(member.node);
        }
    }
    heartbeat.set_retirements(known_retirements_);
    heartbeat.set_disk(recovered_.disk.value());
    heartbeat.set_address(settings_.peer_address());
    // If this isn't the cluster's first start, an empty disk may have lost votes and acknowledged
    // entries, so it must not take part in a bootstrap.
    heartbeat.set_empty(!bootstrapped && settings_.first_start());
    heartbeat.set_control(hosts_control());
    heartbeat.set_work(hosts_work());
    if (hosts_control() && bootstrapped)
        *heartbeat.mutable_founders() = consensus::members_to_proto(initial_members_);
    auto received = received_revisions_.find(to.str());
    if (received != received_revisions_.end()) {
        heartbeat.set_directory_epoch(received->second.first);
        heartbeat.set_directory_revision(received->second.second);
    }
    heartbeat.set_lacks_announcements(lacks_announcements_);
    heartbeat.set_sent_at_us(to_us(monotonic_now()));
    return heartbeat;
}

void service::record_keeper(const schema::keeper_hello& heartbeat, instant seen) {
    known_keeper& known = keepers_[heartbeat.node()];
    if (seen < known.last_seen)
        return;
    known.heartbeat = heartbeat;
    known.last_seen = seen;
    const keeper_status status{
        heartbeat.node(), disk_id(heartbeat.disk()), heartbeat.address(), heartbeat.empty(), seen,
        heartbeat.zone()};
    if (heartbeat.control() || !uses_seeds())
        planner_.update(status);
    if (heartbeat.work())
        work_planner_.update(status);
}

// What a keeper has acknowledged to this one stays as it said itself.
void service::record_forwarded_keeper(schema::keeper_hello heartbeat, instant seen) {
    auto known = keepers_.find(heartbeat.node());
    if (known != keepers_.end()) {
        const schema::keeper_hello& direct = known->second.heartbeat;
        heartbeat.set_directory_epoch(direct.directory_epoch());
        heartbeat.set_directory_revision(direct.directory_revision());
        heartbeat.set_lacks_announcements(direct.lacks_announcements());
        heartbeat.set_sent_at_us(direct.sent_at_us());
    }
    record_keeper(heartbeat, seen);
}

void service::send_news(const peer_address& to, known_keeper& keeper) {
    const instant now = monotonic_now();
    schema::envelope envelope;
    schema::keeper_news* news = envelope.mutable_news();
    *news->mutable_self() = own_heartbeat(to);
    *news->mutable_work_founders() = control_state_.work_founders();
    const retiring_keepers retiring = find_retiring();
    for (const disk_id disk : retiring.disks)
        news->add_retiring_disks(disk.value());
    news->mutable_retiring_nodes()->Add(retiring.nodes.begin(), retiring.nodes.end());
    news->set_retirements(control_state_.retirements());
    const std::set<std::uint64_t> members = work_group_disks(now);
    const bool is_standby_receiver = is_standby_keeper(keeper.heartbeat, members);
    for (const std::pair<const std::string, known_keeper>& other : keepers_) {
        const microseconds age = now - other.second.last_seen;
        if (age >= keeper_timeout || other.first == keeper.heartbeat.node())
            continue;
        // A standby needs no news of the other standbys, which may be many.
        if (is_standby_receiver && is_standby_keeper(other.second.heartbeat, members))
            continue;
        schema::keeper_hello* added = news->add_keepers();
        *added = other.second.heartbeat;
        added->clear_founders();
        // These concern this keeper only.
        added->clear_directory_epoch();
        added->clear_directory_revision();
        added->clear_lacks_announcements();
        added->clear_sent_at_us();
        added->set_age_ms(
            added->age_ms() +
            static_cast<std::uint32_t>(std::chrono::duration_cast<milliseconds>(age).count()));
    }
    if (keeper.heartbeat.control()) {
        write_endpoints(keeper, *news);
        write_sightings(*news);
    }
    hub_->send(to, envelope);
}

// An endpoint announces itself to any keeper, which reports it to the others. Keepers relay
// the reports of others only to a keeper that is cut off from some of them.
void service::write_endpoints(known_keeper& keeper, schema::keeper_news& news) const {
    using pulse_scope = membership::endpoint_directory::pulse_scope;
    const instant now = monotonic_now();
    const std::uint64_t acknowledged = acknowledged_revision(keeper.heartbeat);
    const instant reported_at = from_us(keeper.heartbeat.sent_at_us());
    const std::uint64_t base = keeper.endpoint_list.base(acknowledged, reported_at);
    news.set_directory_epoch(directory_epoch_);
    news.set_directory_revision(directory_.revision());
    news.set_endpoints_base(base);
    for (schema::endpoint_record& record : directory_.records_since(base, now)) {
        record.clear_unresponsive();
        *news.add_endpoints() = std::move(record);
    }
    if (news.endpoints_size() > 0)
        keeper.endpoint_list.on_sent(acknowledged, base, directory_.revision(), reported_at);
    *news.mutable_pulses() = directory_.pulses_since(
        base, now, keeper.heartbeat.lacks_announcements() ? pulse_scope::all : pulse_scope::direct);
}

// A gateway sends most of its heartbeats to the keeper that it follows. That keeper tells the other
// keepers that the gateway is alive, so that all give callers the same list of gateways.
void service::write_sightings(schema::keeper_news& news) const {
    const instant now = monotonic_now();
    for (const std::pair<const std::string, known_gateway>& gateway : gateways_) {
        const microseconds age = now - gateway.second.heartbeat_received_at;
        if (!gateway.second.heartbeat.follows() || age >= gateway_timeout)
            continue;
        schema::entry_sighting* sighting = news.add_entries();
        sighting->set_entry(gateway.first);
        sighting->set_incarnation(gateway.second.heartbeat.incarnation());
        sighting->set_draining(gateway.second.heartbeat.draining());
        sighting->set_age_ms(
            static_cast<std::uint32_t>(std::chrono::duration_cast<milliseconds>(age).count()));
    }
}

void service::merge_sightings(const schema::keeper_news& news, instant now) {
    for (const schema::entry_sighting& sighting : news.entries()) {
        auto found = gateways_.find(sighting.entry());
        const bool same_incarnation =
            found != gateways_.end() &&
            found->second.heartbeat.incarnation() == sighting.incarnation();
        const instant seen = now - milliseconds(sighting.age_ms());
        if (!same_incarnation || seen <= found->second.last_seen)
            continue;
        found->second.last_seen = seen;
        found->second.heartbeat.set_draining(sighting.draining());
        roster_.observe(found->second.heartbeat, seen);
    }
}

void service::on_news(const schema::keeper_news& news) {
    const instant now = monotonic_now();
    record_keeper(news.self(), now);
    for (const schema::keeper_hello& heartbeat : news.keepers()) {
        if (heartbeat.node() != node_)
            record_forwarded_keeper(heartbeat, now - milliseconds(heartbeat.age_ms()));
    }
    if (hosts_work()) {
        on_retirements(news);
        if (news.work_founders().members_size() > 0)
            bootstrap_work_groups(news.work_founders());
    }
    if (!hosts_control())
        return;
    merge_endpoints(news, now);
    merge_sightings(news, now);
}

void service::merge_endpoints(const schema::keeper_news& news, instant now) {
    std::pair<std::uint64_t, std::uint64_t>& received = received_revisions_[news.self().address()];
    const std::uint64_t known = received.first == news.directory_epoch() ? received.second : 0;
    bool changed = false;
    for (const schema::endpoint_record& record : news.endpoints()) {
        changed = directory_.merge_remote(record, now) || changed;
        note_version(record, news.self().node());
    }
    for (const schema::endpoint_pulse& pulse : news.pulses())
        changed = directory_.merge_remote(pulse, now) || changed;
    // Behind news that were lost: the sender repeats what is missing.
    if (news.endpoints_base() <= known)
        received = {news.directory_epoch(), std::max(known, news.directory_revision())};
    // The sender may need the acknowledgement before it can acknowledge an endpoint's announcement.
    if (news.endpoints_size() > 0)
        acknowledge_news(peer_address(news.self().address()));
    if (changed)
        schedule_beacon_push();
    confirm_versions();
}

void service::push_news() {
    for (std::pair<const std::string, known_keeper>& keeper : keepers_) {
        if (monotonic_now() - keeper.second.last_seen < keeper_timeout)
            send_news(peer_address(keeper.second.heartbeat.address()), keeper.second);
    }
}

// Spreads the members over availability zones, so that a majority survives the loss of one.
static std::vector<schema::keeper_hello>
spread_over_zones(std::vector<schema::keeper_hello> candidates, std::size_t count) {
    std::vector<schema::keeper_hello> chosen;
    std::map<std::string, int> chosen_per_zone;
    while (chosen.size() < count && !candidates.empty()) {
        auto next = std::min_element(
            candidates.begin(), candidates.end(),
            [&chosen_per_zone](const schema::keeper_hello& a, const schema::keeper_hello& b) {
                return std::make_pair(chosen_per_zone[a.zone()], a.node()) <
                       std::make_pair(chosen_per_zone[b.zone()], b.node());
            });
        ++chosen_per_zone[next->zone()];
        chosen.push_back(*next);
        candidates.erase(next);
    }
    return chosen;
}

void service::propose_work_group_members() {
    if (!uses_seeds() || control_state_.work_founders().members_size() > 0)
        return;
    const instant now = monotonic_now();
    std::vector<schema::keeper_hello> candidates;
    for (const std::pair<const std::string, known_keeper>& keeper : keepers_) {
        if (keeper.second.heartbeat.work() && keeper.second.heartbeat.empty() &&
            now - keeper.second.last_seen < keeper_timeout)
            candidates.push_back(keeper.second.heartbeat);
    }
    if (candidates.size() < group_size()) {
        enough_candidates_since_ = instant();
        return;
    }
    if (enough_candidates_since_ == instant())
        enough_candidates_since_ = now;
    if (now - enough_candidates_since_ < candidate_gathering_time)
        return;
    consensus::member_list members;
    for (const schema::keeper_hello& keeper : spread_over_zones(candidates, group_size()))
        members.push_back({disk_id(keeper.disk()), keeper.node(), keeper.address(), true});
    schema::control_command command;
    *command.mutable_found_work()->mutable_founders() = consensus::members_to_proto(members);
    replicas_.at(control_group)
        ->propose(
            command.SerializeAsString(), [](const schema::keeper_reply&) {}, now);
}

void service::bootstrap_work_groups(const schema::group_members& proto) {
    work_groups_bootstrapped_ = true;
    const consensus::member_list members = consensus::members_from_proto(proto);
    std::vector<std::string> nodes;
    for (const consensus::member& member : members)
        nodes.push_back(member.node);
    work_planner_.set_initial_nodes(std::move(nodes));
    const bool is_initial_member =
        std::any_of(members.begin(), members.end(), [this](const consensus::member& member) {
            return member.disk == recovered_.disk;
        });
    if (!is_initial_member || replicas_.begin()->second->is_bootstrapped())
        return;
    initial_members_ = members;
    for (const std::pair<const group_id, std::unique_ptr<group_replica>>& replica : replicas_)
        replica.second->bootstrap(initial_members_, monotonic_now());
    write_initial_snapshots();
    log_info("work_groups_founded").with("members", initial_members_.size());
}

bool service::is_standby_keeper(const schema::keeper_hello& heartbeat,
                                const std::set<std::uint64_t>& members) {
    return !heartbeat.control() && !members.empty() && members.count(heartbeat.disk()) == 0;
}

// Uses the member lists that the groups' leaders last reported. If no leader has reported recently,
// falls back on the initial members, since some of them may still be members.
std::set<std::uint64_t> service::work_group_disks(instant now) const {
    std::set<std::uint64_t> disks;
    for (const std::pair<const std::string, known_keeper>& keeper : keepers_) {
        if (now - keeper.second.last_seen >= keeper_timeout)
            continue;
        for (const schema::group_view& view : keeper.second.heartbeat.leads())
            disks.insert(view.disks().begin(), view.disks().end());
    }
    if (disks.empty()) {
        for (const schema::group_member& member : control_state_.work_founders().members())
            disks.insert(member.disk());
    }
    return disks;
}

std::uint64_t service::compute_keepers_digest() const {
    std::string members_text;
    const instant now = monotonic_now();
    const std::set<std::uint64_t> disks = work_group_disks(now);
    for (const std::pair<const std::string, known_keeper>& keeper : keepers_) {
        const schema::keeper_hello& heartbeat = keeper.second.heartbeat;
        const bool in_group = disks.count(heartbeat.disk()) > 0;
        if (now - keeper.second.last_seen < keeper_timeout && (heartbeat.control() || in_group))
            members_text += heartbeat.address() + (heartbeat.control() ? "c" : "") +
                            (heartbeat.work() ? "w" : "") + (in_group ? "g" : "") + " ";
    }
    return stable_hash(members_text);
}

} // namespace cassia::keeper
