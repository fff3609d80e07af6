// Requests that wait for a slot: their order, early rejection, and when their callers return.

#include "cassia/base/log.h"
#include "cassia/gateway/dispatcher.h"

#include <algorithm>
#include <cmath>
#include <utility>
#include <vector>

namespace cassia::gateway {

namespace {
// Teams in one log line.
constexpr std::size_t max_logged_teams = 8;
constexpr double permille = 1000;
} // namespace

team_id dispatcher::team_of(const online_call& call) {
    return call.team == nullptr ? team_id() : call.team->id;
}

void dispatcher::set_teams(const teams::team_table& teams) {
    std::map<team_id, double> weights;
    for (const teams::team& one : teams.all())
        weights[one.id] = one.limit.rate.per_second;
    shares_.set_weights(weights);
}

bool dispatcher::holds_back_over_share(const service_id& service, instant now) const {
    return shares_.is_enabled() && slots_.fleet_load(service, {}, now).is_reserve_only();
}

bool dispatcher::is_held_back(const online_call& call, instant now) const {
    return call.runs == 0 && shares_.is_over_share(team_of(call), now) &&
           holds_back_over_share(call.service, now);
}

void dispatcher::dispatch_queued() {
    // A queued call may end in here, which would dispatch again, one call within the other.
    if (dispatching_)
        return;
    dispatching_ = true;
    const instant now = monotonic_now();
    for (const policy::queue_line& line : queue_.lines()) {
        const bool is_suspended =
            !line.version.empty() && slots_.all_suspended(line.service, line.version, now);
        if (is_suspended)
            continue;
        while (const std::optional<exchange_id> next =
                   queue_.next(line, now, holds_back_over_share(line.service, now))) {
            online_call& call = *calls_.at(*next);
            const std::size_t queued_before = queue_.size();
            place(call);
            if (queue_.size() == queued_before)
                break;
        }
    }
    dispatching_ = false;
}

policy::slot_forecast& dispatcher::forecast_for(const online_call& call, instant now) {
    return forecasts_[{call.service, shares_.is_over_share(team_of(call), now)}];
}

policy::fleet_slots dispatcher::fleet_for(const online_call& call, instant now) const {
    policy::fleet_slots fleet = slots_.fleet_load(call.service, call.required_version(), now);
    if (shares_.is_over_share(team_of(call), now))
        fleet.keep_reserve();
    return fleet;
}

void dispatcher::note_arrival(const online_call& call) {
    for (const bool over_share : {false, true})
        forecasts_[{call.service, over_share}].record_arrival(call.arrived_at);
}

void dispatcher::note_queued(online_call& call, instant now) {
    call.was_over_share = shares_.is_over_share(team_of(call), now);
    const std::optional<policy::slot_estimate> slot =
        forecast_for(call, now).estimate(fleet_for(call, now), queue_.size(call.service));
    call.slot_forecast = slot ? slot->expected : milliseconds(0);
}

void dispatcher::note_slot(online_call& call, bool acquired) {
    const instant now = monotonic_now();
    call.holds_slot = acquired;
    if (!acquired) {
        shares_.release(team_of(call), now);
        if (!call.not_run && call.first_byte_at >= call.sent_at) {
            for (const bool over_share : {false, true})
                forecasts_[{call.service, over_share}].record_run(now - call.sent_at);
        }
        return;
    }
    shares_.acquire(team_of(call), now);
    if (call.sends == 0 && call.slot_forecast > milliseconds(0))
        forecasts_[{call.service, call.was_over_share}].record_wait(call.slot_forecast,
                                                                    now - call.arrived_at);
}

void dispatcher::reject_missing_deadline(instant now) {
    if (!refuses_ahead_)
        return;
    for (const policy::queue_line& line : queue_.lines())
        reject_missing_deadline(line, now);
}

void dispatcher::reject_missing_deadline(const policy::queue_line& line, instant now) {
    std::map<bool, std::vector<policy::queued_request>> waiting;
    for (const policy::queued_request& one : queue_.in_order(line, now))
        waiting[queue_.is_over_share(one, now)].push_back(one);
    for (const std::pair<const bool, std::vector<policy::queued_request>>& some : waiting) {
        const online_call& first = *calls_.at(some.second.front().id);
        const policy::fleet_slots fleet = fleet_for(first, now);
        const std::vector<policy::queued_request> missed =
            forecast_for(first, now).missing_deadline(some.second, fleet, now);
        const std::size_t ahead = some.second.size() - missed.size();
        for (const policy::queued_request& one : missed) {
            auto found = calls_.find(one.id);
            if (found != calls_.end() && queue_.contains(one.id))
                reject_ahead(*found->second, one, fleet, ahead, now);
        }
    }
}

std::optional<milliseconds> dispatcher::plan_return(online_call& call,
                                                    const policy::fleet_slots& fleet,
                                                    std::size_t queued, instant now) {
    const milliseconds left = std::chrono::duration_cast<milliseconds>(call.deadline - now);
    return forecast_for(call, now).plan_return(fleet, queued, call.priority(), left,
                                               milliseconds(call.route->target_ms()), now);
}

void dispatcher::reject_ahead(online_call& call, const policy::queued_request& waiting,
                              const policy::fleet_slots& fleet, std::size_t ahead, instant now) {
    const std::optional<policy::slot_estimate> slot =
        forecast_for(call, now).estimate_for(waiting, fleet, ahead, now);
    const std::optional<milliseconds> retry_after = plan_return(call, fleet, ahead, now);
    if (!slot || !retry_after)
        return;
    log_info("request_rejected")
        .with("request", call.request_id)
        .with("cause", "no_slot_forecast")
        .with("team", team_of(call).str())
        .with("forecast_ms", slot->expected.count())
        .with("earliest_ms", slot->earliest.count())
        .with("ahead", ahead)
        .with("busy", fleet.busy)
        .with("slots", fleet.slots)
        .with("over_share", shares_.is_over_share(team_of(call), now) ? 1 : 0)
        .with("retry_after_ms", retry_after->count());
    reject(call, "no_slot_forecast", *retry_after);
}

milliseconds dispatcher::retry_after_wait(online_call& call, instant now) {
    if (!refuses_ahead_)
        return default_retry_after;
    if (call.slot_forecast > milliseconds(0))
        forecasts_[{call.service, call.was_over_share}].record_wait(call.slot_forecast,
                                                                    now - call.arrived_at);
    return plan_return(call, fleet_for(call, now), queue_.size(call.service), now)
        .value_or(default_retry_after);
}

void dispatcher::log_shares() const {
    const instant now = monotonic_now();
    std::vector<std::pair<double, team_id>> ranked;
    for (const std::pair<const team_id, double>& one : shares_.total_use(now))
        ranked.emplace_back(one.second, one.first);
    if (!shares_.is_enabled() || ranked.empty())
        return;
    const std::size_t count = std::min(ranked.size(), max_logged_teams);
    std::partial_sort(ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(count),
                      ranked.end(), std::greater<>());
    std::string teams;
    for (std::size_t i = 0; i < count; ++i) {
        const team_id& team = ranked[i].second;
        teams += (i == 0 ? "" : ",") + team.str() + ":" +
                 std::to_string(std::lround(ranked[i].first)) + ":" +
                 std::to_string(std::lround(permille * shares_.part_of_share(team, now))) +
                 (shares_.is_over_share(team, now) ? ":over" : "");
    }
    log_info("team_shares").with("teams", teams);
}

} // namespace cassia::gateway
