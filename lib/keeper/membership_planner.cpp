#include "cassia/keeper/membership_planner.h"

#include <algorithm>

namespace cassia::keeper {

namespace {
constexpr milliseconds status_timeout(3000);
} // namespace

consensus::member_list counted_members(const consensus::raft_group& group) {
    consensus::member_list counted = group.log().members();
    for (const consensus::member& member : group.log().members_at(group.applied_index())) {
        const bool is_new =
            std::none_of(counted.begin(), counted.end(), [&member](const consensus::member& other) {
                return other.disk == member.disk;
            });
        if (is_new)
            counted.push_back(member);
    }
    return counted;
}

membership_planner::membership_planner(std::vector<std::string> nodes) {
    set_initial_nodes(std::move(nodes));
}

void membership_planner::set_initial_nodes(std::vector<std::string> nodes) {
    initial_nodes_ = std::move(nodes);
    std::sort(initial_nodes_.begin(), initial_nodes_.end());
}

void membership_planner::update(const keeper_status& status) {
    keepers_[status.node] = status;
}

peer_address membership_planner::address_of(disk_id disk) const {
    for (const std::pair<const std::string, keeper_status>& keeper : keepers_) {
        if (keeper.second.disk == disk)
            return peer_address(keeper.second.address);
    }
    return peer_address();
}

bool membership_planner::is_recent(const keeper_status& status, instant now) const {
    return now - status.last_seen < status_timeout;
}

std::optional<consensus::member_list> membership_planner::initial_members(instant now) const {
    consensus::member_list members;
    for (const std::string& node : initial_nodes_) {
        auto found = keepers_.find(node);
        if (found == keepers_.end() || !found->second.empty || !is_recent(found->second, now))
            return std::nullopt;
        members.push_back({found->second.disk, node, found->second.address, true});
    }
    return members;
}

static bool has_node(const consensus::member_list& members, const std::string& node) {
    return std::any_of(members.begin(), members.end(),
                       [&node](const consensus::member& member) { return member.node == node; });
}

static std::size_t count_voters(const consensus::member_list& members) {
    return static_cast<std::size_t>(
        std::count_if(members.begin(), members.end(),
                      [](const consensus::member& member) { return member.voter; }));
}

// A disk that was wiped comes back under a new identity. It has lost its votes and acknowledged
// entries, so it must not act as the old member: it joins as a learner, is promoted once it holds
// everything committed, and only then is the old identity removed. If an empty disk counted towards
// a quorum, losing a second VM right afterwards could lose an acknowledged record.
std::optional<consensus::member_list>
membership_planner::next_change(const consensus::raft_group& group, instant now) const {
    consensus::member_list members = group.log().members();
    // A member that has been replaced is removed before another one is added. Otherwise it would be
    // replaced again.
    for (auto member = members.begin(); member != members.end(); ++member) {
        if (!may_remove(members, *member, group, now))
            continue;
        members.erase(member);
        return members;
    }
    if (has_healthy_surplus(members, group, now)) {
        // The newest voter of the zone that has most.
        auto surplus = members.end();
        std::size_t most = 0;
        for (auto member = members.begin(); member != members.end(); ++member) {
            const std::size_t in_zone = count_in_zone(members, member->node, group, now);
            if (!member->voter || member->disk == group.self() || in_zone < most)
                continue;
            surplus = member;
            most = in_zone;
        }
        members.erase(surplus);
        return members;
    }
    if (const keeper_status* candidate = find_candidate(members, group, now)) {
        members.push_back({candidate->disk, candidate->node, candidate->address, false});
        return members;
    }
    for (consensus::member& member : members) {
        if (member.voter || !group.is_active(member.disk, now) || !group.caught_up(member.disk))
            continue;
        member.voter = true;
        return members;
    }
    return std::nullopt;
}

// The members are spread over availability zones, so that a majority survives the loss of one.
const keeper_status* membership_planner::find_candidate(const consensus::member_list& members,
                                                        const consensus::raft_group& group,
                                                        instant now) const {
    const keeper_status* best = nullptr;
    std::size_t fewest = 0;
    for (const std::pair<const std::string, keeper_status>& keeper : keepers_) {
        if (!may_add(members, keeper.second, group, now))
            continue;
        const std::size_t in_zone = count_in_zone(members, keeper.first, group, now);
        if (best != nullptr && in_zone >= fewest)
            continue;
        best = &keeper.second;
        fewest = in_zone;
    }
    return best;
}

std::size_t membership_planner::count_in_zone(const consensus::member_list& members,
                                              const std::string& node,
                                              const consensus::raft_group& group,
                                              instant now) const {
    const auto zone_of = [this](const std::string& name) {
        auto found = keepers_.find(name);
        return found == keepers_.end() ? std::string() : found->second.zone;
    };
    return static_cast<std::size_t>(
        std::count_if(members.begin(), members.end(), [&](const consensus::member& member) {
            return zone_of(member.node) == zone_of(node) &&
                   !is_retiring(member.disk, member.node) &&
                   (member.disk == group.self() || group.is_active(member.disk, now));
        }));
}

std::size_t membership_planner::target() const {
    return std::max(target_size_, initial_nodes_.size());
}

// Voters that needn't be replaced.
std::size_t membership_planner::count_lasting_voters(const consensus::member_list& members,
                                                     const consensus::raft_group& group,
                                                     instant now) const {
    return static_cast<std::size_t>(std::count_if(
        members.begin(), members.end(), [this, &group, now](const consensus::member& member) {
            const bool responsive =
                member.disk == group.self() || group.is_active(member.disk, now);
            return member.voter && responsive && !is_retiring(member.disk, member.node);
        }));
}

// A voter that didn't respond for a while, and was replaced, has returned. With more voters than
// intended, every change would wait for more of them.
bool membership_planner::has_healthy_surplus(const consensus::member_list& members,
                                             const consensus::raft_group& group,
                                             instant now) const {
    const std::size_t voters = count_voters(members);
    // A new leader takes all members for active at first.
    const bool all_matched =
        std::all_of(members.begin(), members.end(), [&group](const consensus::member& member) {
            return !member.voter || member.disk == group.self() || group.has_matched(member.disk);
        });
    return voters > target() && all_matched && count_lasting_voters(members, group, now) == voters;
}

bool membership_planner::may_add(const consensus::member_list& members,
                                 const keeper_status& candidate, const consensus::raft_group& group,
                                 instant now) const {
    const bool is_member =
        std::any_of(members.begin(), members.end(), [&candidate](const consensus::member& member) {
            return member.disk == candidate.disk;
        });
    if (!is_recent(candidate, now) || is_member || is_retiring(candidate.disk, candidate.node))
        return false;
    // Learners are added one at a time, because each costs the leader a copy of the state. A new
    // disk of a member's node is added regardless: it is to replace that node's old disk.
    const bool has_active_learner =
        std::any_of(members.begin(), members.end(), [&group, now](const consensus::member& member) {
            return !member.voter && group.is_active(member.disk, now);
        });
    const bool below_target = count_lasting_voters(members, group, now) < target();
    return has_node(members, candidate.node) || (below_target && !has_active_learner);
}

bool membership_planner::may_remove(const consensus::member_list& members,
                                    const consensus::member& candidate,
                                    const consensus::raft_group& group, instant now) const {
    if (candidate.disk == group.self())
        return false;
    const bool unresponsive = !group.is_active(candidate.disk, now);
    // The same node has joined with another disk.
    const bool superseded = std::any_of(
        members.begin(), members.end(), [&candidate, &group, now](const consensus::member& other) {
            return other.node == candidate.node && other.disk != candidate.disk &&
                   (other.voter || !candidate.voter) && group.is_active(other.disk, now);
        });
    const bool is_surplus_voter = candidate.voter && count_voters(members) > target();
    return (unresponsive && (superseded || is_surplus_voter)) ||
           (is_retiring(candidate.disk, candidate.node) && is_surplus_voter);
}

} // namespace cassia::keeper
