// Batch items whose responses are too long, or go on without events.

#include "cassia/gateway/item_limits.h"

#include "cassia/base/log.h"
#include "cassia/gateway/item_runner.h"
#include "held_item.h"

#include <algorithm>
#include <vector>

namespace cassia::gateway {

namespace {
constexpr std::uint64_t mib = 1024ULL * 1024;
constexpr std::uint64_t max_text = 4 * mib;
// A few tokens may be long: the text of a short output isn't limited by its tokens.
constexpr std::uint64_t min_max_text = 2 * mib;
constexpr std::uint64_t max_bytes_per_token = 256;
constexpr int status_ok = 200;
// Delay before an item runs again after a response that was too long.
constexpr milliseconds overlong_response_delay(100);
// Interval at which an item looks for a slot at another endpoint than those that sent too much.
constexpr milliseconds other_endpoint_interval(100);
} // namespace

std::uint64_t max_item_text(std::uint64_t tokens) {
    if (tokens == 0 || tokens > max_text / max_bytes_per_token)
        return max_text;
    return std::max(min_max_text, tokens * max_bytes_per_token);
}

bool item_runner::exceeds_limit(const held_item& item) {
    return item.text.size() + item.parser.partial_size() > max_item_text(item.tokens);
}

// A part of a text without an end is no result, and no run goes on behind it.
void item_runner::discard_events(const item_key& key, held_item& item) {
    const bool is_saved = item.saved_event > 0;
    begin_anew(item, "response_too_long");
    if (!is_saved)
        return;
    schema::item_end* discarded = unsent_ends_.add_ends();
    discarded->set_job(key.first.str());
    discarded->set_ordinal(key.second);
    discarded->set_attempt(item.leased.attempt());
    discarded->set_status(schema::leased);
    discarded->set_discards_progress(true);
}

// Runs at one endpoint alone say nothing about the item, unless there is no other endpoint.
bool item_runner::is_overlong_everywhere(const held_item& item) const {
    const schema::route* route = find_route(item);
    const std::uint32_t stated = route == nullptr ? 0 : route->max_attempts();
    const std::uint32_t runs = stated == 0 ? usual_overlong_runs : stated;
    return item.overlong_at.size() >= runs ||
           (item.overlong_runs >= runs &&
            item.overlong_at.size() >= slots_.count_endpoints(item.service));
}

void item_runner::on_overlong_response(const item_key& key, held_item& item) {
    item.failed_endpoints.insert(item.endpoint);
    slots_.record_failure(item.endpoint, monotonic_now());
    if (item.not_run || item.status != status_ok) {
        requeue(item, overlong_response_delay, "response_too_long");
        return;
    }
    metrics_.count("items_overlong");
    item.overlong_at.insert(item.endpoint);
    ++item.overlong_runs;
    discard_events(key, item);
    const bool is_overlong = is_overlong_everywhere(item);
    // An accepted item with a time limit may be given up only once that is over.
    if (is_overlong && item.leased.abandon_at() == 0)
        finish(key, schema::failed, false, "response_too_long");
    else
        requeue(item, is_overlong ? barred_item_interval : overlong_response_delay,
                "response_too_long");
}

bool item_runner::waits_for_other_endpoint(held_item& item, instant now) {
    if (item.overlong_at.empty() || item.overlong_at.size() >= slots_.count_endpoints(item.service))
        return false;
    item.failed_endpoints = item.overlong_at;
    item.ready_at = now + other_endpoint_interval;
    set_wait(item, item_wait::slot);
    return true;
}

std::uint64_t item_runner::held_text() const {
    std::uint64_t bytes = 0;
    for (const std::pair<const item_key, std::unique_ptr<held_item>>& keyed_item : items_)
        bytes += keyed_item.second->text.size() + keyed_item.second->parser.partial_size();
    return bytes;
}

// Half is kept for the items that run to grow.
bool item_runner::is_memory_short() const {
    if (memory_share_ == 0)
        return false;
    std::uint64_t bytes = held_text();
    for (const schema::item_end& end : unsent_ends_.ends())
        bytes += end.body().size();
    for (const schema::item_end& end : ends_in_flight_.ends())
        bytes += end.body().size();
    return bytes > memory_share_ / 2;
}

void item_runner::release_memory() {
    if (memory_share_ == 0 || held_text() <= memory_share_)
        return;
    std::pair<std::uint64_t, const item_key*> largest{0, nullptr};
    for (const std::pair<const item_key, std::unique_ptr<held_item>>& keyed_item : items_) {
        const held_item& item = *keyed_item.second;
        const std::uint64_t bytes = item.text.size() + item.parser.partial_size();
        if (item.upstream_call != call_id() && bytes > largest.first)
            largest = {bytes, &keyed_item.first};
    }
    if (largest.second == nullptr)
        return;
    metrics_.count("items_returned_for_memory");
    finish(item_key(*largest.second), schema::pending, false, "memory");
}

void item_runner::check_run_limits(instant now) {
    std::vector<item_key> overlong;
    for (const std::pair<const item_key, std::unique_ptr<held_item>>& keyed_item : items_) {
        held_item& item = *keyed_item.second;
        if (item.upstream_call == call_id())
            continue;
        if (now - item.sent_at >= max_run_time) {
            overlong.push_back(keyed_item.first);
        } else if (now - std::max(item.sent_at, item.last_event_at) >= max_time_without_event) {
            item.failed_endpoints.insert(item.endpoint);
            slots_.record_failure(item.endpoint, now);
            requeue(item, overlong_response_delay, "no_events");
        }
    }
    for (const item_key& key : overlong)
        on_overlong_response(key, *items_.at(key));
}

} // namespace cassia::gateway
