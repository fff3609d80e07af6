// Log replication: sending entries to the members and committing them.

#include "cassia/consensus/raft_group.h"

#include "cassia/schema/messages.pb.h"

#include <algorithm>
#include <utility>

namespace cassia::consensus {

std::optional<std::uint64_t> raft_group::propose(std::string command, instant now) {
    if (role_ != raft_role::leader || now < transfer_until_)
        return std::nullopt;
    schema::log_entry entry;
    entry.set_kind(schema::log_entry::command);
    entry.set_payload(std::move(command));
    append_to_own_log(std::move(entry));
    broadcast(now);
    return log_.last_index();
}

std::optional<std::uint64_t> raft_group::propose_members(const member_list& members, instant now) {
    // Before the first commit of the term, the change could be committed by a quorum of a
    // membership that an earlier change, unknown to this leader, has already replaced.
    const bool no_change_in_progress = commit_ >= term_start_ && log_.members_index() <= commit_;
    if (role_ != raft_role::leader || !no_change_in_progress || now < transfer_until_)
        return std::nullopt;
    schema::log_entry entry;
    entry.set_kind(schema::log_entry::members);
    entry.set_payload(members_to_proto(members).SerializeAsString());
    append_to_own_log(std::move(entry));
    update_tracked_members(now);
    broadcast(now);
    return log_.last_index();
}

void raft_group::append_to_own_log(schema::log_entry entry) {
    entry.set_index(log_.last_index() + 1);
    entry.set_term(vote_.term.value());
    log_entry_ptr added = std::make_shared<const schema::log_entry>(std::move(entry));
    log_.append(added);
    actions_.new_entries.push_back(std::move(added));
}

// Log entries change the membership; progress is tracked for the current members only.
void raft_group::update_tracked_members(instant now) {
    std::map<disk_id, progress> tracked;
    for (const member& peer : log_.members()) {
        if (peer.disk == self_)
            continue;
        auto found = progress_.find(peer.disk);
        if (found != progress_.end()) {
            tracked.insert(*found);
            continue;
        }
        progress added;
        added.next = log_.last_index() + 1;
        added.last_reply = now;
        tracked.emplace(peer.disk, added);
    }
    progress_ = std::move(tracked);
}

void raft_group::broadcast(instant now) {
    for (std::pair<const disk_id, progress>& peer : progress_) {
        const bool heartbeat_due = now - peer.second.last_sent >= settings_.heartbeat;
        const bool has_updates = !peer.second.probing && (peer.second.next <= log_.last_index() ||
                                                          peer.second.sent_commit < commit_);
        if (has_updates || heartbeat_due)
            send_append(peer.first, now);
    }
}

void raft_group::send_append(disk_id to, instant now) {
    progress& peer = progress_.at(to);
    peer.last_sent = now;
    if (peer.next <= log_.base_index() && !peer.awaiting_snapshot) {
        peer.awaiting_snapshot = true;
        actions_.members_needing_snapshot.push_back(to);
    }
    // During a snapshot transfer the member still gets heartbeats, so that it starts no election.
    const std::uint64_t previous = peer.awaiting_snapshot ? log_.base_index() : peer.next - 1;
    schema::raft_message message = make_message(schema::raft_message::append, to);
    message.set_index(previous);
    message.set_index_term(log_.term_at(previous).value());
    message.set_commit(commit_);
    message.set_sent_at_us(to_us(now));
    // Bounds what is queued for a failed or slow member: an inactive member gets no entries, and an
    // active one has a limited number of unacknowledged entries.
    constexpr std::uint64_t max_in_flight_entries = 512;
    const bool inactive = !is_active(to, now);
    const bool window_full = !peer.probing && peer.next > peer.match + max_in_flight_entries;
    std::size_t bytes = 0;
    std::uint64_t next = peer.next;
    while (!peer.awaiting_snapshot && !inactive && !window_full && next <= log_.last_index() &&
           bytes < settings_.max_append_bytes) {
        const log_entry_ptr& entry = log_.at(next);
        bytes += entry->payload().size();
        *message.add_entries() = *entry;
        ++next;
    }
    peer.sent_commit = commit_;
    if (!peer.probing)
        peer.next = next;
    // Sent in parallel to the leader's own disk write. That is safe because the leader's copy
    // counts towards the quorum only once it is synced.
    actions_.immediate_messages.push_back(std::move(message));
}

void raft_group::receive_append(const schema::raft_message& message, instant now) {
    become_follower(vote_.term, disk_id(message.from()), now);
    schema::raft_message reply =
        make_message(schema::raft_message::append_reply, disk_id(message.from()));
    reply.set_sent_at_us(message.sent_at_us());
    const std::uint64_t previous = message.index();
    const bool logs_match =
        previous <= log_.base_index()
            ? previous + static_cast<std::uint64_t>(message.entries_size()) >= log_.base_index()
            : log_.holds(previous, term_number(message.index_term()));
    if (!logs_match || log_.members().empty()) {
        // Hint for the leader's next attempt. A log that is too short hints at its last entry. If
        // the entry at `previous` has another term, all entries of the term just before it may
        // differ too, so the hint skips that term, but no committed entry.
        std::uint64_t hint = std::min(previous == 0 ? 0 : previous - 1, log_.last_index());
        if (previous <= log_.last_index() && hint > log_.base_index()) {
            const term_number skipped_term = log_.term_at(hint);
            while (hint > log_.base_index() && hint > commit_ && log_.term_at(hint) == skipped_term)
                --hint;
        }
        reply.set_reject(true);
        reply.set_index(log_.members().empty() ? 0 : hint);
        actions_.messages_after_sync.push_back(std::move(reply));
        return;
    }
    accept_entries(message);
    const std::uint64_t match =
        std::max(log_.base_index(), previous + static_cast<std::uint64_t>(message.entries_size()));
    commit_ = std::max(commit_, std::min(message.commit(), match));
    collect_committed();
    reply.set_index(match);
    actions_.messages_after_sync.push_back(std::move(reply));
}

void raft_group::accept_entries(const schema::raft_message& message) {
    for (const schema::log_entry& entry : message.entries()) {
        if (entry.index() <= log_.base_index() ||
            log_.holds(entry.index(), term_number(entry.term())))
            continue;
        if (entry.index() <= log_.last_index()) {
            const std::uint64_t last_kept = entry.index() - 1;
            log_.truncate_after(last_kept);
            synced_ = std::min(synced_, last_kept);
            actions_.truncate_after =
                std::min(actions_.truncate_after.value_or(last_kept), last_kept);
            std::vector<log_entry_ptr>& unwritten = actions_.new_entries;
            unwritten.erase(std::remove_if(unwritten.begin(), unwritten.end(),
                                           [last_kept](const log_entry_ptr& queued) {
                                               return queued->index() > last_kept;
                                           }),
                            unwritten.end());
        }
        log_entry_ptr added = std::make_shared<const schema::log_entry>(entry);
        log_.append(added);
        actions_.new_entries.push_back(std::move(added));
    }
}

void raft_group::receive_append_reply(const schema::raft_message& message, instant now) {
    if (role_ != raft_role::leader)
        return;
    auto found = progress_.find(disk_id(message.from()));
    if (found == progress_.end())
        return;
    progress& peer = found->second;
    peer.last_reply = now;
    peer.acked_send_time = std::max(peer.acked_send_time, from_us(message.sent_at_us()));
    if (peer.awaiting_snapshot)
        return;
    if (message.reject()) {
        // The hint may be below the entries that the member is known to have, because it skips a
        // whole term. It must not be dropped as outdated: a member that lost one message would then
        // get no entries until its next restart.
        peer.probing = true;
        peer.next = std::min(std::max(peer.match, message.index()) + 1, log_.last_index() + 1);
        // When a partition heals, all messages queued during it are rejected at once. Only the
        // rejection of the latest append triggers a resend: an append may have a megabyte, and a
        // hundred of them exceeded a keeper's memory limit.
        if (from_us(message.sent_at_us()) >= peer.last_sent)
            send_append(found->first, now);
        return;
    }
    peer.match = std::max(peer.match, message.index());
    if (peer.probing) {
        peer.probing = false;
        peer.next = peer.match + 1;
    }
    peer.next = std::max(peer.next, peer.match + 1);
    const std::uint64_t commit_before = commit_;
    advance_commit();
    if (commit_ > commit_before)
        broadcast(now);
    else if (peer.next <= log_.last_index())
        send_append(found->first, now);
    if (found->first == transfer_target_)
        continue_transfer(now);
}

void raft_group::persisted(std::uint64_t index, term_number term) {
    // The entry may have been replaced by another one while it was being written.
    if (!log_.holds(index, term))
        return;
    synced_ = std::max(synced_, index);
    if (role_ == raft_role::leader)
        advance_commit();
    collect_committed();
}

void raft_group::advance_commit() {
    std::vector<std::uint64_t> matches;
    for (const member& group_member : log_.members()) {
        if (!group_member.voter)
            continue;
        auto found = progress_.find(group_member.disk);
        const std::uint64_t match = found == progress_.end() ? 0 : found->second.match;
        matches.push_back(group_member.disk == self_ ? synced_ : match);
    }
    if (matches.empty())
        return;
    std::sort(matches.begin(), matches.end(), std::greater<>());
    const std::uint64_t quorum_match = matches[quorum() - 1];
    // Only entries of the current term are committed by counting replicas; earlier entries are
    // committed with them.
    if (quorum_match > commit_ && quorum_match >= term_start_)
        commit_ = quorum_match;
    collect_committed();
}

// An entry is applied once it is committed and synced to this member's own disk, because the state
// refers to bodies by their position in the log file.
void raft_group::collect_committed() {
    const std::uint64_t last = std::min(commit_, synced_);
    while (collected_ < last) {
        ++collected_;
        actions_.committed_entries.push_back(log_.at(collected_));
    }
}

void raft_group::entries_applied(std::uint64_t index) {
    applied_ = std::max(applied_, index);
}

void raft_group::compact(std::uint64_t index) {
    if (index > log_.base_index())
        log_.compact(index);
}

void raft_group::snapshot_installed(log_base base, instant now) {
    const std::uint64_t index = base.index;
    log_.reset(std::move(base));
    commit_ = index;
    collected_ = index;
    applied_ = index;
    synced_ = index;
    actions_.new_entries.clear();
    actions_.committed_entries.clear();
    role_ = is_voter(self_) ? raft_role::follower : raft_role::learner;
    reset_election_timer(now);
}

void raft_group::snapshot_delivered(disk_id member, std::uint64_t index, instant now) {
    auto found = progress_.find(member);
    if (found == progress_.end())
        return;
    found->second.awaiting_snapshot = false;
    found->second.probing = true;
    found->second.match = std::max(found->second.match, index);
    found->second.next = index + 1;
    send_append(member, now);
}

} // namespace cassia::consensus
