// Runs of items with a quarantined part of prompts, among those of suspects.

#include "cassia/policy/trial_schedule.h"

#include <algorithm>
#include <map>
#include <utility>

namespace cassia::policy {

trial_schedule::retry_state trial_schedule::retries_of(const fingerprint& cause,
                                                       instant now) const {
    retry_state state;
    for (const std::pair<const trial_key, trial>& one : trials_) {
        if (!one.second.endpoint || one.second.asked.request != cause)
            continue;
        const bool outlasts = now - one.second.granted_at >= retry_interval;
        state.outlasted = state.outlasted || outlasts;
        state.may_begin = state.may_begin && outlasts;
    }
    for (const hold& one : holds_)
        state.may_begin = state.may_begin && (one.request != cause || now >= one.until_for_batch);
    return state;
}

std::vector<trial_schedule::trial*>
trial_schedule::select_retries(const fingerprint& part, const std::vector<trial*>& candidates,
                               bool outlasted, instant now) const {
    std::vector<retry_history> histories;
    histories.reserve(candidates.size());
    for (const trial* one : candidates)
        histories.push_back(*one->asked.retry);
    std::vector<trial*> selected;
    for (const std::size_t index : retries_.select(part, histories, outlasted, now))
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
                                   const choose& choose_endpoint, const is_listed& listed,
                                   std::vector<trial_grant>& grants) {
    for (part_retries& part : group_by_part(waiting)) {
        const retry_state state = retries_of(part.part, now);
        if (!state.may_begin)
            continue;
        std::optional<endpoint_id> endpoint;
        std::vector<trial*> selected;
        std::vector<trial*>& candidates = part.waiting;
        // Where one of them finds no endpoint, others may, which need another version.
        while (!endpoint) {
            selected = select_retries(part.part, candidates, state.outlasted, now);
            if (selected.empty())
                break;
            const trial_request asked = selected.front()->asked;
            endpoint =
                find_own(*selected.front(), overdue_trial_time, now, choose_endpoint, listed, {});
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
            grants.push_back(
                {one->asked.key, *endpoint, one->asked.request, one->shared, group.size()});
        }
        retries_.record_grant(part.part, group.size(), now);
    }
}

} // namespace cassia::policy
