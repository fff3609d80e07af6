#include "cassia/keeper/membership_planner.h"

#include <algorithm>

namespace cassia::keeper {

namespace {
constexpr milliseconds sighting_age(3000);
} // namespace

founding::founding(std::vector<std::string> founders) {
    set_founders(std::move(founders));
}

void founding::set_founders(std::vector<std::string> founders) {
    founders_ = std::move(founders);
    std::sort(founders_.begin(), founders_.end());
}

void founding::saw(const keeper_sighting& sighting) {
    seen_[sighting.node] = sighting;
}

peer_address founding::address_of(disk_id disk) const {
    for (const std::pair<const std::string, keeper_sighting>& one : seen_) {
        if (one.second.disk == disk)
            return peer_address(one.second.address);
    }
    return peer_address();
}

bool founding::is_recent(const keeper_sighting& one, instant now) const {
    return now - one.seen < sighting_age;
}

std::optional<consensus::member_list> founding::first_members(instant now) const {
    consensus::member_list members;
    for (const std::string& node : founders_) {
        auto found = seen_.find(node);
        if (found == seen_.end() || !found->second.empty || !is_recent(found->second, now))
            return std::nullopt;
        members.push_back({found->second.disk, node, found->second.address, true});
    }
    return members;
}

static bool has_node(const consensus::member_list& members, const std::string& node) {
    return std::any_of(members.begin(), members.end(),
                       [&node](const consensus::member& one) { return one.node == node; });
}

// A disk that was wiped comes back under a new identity: it has lost its promises, so it may not
// act as the old member. It joins as a learner, is promoted once it holds all that is committed,
// and only then the old identity goes. Counting an empty disk towards a quorum would let an
// acknowledged record be forgotten when a second VM is lost just after.
std::optional<consensus::member_list> founding::next_change(const consensus::raft_group& group,
                                                            instant now) const {
    consensus::member_list members = group.log().members();
    for (const std::pair<const std::string, keeper_sighting>& one : seen_) {
        const keeper_sighting& sighting = one.second;
        if (!may_join(members, sighting, group, now))
            continue;
        members.push_back({sighting.disk, sighting.node, sighting.address, false});
        return members;
    }
    for (consensus::member& one : members) {
        if (one.voter || !group.is_active(one.disk, now) || !group.caught_up(one.disk))
            continue;
        one.voter = true;
        return members;
    }
    for (auto one = members.begin(); one != members.end(); ++one) {
        if (!may_leave(members, *one, group, now))
            continue;
        members.erase(one);
        return members;
    }
    return std::nullopt;
}

bool founding::may_join(const consensus::member_list& members, const keeper_sighting& one,
                        const consensus::raft_group& group, instant now) const {
    const bool known =
        std::any_of(members.begin(), members.end(),
                    [&one](const consensus::member& member) { return member.disk == one.disk; });
    if (!is_recent(one, now) || known || is_retiring(one.disk))
        return false;
    const bool replaceable = std::any_of(
        members.begin(), members.end(), [this, &group, now](const consensus::member& member) {
            const bool idle =
                member.voter && member.disk != group.self() && !group.is_active(member.disk, now);
            return idle || is_retiring(member.disk);
        });
    // One at a time: each joining member costs the leader a copy of the state.
    const bool joining =
        std::any_of(members.begin(), members.end(), [&group, now](const consensus::member& member) {
            return !member.voter && group.is_active(member.disk, now);
        });
    const bool grows = members.size() < target_;
    return has_node(members, one.node) || ((replaceable || grows) && !joining);
}

bool founding::may_leave(const consensus::member_list& members, const consensus::member& one,
                         const consensus::raft_group& group, instant now) const {
    if (one.disk == group.self())
        return false;
    const bool silent = !group.is_active(one.disk, now);
    const bool superseded = std::any_of(
        members.begin(), members.end(), [&one, &group, now](const consensus::member& other) {
            return other.node == one.node && other.disk != one.disk &&
                   (other.voter || !one.voter) && group.is_active(other.disk, now);
        });
    const std::size_t voters = static_cast<std::size_t>(
        std::count_if(members.begin(), members.end(),
                      [](const consensus::member& other) { return other.voter; }));
    const std::size_t wanted = std::max(target_, founders_.size());
    const bool spare_in_place = one.voter && voters > wanted;
    return (silent && (superseded || spare_in_place)) || (is_retiring(one.disk) && spare_in_place);
}

} // namespace cassia::keeper
