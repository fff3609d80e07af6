/// Logs who leads a group and who belongs to it, each time that this changes.
#pragma once

#include "cassia/base/ids.h"
#include "cassia/base/metrics.h"
#include "cassia/consensus/raft_group.h"

#include <string>

namespace cassia::keeper {

class group_watch {
public:
    group_watch(group_id group, metrics& counts) : group_(group), metrics_(counts) {}

    void look(const consensus::raft_group& raft);

private:
    group_id group_;
    metrics& metrics_;
    disk_id leader_;
    std::string members_; ///< as last logged
};

} // namespace cassia::keeper
