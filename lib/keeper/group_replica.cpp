#include "cassia/keeper/group_replica.h"

#include "cassia/base/digest.h"
#include "cassia/base/log.h"
#include "cassia/schema/messages.pb.h"

#include <algorithm>
#include <utility>

namespace cassia::keeper {

namespace {
// Entries kept in memory although a snapshot covers them, so that a member that was away for a
// short time can catch up from the log and needs no snapshot.
constexpr std::uint64_t retained_entries = 2000;
} // namespace

bool pending_sync::empty() const {
    return messages.empty() && appended.empty();
}

group_replica::group_replica(group_settings settings, state_machine machine, store& keeper_store,
                             disk_writer& log_writer, disk_writer& snapshot_writer,
                             std::function<void()> on_actions_pending)
    : settings_(settings), state_machine_(std::move(machine)), store_(keeper_store),
      log_writer_(log_writer), snapshot_writer_(snapshot_writer),
      on_actions_pending_(std::move(on_actions_pending)),
      snapshot_schedule_(settings.snapshot_records, settings.snapshot_interval) {
    raft_ = std::make_unique<consensus::raft_group>(
        settings_.group, settings_.self, settings_.raft, consensus::vote_state(),
        consensus::raft_log(consensus::log_base()), random_bits(), monotonic_now());
}

group_replica::~group_replica() = default;

bool group_replica::recover(const recovered_group& recovered, instant now) {
    const schema::group_snapshot& snapshot = *recovered.snapshot;
    if (!state_machine_.load(snapshot.state(), {}))
        return false;
    consensus::raft_log log({snapshot.index(), term_number(snapshot.term()),
                             consensus::members_from_proto(snapshot.members())});
    for (const consensus::log_entry_ptr& entry : recovered.entries)
        log.append(entry);
    positions_ = recovered.positions;
    first_position_index_ = snapshot.index() + 1;
    snapshot_index_ = snapshot.index();
    replay_segment_ = snapshot.replay_segment();
    oldest_segment_ = snapshot.oldest_segment();
    raft_ =
        std::make_unique<consensus::raft_group>(settings_.group, settings_.self, settings_.raft,
                                                recovered.vote, std::move(log), random_bits(), now);
    bootstrapped_ = true;
    return true;
}

// All initial members start from the same log base, as if entry 1 of term 1 had named them and been
// committed.
void group_replica::bootstrap(const consensus::member_list& members, instant now) {
    consensus::log_base base{1, term_number(1), members};
    raft_ = std::make_unique<consensus::raft_group>(
        settings_.group, settings_.self, settings_.raft,
        consensus::vote_state{term_number(1), disk_id()}, consensus::raft_log(std::move(base)),
        random_bits(), now);
    first_position_index_ = 2;
    snapshot_index_ = 1;
    replay_segment_ = store_.log().current_segment();
    oldest_segment_ = replay_segment_;
    bootstrapped_ = true;
}

schema::group_snapshot group_replica::make_snapshot() const {
    schema::group_snapshot snapshot;
    const std::uint64_t index = raft_->applied_index();
    snapshot.set_group(static_cast<std::uint32_t>(settings_.group.value()));
    snapshot.set_index(index);
    snapshot.set_term(raft_->log().term_at(index).value());
    *snapshot.mutable_members() = consensus::members_to_proto(raft_->log().members_at(index));
    snapshot.set_state(state_machine_.save());
    snapshot.mutable_hard()->set_term(raft_->vote().term.value());
    snapshot.mutable_hard()->set_voted_for(raft_->vote().voted_for.value());
    const std::uint64_t next = index + 1 - first_position_index_;
    const std::uint32_t replay_segment =
        next < positions_.size() ? positions_[next].segment : store_.log().current_segment();
    snapshot.set_replay_segment(replay_segment);
    const std::set<storage::position> referenced = state_machine_.referenced_positions();
    snapshot.set_oldest_segment(referenced.empty()
                                    ? replay_segment
                                    : std::min(replay_segment, referenced.begin()->segment));
    return snapshot;
}

void group_replica::tick(instant now) {
    raft_->tick(now);
    if (!raft_->leads())
        fail_pending_proposals();
}

void group_replica::receive(const schema::raft_message& message, instant now) {
    raft_->receive(message, now);
    if (!raft_->leads())
        fail_pending_proposals();
}

void group_replica::propose(std::string command, reply_callback reply, instant now) {
    const std::optional<std::uint64_t> index = raft_->propose(std::move(command), now);
    if (!index) {
        schema::keeper_reply refusal;
        refusal.set_result(raft_->leads() ? schema::keeper_reply::unavailable
                                          : schema::keeper_reply::not_leader);
        reply(std::move(refusal));
        return;
    }
    pending_proposals_[*index] = {raft_->term(), std::move(reply)};
    on_actions_pending_();
}

void group_replica::change_members(const consensus::member_list& members, instant now) {
    if (raft_->propose_members(members, now))
        on_actions_pending_();
}

void group_replica::transfer_leadership(instant now) {
    raft_->transfer_leadership(now);
}

// The next leader may still commit what was proposed here, so the outcome is reported as unknown
// rather than as a failure. The client resends to that leader; this is safe because every command
// is idempotent.
void group_replica::fail_pending_proposals() {
    std::map<std::uint64_t, pending_proposal> failed = std::move(pending_proposals_);
    pending_proposals_.clear();
    snapshot_senders_.clear();
    const std::deque<pending_read> failed_reads = std::exchange(pending_reads_, {});
    for (const pending_read& failed_read : failed_reads)
        failed_read.done(false);
    for (std::pair<const std::uint64_t, pending_proposal>& proposal : failed) {
        schema::keeper_reply refusal;
        refusal.set_result(schema::keeper_reply::unavailable);
        proposal.second.reply(std::move(refusal));
    }
}

std::vector<schema::raft_message> group_replica::perform_actions(pending_sync& pending,
                                                                 instant now) {
    confirm_for_reads(now);
    consensus::raft_actions actions = raft_->take_actions();
    std::vector<schema::raft_message> out = std::move(actions.immediate_messages);
    append_to_log(actions, pending);
    for (const consensus::log_entry_ptr& entry : actions.committed_entries)
        apply_entry(entry);
    for (const disk_id member : actions.members_needing_snapshot)
        start_snapshot_transfer(member);
    for (const schema::raft_message& snapshot : actions.snapshot_messages)
        receive_snapshot_part(snapshot, now, out);
    continue_snapshot_transfers(now, out);
    take_snapshot_if_due(now);
    serve_pending_reads(now);
    return out;
}

void group_replica::append_to_log(consensus::raft_actions& actions, pending_sync& pending) {
    schema::wal_record record;
    record.set_group(static_cast<std::uint32_t>(settings_.group.value()));
    if (actions.vote) {
        record.mutable_state()->set_term(actions.vote->term.value());
        record.mutable_state()->set_voted_for(actions.vote->voted_for.value());
        store_.log().append(record.SerializeAsString());
    }
    if (actions.truncate_after) {
        record.set_cut_after(*actions.truncate_after);
        store_.log().append(record.SerializeAsString());
        const std::uint64_t kept = *actions.truncate_after + 1 - first_position_index_;
        while (positions_.size() > kept)
            positions_.pop_back();
    }
    for (const consensus::log_entry_ptr& entry : actions.new_entries) {
        *record.mutable_entry() = *entry;
        positions_.push_back(store_.log().append(record.SerializeAsString()));
        bytes_since_snapshot_ += entry->payload().size();
    }
    if (!actions.new_entries.empty()) {
        const consensus::log_entry_ptr& last = actions.new_entries.back();
        pending.appended.push_back({settings_.group, last->index(), term_number(last->term())});
    }
    std::move(actions.messages_after_sync.begin(), actions.messages_after_sync.end(),
              std::back_inserter(pending.messages));
}

void group_replica::on_persisted(std::uint64_t index, term_number term) {
    raft_->persisted(index, term);
}

void group_replica::apply_entry(const consensus::log_entry_ptr& entry) {
    schema::keeper_reply reply;
    if (entry->kind() == schema::log_entry::command)
        reply = state_machine_.apply(entry->payload(),
                                     positions_[entry->index() - first_position_index_]);
    raft_->entries_applied(entry->index());
    auto proposal = pending_proposals_.find(entry->index());
    if (proposal == pending_proposals_.end())
        return;
    // Another leader's entry may have replaced the proposed one at this index.
    if (proposal->second.term != term_number(entry->term()))
        reply.set_result(schema::keeper_reply::unavailable);
    reply_callback send_reply = std::move(proposal->second.reply);
    pending_proposals_.erase(proposal);
    send_reply(std::move(reply));
}

void group_replica::take_snapshot_if_due(instant now) {
    const snapshot_backlog backlog{raft_->applied_index() - snapshot_index_, bytes_since_snapshot_,
                                   store_.log().current_segment() - replay_segment_};
    if (snapshot_in_progress_ || install_in_progress_ || !bootstrapped_ ||
        !snapshot_schedule_.is_due(backlog, now))
        return;
    snapshot_schedule_.on_snapshot_taken(now);
    snapshot_in_progress_ = true;
    bytes_since_snapshot_ = 0;
    write_snapshot(std::make_shared<schema::group_snapshot>(make_snapshot()),
                   [this] { snapshot_in_progress_ = false; });
}

void group_replica::write_snapshot(const std::shared_ptr<schema::group_snapshot>& snapshot,
                                   std::function<void()> done) {
    snapshot_writer_.submit([this, snapshot] { return store_.write_snapshot(*snapshot); },
                            [this, snapshot, done = std::move(done)] {
                                on_snapshot_written(*snapshot);
                                done();
                            });
}

void group_replica::on_snapshot_written(const schema::group_snapshot& snapshot) {
    const std::uint64_t index = snapshot.index();
    if (index < snapshot_index_)
        return;
    snapshot_index_ = index;
    replay_segment_ = snapshot.replay_segment();
    oldest_segment_ = snapshot.oldest_segment();
    log_info("snapshot_written")
        .with("group", settings_.group.value())
        .with("index", index)
        .with("oldest_segment", oldest_segment_);
    const std::uint64_t compactable = index > retained_entries ? index - retained_entries : 0;
    const std::uint64_t base = std::max(raft_->log().base_index(), compactable);
    raft_->compact(base);
    while (first_position_index_ <= base && !positions_.empty()) {
        positions_.pop_front();
        ++first_position_index_;
    }
}

} // namespace cassia::keeper
