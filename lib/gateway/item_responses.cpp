// Responses of endpoints to batch items.

#include "cassia/base/log.h"
#include "cassia/gateway/item_runner.h"
#include "cassia/gateway/load_report.h"
#include "held_item.h"

#include <utility>

namespace cassia::gateway {

namespace {
constexpr int status_ok = 200;
constexpr int status_misdirected = 421;
constexpr int status_unprocessable = 422;
constexpr int status_server_error = 500;
// Delay before an item is started again after a rejection by an endpoint, which may be full or shut
// down, or after a response that can't be used.
constexpr milliseconds unusable_response_delay(100);
// Delay after a failed response or a broken connection. An item whose connection broke may itself
// crash endpoints: then the delay is multiplied by the number of its runs, up to max_delay_factor.
constexpr milliseconds failure_delay(150);
constexpr std::uint32_t max_delay_factor = 20;
} // namespace

void item_runner::on_head(const item_key& key, const net::raw_head& head) {
    auto found = items_.find(key);
    if (found == items_.end())
        return;
    held_item& item = *found->second;
    item.last_progress_at = monotonic_now();
    // Another process at the address says so.
    if (head.status != status_misdirected) {
        crashes_.record_received(item.endpoint, item.incarnation);
        record_load(slots_, metrics_, item.endpoint, head.fields.find(names_.load),
                    item.last_progress_at);
    }
    item.not_run = head.fields.has(names_.not_run) || head.status == status_misdirected;
    item.status = head.status;
    if (item.not_run) {
        slots_.record_rejection(item.endpoint, item.last_progress_at);
        return;
    }
    slots_.record_success(item.endpoint);
    const bool is_stamped = head.fields.has(names_.stamp) && !head.fields.has("Content-Encoding");
    if (is_stamped || head.status != status_ok)
        return;
    item.failed_endpoints.insert(item.endpoint);
    requeue(item, unusable_response_delay, "unproved_answer");
}

void item_runner::on_body(const item_key& key, std::string_view bytes) {
    auto found = items_.find(key);
    if (found == items_.end())
        return;
    held_item& item = *found->second;
    item.last_progress_at = monotonic_now();
    item.unused_bytes += bytes.size();
    if (item.unused_bytes > max_unused_bytes) {
        on_overlong_response(key, item);
        return;
    }
    if (item.not_run)
        return;
    crashes_.record_received(item.endpoint, item.incarnation);
    if (item.status != status_ok)
        return;
    if (!append_events(item, bytes)) {
        // The events do not follow the last one received; another run resumes after that one.
        item.failed_endpoints.insert(item.endpoint);
        requeue(item, unusable_response_delay, "event_out_of_order");
        return;
    }
    item.unused_bytes = item.parser.partial_size();
    if (exceeds_limit(item))
        on_overlong_response(key, item);
    else
        release_memory();
}

bool item_runner::append_events(held_item& item, std::string_view bytes) {
    for (const sse_event& event : item.parser.feed(bytes)) {
        if (event.id == 0)
            continue;
        if (event.id != item.last_event + 1)
            return false;
        if (item.last_event > 0)
            item.text.push_back('\n');
        else
            item.written_by = {item.service, item.endpoint_version};
        item.text.append(event.data);
        item.last_event = event.id;
        item.last_event_at = item.last_progress_at;
    }
    return true;
}

void item_runner::on_end(const item_key& key) {
    auto found = items_.find(key);
    if (found == items_.end())
        return;
    held_item& item = *found->second;
    if (item.not_run) {
        metrics_.count("items_rejected");
        item.failed_endpoints.insert(item.endpoint);
        requeue(item, unusable_response_delay, "refused_by_endpoint");
        return;
    }
    if (item.status == status_ok && item.parser.has_partial_event())
        crashes_.record_broken_run(run_of(item));
    if (item.status == status_ok && !item.parser.has_partial_event() && item.last_event > 0) {
        record_complete_run(item);
        finish(key, schema::completed, false, "done");
        return;
    }
    if (item.status == status_unprocessable) {
        finish(key, schema::failed, false, "impossible");
        return;
    }
    if (item.status == status_server_error) {
        finish(key, schema::pending, true, "endpoint_failed");
        return;
    }
    item.failed_endpoints.insert(item.endpoint);
    requeue(item, failure_delay, "status_" + std::to_string(item.status));
}

void item_runner::on_failure(const item_key& key, const net::raw_failure& failure) {
    auto found = items_.find(key);
    if (found == items_.end())
        return;
    held_item& item = *found->second;
    if (failure.foreign) {
        crashes_.record_ended_run(run_of(item), false);
        item.failed_endpoints.insert(item.endpoint);
        requeue(item, unusable_response_delay, failure.cause.text);
        return;
    }
    item.not_run = item.not_run || !failure.sent;
    item.connection_broke = !item.not_run;
    if (item.connection_broke)
        crashes_.record_broken_run(run_of(item));
    if (item.connection_broke) {
        // Items may crash endpoints before they respond, so it is assumed once in a row.
        const bool is_repeated = item.may_not_have_run && item.unread_alone == item.runs_alone;
        item.may_not_have_run = !failure.answered && !is_repeated;
        item.unread_alone = item.runs_alone;
    }
    item.failed_endpoints.insert(item.endpoint);
    const bool stale_connection = failure.kept && !failure.answered;
    if (!stale_connection)
        slots_.record_failure(item.endpoint, monotonic_now());
    const std::uint32_t delay_factor = std::min(item.runs, max_delay_factor);
    requeue(item, stale_connection ? milliseconds(0) : failure_delay * delay_factor,
            failure.cause.text);
}

void item_runner::finish(const item_key& key, schema::item_status status, bool failed_run,
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
    schema::item_end* ended = unsent_ends_.add_ends();
    ended->set_job(key.first.str());
    ended->set_ordinal(key.second);
    ended->set_attempt(item.leased.attempt());
    ended->set_status(status);
    ended->set_failed_run(failed_run);
    ended->set_endpoint(item.endpoint.str());
    ended->set_http_status(static_cast<std::uint32_t>(item.status));
    if (status == schema::pending && item.last_event > 0) {
        ended->set_events(item.last_event);
        write_software(item, *ended);
    }
    if (status == schema::completed || ended->events() > 0)
        ended->set_body(std::move(item.text));
    metrics_.count("items_ended");
    items_.erase(found);
}

} // namespace cassia::gateway
