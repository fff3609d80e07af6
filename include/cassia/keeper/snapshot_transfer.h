/// How a member that the log can't bring up to date gets the state: numbered parts, each sent
/// once the one before was taken. Bodies go first, the state last.
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
class snapshot_part;
}

namespace cassia::keeper {

/// The leader's side, for one member.
class snapshot_sender {
public:
    using command_reader = std::function<storage::result<std::string>(const storage::position& at)>;

    snapshot_sender(consensus::log_base base, std::string state,
                    std::vector<storage::position> places);

    std::uint64_t index() const { return base_.index; }
    /// The part that is due, or nothing while an answer is awaited.
    /// Fails if a body is gone from the log: the transfer has to start anew.
    storage::result<std::optional<schema::snapshot_part>> next_part(instant now,
                                                                    const command_reader& read);
    /// The member has taken the part of this number.
    void taken(std::uint32_t number);
    bool complete() const { return complete_; }

private:
    consensus::log_base base_;
    std::string state_;
    std::vector<storage::position> places_;
    std::size_t first_place_ = 0; ///< of the part under way
    std::size_t end_place_ = 0;
    std::uint32_t number_ = 0;
    bool last_ = false;
    bool waiting_ = false;
    bool complete_ = false;
    instant sent_at_{};
};

/// The member's side.
class snapshot_receiver {
public:
    /// Appends a body to the own log and tells where.
    using body_writer = std::function<storage::position(const std::string& command)>;

    enum class progress {
        refused, ///< not the part that is due
        taken,
        complete ///< state(), base() and places() hold the snapshot
    };
    progress take(const schema::snapshot_part& part, const body_writer& write);

    const consensus::log_base& base() const { return base_; }
    const std::string& state() const { return state_; }
    const position_map& places() const { return places_; }

private:
    consensus::log_base base_;
    std::string state_;
    position_map places_;
    std::uint32_t next_ = 0;
};

} // namespace cassia::keeper
