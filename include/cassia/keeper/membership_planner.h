/// How keepers form a cluster once, and what a leader changes to replace a member whose disk is
/// gone. Pure.
#pragma once

#include "cassia/base/clock.h"
#include "cassia/consensus/raft_group.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace cassia::keeper {

/// What a keeper last said of itself.
struct keeper_sighting {
    std::string node;
    disk_id disk;
    std::string address;
    bool empty = false; ///< its disk holds no group
    instant seen{};
};

class founding {
public:
    /// \param founders nodes that found the cluster, from settings.
    explicit founding(std::vector<std::string> founders);

    /// Names the founders anew, where they are decided later than the process starts.
    void set_founders(std::vector<std::string> founders);
    /// How many members a group grows to; as many as founders if not set.
    void set_target(std::size_t members) { target_ = members; }
    /// Disks that are to leave their groups, and join none.
    void set_retiring(std::set<disk_id> disks) { retiring_ = std::move(disks); }
    bool is_retiring(disk_id disk) const { return retiring_.count(disk) > 0; }

    void saw(const keeper_sighting& sighting);
    /// Where the keeper with this disk is reached; empty if it never said so.
    peer_address address_of(disk_id disk) const;

    /// The first members, once every founder has said lately that its disk is empty. A cluster
    /// never forms from fewer: those missing may hold promises.
    std::optional<consensus::member_list> first_members(instant now) const;

    /// The next change of one group's members that its leader should propose, or nothing.
    std::optional<consensus::member_list> next_change(const consensus::raft_group& group,
                                                      instant now) const;

private:
    bool is_recent(const keeper_sighting& one, instant now) const;

    bool may_join(const consensus::member_list& members, const keeper_sighting& one,
                  const consensus::raft_group& group, instant now) const;
    bool may_leave(const consensus::member_list& members, const consensus::member& one,
                   const consensus::raft_group& group, instant now) const;

    std::vector<std::string> founders_;
    std::size_t target_ = 0;
    std::set<disk_id> retiring_;
    std::map<std::string, keeper_sighting> seen_; ///< by node
};

} // namespace cassia::keeper
