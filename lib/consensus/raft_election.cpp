// Leader elections, leadership transfer, and the quorum check of a leader.

#include "cassia/consensus/raft_group.h"

#include "cassia/schema/messages.pb.h"

#include <algorithm>
#include <utility>

namespace cassia::consensus {

namespace {
// Interval between election rounds after a restart of all members: a few round trips between zones.
constexpr milliseconds restart_election_interval(25);
// A member that has granted another one's pre-vote after a restart leaves the rounds to that one
// for this long. Rounds of all members would keep small VMs busy just when gateways start as well.
constexpr milliseconds restart_election_pause(100);
// Of the election timeout, for elections in a row that ended without a leader.
constexpr std::uint32_t max_timeout_doublings = 3;
} // namespace

// Votes may take longer to be synced to slow disks than the timeout. If each member then asked for
// the next term, no candidate would ever get its votes in time.
void raft_group::reset_election_timer(instant now) {
    const std::uint32_t failed = elections_since_leader_ - std::min(elections_since_leader_, 1U);
    const std::int64_t min = settings_.election_timeout.count()
                             << std::min(failed, max_timeout_doublings);
    std::uniform_int_distribution<std::int64_t> timeout_ms(min, 2 * min);
    election_due_ = now + milliseconds(timeout_ms(random_));
}

void raft_group::become_follower(term_number term, disk_id leader, instant now) {
    if (term > vote_.term)
        set_term(term, disk_id());
    role_ = is_voter(self_) ? raft_role::follower : raft_role::learner;
    leader_ = leader;
    leader_seen_ = leader_seen_ || leader != disk_id();
    votes_.clear();
    progress_.clear();
    if (leader != disk_id()) {
        elections_since_leader_ = 0;
        last_leader_contact_ = now;
        reset_election_timer(now);
    }
}

// A pre-vote doesn't increase the term: a member that was partitioned finds out that it can't win
// an election without deposing a working leader.
void raft_group::start_election(bool pre_vote, election_cause cause, instant now) {
    const bool was_in_pre_vote = role_ == raft_role::candidate && in_pre_vote_;
    role_ = raft_role::candidate;
    leader_ = disk_id();
    const bool is_restart_pre_vote = pre_vote && cause == election_cause::restart;
    // A voter that has just started has no leader to protect, so its pre-vote holds in later
    // rounds: on busy VMs the replies of all voters don't arrive within one round.
    const bool continues_round =
        is_restart_pre_vote && was_in_pre_vote && election_cause_ == election_cause::restart;
    if (!continues_round)
        votes_ = {self_};
    in_pre_vote_ = pre_vote;
    election_cause_ = cause;
    elections_since_leader_ += pre_vote ? 0 : 1;
    if (!is_restart_pre_vote)
        reset_election_timer(now);
    if (!pre_vote)
        set_term(term_number(vote_.term.value() + 1), self_);
    if (votes_.size() >= votes_needed()) {
        if (pre_vote)
            start_election(false, cause, now);
        else
            become_leader(now);
        return;
    }
    using kind = schema::raft_message;
    for (const member& peer : log_.members()) {
        if (!peer.voter || peer.disk == self_)
            continue;
        schema::raft_message request =
            make_message(pre_vote ? kind::pre_vote : kind::vote, peer.disk);
        request.set_term(pre_vote ? vote_.term.value() + 1 : vote_.term.value());
        request.set_index(log_.last_index());
        request.set_index_term(log_.last_term().value());
        request.set_forced(cause == election_cause::transfer);
        request.set_restart(cause == election_cause::restart);
        actions_.messages_after_sync.push_back(std::move(request));
    }
}

// A pre-vote after a restart of all members must be granted by every voter. The previous leader is
// then among them and no longer leads, so there is no lease to wait for. A quorum isn't enough: the
// voter left out may be the previous leader, which may still serve reads.
std::size_t raft_group::votes_needed() const {
    if (!in_pre_vote_ || election_cause_ != election_cause::restart)
        return quorum();
    return static_cast<std::size_t>(
        std::count_if(log_.members().begin(), log_.members().end(),
                      [](const member& group_member) { return group_member.voter; }));
}

bool raft_group::has_just_started(instant now) const {
    return role_ != raft_role::leader && !leader_seen_ &&
           now - started_at_ < settings_.election_timeout;
}

// After all members lost power at once, there is no leader, yet each of them would wait for an
// election timeout while callers get no service. Instead they elect one as soon as all are back.
void raft_group::try_restart_election(instant now) {
    const bool in_vote = role_ == raft_role::candidate && !in_pre_vote_;
    if (in_vote || !has_just_started(now) || now < restart_election_due_)
        return;
    restart_election_due_ = now + restart_election_interval;
    start_election(true, election_cause::restart, now);
}

bool raft_group::has_live_leader(instant now) const {
    if (role_ == raft_role::leader)
        return true;
    return now - last_leader_contact_ < settings_.election_timeout;
}

void raft_group::receive_vote_request(const schema::raft_message& message, instant now) {
    using kind = schema::raft_message;
    const bool pre_vote = message.kind() == kind::pre_vote;
    const term_number term(message.term());
    const disk_id candidate(message.from());
    // Leader stickiness, on which the leader's lease relies: a member that received a message from
    // a leader within an election timeout doesn't elect another one, unless that leader itself
    // asked for the election or all members have just started.
    const bool all_restarted = message.restart() && has_just_started(now);
    const bool keeps_leader = has_live_leader(now) && !message.forced() && !all_restarted;
    if (!pre_vote && !keeps_leader && term > vote_.term)
        become_follower(term, disk_id(), now);
    const bool up_to_date = std::make_pair(message.index_term(), message.index()) >=
                            std::make_pair(log_.last_term().value(), log_.last_index());
    // Members that start together also ask together. If all pre-votes were granted, each member
    // would then vote for itself, and all would wait for an election timeout. So among members with
    // equal logs only the one with the highest disk id can win.
    const bool outranked = message.restart() && pre_vote && message.index() == log_.last_index() &&
                           message.index_term() == log_.last_term().value() && candidate < self_;
    const bool free_to_vote = pre_vote ? term > vote_.term
                                       : term == vote_.term && (vote_.voted_for == disk_id() ||
                                                                vote_.voted_for == candidate);
    const bool granted = !keeps_leader && up_to_date && free_to_vote && !outranked;
    if (keeps_leader && !pre_vote)
        return;
    if (granted && pre_vote && message.restart())
        restart_election_due_ = now + restart_election_pause;
    if (granted && !pre_vote) {
        set_term(term, candidate);
        ++elections_since_leader_;
        reset_election_timer(now);
    }
    schema::raft_message reply =
        make_message(pre_vote ? kind::pre_vote_reply : kind::vote_reply, candidate);
    reply.set_term(pre_vote && granted ? term.value() : vote_.term.value());
    reply.set_reject(!granted);
    reply.set_restart(message.restart());
    actions_.messages_after_sync.push_back(std::move(reply));
}

void raft_group::receive_vote_reply(const schema::raft_message& message, instant now) {
    const bool is_pre_vote_reply = message.kind() == schema::raft_message::pre_vote_reply;
    if (role_ != raft_role::candidate || is_pre_vote_reply != in_pre_vote_ || message.reject())
        return;
    if (is_pre_vote_reply && message.term() != vote_.term.value() + 1)
        return;
    if (message.restart() != (election_cause_ == election_cause::restart))
        return;
    if (!is_voter(disk_id(message.from())))
        return;
    votes_.insert(disk_id(message.from()));
    if (votes_.size() < votes_needed())
        return;
    if (in_pre_vote_)
        start_election(false, election_cause_, now);
    else
        become_leader(now);
}

void raft_group::become_leader(instant now) {
    role_ = raft_role::leader;
    leader_ = self_;
    leader_seen_ = true;
    elections_since_leader_ = 0;
    leader_since_ = now;
    transfer_until_ = instant();
    no_lease_before_ = instant();
    next_transfer_ = instant();
    progress_.clear();
    update_tracked_members(now);
    // Entries of earlier terms are committed only together with an entry of the current term, so a
    // new leader appends a no-op.
    schema::log_entry noop;
    noop.set_kind(schema::log_entry::noop);
    append_to_own_log(std::move(noop));
    term_start_ = log_.last_index();
    broadcast(now);
}

// A process that stood still has neither read nor sent anything meanwhile. That time says nothing
// about the other members. After two election timeouts they have had time to elect another leader,
// so a longer pause counts. A slow VM's ticks are all late, so a part of each counts. \returns
// whether this process stood still since the last tick.
bool raft_group::discount_own_pause(instant now) {
    const instant last = std::exchange(last_tick_, now);
    const microseconds pause = now - last;
    if (last == instant() || pause <= settings_.heartbeat)
        return false;
    if (pause < settings_.election_timeout * 2) {
        for (std::pair<const disk_id, progress>& peer : progress_)
            peer.second.last_reply =
                std::min(now, peer.second.last_reply + pause - settings_.heartbeat);
    }
    return true;
}

// A leader that is partitioned from the quorum must stop taking proposals: it can't commit them,
// and its callers would wait until the partition ends.
void raft_group::check_quorum(instant now) {
    const milliseconds grace_period = settings_.election_timeout * 2;
    if (now - leader_since_ < grace_period)
        return;
    std::size_t active_voters = 0;
    for (const member& group_member : log_.members()) {
        if (group_member.voter && (group_member.disk == self_ || is_active(group_member.disk, now)))
            ++active_voters;
    }
    if (active_voters >= quorum())
        return;
    become_follower(vote_.term, disk_id(), now);
    reset_election_timer(now);
}

// Proposals are rejected meanwhile: under constant load no other member would ever have the whole
// log, and one that lacks the last entry isn't elected.
void raft_group::transfer_leadership(instant now) {
    if (role_ != raft_role::leader || now < next_transfer_)
        return;
    transfer_target_ = disk_id();
    std::uint64_t best_match = 0;
    for (const std::pair<const disk_id, progress>& peer : progress_) {
        if (!is_voter(peer.first) || !is_active(peer.first, now) || peer.second.match < best_match)
            continue;
        transfer_target_ = peer.first;
        best_match = peer.second.match;
    }
    if (transfer_target_ == disk_id())
        return;
    transfer_until_ = now + settings_.election_timeout / 2;
    next_transfer_ = now + settings_.election_timeout * 2;
    continue_transfer(now);
}

// The target may be elected at once, without waiting for this leader's lease to end.
void raft_group::continue_transfer(instant now) {
    auto target = progress_.find(transfer_target_);
    const bool can_take_over = now < transfer_until_ && target != progress_.end() &&
                               target->second.match == log_.last_index();
    if (!can_take_over)
        return;
    no_lease_before_ = transfer_until_;
    actions_.immediate_messages.push_back(
        make_message(schema::raft_message::timeout_now, transfer_target_));
}

} // namespace cassia::consensus
