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
        std::optional<endpoint_id> endpoint;
        std::vector<trial*> selected;
        std::vector<trial*>& candidates = part.second;
        // Where one of them finds no endpoint, others may, which need another version.
        while (!endpoint) {
            selected = select_retries(part.first, candidates, state.outlasted, now);
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
        retries_.record_grant(part.first, group.size(), now);
    }
}

} // namespace cassia::policy
