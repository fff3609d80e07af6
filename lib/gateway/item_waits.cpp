// Items that are held and don't run: why, and for how long.

#include "cassia/base/log.h"
#include "cassia/gateway/item_runner.h"
#include "cassia/gateway/request_fingerprint.h"
#include "held_item.h"

#include <algorithm>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace cassia::gateway {

namespace {
constexpr milliseconds long_wait(1000);
constexpr milliseconds wait_log_interval(5000);
constexpr std::size_t max_wait_lines = 64; // an interval
} // namespace

static const char* name_of(item_wait wait) {
    switch (wait) {
    case item_wait::none:
        return "none";
    case item_wait::retry:
        return "retry";
    case item_wait::slot:
        return "slot";
    case item_wait::memory:
        return "memory";
    case item_wait::oversized:
        return "oversized";
    case item_wait::version:
        return "version";
    case item_wait::trial:
        return "trial";
    case item_wait::route:
        return "route";
    case item_wait::quarantine:
        return "quarantine";
    }
    return "unknown";
}

static milliseconds milliseconds_until(instant time, instant now) {
    return time <= now ? milliseconds(0) : std::chrono::duration_cast<milliseconds>(time - now);
}

void item_runner::set_wait(held_item& item, item_wait wait) {
    if (item.wait == wait)
        return;
    item.wait = wait;
    item.waits_since = monotonic_now();
    item.wait_logged_at = instant();
}

void item_runner::note_lease_pause(const std::string& cause, instant now) {
    if (cause != lease_pause_) {
        lease_pause_ = cause;
        lease_pause_since_ = now;
        lease_pause_logged_at_ = instant();
    }
    const bool is_due = !cause.empty() && now - lease_pause_since_ >= long_wait &&
                        now - lease_pause_logged_at_ >= wait_log_interval;
    if (!is_due)
        return;
    lease_pause_logged_at_ = now;
    log_info("leases_paused")
        .with("cause", cause)
        .with("held", items_.size())
        .with("running", running())
        .with("paused_ms",
              std::chrono::duration_cast<milliseconds>(now - lease_pause_since_).count());
}

void item_runner::log_wait(held_item& item, instant now) const {
    item.wait_logged_at = now;
    const judged_cause judged = judge(item);
    const std::optional<fingerprint> part = quarantined_part(item);
    log_info("item_waits")
        .with("item", item.leased.item().custom_id())
        .with("job", item.leased.job())
        .with("ordinal", item.leased.ordinal())
        .with("cause", name_of(item.wait))
        .with("service", item.service.str())
        .with("behind_event", item.last_event)
        .with("suspect", judged.verdict == policy::request_verdict::unsuspected
                             ? std::string()
                             : short_form(judged.cause))
        .with("quarantined_part", part ? short_form(*part) : std::string())
        .with("waited_ms", std::chrono::duration_cast<milliseconds>(now - item.waits_since).count())
        .with("idle_ms", std::chrono::duration_cast<milliseconds>(now - item.idle_since).count())
        .with("ready_ms", milliseconds_until(item.ready_at, now).count())
        .with("runs", item.runs)
        .with("crashed_alone", item.crashed_alone);
}

void item_runner::report_waits(instant now) {
    std::map<item_wait, std::size_t> counts;
    std::vector<held_item*> due;
    for (const std::pair<const item_key, std::unique_ptr<held_item>>& keyed_item : items_) {
        held_item& item = *keyed_item.second;
        if (item.wait == item_wait::none)
            continue;
        ++counts[item.wait];
        if (now - item.waits_since >= long_wait && now - item.wait_logged_at >= wait_log_interval)
            due.push_back(&item);
    }
    if (now - wait_lines_since_ >= wait_log_interval) {
        wait_lines_since_ = now;
        wait_lines_left_ = max_wait_lines;
    }
    const std::size_t lines = std::min(wait_lines_left_, due.size());
    wait_lines_left_ -= lines;
    std::partial_sort(due.begin(), due.begin() + static_cast<std::ptrdiff_t>(lines), due.end(),
                      [](const held_item* a, const held_item* b) {
                          return std::pair(a->wait_logged_at, a->idle_since) <
                                 std::pair(b->wait_logged_at, b->idle_since);
                      });
    for (std::size_t i = 0; i < lines; ++i)
        log_wait(*due[i], now);
    for (const item_wait wait :
         {item_wait::retry, item_wait::slot, item_wait::memory, item_wait::oversized,
          item_wait::version, item_wait::trial, item_wait::quarantine})
        metrics_.set(std::string("items_waiting_") + name_of(wait), counts[wait]);
    report_quarantine_waits(now);
}

} // namespace cassia::gateway
