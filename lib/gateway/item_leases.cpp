// How items are leased from the keepers, and what is reported to them.

#include "cassia/base/log.h"
#include "cassia/gateway/item_runner.h"
#include "held_item.h"

#include <algorithm>
#include <utility>

namespace cassia::gateway {

namespace {
// Limit of items that wait for a slot at this gateway. It is low because other gateways can lease
// only the items that are still with the keepers.
constexpr std::uint32_t max_ready_items = 2;
// A lease that takes longer asks for as many times more items, so that a slow commit doesn't bound
// the rate of items.
constexpr milliseconds usual_lease_time(20);
constexpr std::uint32_t max_items_per_lease = 16;
// Limits of items that may not run yet: of quarantined ones, and in windows of suspects, each of
// which looks for a run of its own, and of all where they hold much memory.
constexpr std::size_t max_quarantined_items = 4096;
constexpr std::size_t max_blocked_windows = 4;
constexpr milliseconds lease_interval(100);
// Interval at which the progress of running items is saved. If the gateway crashes, what came after
// is run again.
constexpr milliseconds progress_interval(2000);
// Interval of requests that are granted no items; longer, because each costs the leader time.
constexpr milliseconds lease_interval_idle(300);
// Interval of requests for items without a route, and its part for each gateway of the fleet.
constexpr milliseconds unrouted_interval(1000);
constexpr milliseconds unrouted_interval_each(50);
constexpr std::uint32_t max_unrouted_items = 8;
constexpr milliseconds missing_route_patience(5000);
} // namespace

std::uint32_t item_runner::batch_capacity(const schema::route& route, instant now) const {
    std::uint32_t sum = 0;
    for (const schema::route_target& target : route.targets()) {
        if (target.weight() > 0)
            sum += slots_.batch_capacity(service_id(target.service()), now);
    }
    return sum;
}

// Those that wait for a slot keep only their own route from being leased.
bool item_runner::is_blocked(const held_item& item) {
    return item.wait == item_wait::trial || item.wait == item_wait::quarantine ||
           item.wait == item_wait::slot;
}

// Items that may not run yet use no slot, and must not keep others from being leased.
bool item_runner::is_window_full() const {
    if (is_memory_short())
        return true;
    const std::size_t few = max_blocked_windows * max_items_;
    std::size_t blocked = 0;
    std::size_t suspects = 0;
    std::uint64_t blocked_bytes = 0;
    for (const std::pair<const item_key, std::unique_ptr<held_item>>& keyed_item : items_) {
        if (!is_blocked(*keyed_item.second))
            continue;
        ++blocked;
        suspects += keyed_item.second->wait == item_wait::trial ? 1 : 0;
        blocked_bytes += keyed_item.second->leased_bytes;
    }
    if (items_.size() - blocked >= max_items_ || suspects >= few ||
        blocked >= max_quarantined_items)
        return true;
    return blocked >= few && memory_share_ != 0 && blocked_bytes > memory_share_ / 2;
}

// At most this gateway's share of the free slots beyond the few items that may wait here anyway:
// all gateways see the same ones, and routes may have the same service.
std::uint32_t item_runner::lease_window(std::uint32_t free_slots) const {
    const std::size_t routes =
        std::max<std::size_t>(routes_->of_kind(schema::route::batch).size(), 1);
    const std::uint32_t share =
        static_cast<std::uint32_t>(free_slots / (std::max<std::size_t>(fleet_size_, 1) * routes));
    const std::uint32_t in_lease_time =
        max_ready_items * static_cast<std::uint32_t>(lease_time_ / usual_lease_time);
    return std::max(max_ready_items, std::min({share, in_lease_time, max_items_per_lease}));
}

void item_runner::note_lease_time(milliseconds latest) {
    constexpr int latest_and_earlier = 2;
    lease_time_ = (lease_time_ + latest) / latest_and_earlier;
}

// Requests a few items at a time: all gateways see the same free slots, and together they would
// lease many times as many items as there are slots.
void item_runner::request_leases(instant now) {
    if (shutting_down_ || !routes_)
        return;
    std::vector<std::pair<const schema::route*, group_id>> due;
    for (const schema::route* route : routes_->of_kind(schema::route::batch)) {
        if (const std::optional<group_id> group = leases_.next(route->name(), now))
            due.emplace_back(route, *group);
    }
    if (due.empty())
        return;
    if (is_window_full()) {
        note_lease_pause("window_full", now);
        return;
    }
    std::string pause;
    bool requested = false;
    for (const std::pair<const schema::route*, group_id>& one : due) {
        const schema::route& route = *one.first;
        const std::uint32_t ready_items = count_ready(route, now);
        const std::uint32_t free_slots = batch_capacity(route, now);
        const std::uint32_t window = lease_window(free_slots);
        if (ready_items >= max_ready_items || free_slots == 0) {
            pause = free_slots == 0 ? "no_free_slot" : "items_wait_for_slots";
            leases_.pause(route.name(), lease_interval, now);
            continue;
        }
        request_lease(route.name(), one.second, std::min(free_slots, window - ready_items), now);
        requested = true;
    }
    note_lease_pause(requested ? "" : pause, now);
}

void item_runner::request_lease(const std::string& route, const group_id& group,
                                std::uint32_t limit, instant now) {
    leases_.begin(route, group, now);
    const auto on_reply = [this, route, group, now](const std::vector<schema::leased_item>& items) {
        const instant replied_at = monotonic_now();
        if (!items.empty())
            note_lease_time(std::chrono::duration_cast<milliseconds>(replied_at - now));
        leases_.end(route, group, !items.empty(), lease_interval_idle, replied_at);
        add_leased(items);
    };
    hooks_.lease(route, group, limit, on_reply);
}

std::uint32_t item_runner::count_startable() const {
    return static_cast<std::uint32_t>(
        std::count_if(items_.begin(), items_.end(), [](const auto& keyed_item) {
            const held_item& item = *keyed_item.second;
            return item.upstream_call == call_id() &&
                   (item.wait == item_wait::none || item.wait == item_wait::slot ||
                    item.wait == item_wait::route);
        }));
}

// Each gateway asks less often in a large fleet, so that the leaders get as many requests.
void item_runner::request_unrouted(instant now) {
    if (shutting_down_ || !routes_)
        return;
    const std::optional<group_id> group = leases_.next(unrouted, now);
    if (!group || is_window_full() || count_startable() >= max_unrouted_items)
        return;
    schema::unrouted_want want;
    want.set_routes_version(routes_->version());
    want.set_limit(max_unrouted_items);
    for (const schema::route* route : routes_->of_kind(schema::route::batch))
        want.add_known(route->name());
    leases_.begin(unrouted, *group, now);
    const auto on_reply = [this, group](const std::vector<schema::leased_item>& items) {
        const instant replied_at = monotonic_now();
        leases_.end(unrouted, *group, !items.empty(),
                    std::max<milliseconds>(unrouted_interval, unrouted_interval_each * fleet_size_),
                    replied_at);
        leases_.pause(unrouted, lease_interval, replied_at);
        add_leased(items);
    };
    hooks_.lease_unrouted(want, *group, on_reply);
}

// An operator may put a route back that was removed by mistake.
void item_runner::hold_unrouted(const item_key& key, held_item& item, instant now) {
    if (!routes_)
        return;
    const route_key missing{item.leased.item().service(), host_of(item.leased),
                            item.leased.route_prefix()};
    const instant since = routes_missing_since_.try_emplace(missing, now).first->second;
    if (now - since >= missing_route_patience) {
        finish(key, schema::failed, false, "route_gone");
        return;
    }
    item.ready_at = now + lease_interval;
    set_wait(item, item_wait::route);
}

void item_runner::add_leased(const std::vector<schema::leased_item>& items) {
    for (const schema::leased_item& item : items)
        add(item);
    if (shutting_down_)
        return_items();
    else
        start_ready_items(monotonic_now());
}

void item_runner::add(const schema::leased_item& leased) {
    const item_key key{job_id(leased.job()), leased.ordinal()};
    auto found = items_.find(key);
    if (found != items_.end()) {
        // The item was leased to this gateway again while it was still held under an earlier lease.
        // The keepers ignore reports of the earlier attempt.
        stop(*found->second);
        items_.erase(found);
    }
    std::unique_ptr<held_item> item = std::make_unique<held_item>();
    item->leased = leased;
    item->leased_bytes = leased.ByteSizeLong();
    item->tokens = tokens_of(leased.item());
    item->text = leased.progress();
    item->last_event = leased.events();
    item->saved_event = leased.events();
    item->saved_at = monotonic_now();
    item->idle_since = item->saved_at;
    log_info("item_leased")
        .with("item", leased.item().custom_id())
        .with("job", leased.job())
        .with("attempt", leased.attempt())
        .with("behind_event", leased.events())
        .with("version", leased.written_by().version());
    item->written_by = {service_id(leased.written_by().service()),
                        software_version(leased.written_by().version())};
    items_[key] = std::move(item);
}

void item_runner::cancel_jobs(const std::set<job_id>& jobs) {
    std::vector<item_key> keys;
    for (const std::pair<const item_key, std::unique_ptr<held_item>>& keyed_item : items_) {
        if (jobs.count(keyed_item.first.first) > 0)
            keys.push_back(keyed_item.first);
    }
    for (const item_key& key : keys) {
        items_.at(key)->last_event = 0; // no resume follows, so the partial text is not reported
        finish(key, schema::pending, false, "job_ended");
    }
    send_reports();
}

// Nothing is reported: the gateway that has the lease now will do so.
void item_runner::drop_stale(const schema::stale_items& stale) {
    for (const schema::held_job& job : stale.jobs()) {
        for (int i = 0; i < job.ordinals_size(); ++i) {
            auto found = items_.find({job_id(job.job()), job.ordinals(i)});
            // The item was leased to this gateway again after it sent the list of items held.
            if (found == items_.end() || found->second->leased.attempt() != job.attempts(i))
                continue;
            stop(*found->second);
            log_info("item_dropped")
                .with("item", found->second->leased.item().custom_id())
                .with("job", job.job())
                .with("attempt", job.attempts(i))
                .with("cause", "lease_lost");
            metrics_.count("items_dropped");
            items_.erase(found);
        }
    }
}

void item_runner::shut_down() {
    shutting_down_ = true;
    return_items();
}

void item_runner::return_items() {
    std::vector<item_key> keys;
    for (const std::pair<const item_key, std::unique_ptr<held_item>>& keyed_item : items_)
        keys.push_back(keyed_item.first);
    for (const item_key& key : keys)
        finish(key, schema::pending, false, "leaving");
    send_reports();
}

schema::held_items item_runner::held() const {
    schema::held_items result;
    const auto add_item = [&result](const std::string& job, std::uint32_t ordinal,
                                    std::uint32_t attempt) {
        const bool is_last_job =
            result.jobs_size() > 0 && result.jobs(result.jobs_size() - 1).job() == job;
        schema::held_job* held =
            is_last_job ? result.mutable_jobs(result.jobs_size() - 1) : result.add_jobs();
        held->set_job(job);
        held->add_ordinals(ordinal);
        held->add_attempts(attempt);
    };
    for (const std::pair<const item_key, std::unique_ptr<held_item>>& keyed_item : items_)
        add_item(keyed_item.first.first.str(), keyed_item.first.second,
                 keyed_item.second->leased.attempt());
    for (const schema::item_end& ended : unsent_ends_.ends())
        add_item(ended.job(), ended.ordinal(), ended.attempt());
    for (const schema::item_end& ended : ends_in_flight_.ends())
        add_item(ended.job(), ended.ordinal(), ended.attempt());
    return result;
}

// Each save sends the whole text so far. The interval is long enough that an item's text is sent
// about twice in total.
void item_runner::save_progress(instant now) {
    for (const std::pair<const item_key, std::unique_ptr<held_item>>& keyed_item : items_) {
        held_item& item = *keyed_item.second;
        if (item.last_event == item.saved_event || now - item.saved_at < progress_interval)
            continue;
        item.saved_event = item.last_event;
        item.saved_at = now;
        schema::item_end* progress = unsent_ends_.add_ends();
        progress->set_job(keyed_item.first.first.str());
        progress->set_ordinal(keyed_item.first.second);
        progress->set_attempt(item.leased.attempt());
        progress->set_status(schema::leased);
        progress->set_body(item.text);
        progress->set_events(item.last_event);
        write_software(item, *progress);
    }
}

// Sends one report at a time; items that end meanwhile go into the next one.
void item_runner::send_reports() {
    if (report_in_flight_ || (unsent_ends_.ends_size() == 0 && ends_in_flight_.ends_size() == 0))
        return;
    ends_in_flight_.MergeFrom(unsent_ends_);
    unsent_ends_.Clear();
    report_in_flight_ = true;
    hooks_.report(ends_in_flight_, [this](bool durable) {
        report_in_flight_ = false;
        if (durable)
            ends_in_flight_.Clear();
        send_reports();
    });
}

} // namespace cassia::gateway
