// Memory that batch items take at endpoints.

#include "cassia/base/log.h"
#include "cassia/gateway/item_runner.h"
#include "held_item.h"

namespace cassia::gateway {

namespace {
// Interval at which an item looks whether the memory that it reserved is free.
constexpr milliseconds memory_check_interval(20);
// Interval at which an oversized item looks whether its endpoints hold more by now.
constexpr milliseconds oversized_check_interval(1000);
} // namespace

std::uint64_t item_runner::tokens_of(const schema::item_body& item) const {
    net::http_fields fields;
    for (const schema::header_field& header : item.headers())
        fields.add(header.name(), header.value());
    const std::optional<std::uint64_t> stated =
        read_request_tokens_ ? read_request_tokens_(fields) : std::nullopt;
    return stated.value_or(item.tokens());
}

// An accepted item may be given up only once its time is over; until then the memory of endpoints
// may be configured anew.
bool item_runner::hold_oversized(const item_key& key, held_item& item, const schema::route& route) {
    if (!is_too_large(route, slots_, item.tokens))
        return false;
    item.ready_at = monotonic_now() + oversized_check_interval;
    if (item.leased.abandon_at() != 0 && item.wait == item_wait::oversized)
        return true;
    set_wait(item, item_wait::oversized);
    metrics_.count("items_too_large");
    log_info("item_too_large")
        .with("item", item.leased.item().custom_id())
        .with("job", item.leased.job())
        .with("route", route.name())
        .with("tokens", item.tokens)
        .with("memory", slots_.memory_limit(service_id(route.targets(0).service())));
    if (item.leased.abandon_at() == 0)
        finish(key, schema::failed, false, "too_large");
    return true;
}

bool item_runner::waits_for_memory(held_item& item, instant now) {
    if (!slots_.needs_reservation(item.service, item.tokens))
        return false;
    item.ready_at = now + memory_check_interval;
    item.failed_endpoints = item.overlong_at;
    set_wait(item, item_wait::memory);
    return true;
}

} // namespace cassia::gateway
