// Transfer of snapshots between the members of a group.

#include "cassia/keeper/group_replica.h"

#include "cassia/base/log.h"
#include "cassia/schema/messages.pb.h"

#include <utility>

namespace cassia::keeper {

schema::raft_message group_replica::make_message(int kind, disk_id to) const {
    schema::raft_message message;
    message.set_kind(static_cast<schema::raft_message::message_kind>(kind));
    message.set_group(static_cast<std::uint32_t>(settings_.group.value()));
    message.set_from(settings_.self.value());
    message.set_to(to.value());
    message.set_term(raft_->term().value());
    return message;
}

void group_replica::start_snapshot_transfer(disk_id member) {
    const std::uint64_t index = raft_->applied_index();
    consensus::log_base base{index, raft_->log().term_at(index), raft_->log().members_at(index)};
    const std::set<storage::position> referenced = state_machine_.referenced_positions();
    log_info("snapshot_transfer_started")
        .with("group", settings_.group.value())
        .with("to", member.value())
        .with("index", index)
        .with("records", referenced.size());
    snapshot_senders_.erase(member);
    snapshot_senders_.emplace(member, snapshot_sender(std::move(base), state_machine_.save(),
                                                      {referenced.begin(), referenced.end()}));
}

void group_replica::continue_snapshot_transfers(instant now,
                                                std::vector<schema::raft_message>& out) {
    if (!raft_->leads()) {
        snapshot_senders_.clear();
        return;
    }
    std::vector<disk_id> to_restart;
    for (std::pair<const disk_id, snapshot_sender>& sender : snapshot_senders_) {
        storage::result<std::optional<schema::snapshot_part>> part = sender.second.next_part(
            now, [this](const storage::position& at) { return store_.read_command(at); });
        if (!part) {
            log_warning("snapshot_transfer_broken").with("cause", part.error().text);
            to_restart.push_back(sender.first);
            continue;
        }
        if (!part.value())
            continue;
        schema::raft_message message = make_message(schema::raft_message::snapshot, sender.first);
        *message.mutable_part() = std::move(*part.value());
        out.push_back(std::move(message));
    }
    for (const disk_id member : to_restart)
        start_snapshot_transfer(member);
}

void group_replica::receive_snapshot_reply(const schema::raft_message& reply, instant now) {
    const disk_id from(reply.from());
    auto sender = snapshot_senders_.find(from);
    if (sender == snapshot_senders_.end())
        return;
    if (sender->second.is_rejected_by(reply)) {
        log_warning("snapshot_transfer_rejected")
            .with("group", settings_.group.value())
            .with("by", from.value())
            .with("index", sender->second.index())
            .with("part", reply.part().number());
        start_snapshot_transfer(from);
        return;
    }
    if (reply.reject() || reply.part().index() != sender->second.index())
        return;
    sender->second.on_acknowledged(reply.part().number());
    if (!sender->second.complete())
        return;
    const std::uint64_t index = sender->second.index();
    snapshot_senders_.erase(sender);
    log_info("snapshot_transfer_done")
        .with("group", settings_.group.value())
        .with("to", from.value());
    raft_->snapshot_delivered(from, index, now);
    on_actions_pending_();
}

void group_replica::receive_snapshot_part(const schema::raft_message& message, instant now,
                                          std::vector<schema::raft_message>& out) {
    if (message.kind() == schema::raft_message::snapshot_reply) {
        receive_snapshot_reply(message, now);
        return;
    }
    // A reply carries the current term, so a part of an earlier term must not be replied to.
    if (install_in_progress_ || term_number(message.term()) != raft_->term())
        return;
    const disk_id from(message.from());
    schema::raft_message reply = make_message(schema::raft_message::snapshot_reply, from);
    reply.mutable_part()->set_number(message.part().number());
    const auto acknowledge = [&reply, &message, &out] {
        reply.mutable_part()->set_index(message.part().index());
        out.push_back(std::move(reply));
    };
    // This member already holds the whole snapshot: the leader missed the acknowledgement of the
    // last part and resends it.
    const bool already_installed =
        message.part().index() <= raft_->applied_index() && !raft_->log().members().empty();
    if (already_installed) {
        acknowledge();
        return;
    }
    const snapshot_receiver::part_result result = snapshot_receiver_.receive(
        raft_->term(), message.part(), [this](const std::string& command) {
            schema::wal_record record;
            record.set_group(static_cast<std::uint32_t>(settings_.group.value()));
            record.set_body(command);
            return store_.log().append(record.SerializeAsString());
        });
    switch (result) {
    case snapshot_receiver::part_result::accepted:
    case snapshot_receiver::part_result::repeated:
        acknowledge();
        break;
    case snapshot_receiver::part_result::rejected:
        // A rejection names the transfer outside of the part: a leader of an older version would
        // take it for an acknowledgement.
        reply.set_reject(true);
        reply.set_index(message.part().index());
        out.push_back(std::move(reply));
        break;
    case snapshot_receiver::part_result::complete:
        install_snapshot(from, now);
        break;
    case snapshot_receiver::part_result::outdated:
        break;
    }
}

// The last part is acknowledged only once the snapshot is on this member's disk; the member doesn't
// count as restored before. The bodies are older records of the log, which is written in order, so
// they are on disk before the snapshot that refers to them.
void group_replica::install_snapshot(disk_id leader, instant now) {
    if (!state_machine_.load(snapshot_receiver_.state(), snapshot_receiver_.relocations())) {
        log_error("snapshot_refused").with("group", settings_.group.value());
        snapshot_receiver_ = snapshot_receiver();
        return;
    }
    install_in_progress_ = true;
    const consensus::log_base base = snapshot_receiver_.base();
    raft_->snapshot_installed(base, now);
    positions_.clear();
    first_position_index_ = base.index + 1;
    bootstrapped_ = true;
    std::shared_ptr<schema::group_snapshot> snapshot =
        std::make_shared<schema::group_snapshot>(make_snapshot());
    const std::uint32_t first_body_segment =
        snapshot_receiver_.relocations().empty()
            ? snapshot->replay_segment()
            : snapshot_receiver_.relocations().begin()->second.segment;
    snapshot->set_oldest_segment(std::min(snapshot->oldest_segment(), first_body_segment));
    // The snapshot refers to records that may still be in the current batch, so that is written
    // first.
    std::shared_ptr<storage::log_batch> batch =
        std::make_shared<storage::log_batch>(store_.log().take_batch());
    log_writer_.submit(
        [this, batch] {
            return batch->bytes.empty() ? storage::result<void>(success())
                                        : store_.log().write(*batch);
        },
        [this, snapshot, leader] {
            // Not acknowledged from here: the leader resends the last part, which is acknowledged
            // once the snapshot is written.
            write_snapshot(snapshot, [this, snapshot, leader] {
                install_in_progress_ = false;
                log_info("snapshot_installed")
                    .with("group", settings_.group.value())
                    .with("index", snapshot->index())
                    .with("from", leader.value());
            });
        });
}

} // namespace cassia::keeper
