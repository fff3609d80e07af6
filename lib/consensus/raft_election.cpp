// Elections: who may lead, and when a leader stops.

#include "cassia/consensus/raft_group.h"

#include "cassia/schema/messages.pb.h"

#include <algorithm>

namespace cassia::consensus {

namespace {
// Between two rounds of members that have just started: a few round trips between zones.
constexpr milliseconds restart_pause(25);
} // namespace

void raft_group::reset_election_timer(instant now) {
    const std::int64_t least = settings_.election_timeout.count();
    std::uniform_int_distribution<std::int64_t> spread(least, 2 * least);
    election_due_ = now + milliseconds(spread(random_));
}

void raft_group::become_follower(term_number term, disk_id leader, instant now) {
    if (term > vote_.term)
        set_term(term, disk_id());
    role_ = is_voter(self_) ? raft_role::follower : raft_role::learner;
    leader_ = leader;
    heard_since_start_ = heard_since_start_ || leader != disk_id();
    votes_.clear();
    progress_.clear();
    if (leader != disk_id()) {
        leader_heard_ = now;
        reset_election_timer(now);
    }
}

// A preliminary round changes no term: a member that was cut off finds out that it can't win
// before it disturbs a working leader.
void raft_group::start_election(bool preliminary, election_cause cause, instant now) {
    role_ = raft_role::candidate;
    leader_ = disk_id();
    preliminary_ = preliminary;
    cause_ = cause;
    const bool is_trial = preliminary && cause == election_cause::restart;
    if (!is_trial)
        reset_election_timer(now);
    if (!preliminary)
        set_term(term_number(vote_.term.value() + 1), self_);
    votes_ = {self_};
    if (votes_.size() >= votes_needed()) {
        if (preliminary)
            start_election(false, cause, now);
        else
            become_leader(now);
        return;
    }
    using kind = schema::raft_message;
    for (const member& one : log_.members()) {
        if (!one.voter || one.disk == self_)
            continue;
        schema::raft_message request =
            make_message(preliminary ? kind::pre_vote : kind::vote, one.disk);
        request.set_term(preliminary ? vote_.term.value() + 1 : vote_.term.value());
        request.set_index(log_.last_index());
        request.set_index_term(log_.last_term().value());
        request.set_forced(cause == election_cause::handover);
        request.set_restart(cause == election_cause::restart);
        actions_.messages_after_sync.push_back(std::move(request));
    }
}

// A round among members that have just started needs them all: then the leader of before, whoever
// it was, is among those that agree and leads no more, so there is no lease to wait out. A quorum
// isn't enough, since that leader may be the one that was left out and still serves reads.
std::size_t raft_group::votes_needed() const {
    if (!preliminary_ || cause_ != election_cause::restart)
        return quorum();
    return static_cast<std::size_t>(std::count_if(log_.members().begin(), log_.members().end(),
                                                  [](const member& one) { return one.voter; }));
}

bool raft_group::has_just_started(instant now) const {
    return role_ != raft_role::leader && !heard_since_start_ &&
           now - started_at_ < settings_.election_timeout;
}

// When all members lose power at once, each would wait for an election timeout though no leader is
// left, and callers meanwhile get nothing. They agree on one as soon as all of them are back.
void raft_group::campaign_after_start(instant now) {
    const bool voting = role_ == raft_role::candidate && !preliminary_;
    if (voting || !has_just_started(now) || now < restart_round_due_)
        return;
    restart_round_due_ = now + restart_pause;
    start_election(true, election_cause::restart, now);
}

bool raft_group::hears_leader(instant now) const {
    if (role_ == raft_role::leader)
        return true;
    return now - leader_heard_ < settings_.election_timeout;
}

void raft_group::receive_vote_request(const schema::raft_message& message, instant now) {
    using kind = schema::raft_message;
    const bool preliminary = message.kind() == kind::pre_vote;
    const term_number term(message.term());
    const disk_id candidate(message.from());
    // The leader's lease rests on this refusal: while a member hears from a leader it elects no
    // other, unless that leader itself asked for it.
    const bool nobody_led = message.restart() && has_just_started(now);
    const bool sticks = hears_leader(now) && !message.forced() && !nobody_led;
    if (!preliminary && !sticks && term > vote_.term)
        become_follower(term, disk_id(), now);
    const bool up_to_date = std::make_pair(message.index_term(), message.index()) >=
                            std::make_pair(log_.last_term().value(), log_.last_index());
    // Members that start together ask together. Were they all granted, each would vote for itself
    // and wait for an election timeout after all; so one of them alone can win.
    const bool outranked = message.restart() && preliminary &&
                           message.index() == log_.last_index() &&
                           message.index_term() == log_.last_term().value() && candidate < self_;
    const bool free_to_vote = preliminary ? term > vote_.term
                                          : term == vote_.term && (vote_.voted_for == disk_id() ||
                                                                   vote_.voted_for == candidate);
    const bool granted = !sticks && up_to_date && free_to_vote && !outranked;
    if (sticks && !preliminary)
        return;
    if (granted && !preliminary) {
        set_term(term, candidate);
        reset_election_timer(now);
    }
    schema::raft_message reply =
        make_message(preliminary ? kind::pre_vote_reply : kind::vote_reply, candidate);
    reply.set_term(preliminary && granted ? term.value() : vote_.term.value());
    reply.set_reject(!granted);
    reply.set_restart(message.restart());
    actions_.messages_after_sync.push_back(std::move(reply));
}

void raft_group::receive_vote_reply(const schema::raft_message& message, instant now) {
    const bool to_preliminary = message.kind() == schema::raft_message::pre_vote_reply;
    if (role_ != raft_role::candidate || to_preliminary != preliminary_ || message.reject())
        return;
    if (to_preliminary && message.term() != vote_.term.value() + 1)
        return;
    if (message.restart() != (cause_ == election_cause::restart))
        return;
    if (!is_voter(disk_id(message.from())))
        return;
    votes_.insert(disk_id(message.from()));
    if (votes_.size() < votes_needed())
        return;
    if (preliminary_)
        start_election(false, cause_, now);
    else
        become_leader(now);
}

void raft_group::become_leader(instant now) {
    role_ = raft_role::leader;
    leader_ = self_;
    heard_since_start_ = true;
    led_since_ = now;
    progress_.clear();
    sync_progress(now);
    // Entries of earlier terms are committed by one of this term only, so a leader starts with one.
    schema::log_entry noop;
    noop.set_kind(schema::log_entry::noop);
    append_own(std::move(noop));
    term_start_ = log_.last_index();
    broadcast(now);
}

// A leader that a partition silently cut off must stop taking proposals: it could never commit
// them, and its callers would wait for the whole of the partition.
void raft_group::check_quorum(instant now) {
    const milliseconds patience = settings_.election_timeout * 2;
    if (now - led_since_ < patience)
        return;
    std::size_t heard = 0;
    for (const member& one : log_.members()) {
        if (one.voter && (one.disk == self_ || is_active(one.disk, now)))
            ++heard;
    }
    if (heard >= quorum())
        return;
    become_follower(vote_.term, disk_id(), now);
    reset_election_timer(now);
}

void raft_group::transfer_leadership(instant now) {
    if (role_ != raft_role::leader)
        return;
    disk_id best;
    std::uint64_t best_match = 0;
    for (const std::pair<const disk_id, progress>& one : progress_) {
        if (!is_voter(one.first) || !is_active(one.first, now) || one.second.match < best_match)
            continue;
        best = one.first;
        best_match = one.second.match;
    }
    if (best != disk_id() && best_match == log_.last_index())
        actions_.immediate_messages.push_back(
            make_message(schema::raft_message::timeout_now, best));
}

} // namespace cassia::consensus
