// Batch items that are suspected of crashing endpoints, and quarantined ones.

#include "cassia/base/log.h"
#include "cassia/gateway/item_runner.h"
#include "cassia/gateway/request_fingerprint.h"
#include "cassia/policy/batch_schedule.h"
#include "held_item.h"

#include <algorithm>

namespace cassia::gateway {

namespace {
// Until an item is sent again whose endpoint may have ended before it began.
constexpr milliseconds unused_run_interval(3000);
} // namespace

const fingerprint& item_runner::fingerprint_of(held_item& item) const {
    if (!item.fingerprint)
        item.fingerprint = make_item_fingerprint(item.leased.job(), item.leased.item().custom_id());
    return *item.fingerprint;
}

std::vector<fingerprint> item_runner::parts_of(held_item& item) const {
    if (!item.prompt_parts) {
        net::http_fields fields;
        for (const schema::header_field& header : item.leased.item().headers())
            fields.add(header.name(), header.value());
        item.prompt_parts =
            read_prompt_parts_ ? read_prompt_parts_(fields) : std::vector<prompt_part_id>();
    }
    return make_part_keys(item.service, *item.prompt_parts);
}

judged_cause item_runner::judge(held_item& item) const {
    return crashes_.has_records() ? crashes_.judge(fingerprint_of(item), parts_of(item))
                                  : judged_cause();
}

bool item_runner::is_quarantined_itself(held_item& item) const {
    return crashes_.has_records() && crashes_.judge_itself(fingerprint_of(item), parts_of(item)) ==
                                         policy::request_verdict::quarantined;
}

std::optional<fingerprint> item_runner::quarantined_part(held_item& item) const {
    if (!crashes_.has_records() || is_quarantined_itself(item))
        return std::nullopt;
    return crashes_.find_quarantined(parts_of(item));
}

bool item_runner::shares_endpoint(const held_item& item) const {
    return item.trial && trials_.find(*item.trial).is_shared;
}

ended_run item_runner::run_of(held_item& item) const {
    const policy::endpoint_process process{item.endpoint, item.incarnation};
    return {item.leased.item().custom_id(),
            fingerprint_of(item),
            process,
            item.address,
            item.service,
            item.sent_at,
            parts_of(item),
            item.runs_alone,
            true,
            item.resumed};
}

void item_runner::record_complete_run(held_item& item) const {
    crashes_.record_ended_run(run_of(item), true);
}

bool item_runner::is_silent(const held_item& item) const {
    return client_.was_sent(item.upstream_call) && !item.not_run &&
           monotonic_now() - item.last_progress_at >= silence_time;
}

void item_runner::end_trial(held_item& item) {
    if (!item.trial)
        return;
    policy::trial_outcome outcome = policy::trial_outcome::unused;
    const bool ran = item.upstream_call != call_id() && !item.not_run;
    if (ran && item.connection_broke)
        outcome = policy::trial_outcome::crashed;
    else if (ran)
        outcome =
            is_silent(item) ? policy::trial_outcome::silent : policy::trial_outcome::completed;
    trials_.end(*item.trial, outcome);
    item.trial.reset();
}

std::optional<policy::placement> item_runner::find_trial_endpoint(held_item& item, instant now,
                                                                  const software_version& version) {
    // The route or the version may have changed since the run was asked for.
    if (item.trial && !trials_.asks_for(*item.trial, item.service, version))
        end_trial(item);
    const std::optional<fingerprint> part = quarantined_part(item);
    fingerprint cause = judge(item).cause;
    if (is_quarantined_itself(item))
        cause = fingerprint_of(item);
    else if (part)
        cause = *part;
    std::optional<policy::retry_history> retry;
    if (part)
        retry = retry_of(item);
    item.retried_part = part.value_or(fingerprint());
    // One that goes on at a version without room would only take the place of another.
    const bool lacks_version =
        part && item.last_event > 0 && !is_run_granted(item) && !has_room_at_version(item, now);
    if (is_retry_deferred(item) || lacks_version) {
        end_trial(item);
        return std::nullopt;
    }
    if (item.trial)
        trials_.set_cause(*item.trial, cause, retry);
    else
        item.trial = trials_.begin(cause, item.service, version, policy::work_kind::batch, retry,
                                   fingerprint_of(item));
    if (!item.trial)
        return std::nullopt;
    const trial_exchange::state state = trials_.find(*item.trial);
    if (state.endpoint) {
        std::optional<policy::placement> found = slots_.place_at(
            item.service, *state.endpoint, now, version, item.tokens, state.is_shared);
        if (!found)
            end_trial(item);
        return found;
    }
    const bool another_runs = std::any_of(items_.begin(), items_.end(), [](const auto& keyed_item) {
        return keyed_item.second->runs_alone && keyed_item.second->upstream_call != call_id();
    });
    const bool may_decide = !state.is_scheduled && !another_runs &&
                            (!part || now - item.idle_since >= barred_item_interval);
    if (!may_decide)
        return std::nullopt;
    return slots_.place_alone(item.service, {}, now, version, item.tokens);
}

// A crash that its own last run may have caused must not make it wait for longer.
instant item_runner::quarantined_since(held_item& item) const {
    const instant last_crash = crashes_.last_crash(fingerprint_of(item));
    const bool may_be_own =
        last_crash > item.idle_since && last_crash - item.idle_since <= silent_run_time;
    return may_be_own ? item.idle_since : last_crash;
}

bool item_runner::waits_for_quarantine(held_item& item, instant now) {
    const schema::route* route = find_route(item);
    if (item.service.empty() && route != nullptr)
        item.service = service_id(route->targets(0).service());
    // Retries of items with a quarantined part are scheduled for all gateways.
    if (!is_quarantined_itself(item))
        return false;
    item.ready_at = quarantined_since(item) +
                    (item.may_not_have_run ? unused_run_interval : barred_item_interval);
    const bool waits = now < item.ready_at;
    if (waits)
        end_trial(item);
    return waits;
}

// A suspect that waits for its run would lose its turn with each service that is drawn.
bool item_runner::keeps_service(const held_item& item, const schema::route& route,
                                instant now) const {
    if (!item.trial || !routes::is_target(route, item.service.str()))
        return false;
    return slots_.place_alone(item.service, {}, now) || !has_room(route, now);
}

std::optional<policy::placement> item_runner::place(held_item& item, const schema::route& route,
                                                    instant now) {
    std::uniform_real_distribution<double> uniform(0, 1);
    software_version version;
    if (item.last_event > 0) {
        item.service = item.written_by.service;
        version = item.written_by.version;
    } else if (!keeps_service(item, route, now)) {
        item.service = choose_service(route, slots_, item.tokens, uniform(random_));
    }
    item.runs_alone = judge(item).verdict != policy::request_verdict::unsuspected;
    if (item.runs_alone)
        return find_trial_endpoint(item, now, version);
    end_trial(item);
    slots_.reserve_memory(item.service, policy::work_kind::batch, item.tokens,
                          item.failed_endpoints, now, uniform(random_), version);
    return slots_.place_batch(
        item.service, item.failed_endpoints, now, uniform(random_),
        policy::is_urgent(item.leased.deadline(), route.result_due_ms(), to_unix_ms(wall_now())),
        version, item.tokens);
}

void item_runner::check_trials() {
    for (const std::pair<const item_key, std::unique_ptr<held_item>>& keyed_item : items_) {
        held_item& item = *keyed_item.second;
        const bool runs = item.upstream_call != call_id();
        // Other suspects may have kept the slots, and what else ran there ends.
        if (runs && item.runs_alone)
            item.reserved_slots += slots_.reserve_free_slots(item.endpoint);
        const bool is_held = item.wait == item_wait::route || item.wait == item_wait::oversized;
        if (!runs && item.trial &&
            (is_held || judge(item).verdict == policy::request_verdict::unsuspected))
            end_trial(item);
    }
}

void item_runner::stop_quarantined() {
    for (const std::pair<const item_key, std::unique_ptr<held_item>>& keyed_item : items_) {
        held_item& item = *keyed_item.second;
        const bool runs = item.upstream_call != call_id();
        // A run that was started alone, at its interval, goes on.
        if (runs && !item.runs_alone && judge(item).verdict == policy::request_verdict::quarantined)
            requeue(item, milliseconds(0), "quarantined");
    }
}

} // namespace cassia::gateway
