#include "cassia/keeper/snapshot_transfer.h"

#include "cassia/schema/messages.pb.h"

#include <utility>

namespace cassia::keeper {

namespace {
constexpr std::size_t part_bytes = 1 << 20;
constexpr milliseconds resend_after(1000);
} // namespace

snapshot_sender::snapshot_sender(consensus::log_base base, std::string state,
                                 std::vector<storage::position> places)
    : base_(std::move(base)), state_(std::move(state)), places_(std::move(places)) {}

storage::result<std::optional<schema::snapshot_part>>
snapshot_sender::next_part(instant now, const command_reader& read) {
    if (complete_ || (waiting_ && now - sent_at_ < resend_after))
        return std::optional<schema::snapshot_part>();
    schema::snapshot_part part;
    part.set_index(base_.index);
    part.set_term(base_.term.value());
    part.set_number(number_);
    std::size_t bytes = 0;
    end_place_ = first_place_;
    while (end_place_ < places_.size() && bytes < part_bytes) {
        storage::result<std::string> command = read(places_[end_place_]);
        if (!command)
            return failure(command.error());
        bytes += command.value().size();
        schema::body_copy* copy = part.add_bodies();
        copy->mutable_origin()->set_segment(places_[end_place_].segment);
        copy->mutable_origin()->set_offset(places_[end_place_].offset);
        copy->set_record(std::move(command.value()));
        ++end_place_;
    }
    last_ = end_place_ == places_.size();
    if (last_) {
        part.set_last(true);
        part.set_state(state_);
        *part.mutable_members() = consensus::members_to_proto(base_.members);
    }
    waiting_ = true;
    sent_at_ = now;
    return std::optional<schema::snapshot_part>(std::move(part));
}

void snapshot_sender::taken(std::uint32_t number) {
    if (number != number_ || !waiting_)
        return;
    waiting_ = false;
    complete_ = last_;
    first_place_ = end_place_;
    ++number_;
}

snapshot_receiver::progress snapshot_receiver::take(const schema::snapshot_part& part,
                                                    const body_writer& write) {
    if (part.number() == 0) {
        base_ = {part.index(), term_number(part.term()), {}};
        places_.clear();
        next_ = 0;
    }
    const bool expected = part.number() == next_ && part.index() == base_.index &&
                          term_number(part.term()) == base_.term;
    if (!expected)
        return progress::refused;
    ++next_;
    for (const schema::body_copy& copy : part.bodies()) {
        const storage::position origin{copy.origin().segment(), copy.origin().offset()};
        places_[origin] = write(copy.record());
    }
    if (!part.last())
        return progress::taken;
    state_ = part.state();
    base_.members = consensus::members_from_proto(part.members());
    return progress::complete;
}

} // namespace cassia::keeper
