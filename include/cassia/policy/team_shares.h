/// Slot time that teams used of the whole fleet, relative to their weights. Pure.
#pragma once

#include "cassia/base/clock.h"
#include "cassia/base/ids.h"

#include <cstddef>
#include <cstdint>
#include <map>

namespace cassia::policy {

/// Exponentially decayed slot time of teams, in slot milliseconds.
using team_use_map = std::map<team_id, double>;

/// Teams in a report: bounds its size, whatever the number of teams.
inline constexpr std::size_t max_reported_teams = 16;
/// Use is sent to each receiver this often, whatever else is sent to it.
inline constexpr milliseconds team_use_interval(500);
/// Expected duration of a run while none has ended, and of each further run in the queue's order.
inline constexpr milliseconds assumed_run(500);

/// Factor by which use has decayed after this time.
double decay_after(microseconds elapsed);
/// Adds the use of a report that was received `age` ago.
void add_team_use(team_use_map& sum, const team_use_map& use, microseconds age);
/// Subtracts use that was added before.
void subtract_team_use(team_use_map& sum, const team_use_map& use, microseconds age);
/// The teams with the largest use, at most `max_reported_teams`.
team_use_map largest_users(const team_use_map& use);

class team_shares {
public:
    /// Replaces the teams. Without any, there are no shares. \param weights 0: the mean of the
    /// weights that are set, or 1 if none is.
    void set_weights(const std::map<team_id, double>& weights);
    /// Whether the order of requests follows the shares of teams.
    bool is_enabled() const { return !weights_.empty(); }

    /// Sets the slots of all endpoints, which teams share by their weights.
    void set_capacity(std::uint32_t slots) { capacity_ = slots; }

    void acquire(const team_id& team, instant now);
    void release(const team_id& team, instant now);
    /// Replaces the use reported by another gateway, or by a relay for a whole zone.
    void set_remote_use(const entry_id& holder, team_use_map use, instant now);
    /// Drops reports that are too old: the own use then decides.
    void expire(instant now);
    /// The largest use of this gateway, to be sent to the others.
    team_use_map own_use(instant now) const;

    double weight(const team_id& team) const;
    /// Use of the fleet in slot milliseconds per unit of weight.
    double relative_use(const team_id& team, instant now) const;
    /// Slots that the team holds on average, as a part of its weighted share of all slots.
    double part_of_share(const team_id& team, instant now) const;
    /// Whether the team holds clearly more of the fleet's slots than its weighted share, by more
    /// than random arrivals explain. Such a team leaves the last free slots to others.
    bool is_over_share(const team_id& team, instant now) const;
    /// Use of the fleet by all teams that are known to have any.
    team_use_map total_use(instant now) const;

private:
    struct own_record {
        double used_ms = 0; ///< at `at`
        std::uint32_t held = 0;
        instant at{};
    };
    struct remote_record {
        team_use_map use;
        instant received_at{};
    };

    double share_of(const team_id& team) const;
    double held_by(const team_id& team, instant now) const;
    static void advance(own_record& record, instant now);
    static double use_of(own_record record, instant now);

    std::map<team_id, double> weights_;
    double mean_weight_ = 1;
    double total_weight_ = 0;
    std::uint32_t capacity_ = 0;
    std::map<team_id, own_record> own_;
    std::map<entry_id, remote_record> remote_;
};

} // namespace cassia::policy
