#include "cassia/keeper/snapshot_transfer.h"

#include "cassia/schema/messages.pb.h"

#include <utility>

namespace cassia::keeper {

namespace {
constexpr std::size_t part_bytes = 1 << 20;
constexpr milliseconds resend_interval(1000);
} // namespace

snapshot_sender::snapshot_sender(consensus::log_base base, std::string state,
                                 std::vector<storage::position> positions)
    : base_(std::move(base)), state_(std::move(state)), positions_(std::move(positions)) {}

storage::result<std::optional<schema::snapshot_part>>
snapshot_sender::next_part(instant now, const command_reader& read) {
    if (complete_ || (awaits_ack_ && now - sent_at_ < resend_interval))
        return std::optional<schema::snapshot_part>();
    schema::snapshot_part part;
    part.set_index(base_.index);
    part.set_term(base_.term.value());
    part.set_number(part_number_);
    std::size_t bytes = 0;
    part_end_ = part_begin_;
    while (part_end_ < positions_.size() && bytes < part_bytes) {
        storage::result<std::string> command = read(positions_[part_end_]);
        if (!command)
            return failure(command.error());
        bytes += command.value().size();
        schema::body_copy* copy = part.add_bodies();
        copy->mutable_origin()->set_segment(positions_[part_end_].segment);
        copy->mutable_origin()->set_offset(positions_[part_end_].offset);
        copy->set_record(std::move(command.value()));
        ++part_end_;
    }
    is_last_part_ = part_end_ == positions_.size();
    if (is_last_part_) {
        part.set_last(true);
        part.set_state(state_);
        *part.mutable_members() = consensus::members_to_proto(base_.members);
    }
    awaits_ack_ = true;
    sent_at_ = now;
    return std::optional<schema::snapshot_part>(std::move(part));
}

void snapshot_sender::on_acknowledged(std::uint32_t number) {
    if (number != part_number_ || !awaits_ack_)
        return;
    awaits_ack_ = false;
    complete_ = is_last_part_;
    part_begin_ = part_end_;
    ++part_number_;
}

bool snapshot_sender::is_rejected_by(const schema::raft_message& reply) const {
    return reply.reject() && awaits_ack_ && reply.index() == base_.index &&
           reply.part().number() == part_number_;
}

snapshot_receiver::part_result snapshot_receiver::receive(term_number leader_term,
                                                          const schema::snapshot_part& part,
                                                          const body_writer& write) {
    const transfer_id transfer{leader_term, part.index()};
    if (transfer < transfer_)
        return part_result::outdated;
    if (transfer > transfer_) {
        if (part.number() != 0)
            return part_result::rejected;
        transfer_ = transfer;
        base_ = {part.index(), term_number(part.term()), {}};
        relocations_.clear();
        next_part_number_ = 0;
    }
    if (part.number() < next_part_number_)
        return part.last() ? part_result::complete : part_result::repeated;
    if (part.number() > next_part_number_)
        return part_result::rejected;
    ++next_part_number_;
    for (const schema::body_copy& copy : part.bodies()) {
        const storage::position origin{copy.origin().segment(), copy.origin().offset()};
        relocations_[origin] = write(copy.record());
    }
    if (!part.last())
        return part_result::accepted;
    state_ = part.state();
    base_.members = consensus::members_from_proto(part.members());
    return part_result::complete;
}

} // namespace cassia::keeper
