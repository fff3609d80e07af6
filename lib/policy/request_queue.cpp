#include "cassia/policy/request_queue.h"

#include <algorithm>
#include <set>
#include <tuple>

namespace cassia::policy {

// A team that joins stands level with the one served least: it neither waits for what others had
// before, nor is owed anything for it.
void request_queue::add(const queued_request& request) {
    if (turns_.count(request.team) == 0) {
        auto least =
            std::min_element(turns_.begin(), turns_.end(),
                             [](const auto& a, const auto& b) { return a.second < b.second; });
        turns_[request.team] = least == turns_.end() ? 0 : least->second;
    }
    waiting_[request.id] = request;
}

void request_queue::remove_served(exchange_id id) {
    auto found = waiting_.find(id);
    if (found == waiting_.end())
        return;
    ++turns_[found->second.team];
    remove(id);
}

void request_queue::remove(exchange_id id) {
    auto found = waiting_.find(id);
    if (found == waiting_.end())
        return;
    const team_id team = found->second.team;
    waiting_.erase(found);
    const bool waits = std::any_of(waiting_.begin(), waiting_.end(),
                                   [&team](const auto& one) { return one.second.team == team; });
    if (!waits)
        turns_.erase(team);
}

// Oldest first would give each slot to the request whose target is just missed, once the line is
// longer than the target: all would be late. A late one waits until none on time does.
std::optional<exchange_id> request_queue::next(const service_id& service, instant now) const {
    const auto rank = [this, now](const queued_request& one) {
        return std::make_tuple(now > one.target_deadline, one.priority, turns_.at(one.team),
                               one.target_deadline, one.id);
    };
    const queued_request* first = nullptr;
    for (const std::pair<const exchange_id, queued_request>& one : waiting_) {
        if (one.second.service != service)
            continue;
        if (first == nullptr || rank(one.second) < rank(*first))
            first = &one.second;
    }
    if (first == nullptr)
        return std::nullopt;
    return first->id;
}

std::vector<exchange_id> request_queue::expired(instant now) const {
    std::vector<exchange_id> out;
    for (const std::pair<const exchange_id, queued_request>& one : waiting_) {
        if (now > one.second.expires_at)
            out.push_back(one.first);
    }
    return out;
}

std::vector<service_id> request_queue::services() const {
    std::set<service_id> names;
    for (const std::pair<const exchange_id, queued_request>& one : waiting_)
        names.insert(one.second.service);
    return {names.begin(), names.end()};
}

std::size_t request_queue::size(const service_id& service) const {
    return static_cast<std::size_t>(
        std::count_if(waiting_.begin(), waiting_.end(),
                      [&service](const auto& one) { return one.second.service == service; }));
}

} // namespace cassia::policy
