// Keepers that are emptied of their groups, so that their VMs can be removed.

#include "cassia/base/log.h"
#include "cassia/keeper/service.h"
#include "cassia/net/http_server.h"
#include "cassia/state/sharding.h"

#include <algorithm>
#include <set>
#include <string>
#include <utility>

namespace cassia::keeper {

namespace {
using state::control_group;
// A leader reports the members of its groups several times a second.
constexpr milliseconds group_view_timeout(1000);
// A retired keeper that has sent no heartbeat for this long has been removed.
constexpr milliseconds removal_time(30000);
} // namespace

const service::known_keeper* service::find_work_keeper(const std::string& name) const {
    const known_keeper* found = nullptr;
    for (const std::pair<const std::string, known_keeper>& keeper : keepers_) {
        const bool matches =
            keeper.second.heartbeat.work() && keeper.second.heartbeat.name() == name;
        if (matches && (found == nullptr || keeper.second.last_seen > found->last_seen))
            found = &keeper.second;
    }
    return found;
}

service::retiring_keepers service::find_retiring() const {
    retiring_keepers found;
    for (const schema::retire_command& command : control_state_.retiring()) {
        found.disks.insert(disk_id(command.disk()));
        if (!command.ended() && !command.node().empty())
            found.nodes.insert(command.node());
    }
    return found;
}

bool service::may_stay(const known_keeper& keeper, const retiring_keepers& retiring,
                       instant now) const {
    const schema::keeper_hello& heartbeat = keeper.heartbeat;
    return heartbeat.work() && now - keeper.last_seen < keeper_timeout &&
           retiring.disks.count(disk_id(heartbeat.disk())) == 0 &&
           retiring.nodes.count(heartbeat.node()) == 0;
}

void service::retire_keeper(const std::string& name,
                            const std::function<void(const retire_response&)>& done) {
    const group_replica& replica = *replicas_.at(control_group);
    const instant now = monotonic_now();
    if (!replica.raft().may_read(now)) {
        const bool other_leads = !replica.raft().leads() && replica.raft().leader() != disk_id();
        done({other_leads ? retire_outcome::not_leader : retire_outcome::unknown,
              net::ip_of(leader_node(replica))});
        return;
    }
    const known_keeper* keeper = find_work_keeper(name);
    if (keeper == nullptr) {
        done({retire_outcome::not_found, ""});
        return;
    }
    const disk_id disk(keeper->heartbeat.disk());
    retiring_keepers retiring = find_retiring();
    // A repeated order is acknowledged again, also if the keeper has lost its disk since.
    const bool has_new_disk = retiring.disks.insert(disk).second;
    const bool is_new = retiring.nodes.insert(keeper->heartbeat.node()).second && has_new_disk;
    const std::size_t remaining = static_cast<std::size_t>(
        std::count_if(keepers_.begin(), keepers_.end(),
                      [&](const auto& known) { return may_stay(known.second, retiring, now); }));
    if (is_new && remaining < group_size()) {
        done({retire_outcome::too_few_keepers, ""});
        return;
    }
    schema::control_command command;
    command.mutable_retire()->set_name(name);
    command.mutable_retire()->set_disk(disk.value());
    command.mutable_retire()->set_node(keeper->heartbeat.node());
    replicas_.at(control_group)
        ->propose(
            command.SerializeAsString(),
            [done](const schema::keeper_reply& reply) {
                const bool applied = reply.result() == schema::keeper_reply::done;
                done({applied ? retire_outcome::done : retire_outcome::unknown, ""});
            },
            now);
}

// The VM is removed at once, so no group may have it as a member, with any disk, and all keepers
// that may lead a group must know that it isn't to be added again.
std::optional<bool> service::is_keeper_retired(const std::string& name) const {
    std::set<std::uint64_t> disks;
    std::set<std::string> nodes;
    for (const schema::retire_command& command : control_state_.retiring()) {
        if (command.name() != name)
            continue;
        disks.insert(command.disk());
        if (!command.node().empty())
            nodes.insert(command.node());
    }
    if (disks.empty())
        return std::nullopt;
    const instant now = monotonic_now();
    std::map<std::uint32_t, const schema::group_view*> views;
    for (const std::pair<const std::string, known_keeper>& keeper : keepers_) {
        const schema::keeper_hello& heartbeat = keeper.second.heartbeat;
        const microseconds age = now - keeper.second.last_seen;
        const bool may_lead = heartbeat.work() && heartbeat.name() != name;
        if (may_lead && age < keeper_timeout &&
            heartbeat.retirements() < control_state_.retirements())
            return false;
        if (age >= group_view_timeout)
            continue;
        for (const schema::group_view& view : heartbeat.leads()) {
            const schema::group_view*& latest = views[view.group()];
            if (latest == nullptr || view.term() > latest->term())
                latest = &view;
        }
    }
    if (views.size() < settings_.cluster().work_groups())
        return false;
    return std::none_of(views.begin(), views.end(), [&](const auto& known) {
        const schema::group_view& view = *known.second;
        return std::any_of(view.disks().begin(), view.disks().end(),
                           [&disks](std::uint64_t disk) { return disks.count(disk) > 0; }) ||
               std::any_of(view.nodes().begin(), view.nodes().end(),
                           [&nodes](const std::string& node) { return nodes.count(node) > 0; });
    });
}

// From then on a new keeper may have the node of the one that was removed.
void service::end_retirements() {
    const instant now = monotonic_now();
    group_replica& replica = *replicas_.at(control_group);
    if (!replica.raft().may_read(now) || now - started_at_ < removal_time)
        return;
    for (const schema::retire_command& command : control_state_.retiring()) {
        auto keeper = keepers_.find(command.node());
        const bool is_gone =
            keeper == keepers_.end() || now - keeper->second.last_seen >= removal_time;
        if (command.ended() || !is_gone || !is_keeper_retired(command.name()).value_or(false))
            continue;
        schema::control_command end;
        *end.mutable_retire() = command;
        end.mutable_retire()->set_ended(true);
        log_info("retirement_ended").with("keeper", command.name());
        replica.propose(
            end.SerializeAsString(), [](const schema::keeper_reply&) {}, now);
        return;
    }
}

void service::on_retirements(const schema::keeper_news& news) {
    // The list grows and shrinks: its number of changes tells which is the latest.
    const std::uint64_t changes = std::max<std::uint64_t>(
        news.retirements(), static_cast<std::uint64_t>(news.retiring_disks_size()));
    if (changes < known_retirements_)
        return;
    known_retirements_ = changes;
    std::set<disk_id> disks;
    for (const std::uint64_t disk : news.retiring_disks())
        disks.insert(disk_id(disk));
    work_planner_.set_retiring(std::move(disks),
                               {news.retiring_nodes().begin(), news.retiring_nodes().end()});
}

} // namespace cassia::keeper
