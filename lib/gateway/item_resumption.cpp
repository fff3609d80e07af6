// Items that go on behind their last event, which the software that wrote it must do.

#include "cassia/base/log.h"
#include "cassia/gateway/item_runner.h"
#include "held_item.h"

#include <algorithm>
#include <utility>

namespace cassia::gateway {

namespace {
// Interval at which an item looks for a free slot at its version.
constexpr milliseconds version_check_interval(100);
// An item waits for its version as long as it may lose when its gateway crashes.
constexpr milliseconds max_version_wait(2000);
} // namespace

// Progress that an earlier release has stored names no software.
bool item_runner::may_go_on(const held_item& item, const schema::route& route) const {
    return routes::is_target(route, item.written_by.service.str()) &&
           slots_.serves(item.written_by.service, item.written_by.version);
}

bool item_runner::waits_for_version(held_item& item, instant now) {
    if (item.waits_for_version_since == instant())
        item.waits_for_version_since = now;
    if (now - item.waits_for_version_since >= max_version_wait)
        return false;
    item.ready_at = now + version_check_interval;
    return true;
}

bool item_runner::has_room_at_version(const held_item& item, instant now) const {
    return slots_.place_alone(item.written_by.service, {}, now, item.written_by.version)
        .has_value();
}

bool item_runner::has_room(const schema::route& route, instant now) const {
    return std::any_of(route.targets().begin(), route.targets().end(),
                       [this, now](const schema::route_target& target) {
                           return target.weight() > 0 &&
                                  slots_.place_alone(service_id(target.service()), {}, now);
                       });
}

std::optional<policy::placement> item_runner::place_anew(held_item& item,
                                                         const schema::route& route, instant now) {
    // A suspect has no endpoint before its run is scheduled, which takes some time.
    if (item.runs_alone) {
        if (has_room(route, now))
            begin_anew(item, "version_busy");
        return std::nullopt;
    }
    const std::uint64_t last_event = std::exchange(item.last_event, 0);
    std::optional<policy::placement> placement = place(item, route, now);
    item.last_event = last_event;
    if (placement)
        begin_anew(item, "version_busy");
    return placement;
}

void item_runner::begin_anew(held_item& item, const std::string& cause) {
    metrics_.count("items_begun_anew");
    log_info("item_begun_anew")
        .with("item", item.leased.item().custom_id())
        .with("job", item.leased.job())
        .with("behind_event", item.last_event)
        .with("version", item.written_by.version.str())
        .with("cause", cause);
    item.text = std::string();
    item.last_event = 0;
    item.saved_event = 0;
    item.written_by = policy::software();
}

void item_runner::write_software(const held_item& item, schema::item_end& out) {
    out.mutable_written_by()->set_service(item.written_by.service.str());
    out.mutable_written_by()->set_version(item.written_by.version.str());
}

} // namespace cassia::gateway
