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
    applied_ = log_.base_index();
    stable_ = log_.last_index();
    // A restarted member has forgotten when it last heard from a leader. If it voted at once, the
    // leader whose lease counts on its silence could be replaced while it still serves reads.
    leader_heard_ = now;
    started_at_ = now;
    reset_election_timer(now);
}

void raft_group::tick(instant now) {
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
    if (now >= election_due_)
        start_election(true, election_cause::timeout, now);
    else
        campaign_after_start(now);
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
        // A leader of an old term learns of the new one by this answer and steps down.
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
            start_election(false, election_cause::handover, now);
        break;
    default:
        break;
    }
}

raft_actions raft_group::take_actions() {
    return std::exchange(actions_, raft_actions());
}

bool raft_group::may_read(instant now) const {
    if (role_ != raft_role::leader || applied_ < term_start_)
        return false;
    // The lease counts from when an append was sent, by this member's own clock, to the quorum
    // that answered it: each of those refuses to elect another for a full election timeout after
    // that. A quarter is kept back for clocks that run at different speeds.
    std::vector<instant> acked;
    for (const member& one : log_.members()) {
        if (!one.voter)
            continue;
        const bool own = one.disk == self_;
        auto found = progress_.find(one.disk);
        acked.push_back(own                        ? now
                        : found == progress_.end() ? instant()
                                                   : found->second.acked_sent_at);
    }
    if (acked.empty())
        return false;
    std::sort(acked.begin(), acked.end(), std::greater<>());
    const instant since = acked[quorum() - 1];
    return now < since + settings_.election_timeout * 3 / 4;
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
    const vote_state next{term, voted_for};
    if (next == vote_)
        return;
    vote_ = next;
    actions_.vote = next;
}

bool raft_group::is_voter(disk_id member) const {
    return std::any_of(
        log_.members().begin(), log_.members().end(),
        [member](const consensus::member& one) { return one.disk == member && one.voter; });
}

std::size_t raft_group::quorum() const {
    const auto voters = std::count_if(log_.members().begin(), log_.members().end(),
                                      [](const member& one) { return one.voter; });
    return static_cast<std::size_t>(voters) / 2 + 1;
}

bool raft_group::caught_up(disk_id member) const {
    auto found = progress_.find(member);
    return found != progress_.end() && !found->second.snapshot && found->second.match >= commit_;
}

bool raft_group::is_active(disk_id member, instant now) const {
    auto found = progress_.find(member);
    return found != progress_.end() &&
           now - found->second.last_answer < settings_.election_timeout * 2;
}

} // namespace cassia::consensus
