#include "trial_uses.h"

#include <algorithm>
#include <iterator>

namespace cassia::policy {

namespace {
// A run that may still hang its endpoint keeps others away for longer than one that ended.
constexpr std::size_t silent_run_weight = 2;
} // namespace

trial_schedule::use_index::use_index(const trial_schedule& schedule, instant now,
                                     const is_listed& listed, const risk_of& risk)
    : schedule_(schedule), listed_(listed), risk_(risk) {
    for (const std::pair<const trial_key, trial>& one : schedule.trials_) {
        if (one.second.endpoint)
            add(one.second);
    }
    for (const hold& one : schedule.holds_)
        add(one, now);
}

trial_schedule::use_index::endpoint_use&
trial_schedule::use_index::at(const endpoint_id& endpoint) {
    const auto [found, is_new] = endpoints_.try_emplace(endpoint);
    if (is_new && listed_)
        found->second.is_listed = listed_(endpoint);
    return found->second;
}

void trial_schedule::use_index::add(const trial& granted) {
    const trial_request& asked = granted.asked;
    causes_[asked.request].runs.push_back(&granted);
    endpoint_use& endpoint = at(*granted.endpoint);
    endpoint.places = std::max(endpoint.places, granted.places);
    endpoint.versions.insert(asked.version);
    endpoint.innocent[asked.key] = risk_ ? 1 - risk_(asked.request) : 0;
    endpoint.is_closed = endpoint.is_closed || !schedule_.may_share(asked, risk_);
    service_use& service = services_[asked.service];
    service.running.insert(*granted.endpoint);
    if (service.barred.insert(*granted.endpoint).second)
        service.choices.clear();
    if (!endpoint.is_listed)
        return;
    service.used_by_items.insert(*granted.endpoint);
    service.used.insert(*granted.endpoint);
}

void trial_schedule::use_index::add(const hold& one, instant now) {
    service_use& service = services_[one.service];
    endpoint_use& endpoint = at(one.endpoint);
    if (!one.is_complete) {
        service.barred.insert(one.endpoint);
        endpoint.is_closed = true;
    } else {
        service.completed.insert(one.endpoint);
        endpoint.innocent_behind.push_back(risk_ ? 1 - risk_(one.request) : 0);
    }
    if (one.request.empty())
        return;
    cause_use& cause = causes_[one.request];
    cause.holds.push_back(&one);
    const std::size_t weight = one.is_silent ? silent_run_weight : 1;
    if (now < one.until_for_batch) {
        cause.held_from_items += weight;
        if (endpoint.is_listed)
            service.used_by_items.insert(one.endpoint);
    }
    if (now < one.until) {
        cause.held += weight;
        if (endpoint.is_listed)
            service.used.insert(one.endpoint);
    }
}

const trial_schedule::use_index::cause_use*
trial_schedule::use_index::find_cause(const fingerprint& cause) const {
    auto found = causes_.find(cause);
    return found == causes_.end() ? nullptr : &found->second;
}

std::size_t trial_schedule::use_index::count_runs(const trial_request& asked) const {
    const cause_use* cause = find_cause(asked.request);
    if (cause == nullptr)
        return 0;
    return cause->runs.size() +
           (asked.kind == work_kind::batch ? cause->held_from_items : cause->held);
}

const std::set<endpoint_id>& trial_schedule::use_index::used_by_trials(const trial_request& asked) {
    const service_use& service = services_[asked.service];
    return asked.kind == work_kind::batch ? service.used_by_items : service.used;
}

double trial_schedule::use_index::risk_behind(const endpoint_use& endpoint, double innocent_asked) {
    double innocent = innocent_asked;
    for (const double one : endpoint.innocent_behind)
        innocent *= one;
    return 1 - innocent;
}

trial_schedule::choice trial_schedule::use_index::choose(const trial_request& asked, bool shares,
                                                         const trial_schedule::choose& choose) {
    service_use& service = services_[asked.service];
    // The more a request risks, the fewer of them it may use, and always the same ones.
    std::set<endpoint_id> usable;
    if (shares) {
        const double innocent_asked = 1 - risk_(asked.request);
        for (const endpoint_id& one : service.completed) {
            if (risk_behind(endpoints_.at(one), innocent_asked) <= max_shared_risk)
                usable.insert(one);
        }
    }
    const std::pair<software_version, std::size_t> key(asked.version, usable.size());
    auto known = service.choices.find(key);
    if (known != service.choices.end())
        return known->second;
    std::set<endpoint_id> excluded = service.barred;
    std::set_difference(service.completed.begin(), service.completed.end(), usable.begin(),
                        usable.end(), std::inserter(excluded, excluded.end()));
    choice chosen = choose(asked, excluded);
    if (chosen.for_any_cause)
        service.choices[key] = chosen;
    return chosen;
}

std::optional<endpoint_id>
trial_schedule::use_index::find_shared(const trial_request& asked) const {
    auto service = services_.find(asked.service);
    if (service == services_.end())
        return std::nullopt;
    const double innocent_asked = 1 - risk_(asked.request);
    std::optional<endpoint_id> safest;
    double least = max_shared_risk;
    for (const endpoint_id& id : service->second.running) {
        const endpoint_use& endpoint = endpoints_.at(id);
        const bool is_version =
            asked.version.empty() || endpoint.versions == std::set<software_version>{asked.version};
        if (!endpoint.is_listed || endpoint.is_closed || !is_version ||
            endpoint.innocent.size() >= endpoint.places)
            continue;
        double innocent = 1;
        for (const std::pair<const trial_key, double>& one : endpoint.innocent)
            innocent *= one.second;
        const double all = 1 - innocent * (1 - risk_behind(endpoint, innocent_asked));
        if (all > least)
            continue;
        least = all;
        safest = id;
    }
    return safest;
}

std::size_t trial_schedule::use_index::places_at(const endpoint_id& endpoint) const {
    auto found = endpoints_.find(endpoint);
    return found == endpoints_.end() ? 1 : found->second.places;
}

} // namespace cassia::policy
