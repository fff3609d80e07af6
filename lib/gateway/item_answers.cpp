// What endpoints answer to batch items.

#include "cassia/base/log.h"
#include "cassia/gateway/item_runner.h"
#include "held_item.h"

#include <utility>

namespace cassia::gateway {

namespace {
constexpr int status_ok = 200;
constexpr int status_misdirected = 421;
constexpr int status_impossible = 422;
constexpr int status_failed = 500;
// An endpoint that is full or gone is left alone for a moment.
constexpr milliseconds refused_pause(100);
// Items that break the connection may be what breaks the endpoint: each further run waits longer.
constexpr milliseconds broken_pause(150);
constexpr std::uint32_t most_pauses = 20;
} // namespace

void item_runner::on_head(const item_key& key, const net::raw_head& head) {
    auto found = items_.find(key);
    if (found == items_.end())
        return;
    held_item& item = *found->second;
    item.progress_at = monotonic_now();
    item.not_run = head.fields.has(names_.not_run) || head.status == status_misdirected;
    item.status = head.status;
    slots_.record_success(item.endpoint);
    if (item.not_run)
        return;
    const bool own = head.fields.find(names_.request_id) == item.leased.item().custom_id();
    const bool proved = head.fields.has(names_.stamp) && !head.fields.has("Content-Encoding");
    if (own && (proved || head.status != status_ok))
        return;
    item.avoided.insert(item.endpoint);
    put_back(item, refused_pause, "answer_not_its_own");
}

void item_runner::on_piece(const item_key& key, std::string_view bytes) {
    auto found = items_.find(key);
    if (found == items_.end())
        return;
    held_item& item = *found->second;
    item.progress_at = monotonic_now();
    if (item.not_run || item.status != status_ok)
        return;
    if (!keep_events(item, bytes)) {
        // What came doesn't go on behind what is there; another run does.
        item.avoided.insert(item.endpoint);
        put_back(item, refused_pause, "event_out_of_order");
    }
}

bool item_runner::keep_events(held_item& item, std::string_view bytes) {
    for (const stream_event& event : item.events.feed(bytes)) {
        if (event.id == 0)
            continue;
        if (event.id != item.last_event + 1)
            return false;
        if (item.last_event > 0)
            item.text.push_back('\n');
        item.text.append(event.data);
        item.last_event = event.id;
    }
    return true;
}

void item_runner::on_end(const item_key& key) {
    auto found = items_.find(key);
    if (found == items_.end())
        return;
    held_item& item = *found->second;
    if (item.not_run) {
        item.avoided.insert(item.endpoint);
        put_back(item, refused_pause, "refused_by_endpoint");
        return;
    }
    if (item.status == status_ok && !item.events.has_rest() && item.last_event > 0) {
        end(key, schema::completed, false, "done");
        return;
    }
    if (item.status == status_impossible) {
        end(key, schema::failed, false, "impossible");
        return;
    }
    if (item.status == status_failed) {
        end(key, schema::pending, true, "endpoint_failed");
        return;
    }
    item.avoided.insert(item.endpoint);
    put_back(item, broken_pause, "status_" + std::to_string(item.status));
}

void item_runner::on_failure(const item_key& key, const net::raw_failure& failure) {
    auto found = items_.find(key);
    if (found == items_.end())
        return;
    held_item& item = *found->second;
    item.avoided.insert(item.endpoint);
    const bool stale_connection = failure.kept && !failure.answered;
    if (!stale_connection)
        slots_.record_failure(item.endpoint, monotonic_now());
    const std::uint32_t pauses = std::min(item.runs, most_pauses);
    put_back(item, stale_connection ? milliseconds(0) : broken_pause * pauses, failure.cause.text);
}

void item_runner::end(const item_key& key, schema::item_status status, bool failed_run,
                      const std::string& cause) {
    auto found = items_.find(key);
    if (found == items_.end())
        return;
    held_item& item = *found->second;
    stop(item);
    log_info("item_ended")
        .with("item", item.leased.item().custom_id())
        .with("job", key.first.str())
        .with("attempt", item.leased.attempt())
        .with("endpoint", item.endpoint.str())
        .with("runs", item.runs)
        .with("events", item.last_event)
        .with("status", schema::item_status_Name(status))
        .with("cause", cause);
    schema::item_end* out = ends_.add_ends();
    out->set_job(key.first.str());
    out->set_ordinal(key.second);
    out->set_attempt(item.leased.attempt());
    out->set_status(status);
    out->set_failed_run(failed_run);
    out->set_endpoint(item.endpoint.str());
    out->set_http_status(static_cast<std::uint32_t>(item.status));
    if (status == schema::pending)
        out->set_events(item.last_event);
    if (status == schema::completed || out->events() > 0)
        out->set_body(std::move(item.text));
    metrics_.count("items_ended");
    items_.erase(found);
}

} // namespace cassia::gateway
