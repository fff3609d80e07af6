// Items that wait for quarantined parts of prompts, by part.

#include "cassia/base/log.h"
#include "cassia/gateway/item_runner.h"
#include "cassia/gateway/request_fingerprint.h"
#include "held_item.h"

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

namespace cassia::gateway {

namespace {
constexpr milliseconds wait_log_interval(5000);
constexpr std::size_t max_parts_logged = 8;
} // namespace

std::map<fingerprint, quarantine_wait> item_runner::quarantine_waits() const {
    std::map<fingerprint, quarantine_wait> waits;
    if (!crashes_.has_records())
        return waits;
    for (const std::pair<const item_key, std::unique_ptr<held_item>>& keyed_item : items_) {
        held_item& item = *keyed_item.second;
        if (item.upstream_call != call_id())
            continue;
        std::optional<fingerprint> cause = quarantined_part(item);
        if (!cause && judge(item).verdict == policy::request_verdict::quarantined)
            cause = fingerprint_of(item);
        if (!cause)
            continue;
        quarantine_wait& wait = waits[*cause];
        if (wait.items++ == 0 || item.idle_since < wait.idle_since) {
            wait.idle_since = item.idle_since;
            wait.oldest = item.leased.item().custom_id();
        }
    }
    return waits;
}

void item_runner::report_quarantine_waits(instant now) {
    if (now < next_quarantine_log_at_)
        return;
    next_quarantine_log_at_ = now + wait_log_interval;
    using part_wait = std::pair<fingerprint, quarantine_wait>;
    std::vector<part_wait> parts;
    for (const auto& one : quarantine_waits()) {
        if (one.first.str().rfind("part:", 0) == 0)
            parts.emplace_back(one);
    }
    std::sort(parts.begin(), parts.end(), [](const part_wait& a, const part_wait& b) {
        return a.second.idle_since < b.second.idle_since;
    });
    const std::vector<entry_id>& schedulers = crashes_.coordinators();
    for (std::size_t i = 0; i < std::min(parts.size(), max_parts_logged); ++i) {
        const quarantine_wait& wait = parts[i].second;
        log_info("part_waits")
            .with("part", short_form(parts[i].first))
            .with("items", wait.items)
            .with("longest_idle_ms",
                  std::chrono::duration_cast<milliseconds>(now - wait.idle_since).count())
            .with("oldest", wait.oldest)
            .with("left_ms", crashes_.quarantine_left(parts[i].first).count())
            .with("scheduler", schedulers.empty() ? std::string() : schedulers.front().str())
            .with("parts", parts.size());
    }
}

} // namespace cassia::gateway
