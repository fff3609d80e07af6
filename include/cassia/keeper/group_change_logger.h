/// Logs each change of a group's leader and members.
#pragma once

#include "cassia/base/ids.h"
#include "cassia/base/metrics.h"
#include "cassia/consensus/raft_group.h"

#include <string>

namespace cassia::keeper {

class group_change_logger {
public:
    group_change_logger(group_id group, metrics& registry) : group_(group), metrics_(registry) {}

    /// Compares the group with what was logged last.
    void observe(const consensus::raft_group& raft);

private:
    group_id group_;
    metrics& metrics_;
    disk_id leader_;
    std::string members_; ///< as last logged
};

} // namespace cassia::keeper
