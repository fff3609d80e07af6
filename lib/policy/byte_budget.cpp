#include "cassia/policy/byte_budget.h"

#include <algorithm>
#include <limits>

namespace cassia::policy {

namespace {
// The other half of a process's memory is for its code, its own state and what the allocator can't
// give back.
constexpr std::uint64_t memory_parts = 2;
constexpr std::uint64_t call_parts = 32;
constexpr std::uint64_t team_parts = 4;
// Bodies up to this size are most requests, and few bytes: they have an eighth of the budget that
// neither responses nor larger bodies can fill.
constexpr std::uint64_t small_body = 64ULL * 1024;
// A caller is slow if it takes longer than this to read what is held for it.
constexpr std::int64_t slow_read_s = 5;
// Younger backlogs say nothing about the pace of their caller.
constexpr milliseconds min_measured(500);
// Callers pause for some seconds; what they read before that counts less and less.
constexpr milliseconds measured_time(2000);
constexpr double ms_per_s = 1000;

double to_ms(instant from, instant to) {
    return static_cast<double>(std::chrono::duration_cast<microseconds>(to - from).count()) /
           ms_per_s;
}

// A quarter is left to bodies: slow readers don't keep others from sending requests.
std::uint64_t response_part(std::uint64_t budget) {
    return budget / 4 * 3;
}
} // namespace

byte_budget::byte_budget(std::uint64_t memory)
    : budget_(memory / memory_parts), share_(budget_ / call_parts) {}

// A team may hold what nobody else needs.
bool byte_budget::is_over_share(const team_id& team) const {
    auto found = teams_.find(team);
    const std::uint64_t held = found == teams_.end() ? 0 : found->second.bytes;
    return held > budget_ / team_parts && total_.total() > held;
}

bool byte_budget::admits_body(caller_id caller, const team_id& team, std::uint64_t bytes) const {
    auto found = callers_.find(caller);
    const std::uint64_t before = found == callers_.end() ? 0 : found->second.held.body;
    if (!is_bounded() || bytes <= before)
        return true;
    const std::uint64_t more = bytes - before;
    if (bytes <= small_body)
        return total_.body + more <= budget_ / 8 * 5;
    if (total_.body + more > budget_ / 2 || total_.total() + more > budget_)
        return false;
    auto of_team = teams_.find(team);
    const std::uint64_t team_bytes = of_team == teams_.end() ? 0 : of_team->second.bytes;
    const bool is_alone = total_.total() == team_bytes;
    if (!is_alone && team_bytes + more > budget_ / team_parts)
        return false;
    return true;
}

void byte_budget::account(caller_state& one, const held_bytes& held) {
    total_.body += held.body - one.held.body;
    total_.gathered += held.gathered - one.held.gathered;
    total_.unsent += held.unsent - one.held.unsent;
    teams_[one.team].bytes += held.total() - one.held.total();
    one.held = held;
}

// A running mean at first, then a mean that forgets what is older than `measured_time`.
void byte_budget::measure(caller_state& one, std::uint64_t sent, instant now) {
    if (one.held.unsent == 0) {
        one.unread_since = instant();
    } else if (one.unread_since == instant()) {
        one.unread_since = now;
        one.measured_at = now;
        one.bytes_per_s = 0;
        one.sent = sent;
    }
    const double passed = one.unread_since == instant() ? 0 : to_ms(one.measured_at, now);
    if (passed < 1)
        return;
    const double rate = static_cast<double>(sent - one.sent) / passed * ms_per_s;
    const double longest = static_cast<double>(measured_time.count());
    const double weight = std::min(1.0, passed / std::min(to_ms(one.unread_since, now), longest));
    one.bytes_per_s += (rate - one.bytes_per_s) * weight;
    one.sent = sent;
    one.measured_at = now;
}

response_flow byte_budget::update(caller_id caller, const team_id& team, const held_bytes& held,
                                  std::uint64_t sent, instant now) {
    auto found = callers_.find(caller);
    if (found != callers_.end() && found->second.team != team) {
        remove(caller);
        found = callers_.end();
    }
    if (found == callers_.end()) {
        found = callers_.emplace(caller, caller_state()).first;
        found->second.team = team;
        found->second.sent = sent;
        ++teams_[team].callers;
    }
    caller_state& one = found->second;
    account(one, held);
    measure(one, sent, now);
    if (total_.response() > response_part(budget_))
        crowded_ = true;
    return decide(one);
}

void byte_budget::remove(caller_id caller) {
    auto found = callers_.find(caller);
    if (found == callers_.end())
        return;
    account(found->second, {});
    auto team = teams_.find(found->second.team);
    if (--team->second.callers == 0)
        teams_.erase(team);
    callers_.erase(found);
}

// An equal part for each caller, which may be little: most responses are smaller.
std::uint64_t byte_budget::gather_limit() const {
    if (!crowded_ || callers_.empty())
        return share_;
    return std::min<std::uint64_t>(share_, response_part(budget_) / callers_.size());
}

std::uint64_t byte_budget::limit_of(const caller_state& one) const {
    std::uint64_t limit = share_;
    if (is_over_share(one.team))
        limit = std::min(limit, budget_ / team_parts / teams_.at(one.team).callers);
    return std::min(limit, gather_limit());
}

response_flow byte_budget::decide(caller_state& one) {
    if (!is_bounded())
        return response_flow::unchanged;
    const std::uint64_t limit = limit_of(one);
    // What is gathered doesn't drain before it is complete.
    if (!one.paused && one.held.unsent > limit) {
        one.paused = true;
        return response_flow::pause;
    }
    if (one.paused && one.held.unsent <= limit / 2) {
        one.paused = false;
        return response_flow::resume;
    }
    return response_flow::unchanged;
}

bool byte_budget::is_paused(caller_id caller) const {
    auto found = callers_.find(caller);
    return found != callers_.end() && found->second.paused;
}

bool byte_budget::is_slow(const caller_state& one, instant now) const {
    if (one.unread_since == instant() || now - one.unread_since < min_measured)
        return false;
    return static_cast<double>(one.held.unsent) > one.bytes_per_s * slow_read_s;
}

// Callers of teams that hold more than their share give way before others. A caller that holds less
// than the mean keeps its connection: there is another one that holds more.
std::optional<caller_id> byte_budget::slowest(instant now) const {
    const std::uint64_t mean = total_.unsent / std::max<std::size_t>(callers_.size(), 1);
    const std::uint64_t least = std::min(share_, mean);
    std::optional<caller_id> found;
    std::pair<bool, double> best{true, std::numeric_limits<double>::max()};
    for (const std::pair<const caller_id, caller_state>& one : callers_) {
        if (one.second.held.unsent < least || !is_slow(one.second, now))
            continue;
        const std::pair<bool, double> rank{!is_over_share(one.second.team), one.second.bytes_per_s};
        if (found && !(rank < best))
            continue;
        best = rank;
        found = one.first;
    }
    return found;
}

std::vector<slow_caller> byte_budget::take_slow(instant now) {
    std::vector<slow_caller> dropped;
    while (is_bounded() &&
           (total_.response() > response_part(budget_) || total_.total() > budget_)) {
        const std::optional<caller_id> next = slowest(now);
        if (!next)
            break;
        const caller_state& one = callers_.at(*next);
        dropped.push_back({*next, one.team, one.held.total(),
                           std::chrono::duration_cast<milliseconds>(now - one.unread_since),
                           static_cast<std::uint64_t>(one.bytes_per_s)});
        remove(*next);
    }
    if (total_.response() <= response_part(budget_) / 8 * 7)
        crowded_ = false;
    return dropped;
}

std::vector<caller_id> byte_budget::take_resumed() {
    std::vector<caller_id> resumed;
    for (std::pair<const caller_id, caller_state>& one : callers_) {
        if (one.second.paused && decide(one.second) == response_flow::resume)
            resumed.push_back(one.first);
    }
    return resumed;
}

std::vector<std::pair<team_id, std::uint64_t>> byte_budget::largest_teams(std::size_t count) const {
    std::vector<std::pair<team_id, std::uint64_t>> all;
    for (const std::pair<const team_id, team_state>& one : teams_) {
        if (one.second.bytes > 0)
            all.emplace_back(one.first, one.second.bytes);
    }
    std::sort(all.begin(), all.end(),
              [](const auto& a, const auto& b) { return a.second > b.second; });
    all.resize(std::min(all.size(), count));
    return all;
}

} // namespace cassia::policy
