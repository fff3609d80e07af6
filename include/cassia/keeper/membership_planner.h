/// Decides the initial members of a Raft group, and the membership changes by which its leader
/// grows it, replaces a member that lost its disk, or removes one that is being retired. Pure.
#pragma once

#include "cassia/base/clock.h"
#include "cassia/consensus/raft_group.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace cassia::keeper {

/// What a keeper last reported about itself.
struct keeper_status {
    std::string node;
    disk_id disk;
    std::string address;
    bool empty = false; ///< its disk holds no group
    instant last_seen{};
    std::string zone{};
};

/// Members of a group by its leader's latest list or by the one in force. One that is being removed
/// counts until that is committed: another leader may not know of it yet.
consensus::member_list counted_members(const consensus::raft_group& group);

class membership_planner {
public:
    /// \param nodes names of the initial members, from settings.
    explicit membership_planner(std::vector<std::string> nodes);

    /// Replaces the initial members, for a group whose members are decided at run time.
    void set_initial_nodes(std::vector<std::string> nodes);
    /// Number of members that the group grows to; by default the number of initial members.
    void set_target_size(std::size_t members) { target_size_ = members; }
    /// Disks to be removed from the group; they are never added to it. The same goes for all disks
    /// of the nodes: a VM that is to be removed may lose its disk and come back with another one.
    void set_retiring(std::set<disk_id> disks, std::set<std::string> nodes = {}) {
        retiring_ = std::move(disks);
        retiring_nodes_ = std::move(nodes);
    }
    bool is_retiring(disk_id disk, const std::string& node) const {
        return retiring_.count(disk) > 0 || retiring_nodes_.count(node) > 0;
    }

    void update(const keeper_status& status);
    /// Peer address of the keeper with this disk; empty if it has not reported itself.
    peer_address address_of(disk_id disk) const;

    /// The initial members, once each of them has recently reported an empty disk. A group is never
    /// bootstrapped from fewer: a missing one may have voted or acknowledged entries.
    std::optional<consensus::member_list> initial_members(instant now) const;

    /// The next membership change that the leader of `group` should propose, if any.
    std::optional<consensus::member_list> next_change(const consensus::raft_group& group,
                                                      instant now) const;

private:
    bool is_recent(const keeper_status& status, instant now) const;
    /// Number of voters that the group is to have.
    std::size_t target() const;
    std::size_t count_lasting_voters(const consensus::member_list& members,
                                     const consensus::raft_group& group, instant now) const;

    /// Whether there are more voters than intended and none of them is to be replaced.
    bool has_healthy_surplus(const consensus::member_list& members,
                             const consensus::raft_group& group, instant now) const;
    /// The keeper to add, if any.
    const keeper_status* find_candidate(const consensus::member_list& members,
                                        const consensus::raft_group& group, instant now) const;
    /// Number of members in the zone of a node, without those to be replaced.
    std::size_t count_in_zone(const consensus::member_list& members, const std::string& node,
                              const consensus::raft_group& group, instant now) const;
    bool may_add(const consensus::member_list& members, const keeper_status& candidate,
                 const consensus::raft_group& group, instant now) const;
    bool may_remove(const consensus::member_list& members, const consensus::member& candidate,
                    const consensus::raft_group& group, instant now) const;

    std::vector<std::string> initial_nodes_;
    std::size_t target_size_ = 0;
    std::set<disk_id> retiring_;
    std::set<std::string> retiring_nodes_;
    std::map<std::string, keeper_status> keepers_; ///< by node
};

} // namespace cassia::keeper
