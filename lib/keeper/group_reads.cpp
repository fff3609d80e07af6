// Reads of a group's state on its leader.

#include "cassia/keeper/group_replica.h"

#include <utility>

namespace cassia::keeper {

namespace {
// Gateways wait 2.5 s for a reply.
constexpr milliseconds max_read_wait(2000);
// One append confirms all reads that arrived before it, so a burst of reads needs few.
constexpr milliseconds min_confirmation_interval(5);
} // namespace

// Where members stand still in turn, replies arrive later than the lease lasts. Such reads take a
// round trip; rejecting them would stop all service although the group has its quorum.
void group_replica::read(std::function<void(bool)> done, instant now) {
    if (!raft_->leads() || raft_->may_read(now)) {
        done(raft_->leads());
        return;
    }
    pending_reads_.push_back({now, std::move(done)});
    on_actions_pending_();
}

void group_replica::confirm_for_reads(instant now) {
    const bool covered =
        pending_reads_.empty() || pending_reads_.back().arrived_at < last_confirmation_;
    if (covered || now - last_confirmation_ < min_confirmation_interval)
        return;
    last_confirmation_ = now;
    raft_->confirm_leadership(now);
}

void group_replica::serve_pending_reads(instant now) {
    while (!pending_reads_.empty()) {
        const instant arrived_at = pending_reads_.front().arrived_at;
        const bool confirmed = raft_->may_read(now) || raft_->may_read_since(arrived_at);
        if (!confirmed && now - arrived_at < max_read_wait)
            return;
        const pending_read next = std::move(pending_reads_.front());
        pending_reads_.pop_front();
        next.done(confirmed);
    }
}

} // namespace cassia::keeper
