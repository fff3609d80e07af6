// Runs of items with a quarantined part of prompts, among those of suspects.

#include "cassia/policy/trial_schedule.h"

#include "trial_uses.h"

#include <algorithm>
#include <map>
#include <utility>

namespace cassia::policy {

trial_schedule::retry_state trial_schedule::retries_of(const fingerprint& cause,
                                                       const use_index& uses, instant now) {
    retry_state state;
    const use_index::cause_use* use = uses.find_cause(cause);
    if (use == nullptr)
        return state;
    std::map<endpoint_id, instant> running;
    for (const trial* one : use->runs) {
        state.used.places = std::max(state.used.places, one->places);
        if (now - one->granted_at >= retry_interval)
            state.outlasted = true;
        else
            running.emplace(*one->endpoint, one->granted_at);
    }
    std::map<endpoint_id, instant> held;
    for (const hold* one : use->holds) {
        if (now < one->until_for_batch && running.count(one->endpoint) == 0)
            held[one->endpoint] = std::max(held[one->endpoint], one->until_for_batch);
    }
    for (const std::pair<const endpoint_id, instant>& one : running)
        state.used.running_since.push_back(one.second);
    for (const std::pair<const endpoint_id, instant>& one : held)
        state.used.held_until.push_back(one.second);
    return state;
}

std::vector<retry_history> trial_schedule::histories_of(const std::vector<trial*>& candidates) {
    std::vector<retry_history> histories;
    histories.reserve(candidates.size());
    for (const trial* one : candidates)
        histories.push_back(*one->asked.retry);
    return histories;
}

// Beside a retry under way others begin only if one of them would be idle for too long.
std::vector<trial_schedule::trial*>
trial_schedule::select_retries(const fingerprint& part, const std::vector<trial*>& candidates,
                               const retry_state& state, instant now) const {
    const std::vector<retry_history> histories = histories_of(candidates);
    const bool is_late = retries_.is_late(part, histories, state.used, now);
    if (state.is_running() && !is_late)
        return {};
    retry_pace pace = is_late ? retry_pace::hurried : retry_pace::regular;
    if (state.outlasted && !state.is_running())
        pace = retry_pace::outlasted;
    std::vector<trial*> selected;
    for (const std::size_t index : retries_.select(part, histories, pace, state.is_running(), now))
        selected.push_back(candidates[index]);
    return selected;
}

// Where endpoints are scarce, parts that were served a moment ago must not come first each time.
std::vector<trial_schedule::part_retries>
trial_schedule::group_by_part(const std::vector<trial*>& retries) {
    std::map<fingerprint, std::vector<trial*>> by_part;
    for (trial* one : retries)
        by_part[one->asked.request].push_back(one);
    std::vector<part_retries> parts;
    for (std::pair<const fingerprint, std::vector<trial*>>& part : by_part) {
        instant idle_since = instant::max();
        for (const trial* one : part.second)
            idle_since = std::min(idle_since, one->asked.retry->idle_since);
        parts.push_back({part.first, idle_since, std::move(part.second)});
    }
    std::stable_sort(parts.begin(), parts.end(), [](const part_retries& a, const part_retries& b) {
        return a.idle_since < b.idle_since;
    });
    return parts;
}

void trial_schedule::grant_retries(const std::vector<trial*>& waiting, instant now,
                                   const choose& choose_endpoint, use_index& uses,
                                   std::vector<trial_grant>& grants) {
    for (part_retries& part : group_by_part(waiting)) {
        const retry_state state = retries_of(part.part, uses, now);
        // Beside others a retry is within the limit of any suspect.
        const milliseconds waited = state.is_running() ? milliseconds(0) : overdue_trial_time;
        std::optional<endpoint_id> endpoint;
        std::vector<trial*> selected;
        std::vector<trial*>& candidates = part.waiting;
        // Where one of them finds no endpoint, others may, which need another version.
        while (!endpoint) {
            selected = select_retries(part.part, candidates, state, now);
            if (selected.empty())
                break;
            const trial_request asked = selected.front()->asked;
            endpoint = find_own(*selected.front(), waited, false, choose_endpoint, uses);
            if (!endpoint)
                std::erase_if(candidates, [&asked](const trial* one) {
                    return one->asked.service == asked.service &&
                           one->asked.version == asked.version;
                });
        }
        if (!endpoint)
            continue;
        const trial first = *selected.front();
        std::vector<trial*> group;
        for (trial* one : selected) {
            if (group.size() < first.places && one->asked.service == first.asked.service &&
                one->asked.version == first.asked.version)
                group.push_back(one);
        }
        for (trial* one : group) {
            one->endpoint = endpoint;
            one->granted_at = now;
            one->places = first.places;
            one->shared = group.size() > 1;
            uses.add(*one);
            grants.push_back(
                {one->asked.key, *endpoint, one->asked.request, one->shared, group.size()});
        }
        retries_.record_grant(part.part, group.size(), now);
    }
}

} // namespace cassia::policy
