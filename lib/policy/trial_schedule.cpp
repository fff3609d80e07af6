#include "cassia/policy/trial_schedule.h"

#include "trial_uses.h"

#include <algorithm>
#include <utility>

namespace cassia::policy {

namespace {
// Gateways refresh a trial some times in this time.
constexpr milliseconds refresh_timeout(1000);
// From a crash until its verdict is known to the gateways that ask for runs.
constexpr milliseconds verdict_time(150);
// Until an endpoint that a run hangs has ended or answers again.
constexpr milliseconds hang_time(5000);
// An accepted item must not be idle for as long as that.
constexpr milliseconds hang_time_for_batch(3000);
// An item that has waited for long may run beside others of its cause, twice as many after each of
// these times.
constexpr milliseconds runs_doubling_time(1000);
constexpr std::int64_t max_runs_doublings = 5;
// One silent endpoint may be chance; an item with more of them in this time is put back.
constexpr std::uint32_t max_silent_ends = 1;
constexpr milliseconds silent_end_retention(20000);
// Longer than an item is held after a silent endpoint, so that others may run in between.
constexpr milliseconds put_back_time(5000);
// The gateway that asked couldn't use the endpoint, which may be gone.
constexpr milliseconds unusable_time(1000);
constexpr std::uint32_t max_kept_turns = 3;
// A cause with a crash in a run alone, and no completed one since, is run by few at once.
constexpr milliseconds crash_retention(10000);
constexpr std::size_t max_runs_after_crash = 2;
constexpr std::size_t max_known_trials = 4096;
// More than a gateway asks for, and few enough to leave room for the others'.
constexpr std::size_t max_trials_of_gateway = 512;
} // namespace

// Any gateway may hold the item next.
retried_item trial_schedule::item_of(const trial_key& key) const {
    const std::uint64_t number = item_number(key.id);
    auto first = trials_.lower_bound({key.gateway, trial_id(number)});
    if (first != trials_.end() && first->first == key)
        ++first;
    const bool is_shared_name = first != trials_.end() && first->first.gateway == key.gateway &&
                                item_number(first->first.id) == number;
    const bool is_named = number != 0 && !is_shared_name;
    return is_named ? retried_item{entry_id(), number} : retried_item{key.gateway, key.id.value()};
}

trial_request trial_schedule::bound(const trial_request& asked, const retried_item& item,
                                    instant now) const {
    trial_request bounded = asked;
    if (bounded.retry)
        bounded.retry = retries_.bound(item, *bounded.retry, now);
    return bounded;
}

void trial_schedule::refresh(const trial_request& request, instant now) {
    auto found = trials_.find(request.key);
    if (found == trials_.end()) {
        auto asked_by = asked_by_.find(request.key.gateway);
        const bool has_room =
            asked_by == asked_by_.end() || asked_by->second < max_trials_of_gateway;
        if (trials_.size() >= max_known_trials || !has_room)
            return;
        ++asked_by_[request.key.gateway];
        trial& added = trials_[request.key];
        added.item = item_of(request.key);
        added.asked = bound(request, added.item, now);
        added.asked_at = added.refreshed_at = now;
        take_kept_turn(added);
        return;
    }
    found->second.refreshed_at = now;
    if (found->second.endpoint)
        return;
    // A suspect waits since its quarantine ended.
    if (found->second.asked.retry && !request.retry)
        found->second.asked_at = now;
    found->second.asked = bound(request, found->second.item, now);
}

void trial_schedule::end(const trial_key& key, trial_outcome outcome, instant now) {
    auto found = trials_.find(key);
    if (found == trials_.end())
        return;
    const trial ended = std::move(found->second);
    trials_.erase(found);
    if (--asked_by_[key.gateway] == 0)
        asked_by_.erase(key.gateway);
    if (outcome == trial_outcome::unused)
        keep_turn(ended, now);
    if (!ended.endpoint)
        return;
    // Nothing was found out about the part, and its other items needn't wait for the next interval.
    if (outcome == trial_outcome::unused && ended.asked.retry)
        retries_.withdraw_grant(ended.asked.request, ended.granted_at);
    // The others that share the endpoint use it.
    if (outcome == trial_outcome::unused && ended.shared)
        return;
    if (outcome == trial_outcome::unused) {
        holds_.push_back(
            {fingerprint(), ended.asked.service, *ended.endpoint, now + unusable_time, now});
        return;
    }
    milliseconds time = late_crash_time;
    if (outcome == trial_outcome::crashed)
        time = verdict_time;
    else if (outcome == trial_outcome::silent)
        time = hang_time;
    if (ended.asked.retry) {
        const bool failed = outcome != trial_outcome::completed;
        retries_.record_run(ended.item, !ended.shared, failed, now);
        retries_.record_time(ended.asked.request,
                             now - ended.granted_at + std::min(time, hang_time_for_batch),
                             ended.places, now);
    }
    if (outcome == trial_outcome::completed)
        crashed_causes_.erase(ended.asked.request);
    else if (outcome == trial_outcome::crashed && crashed_causes_.size() < max_known_trials)
        crashed_causes_[ended.asked.request] = now;
    const bool is_item = ended.asked.kind == work_kind::batch;
    if (is_item && outcome == trial_outcome::silent &&
        (silent_ends_.size() < max_known_trials || silent_ends_.count(ended.asked.request) > 0)) {
        silent_ends& known = silent_ends_[ended.asked.request];
        known = {known.count + 1, now};
    }
    holds_.push_back({ended.asked.request, ended.asked.service, *ended.endpoint, now + time,
                      now + std::min(time, hang_time_for_batch), outcome == trial_outcome::silent,
                      outcome == trial_outcome::completed});
}

// An item has been idle since, and is asked for again at once. A gateway that can use no endpoint
// must not go first again and again.
void trial_schedule::keep_turn(const trial& unused, instant now) {
    const bool may_keep = unused.asked.kind == work_kind::batch && unused.kept < max_kept_turns &&
                          kept_turns_.size() < max_known_trials;
    if (may_keep)
        kept_turns_.insert({{unused.asked.key.gateway, unused.asked.request},
                            {unused.asked_at, now + unusable_time, unused.kept + 1}});
}

// Several items may have one cause; the first of them that is asked for again takes the oldest.
void trial_schedule::take_kept_turn(trial& added) {
    const auto [first, last] =
        kept_turns_.equal_range({added.asked.key.gateway, added.asked.request});
    const auto oldest = std::min_element(first, last, [](const auto& a, const auto& b) {
        return a.second.asked_at < b.second.asked_at;
    });
    if (oldest == last)
        return;
    added.asked_at = oldest->second.asked_at;
    added.kept = oldest->second.count;
    kept_turns_.erase(oldest);
}

bool trial_schedule::is_put_back(const trial& one) const {
    auto found = silent_ends_.find(one.asked.request);
    return one.asked.kind == work_kind::batch && found != silent_ends_.end() &&
           found->second.count > max_silent_ends;
}

instant trial_schedule::waits_since(const trial& one) const {
    return is_put_back(one) ? one.asked_at + put_back_time : one.asked_at;
}

void trial_schedule::expire(instant now) {
    std::erase_if(holds_, [now](const hold& one) { return now >= one.until; });
    std::erase_if(kept_turns_, [now](const auto& one) { return now >= one.second.until; });
    std::erase_if(crashed_causes_,
                  [now](const auto& one) { return now - one.second > crash_retention; });
    std::erase_if(silent_ends_, [now](const auto& one) {
        return now - one.second.last_at > silent_end_retention;
    });
    std::vector<trial_key> lost;
    for (const std::pair<const trial_key, trial>& one : trials_) {
        if (now - one.second.refreshed_at > refresh_timeout)
            lost.push_back(one.first);
    }
    // A gateway that is lost may have left the run to itself.
    for (const trial_key& key : lost)
        end(key, trial_outcome::completed, now);
}

// Items that share a suspected part would wait for the sum of their runs.
std::size_t trial_schedule::max_runs(milliseconds waited) {
    if (waited < overdue_trial_time)
        return 1;
    const std::int64_t doublings =
        std::min((waited - overdue_trial_time) / runs_doubling_time, max_runs_doublings);
    return std::size_t{2} << doublings;
}

bool trial_schedule::is_busy(const trial_request& asked, milliseconds waited,
                             const use_index& uses) const {
    const bool has_crashed = crashed_causes_.count(asked.request) > 0;
    const std::size_t limit = max_runs(waited);
    return uses.count_runs(asked) >= (has_crashed ? std::min(limit, max_runs_after_crash) : limit);
}

// An item that hung an endpoint may do so again, which the detector of crashes doesn't know.
bool trial_schedule::may_share(const trial_request& asked, const risk_of& risk) const {
    return risk && asked.kind == work_kind::batch && silent_ends_.count(asked.request) == 0 &&
           risk(asked.request) <= max_shared_risk;
}

std::optional<endpoint_id> trial_schedule::find_own(trial& waiting, milliseconds waited,
                                                    bool shares, const choose& choose_endpoint,
                                                    use_index& uses) const {
    const choice chosen = uses.choose(waiting.asked, shares, choose_endpoint);
    const bool is_overdue = waited >= overdue_trial_time && !is_put_back(waiting);
    const std::size_t limit = is_overdue ? max_overdue_trials(chosen.limit) : chosen.limit;
    const std::set<endpoint_id>& used = uses.used_by_trials(waiting.asked);
    const bool may_use =
        chosen.endpoint && (used.size() < limit || used.count(*chosen.endpoint) > 0);
    if (!may_use)
        return std::nullopt;
    waiting.places = chosen.places;
    return chosen.endpoint;
}

std::vector<trial_grant> trial_schedule::poll(instant now, const choose& choose_endpoint,
                                              const is_listed& listed, const risk_of& risk) {
    expire(now);
    std::vector<trial*> waiting;
    std::vector<trial*> retries;
    for (std::pair<const trial_key, trial>& one : trials_) {
        if (!one.second.endpoint)
            (one.second.asked.retry ? retries : waiting).push_back(&one.second);
    }
    std::vector<trial_grant> grants;
    if (waiting.empty() && retries.empty())
        return grants;
    use_index uses(*this, now, listed, risk);
    // Retries take an endpoint for each part at most, so they don't wait behind suspects.
    grant_retries(retries, now, choose_endpoint, uses, grants);
    grant_trials(waiting, now, choose_endpoint, risk, uses, grants);
    return grants;
}

void trial_schedule::grant_trials(const std::vector<trial*>& waiting, instant now,
                                  const choose& choose_endpoint, const risk_of& risk,
                                  use_index& uses, std::vector<trial_grant>& grants) {
    std::vector<std::pair<instant, trial*>> order;
    order.reserve(waiting.size());
    for (trial* one : waiting)
        order.emplace_back(waits_since(*one), one);
    std::sort(order.begin(), order.end(),
              [](const auto& a, const auto& b) { return a.first < b.first; });
    // Where a run waits that needs an endpoint of its own, those that share must leave one empty.
    std::set<service_id> without_own;
    for (const std::pair<instant, trial*>& next : order) {
        trial* one = next.second;
        const milliseconds waited =
            one->asked.kind == work_kind::batch
                ? std::chrono::duration_cast<milliseconds>(now - one->asked_at)
                : milliseconds(0);
        if (is_busy(one->asked, waited, uses))
            continue;
        const bool may_join = without_own.count(one->asked.service) == 0;
        const bool shares = may_share(one->asked, risk);
        // The gateway couldn't use a shared endpoint before.
        std::optional<endpoint_id> endpoint;
        if (may_join && shares && one->kept == 0)
            endpoint = uses.find_shared(one->asked);
        one->shared = endpoint.has_value();
        if (endpoint)
            one->places = uses.places_at(*endpoint);
        else
            endpoint = find_own(*one, waited, may_join && shares, choose_endpoint, uses);
        if (!endpoint) {
            if (risk && !shares)
                without_own.insert(one->asked.service);
            continue;
        }
        one->endpoint = endpoint;
        one->granted_at = now;
        uses.add(*one);
        grants.push_back({one->asked.key, *endpoint, one->asked.request, one->shared});
    }
}

trial_summary trial_schedule::summarize(instant now) const {
    trial_summary summary;
    std::set<endpoint_id> endpoints;
    for (const std::pair<const trial_key, trial>& one : trials_) {
        if (one.second.endpoint) {
            ++summary.running;
            endpoints.insert(*one.second.endpoint);
            continue;
        }
        ++summary.waiting;
        const milliseconds waited =
            std::chrono::duration_cast<milliseconds>(now - one.second.asked_at);
        if (waited < summary.longest_wait)
            continue;
        summary.longest_wait = waited;
        summary.longest_waiting = one.second.asked.request;
    }
    for (const hold& one : holds_) {
        if (now < one.until)
            endpoints.insert(one.endpoint);
    }
    summary.endpoints = endpoints.size();
    return summary;
}

std::optional<trial_grant> trial_schedule::granted(const trial_key& key) const {
    auto found = trials_.find(key);
    if (found == trials_.end() || !found->second.endpoint)
        return std::nullopt;
    return trial_grant{key, *found->second.endpoint, found->second.asked.request,
                       found->second.shared};
}

} // namespace cassia::policy
