// Snapshots between members of a group.

#include "cassia/keeper/group_host.h"

#include "cassia/base/log.h"
#include "cassia/schema/messages.pb.h"

#include <utility>

namespace cassia::keeper {

schema::raft_message group_host::make_message(int kind, disk_id to) const {
    schema::raft_message message;
    message.set_kind(static_cast<schema::raft_message::message_kind>(kind));
    message.set_group(static_cast<std::uint32_t>(settings_.group.value()));
    message.set_from(settings_.self.value());
    message.set_to(to.value());
    message.set_term(raft_->term().value());
    return message;
}

void group_host::start_transfer(disk_id member) {
    const std::uint64_t index = raft_->applied_index();
    consensus::log_base base{index, raft_->log().term_at(index), raft_->log().members_at(index)};
    const std::set<storage::position> places = machine_.positions();
    log_info("snapshot_transfer_started")
        .with("group", settings_.group.value())
        .with("to", member.value())
        .with("index", index)
        .with("records", places.size());
    senders_.erase(member);
    senders_.emplace(
        member, snapshot_sender(std::move(base), machine_.save(), {places.begin(), places.end()}));
}

void group_host::continue_transfers(instant now, std::vector<schema::raft_message>& out) {
    if (!raft_->leads()) {
        senders_.clear();
        return;
    }
    std::vector<disk_id> broken;
    for (std::pair<const disk_id, snapshot_sender>& one : senders_) {
        storage::result<std::optional<schema::snapshot_part>> part = one.second.next_part(
            now, [this](const storage::position& at) { return disk_.read_command(at); });
        if (!part) {
            log_warning("snapshot_transfer_broken").with("cause", part.error().text);
            broken.push_back(one.first);
            continue;
        }
        if (!part.value())
            continue;
        schema::raft_message message = make_message(schema::raft_message::snapshot, one.first);
        *message.mutable_part() = std::move(*part.value());
        out.push_back(std::move(message));
    }
    for (const disk_id member : broken)
        start_transfer(member);
}

void group_host::receive_part(const schema::raft_message& message, instant now,
                              std::vector<schema::raft_message>& out) {
    const disk_id from(message.from());
    if (message.kind() == schema::raft_message::snapshot_reply) {
        auto sender = senders_.find(from);
        if (sender == senders_.end() || message.part().index() != sender->second.index())
            return;
        sender->second.taken(message.part().number());
        if (!sender->second.complete())
            return;
        const std::uint64_t index = sender->second.index();
        senders_.erase(sender);
        log_info("snapshot_transfer_done")
            .with("group", settings_.group.value())
            .with("to", from.value());
        raft_->snapshot_delivered(from, index, now);
        on_actions_();
        return;
    }
    const auto acknowledge = [this, from, &message, &out] {
        schema::raft_message reply = make_message(schema::raft_message::snapshot_reply, from);
        reply.mutable_part()->set_index(message.part().index());
        reply.mutable_part()->set_number(message.part().number());
        out.push_back(std::move(reply));
    };
    if (installing_)
        return;
    // A member that already holds all of it, because the answer to the last part got lost.
    const bool known =
        message.part().index() <= raft_->applied_index() && !raft_->log().members().empty();
    if (known) {
        acknowledge();
        return;
    }
    const snapshot_receiver::progress taken =
        receiver_.take(message.part(), [this](const std::string& command) {
            schema::wal_record record;
            record.set_group(static_cast<std::uint32_t>(settings_.group.value()));
            record.set_body(command);
            return disk_.log().append(record.SerializeAsString());
        });
    if (taken == snapshot_receiver::progress::taken)
        acknowledge();
    if (taken == snapshot_receiver::progress::complete)
        install(from, now);
}

// Answered only once the snapshot is on this member's disk; until then it counts for nothing. The
// bodies were appended to the log before, and the disk works in order.
void group_host::install(disk_id leader, instant now) {
    if (!machine_.load(receiver_.state(), receiver_.places())) {
        log_error("snapshot_refused").with("group", settings_.group.value());
        return;
    }
    installing_ = true;
    const consensus::log_base base = receiver_.base();
    raft_->snapshot_installed(base, now);
    positions_.clear();
    first_position_ = base.index + 1;
    founded_ = true;
    std::shared_ptr<schema::group_snapshot> snapshot =
        std::make_shared<schema::group_snapshot>(make_snapshot());
    const std::uint32_t first_body = receiver_.places().empty()
                                         ? snapshot->replay_segment()
                                         : receiver_.places().begin()->second.segment;
    snapshot->set_oldest_segment(std::min(snapshot->oldest_segment(), first_body));
    // Everything appended so far must be written before the snapshot names it.
    std::shared_ptr<storage::log_batch> batch =
        std::make_shared<storage::log_batch>(disk_.log().take_batch());
    log_writer_.submit(
        [this, batch] {
            return batch->bytes.empty() ? storage::result<void>(success())
                                        : disk_.log().write(*batch);
        },
        [this, snapshot, leader] {
            // The leader resends the last part, which is answered once this is done.
            write_snapshot(snapshot, [this, snapshot, leader] {
                installing_ = false;
                log_info("snapshot_installed")
                    .with("group", settings_.group.value())
                    .with("index", snapshot->index())
                    .with("from", leader.value());
            });
        });
}

} // namespace cassia::keeper
