/// Requests that wait for a slot, and the order in which they get one. Pure.
#pragma once

#include "cassia/base/clock.h"
#include "cassia/base/ids.h"
#include "cassia/policy/team_shares.h"

#include <map>
#include <optional>
#include <vector>

namespace cassia::policy {

struct queued_request {
    exchange_id id;
    service_id service;
    team_id team;               ///< empty for routes that need no key
    std::uint32_t priority = 0; ///< 0 is the highest
    instant arrived{};
    instant target_deadline{};    ///< dispatched later, its answer misses the latency target
    instant expires_at{};         ///< dispatched later, it can't be answered in time
    bool has_run = false;         ///< its run was cut and is to be continued
    software_version version;     ///< only endpoints of this version may serve it; any if empty
    bool reserves_memory = false; ///< it may wait for memory while others need a slot only
};

/// Requests that the same endpoints may serve wait in one line.
struct queue_line {
    service_id service;
    software_version version;
    bool reserves_memory = false;

    friend auto operator<=>(const queue_line&, const queue_line&) = default;
};

class request_queue {
public:
    void add(const queued_request& request);
    /// Removes a request that was dispatched, and counts it for its team.
    void remove_served(exchange_id id);
    void remove(exchange_id id);
    bool contains(exchange_id id) const { return waiting_.count(id) > 0; }
    /// Orders requests by the teams' use of the whole fleet while these shares are enabled; they
    /// outlive the queue.
    void set_shares(const team_shares* shares) { shares_ = shares; }
    /// The next request of a line: those that can still meet their target before those that
    /// can't, then by priority; within a priority the team served least goes first, with its
    /// request whose target is nearest. One that has run never counts as late. With shares, teams
    /// over their share go last within a priority, and the use of the fleet relative to the weight
    /// replaces the requests served here.
    /// \param skip_over_share without the requests of teams over their share.
    std::optional<exchange_id> next(const queue_line& line, instant now,
                                    bool skip_over_share = false) const;
    /// All requests of a line in the order in which they would get a slot.
    std::vector<queued_request> in_order(const queue_line& line, instant now) const;
    bool is_over_share(const queued_request& request, instant now) const;
    /// Requests that are past their `expires_at`.
    std::vector<exchange_id> expired(instant now) const;
    /// Lines with requests, those that wait for one version or for memory first: they have fewer
    /// endpoints.
    std::vector<queue_line> lines() const;
    std::size_t size() const { return waiting_.size(); }
    std::size_t size(const service_id& service) const;

private:
    bool uses_shares() const { return shares_ != nullptr && shares_->is_enabled(); }
    std::optional<exchange_id> next_by_share(const queue_line& line, instant now,
                                             bool skip_over_share) const;

    const team_shares* shares_ = nullptr;
    std::map<exchange_id, queued_request> waiting_;
    /// Requests served per waiting team; a team that joins starts at the lowest count.
    std::map<team_id, std::uint64_t> served_by_team_;
};

} // namespace cassia::policy
