// Runs of items with a quarantined part of prompts, among those of suspects.

#include "cassia/policy/trial_schedule.h"

#include <map>

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
        state.may_begin = state.may_begin && (one.request != cause || now >= one.until);
    return state;
}

void trial_schedule::grant_retries(std::vector<trial*>& waiting, instant now,
                                   const choose& choose_endpoint, const is_listed& listed,
                                   std::vector<trial_grant>& grants) {
    std::map<fingerprint, std::vector<trial*>> by_part;
    for (trial* one : waiting)
        by_part[one->asked.request].push_back(one);
    for (std::pair<const fingerprint, std::vector<trial*>>& part : by_part) {
        const retry_state state = retries_of(part.first, now);
        if (!state.may_begin)
            continue;
        std::vector<retry_history> histories;
        for (const trial* one : part.second)
            histories.push_back(*one->asked.retry);
        const std::vector<std::size_t> selected =
            retries_.select(part.first, histories, state.outlasted, now);
        if (selected.empty())
            continue;
        trial& first = *part.second[selected.front()];
        const std::optional<endpoint_id> endpoint =
            find_own(first, overdue_trial_time, now, choose_endpoint, listed, {});
        if (!endpoint)
            continue;
        const std::size_t first_grant = grants.size();
        std::size_t granted = 0;
        for (const std::size_t index : selected) {
            trial& one = *part.second[index];
            const bool fits = granted < first.places && one.asked.service == first.asked.service &&
                              one.asked.version == first.asked.version;
            if (!fits)
                continue;
            one.endpoint = endpoint;
            one.granted_at = now;
            one.places = first.places;
            one.shared = granted > 0;
            ++granted;
            grants.push_back({one.asked.key, *endpoint, one.asked.request, one.shared});
        }
        for (std::size_t i = first_grant; i < grants.size(); ++i)
            grants[i].retried_items = granted;
        retries_.record_grant(part.first, granted, now);
    }
}

} // namespace cassia::policy
