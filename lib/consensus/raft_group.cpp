#include "cassia/consensus/raft_group.h"

#include "cassia/schema/messages.pb.h"

#include <algorithm>
#include <utility>

namespace cassia::consensus {

raft_group::raft_group(group_id group, disk_id self, raft_settings settings, vote_state vote,
                       raft_log log, std::uint64_t seed, instant now)
    : group_(group), self_(self), settings_(settings), vote_(vote), log_(std::move(log)),
      random_(seed) {
    commit_ = log_.base_index();
    collected_ = log_.base_index();
    applied_ = log_.base_index();
    synced_ = log_.last_index();
    // A restarted member doesn't know when it last received a message from a leader. A leader's
    // lease relies on this member rejecting vote requests for an election timeout; if it voted
    // immediately, that leader could be replaced while it still serves reads.
    last_leader_contact_ = now;
    started_at_ = now;
    reset_election_timer(now);
}

void raft_group::tick(instant now) {
    const bool was_paused = discount_own_pause(now);
    if (role_ == raft_role::leader) {
        check_quorum(now);
        if (role_ == raft_role::leader)
            broadcast(now);
        return;
    }
    if (!is_voter(self_)) {
        role_ = raft_role::learner;
        return;
    }
    if (role_ == raft_role::learner)
        role_ = raft_role::follower;
    // After a pause, the leader's messages may have arrived and not been read yet. They are by the
    // next tick, which may be late too where the VM is slow.
    const bool is_due = now >= election_due_;
    const bool was_deferred = std::exchange(election_deferred_, is_due && was_paused);
    if (is_due && (!was_paused || was_deferred))
        start_election(true, election_cause::timeout, now);
    else
        try_restart_election(now);
}

void raft_group::receive(const schema::raft_message& message, instant now) {
    if (disk_id(message.to()) != self_)
        return;
    const term_number term(message.term());
    using kind = schema::raft_message;
    const bool is_request = message.kind() == kind::pre_vote || message.kind() == kind::vote;
    if (is_request) {
        receive_vote_request(message, now);
        return;
    }
    if (message.kind() == kind::pre_vote_reply) {
        if (message.reject() && term > vote_.term)
            become_follower(term, disk_id(), now);
        else
            receive_vote_reply(message, now);
        return;
    }
    if (term > vote_.term) {
        const bool from_leader = message.kind() == kind::append || message.kind() == kind::snapshot;
        become_follower(term, from_leader ? disk_id(message.from()) : disk_id(), now);
    }
    if (term < vote_.term) {
        // The term of this reply makes a leader of an earlier term step down.
        if (message.kind() == kind::append || message.kind() == kind::snapshot) {
            schema::raft_message reply = make_message(kind::append_reply, disk_id(message.from()));
            reply.set_reject(true);
            actions_.messages_after_sync.push_back(std::move(reply));
        }
        return;
    }
    switch (message.kind()) {
    case kind::vote_reply:
        receive_vote_reply(message, now);
        break;
    case kind::append:
        receive_append(message, now);
        break;
    case kind::append_reply:
        receive_append_reply(message, now);
        break;
    case kind::snapshot:
        become_follower(term, disk_id(message.from()), now);
        actions_.snapshot_messages.push_back(message);
        break;
    case kind::snapshot_reply:
        if (role_ == raft_role::leader)
            actions_.snapshot_messages.push_back(message);
        break;
    case kind::timeout_now:
        if (is_voter(self_))
            start_election(false, election_cause::transfer, now);
        break;
    default:
        break;
    }
}

raft_actions raft_group::take_actions() {
    return std::exchange(actions_, raft_actions());
}

bool raft_group::may_read(instant now) const {
    if (!is_ready())
        return false;
    // The lease starts at the time, by this member's own clock, when it sent the latest append that
    // a quorum has replied to: each of those members rejects vote requests for an election timeout
    // after it received the append. A quarter of the timeout is the margin for clocks that run at
    // different speeds.
    const instant lease_start = quorum_send_time(now);
    return lease_start != instant() && lease_start >= no_lease_before_ &&
           now < lease_start + settings_.election_timeout * 3 / 4;
}

// A member that replies in this term has voted in no later one by then. A later leader's quorum
// shares a member with the one that replied, so it was elected after the read arrived.
bool raft_group::may_read_since(instant since) const {
    return is_ready() && quorum_send_time(instant::max()) > since;
}

void raft_group::confirm_leadership(instant now) {
    if (role_ != raft_role::leader)
        return;
    for (const std::pair<const disk_id, progress>& peer : progress_)
        send_append(peer.first, now);
}

// Sent by this member, by its own clock: the latest append that a quorum has replied to. It counts
// its own as replied to at `now`.
instant raft_group::quorum_send_time(instant now) const {
    std::vector<instant> acked_send_times;
    for (const member& group_member : log_.members()) {
        if (!group_member.voter)
            continue;
        const bool own = group_member.disk == self_;
        auto found = progress_.find(group_member.disk);
        acked_send_times.push_back(own                        ? now
                                   : found == progress_.end() ? instant()
                                                              : found->second.acked_send_time);
    }
    if (acked_send_times.empty())
        return instant();
    std::sort(acked_send_times.begin(), acked_send_times.end(), std::greater<>());
    return acked_send_times[quorum() - 1];
}

schema::raft_message raft_group::make_message(int kind, disk_id to) const {
    schema::raft_message message;
    message.set_kind(static_cast<schema::raft_message::message_kind>(kind));
    message.set_group(static_cast<std::uint32_t>(group_.value()));
    message.set_from(self_.value());
    message.set_to(to.value());
    message.set_term(vote_.term.value());
    return message;
}

void raft_group::set_term(term_number term, disk_id voted_for) {
    const vote_state updated{term, voted_for};
    if (updated == vote_)
        return;
    vote_ = updated;
    actions_.vote = updated;
}

bool raft_group::is_voter(disk_id member) const {
    return std::any_of(
        log_.members().begin(), log_.members().end(),
        [member](const consensus::member& other) { return other.disk == member && other.voter; });
}

std::size_t raft_group::quorum() const {
    const auto voters =
        std::count_if(log_.members().begin(), log_.members().end(),
                      [](const member& group_member) { return group_member.voter; });
    return static_cast<std::size_t>(voters) / 2 + 1;
}

bool raft_group::caught_up(disk_id member) const {
    auto found = progress_.find(member);
    return found != progress_.end() && !found->second.awaiting_snapshot &&
           found->second.match >= commit_;
}

bool raft_group::has_matched(disk_id member) const {
    auto found = progress_.find(member);
    return found != progress_.end() && found->second.match > 0;
}

bool raft_group::is_active(disk_id member, instant now) const {
    auto found = progress_.find(member);
    return found != progress_.end() &&
           now - found->second.last_reply < settings_.election_timeout * 2;
}

} // namespace cassia::consensus
