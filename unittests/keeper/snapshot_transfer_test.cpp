// Transfer of a snapshot, while its messages are lost, doubled, delayed and reordered, both sides
// restart, and the leader changes.

#include "cassia/keeper/snapshot_transfer.h"
#include "cassia/schema/messages.pb.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <utility>

using namespace cassia;
using namespace cassia::keeper;

namespace {

const instant start = instant(std::chrono::seconds(1000));
constexpr milliseconds step_length(50);
constexpr std::uint32_t body_count = 12;
constexpr std::size_t body_bytes = 300000; // several parts of a transfer
constexpr std::size_t header_bytes = 8;
constexpr std::uint64_t leader_count = 2;

std::string make_body(std::uint64_t number) {
    std::string body = "body " + std::to_string(number);
    body.resize(header_bytes, ' ');
    return body + std::string(body_bytes, 'x');
}

/// Leaders of a group, one at a time, and a member that needs a snapshot. The leaders hold the same
/// bodies at different positions of their logs.
class transfer_model {
public:
    /// \param index_growth by how much the snapshot index grows when the leader changes.
    transfer_model(std::uint64_t seed, std::uint64_t index_growth)
        : random_(seed), index_growth_(index_growth) {
        change_leader();
    }

    void step(bool with_faults) {
        now_ += step_length;
        if (with_faults && random_between(0, 60) == 0)
            restart_receiver();
        if (with_faults && random_between(0, 60) == 0)
            change_leader();
        send_part(with_faults);
        while (!in_transit_.empty() && in_transit_.begin()->first <= now_) {
            const std::shared_ptr<schema::raft_message> message = in_transit_.begin()->second;
            in_transit_.erase(in_transit_.begin());
            if (message->kind() == schema::raft_message::snapshot)
                receive_part(*message, with_faults);
            else
                receive_reply(*message);
        }
        if (install_done_at_ && now_ >= *install_done_at_) {
            installed_index_ = std::max(installed_index_, receiver_.base().index);
            install_done_at_.reset();
        }
    }

    bool is_delivered() const { return is_delivered_; }

private:
    std::uint64_t random_between(std::uint64_t from, std::uint64_t to) {
        return std::uniform_int_distribution<std::uint64_t>(from, to)(random_);
    }

    static storage::position position_of(disk_id leader, std::uint64_t body) {
        return {static_cast<std::uint32_t>(leader.value()), (body + leader.value()) % body_count};
    }
    static std::string body_at(const storage::position& at) {
        return make_body((at.offset + body_count - at.segment) % body_count);
    }

    void change_leader() {
        leader_ = disk_id(random_between(1, leader_count));
        leader_term_ = term_number(leader_term_.value() + 1);
        index_ += index_growth_;
        is_delivered_ = false;
        start_transfer();
    }

    // The term of the entry at the index is the same for all leaders.
    void start_transfer() {
        std::vector<storage::position> positions;
        for (std::uint64_t body = 0; body < body_count; ++body)
            positions.push_back(position_of(leader_, body));
        std::sort(positions.begin(), positions.end());
        sender_.emplace(consensus::log_base{index_, term_number(1), {}},
                        "state " + std::to_string(index_), std::move(positions));
    }

    void restart_receiver() {
        receiver_ = snapshot_receiver();
        receiver_term_ = term_number();
        install_done_at_.reset();
        written_.clear();
    }

    void send(const std::shared_ptr<schema::raft_message>& message, bool with_faults) {
        if (with_faults && random_between(0, 4) == 0)
            return;
        const std::uint64_t copies = with_faults && random_between(0, 4) == 0 ? 2 : 1;
        for (std::uint64_t i = 0; i < copies; ++i) {
            const bool late = with_faults && random_between(0, 2) == 0;
            const milliseconds delay(random_between(1, late ? 4000 : 20));
            in_transit_.emplace(now_ + delay, message);
        }
    }

    void send_part(bool with_faults) {
        if (!sender_)
            return;
        const auto part = sender_->next_part(
            now_, [](const storage::position& at) -> storage::result<std::string> {
                return body_at(at);
            });
        REQUIRE(part);
        if (!part.value())
            return;
        std::shared_ptr<schema::raft_message> message = std::make_shared<schema::raft_message>();
        message->set_kind(schema::raft_message::snapshot);
        message->set_from(leader_.value());
        message->set_term(leader_term_.value());
        *message->mutable_part() = *part.value();
        send(message, with_faults);
    }

    void receive_part(const schema::raft_message& message, bool with_faults) {
        if (term_number(message.term()) < receiver_term_)
            return;
        receiver_term_ = term_number(message.term());
        if (install_done_at_)
            return;
        if (message.part().index() <= installed_index_) {
            reply(message, false, with_faults);
            return;
        }
        switch (receiver_.receive(receiver_term_, message.part(), [this](const std::string& body) {
            const storage::position at{leader_count + 1, ++written_count_};
            written_[at] = body.substr(0, header_bytes);
            return at;
        })) {
        case snapshot_receiver::part_result::accepted:
        case snapshot_receiver::part_result::repeated:
            reply(message, false, with_faults);
            break;
        case snapshot_receiver::part_result::rejected:
            reply(message, true, with_faults);
            break;
        case snapshot_receiver::part_result::complete:
            check_snapshot(message);
            install_done_at_ = now_ + milliseconds(random_between(1, 1500));
            break;
        case snapshot_receiver::part_result::outdated:
            break;
        }
    }

    void check_snapshot(const schema::raft_message& message) {
        const disk_id sent_by(message.from());
        REQUIRE(receiver_.base().index == message.part().index());
        REQUIRE(receiver_.state() == "state " + std::to_string(message.part().index()));
        REQUIRE(receiver_.relocations().size() == body_count);
        std::map<storage::position, int> uses;
        for (std::uint64_t body = 0; body < body_count; ++body) {
            auto copy = receiver_.relocations().find(position_of(sent_by, body));
            REQUIRE(copy != receiver_.relocations().end());
            REQUIRE(written_.at(copy->second) == make_body(body).substr(0, header_bytes));
        }
    }

    void reply(const schema::raft_message& part, bool reject, bool with_faults) {
        std::shared_ptr<schema::raft_message> message = std::make_shared<schema::raft_message>();
        message->set_kind(schema::raft_message::snapshot_reply);
        message->set_to(part.from());
        message->set_term(receiver_term_.value());
        message->set_reject(reject);
        message->mutable_part()->set_number(part.part().number());
        if (reject)
            message->set_index(part.part().index());
        else
            message->mutable_part()->set_index(part.part().index());
        send(message, with_faults);
    }

    void receive_reply(const schema::raft_message& message) {
        if (disk_id(message.to()) != leader_ || term_number(message.term()) != leader_term_ ||
            !sender_)
            return;
        if (sender_->is_rejected_by(message)) {
            start_transfer();
            return;
        }
        if (message.reject() || message.part().index() != sender_->index())
            return;
        sender_->on_acknowledged(message.part().number());
        if (!sender_->complete())
            return;
        REQUIRE(installed_index_ >= sender_->index());
        is_delivered_ = true;
        sender_.reset();
    }

    std::mt19937_64 random_;
    std::uint64_t index_growth_;
    instant now_ = start;
    std::multimap<instant, std::shared_ptr<schema::raft_message>> in_transit_; ///< by arrival

    disk_id leader_;
    term_number leader_term_{1};
    std::uint64_t index_ = 10;
    std::optional<snapshot_sender> sender_;
    bool is_delivered_ = false;

    snapshot_receiver receiver_;
    term_number receiver_term_;
    std::map<storage::position, std::string> written_; ///< beginning of each body
    std::uint64_t written_count_ = 0;
    std::optional<instant> install_done_at_;
    std::uint64_t installed_index_ = 0;
};

schema::snapshot_part make_part(std::uint64_t index, std::uint32_t number, bool last) {
    schema::snapshot_part part;
    part.set_index(index);
    part.set_term(1);
    part.set_number(number);
    part.set_last(last);
    part.add_bodies()->mutable_origin()->set_offset(number);
    return part;
}

} // namespace

// Guards against a member that never catches up, or is restored with parts of two snapshots.
TEST_CASE("a snapshot is delivered whatever happened to the messages before", "[keeper]") {
    constexpr int steps_with_faults = 300;
    constexpr int steps_without_faults = 200;
    for (std::uint64_t seed = 0; seed < 200; ++seed) {
        CAPTURE(seed);
        transfer_model model(seed, seed % 3);
        for (int i = 0; i < steps_with_faults; ++i)
            model.step(true);
        for (int i = 0; i < steps_without_faults && !model.is_delivered(); ++i)
            model.step(false);
        CHECK(model.is_delivered());
    }
}

// Guards against a stalled transfer after a lost acknowledgement, and against bodies that are
// stored once for each repetition.
TEST_CASE("a repeated part is acknowledged again but stored once", "[keeper]") {
    snapshot_receiver receiver;
    std::uint64_t written = 0;
    const auto write = [&written](const std::string&) { return storage::position{1, ++written}; };
    const term_number term(3);
    for (std::uint32_t number = 0; number < 3; ++number) {
        CHECK(receiver.receive(term, make_part(12, number, false), write) ==
              snapshot_receiver::part_result::accepted);
        for (std::uint32_t repeated = 0; repeated <= number; ++repeated)
            CHECK(receiver.receive(term, make_part(12, repeated, false), write) ==
                  snapshot_receiver::part_result::repeated);
        CHECK(written == number + 1);
    }
}

// Guards against a snapshot that is put together from the parts of two leaders, which keep the same
// bodies at different positions, and of two snapshots of one leader.
TEST_CASE("parts of another transfer aren't taken for this one's", "[keeper]") {
    using result = snapshot_receiver::part_result;
    snapshot_receiver receiver;
    const auto write = [](const std::string&) { return storage::position{1, 1}; };
    REQUIRE(receiver.receive(term_number(3), make_part(12, 0, false), write) == result::accepted);
    CHECK(receiver.receive(term_number(4), make_part(12, 1, true), write) == result::rejected);
    CHECK(receiver.receive(term_number(3), make_part(14, 1, true), write) == result::rejected);
    CHECK(receiver.receive(term_number(3), make_part(12, 2, true), write) == result::rejected);
    REQUIRE(receiver.receive(term_number(4), make_part(12, 0, false), write) == result::accepted);
    CHECK(receiver.receive(term_number(3), make_part(12, 0, false), write) == result::outdated);
    CHECK(receiver.receive(term_number(3), make_part(14, 0, false), write) == result::outdated);
    CHECK(receiver.receive(term_number(4), make_part(11, 0, false), write) == result::outdated);
    CHECK(receiver.receive(term_number(4), make_part(12, 1, true), write) == result::complete);
    CHECK(receiver.relocations().size() == 2);
}
