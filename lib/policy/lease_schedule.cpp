#include "cassia/policy/lease_schedule.h"

#include <algorithm>
#include <utility>

namespace cassia::policy {

namespace {
// One request of a route is usually open at a time, as each may grant what fills the free slots. A
// group that takes longer than this is not waited for.
constexpr milliseconds slow_reply(250);
} // namespace

std::optional<group_id> lease_schedule::next(const std::string& route, instant now) const {
    auto found = routes_.find(route);
    if (found == routes_.end())
        return group_id(1);
    const route_pace& pace = found->second;
    const bool awaits_reply =
        std::any_of(pace.groups.begin(), pace.groups.end(), [now](const auto& one) {
            return one.second.asked_at && now - *one.second.asked_at < slow_reply;
        });
    if (awaits_reply || now < pace.next_at)
        return std::nullopt;
    for (std::uint32_t i = 0; i < groups_; ++i) {
        const group_id group(1 + (pace.last_group + i) % groups_);
        auto known = pace.groups.find(group);
        if (known == pace.groups.end() || (!known->second.asked_at && now >= known->second.next_at))
            return group;
    }
    return std::nullopt;
}

void lease_schedule::begin(const std::string& route, const group_id& group, instant now) {
    route_pace& pace = routes_[route];
    pace.last_group = static_cast<std::uint32_t>(group.value());
    pace.groups[group].asked_at = now;
}

void lease_schedule::end(const std::string& route, const group_id& group, bool granted,
                         milliseconds idle, instant now) {
    auto found = routes_.find(route);
    if (found == routes_.end())
        return;
    group_pace& pace = found->second.groups[group];
    pace.asked_at.reset();
    pace.next_at = granted ? now : now + idle * groups_;
}

void lease_schedule::pause(const std::string& route, milliseconds time, instant now) {
    routes_[route].next_at = now + time;
}

void lease_schedule::keep_only(const std::set<std::string>& routes) {
    std::erase_if(routes_, [&routes](const auto& one) { return routes.count(one.first) == 0; });
}

} // namespace cassia::policy
