// Elections: who may lead, and when a leader stops.

#include "cassia/consensus/raft_group.h"

#include "cassia/schema/messages.pb.h"

#include <algorithm>

namespace cassia::consensus {

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
    votes_.clear();
    progress_.clear();
    if (leader != disk_id()) {
        leader_heard_ = now;
        reset_election_timer(now);
    }
}

// A preliminary round changes no term: a member that was cut off finds out that it can't win
// before it disturbs a working leader.
void raft_group::start_election(bool preliminary, bool forced, instant now) {
    role_ = raft_role::candidate;
    leader_ = disk_id();
    preliminary_ = preliminary;
    forced_ = forced;
    reset_election_timer(now);
    if (!preliminary)
        set_term(term_number(vote_.term.value() + 1), self_);
    votes_ = {self_};
    if (votes_.size() >= quorum()) {
        if (preliminary)
            start_election(false, forced, now);
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
        request.set_forced(forced);
        actions_.synced.push_back(std::move(request));
    }
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
    const bool sticks = hears_leader(now) && !message.forced();
    if (!preliminary && !sticks && term > vote_.term)
        become_follower(term, disk_id(), now);
    const bool up_to_date = std::make_pair(message.index_term(), message.index()) >=
                            std::make_pair(log_.last_term().value(), log_.last_index());
    const bool free_to_vote = preliminary ? term > vote_.term
                                          : term == vote_.term && (vote_.voted_for == disk_id() ||
                                                                   vote_.voted_for == candidate);
    const bool granted = !sticks && up_to_date && free_to_vote;
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
    actions_.synced.push_back(std::move(reply));
}

void raft_group::receive_vote_reply(const schema::raft_message& message, instant now) {
    const bool to_preliminary = message.kind() == schema::raft_message::pre_vote_reply;
    if (role_ != raft_role::candidate || to_preliminary != preliminary_ || message.reject())
        return;
    if (to_preliminary && message.term() != vote_.term.value() + 1)
        return;
    if (!is_voter(disk_id(message.from())))
        return;
    votes_.insert(disk_id(message.from()));
    if (votes_.size() < quorum())
        return;
    if (preliminary_)
        start_election(false, forced_, now);
    else
        become_leader(now);
}

void raft_group::become_leader(instant now) {
    role_ = raft_role::leader;
    leader_ = self_;
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

void raft_group::hand_over(instant now) {
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
        actions_.now.push_back(make_message(schema::raft_message::timeout_now, best));
}

} // namespace cassia::consensus
