#include "cassia/keeper/group_host.h"

#include "cassia/base/digest.h"
#include "cassia/base/log.h"
#include "cassia/schema/messages.pb.h"

#include <algorithm>
#include <utility>

namespace cassia::keeper {

namespace {
// Entries kept in memory behind a snapshot, so that a member that was away shortly needs no
// snapshot of its own.
constexpr std::uint64_t entries_kept = 2000;
} // namespace

bool awaiting_sync::empty() const {
    return messages.empty() && persisted.empty();
}

group_host::group_host(group_settings settings, state_machine machine, store& disk,
                       disk_writer& log_writer, disk_writer& snapshot_writer,
                       std::function<void()> on_actions)
    : settings_(settings), machine_(std::move(machine)), disk_(disk), log_writer_(log_writer),
      snapshot_writer_(snapshot_writer), on_actions_(std::move(on_actions)),
      snapshots_(settings.snapshot_records, settings.snapshot_interval) {
    raft_ = std::make_unique<consensus::raft_group>(
        settings_.group, settings_.self, settings_.raft, consensus::vote_state(),
        consensus::raft_log(consensus::log_base()), random_bits(), monotonic_now());
}

group_host::~group_host() = default;

bool group_host::recover(const recovered_group& found, instant now) {
    const schema::group_snapshot& snapshot = *found.snapshot;
    if (!machine_.load(snapshot.state(), {}))
        return false;
    consensus::raft_log log({snapshot.index(), term_number(snapshot.term()),
                             consensus::members_from_proto(snapshot.members())});
    for (const consensus::log_entry_ptr& entry : found.entries)
        log.append(entry);
    positions_ = found.positions;
    first_position_ = snapshot.index() + 1;
    snapshot_index_ = snapshot.index();
    replay_segment_ = snapshot.replay_segment();
    oldest_segment_ = snapshot.oldest_segment();
    raft_ = std::make_unique<consensus::raft_group>(settings_.group, settings_.self, settings_.raft,
                                                    found.vote, std::move(log), random_bits(), now);
    founded_ = true;
    return true;
}

void group_host::found(const consensus::member_list& founders, instant now) {
    consensus::log_base base{1, term_number(1), founders};
    raft_ = std::make_unique<consensus::raft_group>(
        settings_.group, settings_.self, settings_.raft,
        consensus::vote_state{term_number(1), disk_id()}, consensus::raft_log(std::move(base)),
        random_bits(), now);
    first_position_ = 2;
    snapshot_index_ = 1;
    replay_segment_ = disk_.log().current_segment();
    oldest_segment_ = replay_segment_;
    founded_ = true;
}

schema::group_snapshot group_host::make_snapshot() const {
    schema::group_snapshot snapshot;
    const std::uint64_t index = raft_->applied_index();
    snapshot.set_group(static_cast<std::uint32_t>(settings_.group.value()));
    snapshot.set_index(index);
    snapshot.set_term(raft_->log().term_at(index).value());
    *snapshot.mutable_members() = consensus::members_to_proto(raft_->log().members_at(index));
    snapshot.set_state(machine_.save());
    snapshot.mutable_hard()->set_term(raft_->vote().term.value());
    snapshot.mutable_hard()->set_voted_for(raft_->vote().voted_for.value());
    const std::uint64_t next = index + 1 - first_position_;
    const std::uint32_t replay =
        next < positions_.size() ? positions_[next].segment : disk_.log().current_segment();
    snapshot.set_replay_segment(replay);
    const std::set<storage::position> places = machine_.positions();
    snapshot.set_oldest_segment(places.empty() ? replay
                                               : std::min(replay, places.begin()->segment));
    return snapshot;
}

void group_host::tick(instant now) {
    raft_->tick(now);
    if (!raft_->leads())
        fail_pending();
}

void group_host::receive(const schema::raft_message& message, instant now) {
    raft_->receive(message, now);
    if (!raft_->leads())
        fail_pending();
}

void group_host::propose(std::string command, reply_function reply, instant now) {
    const std::optional<std::uint64_t> index = raft_->propose(std::move(command), now);
    if (!index) {
        schema::keeper_reply refused;
        refused.set_result(schema::keeper_reply::not_leader);
        reply(std::move(refused));
        return;
    }
    pending_[*index] = {raft_->term(), std::move(reply)};
    on_actions_();
}

void group_host::change_members(const consensus::member_list& members, instant now) {
    if (raft_->propose_members(members, now))
        on_actions_();
}

void group_host::hand_over(instant now) {
    raft_->transfer_leadership(now);
}

// What was proposed may still be committed by the next leader, so nobody is told it failed: the
// asker resends to that leader, and every command is idempotent.
void group_host::fail_pending() {
    std::map<std::uint64_t, pending_reply> failed = std::move(pending_);
    pending_.clear();
    senders_.clear();
    for (std::pair<const std::uint64_t, pending_reply>& one : failed) {
        schema::keeper_reply refused;
        refused.set_result(schema::keeper_reply::unavailable);
        one.second.reply(std::move(refused));
    }
}

std::vector<schema::raft_message> group_host::perform(awaiting_sync& awaiting, instant now) {
    consensus::raft_actions actions = raft_->take_actions();
    std::vector<schema::raft_message> out = std::move(actions.immediate_messages);
    write_actions(actions, awaiting);
    for (const consensus::log_entry_ptr& entry : actions.committed_entries)
        apply(entry);
    for (const disk_id member : actions.members_needing_snapshot)
        start_transfer(member);
    for (const schema::raft_message& part : actions.snapshot_messages)
        receive_part(part, now, out);
    continue_transfers(now, out);
    maybe_snapshot(now);
    return out;
}

void group_host::write_actions(consensus::raft_actions& actions, awaiting_sync& awaiting) {
    schema::wal_record record;
    record.set_group(static_cast<std::uint32_t>(settings_.group.value()));
    if (actions.vote) {
        record.mutable_state()->set_term(actions.vote->term.value());
        record.mutable_state()->set_voted_for(actions.vote->voted_for.value());
        disk_.log().append(record.SerializeAsString());
    }
    if (actions.truncate_after) {
        record.set_cut_after(*actions.truncate_after);
        disk_.log().append(record.SerializeAsString());
        const std::uint64_t kept = *actions.truncate_after + 1 - first_position_;
        while (positions_.size() > kept)
            positions_.pop_back();
    }
    for (const consensus::log_entry_ptr& entry : actions.new_entries) {
        *record.mutable_entry() = *entry;
        positions_.push_back(disk_.log().append(record.SerializeAsString()));
        bytes_since_snapshot_ += entry->payload().size();
    }
    if (!actions.new_entries.empty()) {
        const consensus::log_entry_ptr& last = actions.new_entries.back();
        awaiting.persisted.push_back({settings_.group, last->index(), term_number(last->term())});
    }
    std::move(actions.messages_after_sync.begin(), actions.messages_after_sync.end(),
              std::back_inserter(awaiting.messages));
}

void group_host::persisted(std::uint64_t index, term_number term) {
    raft_->persisted(index, term);
}

void group_host::apply(const consensus::log_entry_ptr& entry) {
    schema::keeper_reply reply;
    if (entry->kind() == schema::log_entry::command)
        reply = machine_.apply(entry->payload(), positions_[entry->index() - first_position_]);
    auto waiting = pending_.find(entry->index());
    if (waiting == pending_.end())
        return;
    // Another leader's entry may stand where this one proposed its own.
    if (waiting->second.term != term_number(entry->term()))
        reply.set_result(schema::keeper_reply::unavailable);
    reply_function answer = std::move(waiting->second.reply);
    pending_.erase(waiting);
    answer(std::move(reply));
}

void group_host::maybe_snapshot(instant now) {
    const snapshot_backlog backlog{raft_->applied_index() - snapshot_index_, bytes_since_snapshot_,
                                   disk_.log().current_segment() - replay_segment_};
    if (snapshotting_ || installing_ || !founded_ || !snapshots_.is_due(backlog, now))
        return;
    snapshots_.taken(now);
    snapshotting_ = true;
    bytes_since_snapshot_ = 0;
    write_snapshot(std::make_shared<schema::group_snapshot>(make_snapshot()),
                   [this] { snapshotting_ = false; });
}

void group_host::write_snapshot(const std::shared_ptr<schema::group_snapshot>& snapshot,
                                std::function<void()> done) {
    snapshot_writer_.submit([this, snapshot] { return disk_.write_snapshot(*snapshot); },
                            [this, snapshot, done = std::move(done)] {
                                snapshot_written(*snapshot);
                                done();
                            });
}

void group_host::snapshot_written(const schema::group_snapshot& snapshot) {
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
    const std::uint64_t covered = index > entries_kept ? index - entries_kept : 0;
    const std::uint64_t base = std::max(raft_->log().base_index(), covered);
    raft_->compact(base);
    while (first_position_ <= base && !positions_.empty()) {
        positions_.pop_front();
        ++first_position_;
    }
}

} // namespace cassia::keeper
