// Batch items that are suspected of crashing endpoints, and quarantined ones.

#include "cassia/base/log.h"
#include "cassia/gateway/item_runner.h"
#include "cassia/gateway/request_fingerprint.h"
#include "cassia/policy/batch_schedule.h"
#include "held_item.h"

#include <algorithm>

namespace cassia::gateway {

namespace {
// A job is complete only once each of its items has ended, and an item may not be given up before
// its time limit. Until then a quarantined one is tried as rarely as an item may be left lying.
constexpr milliseconds quarantined_item_interval(18000);
} // namespace

const fingerprint& item_runner::fingerprint_of(held_item& item) const {
    if (!item.fingerprint) {
        const schema::item_body& source = item.leased.item();
        item.fingerprint =
            make_fingerprint(item.leased.has_team() ? item.leased.team() : "", host_of(item.leased),
                             "POST", source.url(), source.body());
    }
    return *item.fingerprint;
}

policy::request_verdict item_runner::judge(held_item& item) const {
    return crashes_.has_records() ? crashes_.judge(fingerprint_of(item))
                                  : policy::request_verdict::unsuspected;
}

ended_run item_runner::run_of(held_item& item) const {
    const policy::endpoint_process process{item.endpoint, item.incarnation};
    return {item.leased.item().custom_id(),
            fingerprint_of(item),
            process,
            item.address,
            item.service,
            item.sent_at};
}

void item_runner::record_success(held_item& item) const {
    crashes_.record_ended_run(run_of(item));
    if (crashes_.has_records())
        crashes_.record_success(fingerprint_of(item));
}

std::size_t item_runner::ready(instant now) const {
    return static_cast<std::size_t>(
        std::count_if(items_.begin(), items_.end(), [now](const auto& keyed_item) {
            const held_item& item = *keyed_item.second;
            return item.upstream_call == call_id() && now >= item.ready_at;
        }));
}

bool item_runner::waits_for_quarantine(held_item& item, instant now) const {
    if (judge(item) != policy::request_verdict::quarantined)
        return false;
    item.ready_at = crashes_.last_crash(fingerprint_of(item)) + quarantined_item_interval;
    return now < item.ready_at;
}

std::optional<policy::placement> item_runner::place(held_item& item, const schema::route& route,
                                                    instant now) {
    std::uniform_real_distribution<double> uniform(0, 1);
    software_version version;
    if (item.last_event > 0) {
        item.service = item.written_by.service;
        version = item.written_by.version;
    } else {
        item.service = service_id(routes::choose_target(route, uniform(random_)));
    }
    item.runs_alone = judge(item) != policy::request_verdict::unsuspected;
    if (!item.runs_alone)
        return slots_.place_batch(item.service, item.failed_endpoints, now, uniform(random_),
                                  policy::is_urgent(item.leased.deadline(), route.result_due_ms(),
                                                    to_unix_ms(wall_now())),
                                  version);
    const bool another_runs = std::any_of(items_.begin(), items_.end(), [](const auto& keyed_item) {
        return keyed_item.second->runs_alone && keyed_item.second->upstream_call != call_id();
    });
    return another_runs ? std::nullopt : slots_.place_alone(item.service, {}, now, version);
}

void item_runner::stop_quarantined() {
    for (const std::pair<const item_key, std::unique_ptr<held_item>>& keyed_item : items_) {
        held_item& item = *keyed_item.second;
        const bool runs = item.upstream_call != call_id();
        // A run that was started alone, at its interval, goes on.
        if (runs && !item.runs_alone && judge(item) == policy::request_verdict::quarantined)
            requeue(item, milliseconds(0), "quarantined");
    }
}

} // namespace cassia::gateway
