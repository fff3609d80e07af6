#include "cassia/keeper/group_change_logger.h"

#include "cassia/base/log.h"

namespace cassia::keeper {

static std::string name_of(const consensus::raft_group& raft, disk_id disk) {
    for (const consensus::member& member : raft.log().members()) {
        if (member.disk == disk)
            return member.node;
    }
    return "";
}

// Learners, which replicate the log but don't vote, are marked with a plus.
static std::string members_text(const consensus::raft_group& raft) {
    std::string text;
    for (const consensus::member& member : raft.log().members())
        text += (text.empty() ? "" : ",") + member.node + (member.voter ? "" : "+");
    return text;
}

void group_change_logger::observe(const consensus::raft_group& raft) {
    if (raft.leader() != leader_) {
        leader_ = raft.leader();
        metrics_.count("leader_changes");
        log_info("leader_changed")
            .with("group", group_.value())
            .with("leader", leader_ == disk_id() ? "none" : name_of(raft, leader_))
            .with("term", raft.term().value())
            .with("applied", raft.applied_index());
    }
    const std::string members = members_text(raft);
    if (members == members_)
        return;
    members_ = members;
    log_info("members_changed")
        .with("group", group_.value())
        .with("members", members)
        .with("term", raft.term().value())
        .with("commit", raft.commit_index());
}

} // namespace cassia::keeper
