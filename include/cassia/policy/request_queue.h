/// Requests that wait for a slot, and in which order they get one. Pure.
#pragma once

#include "cassia/base/clock.h"
#include "cassia/base/ids.h"

#include <map>
#include <optional>
#include <vector>

namespace cassia::policy {

struct queued_request {
    exchange_id id;
    service_id service;
    team_id team;               ///< empty where no key is needed
    std::uint32_t priority = 0; ///< 0 is the highest
    instant arrived{};
    instant target_deadline{}; ///< sent later than this, its answer misses the target
    instant expires_at{};      ///< sent later than this, it can't be served any more
};

class request_queue {
public:
    void add(const queued_request& request);
    /// It is served: its team has had a turn.
    void remove_served(exchange_id id);
    void remove(exchange_id id);
    bool contains(exchange_id id) const { return waiting_.count(id) > 0; }
    /// The next request of a service: those that can still meet their target before those that
    /// can't, by priority; within one, teams take turns, each by how soon its targets pass.
    std::optional<exchange_id> next(const service_id& service, instant now) const;
    /// Requests that are beyond their time.
    std::vector<exchange_id> expired(instant now) const;
    std::vector<service_id> services() const;
    std::size_t size() const { return waiting_.size(); }
    std::size_t size(const service_id& service) const;

private:
    std::map<exchange_id, queued_request> waiting_;
    /// Requests served of each team that waits, beginning with those of the team served least.
    std::map<team_id, std::uint64_t> turns_;
};

} // namespace cassia::policy
