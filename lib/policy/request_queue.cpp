#include "cassia/policy/request_queue.h"

#include <algorithm>
#include <set>
#include <tuple>

namespace cassia::policy {

// A team that joins starts level with the team served least: it neither has to wait for the others
// to catch up, nor gets credit for the time before.
void request_queue::add(const queued_request& request) {
    if (served_by_team_.count(request.team) == 0) {
        auto least =
            std::min_element(served_by_team_.begin(), served_by_team_.end(),
                             [](const auto& a, const auto& b) { return a.second < b.second; });
        served_by_team_[request.team] = least == served_by_team_.end() ? 0 : least->second;
    }
    waiting_[request.id] = request;
}

void request_queue::remove_served(exchange_id id) {
    auto found = waiting_.find(id);
    if (found == waiting_.end())
        return;
    ++served_by_team_[found->second.team];
    remove(id);
}

void request_queue::remove(exchange_id id) {
    auto found = waiting_.find(id);
    if (found == waiting_.end())
        return;
    const team_id team = found->second.team;
    waiting_.erase(found);
    const bool still_waiting =
        std::any_of(waiting_.begin(), waiting_.end(),
                    [&team](const auto& one) { return one.second.team == team; });
    if (!still_waiting)
        served_by_team_.erase(team);
}

static queue_line line_of(const queued_request& one) {
    return {one.service, one.version, one.reserves_memory};
}

// First-come, first-served would make every request late once the queue is longer than the target:
// each slot would go to a request that has just missed it. So late requests wait for those on time.
// A request that has run can no longer be rejected, and its caller may have part of the answer: it
// never counts as late.
std::optional<exchange_id> request_queue::next(const queue_line& line, instant now,
                                               bool skip_over_share) const {
    if (uses_shares())
        return next_by_share(line, now, skip_over_share);
    const auto rank = [this, now](const queued_request& one) {
        return std::make_tuple(!one.has_run && now > one.target_deadline, one.priority,
                               served_by_team_.at(one.team), one.target_deadline, one.id);
    };
    const queued_request* first = nullptr;
    for (const std::pair<const exchange_id, queued_request>& one : waiting_) {
        if (line != line_of(one.second))
            continue;
        if (first == nullptr || rank(one.second) < rank(*first))
            first = &one.second;
    }
    if (first == nullptr)
        return std::nullopt;
    return first->id;
}

static bool is_late(const queued_request& request, instant now) {
    return !request.has_run && now > request.target_deadline;
}

// A request that has run is never held back: its caller may have part of the answer.
bool request_queue::is_over_share(const queued_request& request, instant now) const {
    return uses_shares() && !request.has_run && shares_->is_over_share(request.team, now);
}

std::optional<exchange_id> request_queue::next_by_share(const queue_line& line, instant now,
                                                        bool skip_over_share) const {
    std::map<team_id, std::pair<bool, double>> use;
    const queued_request* first = nullptr;
    const auto rank = [&use, now](const queued_request& one) {
        const std::pair<bool, double>& share = use.at(one.team);
        return std::make_tuple(is_late(one, now), one.priority, !one.has_run && share.first,
                               share.second, one.target_deadline, one.id);
    };
    for (const std::pair<const exchange_id, queued_request>& one : waiting_) {
        const queued_request& request = one.second;
        if (line != queue_line{request.service, request.version})
            continue;
        if (use.count(request.team) == 0)
            use[request.team] = {shares_->is_over_share(request.team, now),
                                 shares_->relative_use(request.team, now)};
        if (skip_over_share && !request.has_run && use.at(request.team).first)
            continue;
        if (first == nullptr || rank(request) < rank(*first))
            first = &request;
    }
    return first == nullptr ? std::nullopt : std::optional<exchange_id>(first->id);
}

// Each request of a team counts as a run for those behind it, as it will once it is sent.
std::vector<queued_request> request_queue::in_order(const queue_line& line, instant now) const {
    using key = std::tuple<bool, std::uint32_t, bool, double, instant, exchange_id>;
    std::vector<std::pair<key, queued_request>> ranked;
    for (const std::pair<const exchange_id, queued_request>& one : waiting_) {
        const queued_request& request = one.second;
        if (line == queue_line{request.service, request.version})
            ranked.push_back({{is_late(request, now), request.priority, is_over_share(request, now),
                               0, request.target_deadline, request.id},
                              request});
    }
    const auto by_key = [](const auto& a, const auto& b) { return a.first < b.first; };
    std::sort(ranked.begin(), ranked.end(), by_key);
    std::map<team_id, double> use;
    for (std::pair<key, queued_request>& one : ranked) {
        const team_id& team = one.second.team;
        const bool by_share = uses_shares();
        if (use.count(team) == 0)
            use[team] = by_share ? shares_->relative_use(team, now)
                                 : static_cast<double>(served_by_team_.at(team));
        std::get<3>(one.first) = use[team];
        use[team] +=
            by_share ? static_cast<double>(assumed_run.count()) / shares_->weight(team) : 1;
    }
    std::sort(ranked.begin(), ranked.end(), by_key);
    std::vector<queued_request> ordered;
    ordered.reserve(ranked.size());
    for (const std::pair<key, queued_request>& one : ranked)
        ordered.push_back(one.second);
    return ordered;
}

std::vector<exchange_id> request_queue::expired(instant now) const {
    std::vector<exchange_id> expired_ids;
    for (const std::pair<const exchange_id, queued_request>& one : waiting_) {
        if (now > one.second.expires_at)
            expired_ids.push_back(one.first);
    }
    return expired_ids;
}

std::vector<queue_line> request_queue::lines() const {
    std::set<queue_line> all;
    for (const std::pair<const exchange_id, queued_request>& one : waiting_)
        all.insert(line_of(one.second));
    std::vector<queue_line> ordered(all.begin(), all.end());
    std::stable_partition(ordered.begin(), ordered.end(),
                          [](const queue_line& line) { return !line.version.empty(); });
    std::stable_partition(ordered.begin(), ordered.end(),
                          [](const queue_line& line) { return line.reserves_memory; });
    return ordered;
}

std::size_t request_queue::size(const service_id& service) const {
    return static_cast<std::size_t>(
        std::count_if(waiting_.begin(), waiting_.end(),
                      [&service](const auto& one) { return one.second.service == service; }));
}

} // namespace cassia::policy
