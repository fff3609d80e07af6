// Replication: how entries reach the members, and when they are committed.

#include "cassia/consensus/raft_group.h"

#include "cassia/schema/messages.pb.h"

#include <algorithm>
#include <utility>

namespace cassia::consensus {

std::optional<std::uint64_t> raft_group::propose(std::string command, instant now) {
    if (role_ != raft_role::leader)
        return std::nullopt;
    schema::log_entry entry;
    entry.set_kind(schema::log_entry::command);
    entry.set_payload(std::move(command));
    append_own(std::move(entry));
    broadcast(now);
    return log_.last_index();
}

std::optional<std::uint64_t> raft_group::propose_members(const member_list& members, instant now) {
    // A change before the first commit of the term could be decided by a quorum that an earlier,
    // unseen change has already replaced.
    const bool settled = commit_ >= term_start_ && log_.members_index() <= commit_;
    if (role_ != raft_role::leader || !settled)
        return std::nullopt;
    schema::log_entry entry;
    entry.set_kind(schema::log_entry::members);
    entry.set_payload(members_to_proto(members).SerializeAsString());
    append_own(std::move(entry));
    sync_progress(now);
    broadcast(now);
    return log_.last_index();
}

void raft_group::append_own(schema::log_entry entry) {
    entry.set_index(log_.last_index() + 1);
    entry.set_term(vote_.term.value());
    log_entry_ptr added = std::make_shared<const schema::log_entry>(std::move(entry));
    log_.append(added);
    actions_.new_entries.push_back(std::move(added));
}

// Members come and go with the log's entries; progress is kept for those in force.
void raft_group::sync_progress(instant now) {
    std::map<disk_id, progress> kept;
    for (const member& one : log_.members()) {
        if (one.disk == self_)
            continue;
        auto found = progress_.find(one.disk);
        if (found != progress_.end()) {
            kept.insert(*found);
            continue;
        }
        progress fresh;
        fresh.next = log_.last_index() + 1;
        fresh.last_answer = now;
        kept.emplace(one.disk, fresh);
    }
    progress_ = std::move(kept);
}

void raft_group::broadcast(instant now) {
    for (std::pair<const disk_id, progress>& one : progress_) {
        const bool due = now - one.second.last_sent >= settings_.heartbeat;
        const bool has_news = !one.second.probing && (one.second.next <= log_.last_index() ||
                                                      one.second.sent_commit < commit_);
        if (has_news || due)
            send_append(one.first, now);
    }
}

void raft_group::send_append(disk_id to, instant now) {
    progress& peer = progress_.at(to);
    peer.last_sent = now;
    if (peer.next <= log_.base_index() && !peer.snapshot) {
        peer.snapshot = true;
        actions_.members_needing_snapshot.push_back(to);
    }
    // While a snapshot travels the member still gets heartbeats, which keep it from an election.
    const std::uint64_t previous = peer.snapshot ? log_.base_index() : peer.next - 1;
    schema::raft_message message = make_message(schema::raft_message::append, to);
    message.set_index(previous);
    message.set_index_term(log_.term_at(previous).value());
    message.set_commit(commit_);
    message.set_sent_at_us(to_us(now));
    // A dead or slow member must not make this one queue its whole log for it: a silent member gets
    // no entries, and one that answers has a bounded number under way.
    constexpr std::uint64_t most_in_flight = 512;
    const bool silent = !is_active(to, now);
    const bool full = !peer.probing && peer.next > peer.match + most_in_flight;
    std::size_t bytes = 0;
    std::uint64_t next = peer.next;
    while (!peer.snapshot && !silent && !full && next <= log_.last_index() &&
           bytes < settings_.max_append_bytes) {
        const log_entry_ptr& entry = log_.at(next);
        bytes += entry->payload().size();
        *message.add_entries() = *entry;
        ++next;
    }
    peer.sent_commit = commit_;
    if (!peer.probing)
        peer.next = next;
    // The leader's own disk writes meanwhile: its copy counts towards the quorum only once synced,
    // so sending early promises nothing.
    actions_.immediate_messages.push_back(std::move(message));
}

void raft_group::receive_append(const schema::raft_message& message, instant now) {
    become_follower(vote_.term, disk_id(message.from()), now);
    schema::raft_message reply =
        make_message(schema::raft_message::append_reply, disk_id(message.from()));
    reply.set_sent_at_us(message.sent_at_us());
    const std::uint64_t previous = message.index();
    const bool agrees =
        previous <= log_.base_index()
            ? previous + static_cast<std::uint64_t>(message.entries_size()) >= log_.base_index()
            : log_.holds(previous, term_number(message.index_term()));
    if (!agrees || log_.members().empty()) {
        // Where to try next: behind the last entry, or the start of the term that disagrees.
        std::uint64_t hint = std::min(previous == 0 ? 0 : previous - 1, log_.last_index());
        if (previous <= log_.last_index() && hint > log_.base_index()) {
            const term_number disagreeing = log_.term_at(hint);
            while (hint > log_.base_index() && hint > commit_ && log_.term_at(hint) == disagreeing)
                --hint;
        }
        reply.set_reject(true);
        reply.set_index(log_.members().empty() ? 0 : hint);
        actions_.messages_after_sync.push_back(std::move(reply));
        return;
    }
    accept_entries(message);
    const std::uint64_t matched =
        std::max(log_.base_index(), previous + static_cast<std::uint64_t>(message.entries_size()));
    commit_ = std::max(commit_, std::min(message.commit(), matched));
    release_committed();
    reply.set_index(matched);
    actions_.messages_after_sync.push_back(std::move(reply));
}

void raft_group::accept_entries(const schema::raft_message& message) {
    for (const schema::log_entry& entry : message.entries()) {
        if (entry.index() <= log_.base_index() ||
            log_.holds(entry.index(), term_number(entry.term())))
            continue;
        if (entry.index() <= log_.last_index()) {
            const std::uint64_t keep = entry.index() - 1;
            log_.truncate_after(keep);
            stable_ = std::min(stable_, keep);
            actions_.truncate_after = std::min(actions_.truncate_after.value_or(keep), keep);
            std::vector<log_entry_ptr>& pending = actions_.new_entries;
            pending.erase(
                std::remove_if(pending.begin(), pending.end(),
                               [keep](const log_entry_ptr& one) { return one->index() > keep; }),
                pending.end());
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
    peer.last_answer = now;
    peer.acked_sent_at = std::max(peer.acked_sent_at, from_us(message.sent_at_us()));
    if (peer.snapshot)
        return;
    if (message.reject()) {
        // The hint may lie below what the member is known to hold, since it steps back over a whole
        // term. Taken for an old answer and dropped, it left a member that lost one message without
        // entries until its next restart.
        peer.probing = true;
        peer.next = std::min(std::max(peer.match, message.index()) + 1, log_.last_index() + 1);
        // Messages that waited for a cut to heal are refused all at once. Only the refusal of the
        // latest one is answered with entries: each answer may be a megabyte, and a hundred of them
        // took a store over its memory.
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
}

void raft_group::persisted(std::uint64_t index, term_number term) {
    // The entry may have been replaced while it was on its way to the disk.
    if (!log_.holds(index, term))
        return;
    stable_ = std::max(stable_, index);
    if (role_ == raft_role::leader)
        advance_commit();
    release_committed();
}

void raft_group::advance_commit() {
    std::vector<std::uint64_t> matches;
    for (const member& one : log_.members()) {
        if (!one.voter)
            continue;
        auto found = progress_.find(one.disk);
        const std::uint64_t match = found == progress_.end() ? 0 : found->second.match;
        matches.push_back(one.disk == self_ ? stable_ : match);
    }
    if (matches.empty())
        return;
    std::sort(matches.begin(), matches.end(), std::greater<>());
    const std::uint64_t agreed = matches[quorum() - 1];
    // Only entries of the own term are committed by counting; earlier ones follow with them.
    if (agreed > commit_ && agreed >= term_start_)
        commit_ = agreed;
    release_committed();
}

// An entry is applied once it is committed and on this member's own disk: the state refers to
// bodies by their place in the log file.
void raft_group::release_committed() {
    const std::uint64_t last = std::min(commit_, stable_);
    while (applied_ < last) {
        ++applied_;
        actions_.committed_entries.push_back(log_.at(applied_));
    }
}

void raft_group::compact(std::uint64_t index) {
    if (index > log_.base_index())
        log_.compact(index);
}

void raft_group::snapshot_installed(log_base base, instant now) {
    const std::uint64_t index = base.index;
    log_.reset(std::move(base));
    commit_ = index;
    applied_ = index;
    stable_ = index;
    actions_.new_entries.clear();
    actions_.committed_entries.clear();
    role_ = is_voter(self_) ? raft_role::follower : raft_role::learner;
    reset_election_timer(now);
}

void raft_group::snapshot_delivered(disk_id member, std::uint64_t index, instant now) {
    auto found = progress_.find(member);
    if (found == progress_.end())
        return;
    found->second.snapshot = false;
    found->second.probing = true;
    found->second.match = std::max(found->second.match, index);
    found->second.next = index + 1;
    send_append(member, now);
}

} // namespace cassia::consensus
