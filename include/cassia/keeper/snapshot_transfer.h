/// Transfer of a snapshot to a member that the leader's log can no longer bring up to date. The
/// snapshot is sent in numbered parts, each after the previous one was acknowledged: first the log
/// records that the state refers to (bodies), then the state itself.
#pragma once

#include "cassia/base/clock.h"
#include "cassia/base/ids.h"
#include "cassia/consensus/raft_log.h"
#include "cassia/keeper/state_machine.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace cassia::schema {
class raft_message;
class snapshot_part;
} // namespace cassia::schema

namespace cassia::keeper {

/// The leader's side of a transfer to one member.
class snapshot_sender {
public:
    using command_reader = std::function<storage::result<std::string>(const storage::position& at)>;

    /// \param positions of the log records that the state refers to.
    snapshot_sender(consensus::log_base base, std::string state,
                    std::vector<storage::position> positions);

    std::uint64_t index() const { return base_.index; }
    /// The part to send now: the next one, or the same again if its acknowledgement is late.
    /// Fails if a body is no longer in the log: the transfer has to be restarted.
    storage::result<std::optional<schema::snapshot_part>> next_part(instant now,
                                                                    const command_reader& read);
    /// The member acknowledged the part with this number.
    void on_acknowledged(std::uint32_t number);
    /// Whether a rejection concerns the part that was sent last: the member lacks an earlier part,
    /// and the transfer has to be restarted.
    bool is_rejected_by(const schema::raft_message& reply) const;
    bool complete() const { return complete_; }

private:
    consensus::log_base base_;
    std::string state_;
    std::vector<storage::position> positions_;
    std::size_t part_begin_ = 0; ///< range of positions_ in the current part
    std::size_t part_end_ = 0;
    std::uint32_t part_number_ = 0;
    bool is_last_part_ = false;
    bool awaits_ack_ = false;
    bool complete_ = false;
    instant sent_at_{};
};

/// The receiving member's side.
class snapshot_receiver {
public:
    /// Appends a body to this member's log and returns its position there.
    using body_writer = std::function<storage::position(const std::string& command)>;

    enum class part_result {
        outdated, ///< part of an earlier transfer; not to be replied to
        rejected, ///< a part before it is missing: the sender has to restart the transfer
        repeated, ///< received before; to be acknowledged again
        accepted,
        /// state(), base() and relocations() hold the snapshot; the last part is to be acknowledged
        /// once it is installed.
        complete
    };
    /// \param leader_term term of the leader that sent the part.
    part_result receive(term_number leader_term, const schema::snapshot_part& part,
                        const body_writer& write);

    const consensus::log_base& base() const { return base_; }
    const std::string& state() const { return state_; }
    /// From positions in the leader's log to those in this member's.
    const position_map& relocations() const { return relocations_; }

private:
    /// A leader's transfers have increasing indexes, and a term has one leader. The term of the
    /// entry at the index doesn't identify a transfer: two leaders may send the same index, with
    /// bodies at different positions.
    struct transfer_id {
        term_number leader_term;
        std::uint64_t index = 0;

        friend auto operator<=>(const transfer_id&, const transfer_id&) = default;
    };

    transfer_id transfer_;
    consensus::log_base base_;
    std::string state_;
    position_map relocations_;
    std::uint32_t next_part_number_ = 0;
};

} // namespace cassia::keeper
