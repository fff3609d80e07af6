/// Decides how many bytes a process holds for the callers that it serves, and who gives way when
/// they become too many.
#pragma once

#include "cassia/base/clock.h"
#include "cassia/base/ids.h"

#include <cstdint>
#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace cassia::policy {

/// A caller's connection.
using caller_id = number_id<struct caller_tag>;

/// What is held for a caller.
struct held_bytes {
    std::uint64_t body = 0;     ///< of its request, or to come
    std::uint64_t gathered = 0; ///< of a response that isn't forwarded yet
    std::uint64_t unsent = 0;   ///< of a response, until the caller reads it

    std::uint64_t response() const { return gathered + unsent; }
    std::uint64_t total() const { return body + gathered + unsent; }
};

/// What a caller's response is to do after a change of what is held for it.
enum class response_flow : std::uint8_t { unchanged, pause, resume };

/// A caller that reads too slowly for what it holds; its connection is to be reset.
struct slow_caller {
    caller_id caller;
    team_id team;
    std::uint64_t bytes = 0;
    milliseconds age{0}; ///< since it had last read everything
    std::uint64_t bytes_per_s = 0;
};

class byte_budget {
public:
    /// \param memory of the process in bytes; 0: nothing is bounded.
    explicit byte_budget(std::uint64_t memory);

    bool is_bounded() const { return budget_ > 0; }
    /// Bytes of one call's response above which its endpoint isn't read.
    std::uint64_t call_share() const { return share_; }
    /// Whether responses fill their part of the memory.
    bool is_crowded() const { return crowded_; }
    /// Bytes of one response that may be gathered now: less than a call's share where that many
    /// callers would fill the memory.
    std::uint64_t gather_limit() const;
    /// Whether a body of so many bytes in all may be received, in place of what is held of it now.
    bool admits_body(caller_id caller, const team_id& team, std::uint64_t bytes) const;
    /// \param sent bytes that the caller has read since its connection stands.
    response_flow update(caller_id caller, const team_id& team, const held_bytes& held,
                         std::uint64_t sent, instant now);
    /// Nothing is held for the caller any more.
    void remove(caller_id caller);
    bool is_paused(caller_id caller) const;
    /// The callers to be dropped now, the slowest first. They count as removed.
    std::vector<slow_caller> take_slow(instant now);
    /// Callers that may be read for again, as others have given way.
    std::vector<caller_id> take_resumed();

    std::uint64_t bodies() const { return total_.body; }
    std::uint64_t responses() const { return total_.response(); }
    /// The teams that hold most, and their bytes.
    std::vector<std::pair<team_id, std::uint64_t>> largest_teams(std::size_t count) const;

private:
    struct caller_state {
        team_id team;
        held_bytes held;
        bool paused = false;
        std::uint64_t sent = 0;
        instant unread_since{}; ///< none while everything has been read
        instant measured_at{};
        double bytes_per_s = 0;
    };
    struct team_state {
        std::uint64_t bytes = 0;
        std::size_t callers = 0;
    };

    void account(caller_state& one, const held_bytes& held);
    void measure(caller_state& one, std::uint64_t sent, instant now);
    bool is_over_share(const team_id& team) const;
    std::uint64_t limit_of(const caller_state& one) const;
    response_flow decide(caller_state& one);
    bool is_slow(const caller_state& one, instant now) const;
    std::optional<caller_id> slowest(instant now) const;

    std::uint64_t budget_;
    std::uint64_t share_;
    bool crowded_ = false; ///< the responses fill their part of the budget
    held_bytes total_;
    std::map<caller_id, caller_state> callers_;
    std::map<team_id, team_state> teams_;
};

} // namespace cassia::policy
