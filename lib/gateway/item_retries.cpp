// Batch items that wait for a quarantined part of prompts: which of them ask for a run.

#include "cassia/gateway/item_runner.h"
#include "cassia/policy/retry_candidates.h"
#include "held_item.h"

#include <algorithm>
#include <vector>

namespace cassia::gateway {

namespace {
constexpr milliseconds choice_interval(100);
// Longest time for which an item may have been idle at the gateway that held it before.
constexpr milliseconds max_idle_elsewhere(18000);
} // namespace

// An item that another gateway held before may have been idle there for long, and one that was
// sent to an endpoint that ended may not have run.
policy::retry_history item_runner::retry_of(const held_item& item) {
    milliseconds idle_before(0);
    if (!item.has_run && item.leased.attempt() > 1)
        idle_before = max_idle_elsewhere;
    else if (item.may_not_have_run)
        idle_before = max_idle_elsewhere / 2;
    // A run behind an event doesn't clear the part, so those from the start come first.
    const std::uint32_t resumes = item.last_event > 0 ? 1 : 0;
    return {item.idle_since - idle_before, item.crashed_alone + resumes, item.alone_until};
}

// Few items ask, however many are held: the coordinator looks at each of them, and runs of one part
// show the same.
void item_runner::choose_retries(instant now) {
    if (now < next_retry_choice_at_)
        return;
    next_retry_choice_at_ = now + choice_interval;
    std::vector<held_item*> items;
    std::vector<policy::waiting_retry> waiting;
    for (const std::pair<const item_key, std::unique_ptr<held_item>>& keyed_item : items_) {
        held_item& item = *keyed_item.second;
        if (item.upstream_call != call_id() || item.wait != item_wait::quarantine)
            continue;
        item.asks_for_retry = false;
        item.retried_part = quarantined_part(item).value_or(fingerprint());
        if (item.retried_part == fingerprint())
            continue;
        items.push_back(&item);
        waiting.push_back({item.retried_part, retry_of(item)});
    }
    for (const std::size_t index :
         policy::select_retry_candidates(waiting, policy::candidate_limits()))
        items[index]->asks_for_retry = true;
    for (held_item* item : items) {
        if (!is_retry_deferred(*item))
            continue;
        end_trial(*item);
        if (!may_run_elsewhere(*item))
            item->ready_at = next_retry_choice_at_;
    }
}

bool item_runner::is_run_granted(const held_item& item) const {
    return item.trial && trials_.find(*item.trial).endpoint.has_value();
}

bool item_runner::is_retry_deferred(const held_item& item) const {
    return item.retried_part != fingerprint() && !item.asks_for_retry && !is_run_granted(item);
}

bool item_runner::may_run_elsewhere(const held_item& item) const {
    const schema::route* route = find_route(item);
    if (route == nullptr || item.last_event > 0 || !item.prompt_parts)
        return false;
    const auto is_sound = [this, &item](const schema::route_target& one) {
        return one.weight() > 0 && one.service() != item.service.str() &&
               !crashes_.find_quarantined(
                   make_part_keys(service_id(one.service()), *item.prompt_parts));
    };
    return std::any_of(route->targets().begin(), route->targets().end(), is_sound);
}

} // namespace cassia::gateway
