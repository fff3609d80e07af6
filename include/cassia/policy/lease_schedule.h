/// Schedules a gateway's requests for items of batch jobs. Each route asks the work groups in turn,
/// and each pair of them keeps its own pace, so that a route without items or a group that doesn't
/// reply delays no other. Pure.
#pragma once

#include "cassia/base/clock.h"
#include "cassia/base/ids.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace cassia::policy {

class lease_schedule {
public:
    /// \param groups work groups of the cluster, at least one.
    explicit lease_schedule(std::uint32_t groups) : groups_(groups) {}

    /// \returns the group that the route may ask now, if any.
    std::optional<group_id> next(const std::string& route, instant now) const;
    /// A request of the route was sent to the group.
    void begin(const std::string& route, const group_id& group, instant now);
    /// The group replied, or won't any more.
    /// \param idle interval of the route's requests while no group has items for it.
    void end(const std::string& route, const group_id& group, bool granted, milliseconds idle,
             instant now);
    /// The route asks no group for as long.
    void pause(const std::string& route, milliseconds time, instant now);
    /// Forgets all other routes.
    void keep_only(const std::set<std::string>& routes);

private:
    struct group_pace {
        std::optional<instant> asked_at; ///< of the open request
        instant next_at{};
    };
    struct route_pace {
        std::map<group_id, group_pace> groups;
        std::uint32_t last_group = 0; ///< that was asked
        instant next_at{};
    };

    std::uint32_t groups_;
    std::map<std::string, route_pace> routes_;
};

} // namespace cassia::policy
