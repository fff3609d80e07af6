// Placement and interruption of batch items.

#include "cassia/gateway/item_runner.h"

#include "cassia/base/digest.h"
#include "cassia/base/log.h"
#include "cassia/gateway/caller_identity.h"
#include "cassia/gateway/request_fingerprint.h"
#include "cassia/gateway/response_match.h"
#include "cassia/policy/batch_schedule.h"
#include "held_item.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace cassia::gateway {

namespace {
// An endpoint that sends nothing for this long is considered inactive. Events come about every 20
// ms, but at a slot that only seemed free the item may first wait for other requests.
constexpr milliseconds inactivity_timeout(1500);
// Interval at which a suspect that waits for an endpoint of its own looks for one.
constexpr milliseconds place_alone_interval(100);
// Items are abandoned only this long after their time limit, as the clocks of VMs differ by
// seconds.
constexpr std::uint64_t max_clock_skew_ms = 5000;
} // namespace

item_runner::item_runner(net::raw_client& client, policy::slot_table& slots, crash_monitor& crashes,
                         trial_exchange& trials, metrics& counts, header_names names,
                         std::uint32_t max_items, item_runner_hooks hooks)
    : client_(client), slots_(slots), crashes_(crashes), trials_(trials), metrics_(counts),
      names_(std::move(names)), max_items_(max_items), hooks_(std::move(hooks)),
      random_(random_bits()) {}

item_runner::~item_runner() = default;

void item_runner::set_routes(std::shared_ptr<const routes::table> table) {
    routes_ = std::move(table);
    std::erase_if(routes_missing_since_, [this](const auto& missing) {
        const route_key& key = missing.first;
        return find_route(key.name, key.host, key.prefix) != nullptr;
    });
    std::set<std::string> names{unrouted};
    for (const schema::route* route : routes_->of_kind(schema::route::batch))
        names.insert(route->name());
    leases_.keep_only(names);
}

std::size_t item_runner::running() const {
    return static_cast<std::size_t>(
        std::count_if(items_.begin(), items_.end(), [](const auto& keyed_item) {
            return keyed_item.second->upstream_call != call_id();
        }));
}

std::size_t item_runner::unreported() const {
    return static_cast<std::size_t>(unsent_ends_.ends_size()) +
           static_cast<std::size_t>(ends_in_flight_.ends_size());
}

const schema::route* item_runner::find_route(const std::string& name, const std::string& host,
                                             const std::string& prefix) const {
    if (!routes_)
        return nullptr;
    const schema::route* found = routes_->find(name);
    if (found == nullptr && !prefix.empty())
        found = routes_->at_prefix(host, prefix);
    return found != nullptr && found->kind() == schema::route::batch ? found : nullptr;
}

const schema::route* item_runner::find_route(const held_item& item) const {
    return find_route(item.leased.item().service(), host_of(item.leased),
                      item.leased.route_prefix());
}

void item_runner::tick(instant now, wall_time wall) {
    std::vector<item_key> overdue;
    for (const std::pair<const item_key, std::unique_ptr<held_item>>& keyed_item : items_) {
        const std::uint64_t abandon_at = keyed_item.second->leased.abandon_at();
        const bool waits = keyed_item.second->upstream_call == call_id();
        if (waits && abandon_at != 0 && to_unix_ms(wall) > abandon_at + max_clock_skew_ms)
            overdue.push_back(keyed_item.first);
    }
    for (const item_key& key : overdue)
        finish(key, schema::failed, false, "abandoned");
    check_inactivity(now);
    check_trials();
    report_waits(now);
    save_progress(now);
    // A gateway that has just started doesn't know yet what is quarantined.
    if (crashes_.is_synchronized()) {
        start_ready_items(now);
        request_leases(now);
        request_unrouted(now);
    }
    send_reports();
}

void item_runner::start_ready_items(instant now) {
    const std::uint64_t unix_ms = to_unix_ms(wall_now());
    std::vector<std::tuple<bool, std::uint64_t, item_key>> ready;
    std::vector<std::pair<instant, item_key>> quarantined;
    choose_retries(now);
    for (const std::pair<const item_key, std::unique_ptr<held_item>>& keyed_item : items_) {
        const held_item& item = *keyed_item.second;
        if (item.upstream_call != call_id() || (now < item.ready_at && !is_run_granted(item)))
            continue;
        if (item.wait == item_wait::quarantine)
            quarantined.emplace_back(retry_of(item).idle_since, keyed_item.first);
        else
            ready.emplace_back(policy::would_miss_deadline(item.leased.deadline(), unix_ms),
                               item.leased.deadline(), keyed_item.first);
    }
    // By deadline, items without one first; those that would end too late come last.
    std::sort(ready.begin(), ready.end());
    // Only the later items of the same route wait for the same slots.
    std::set<const schema::route*> without_slot;
    for (const std::tuple<bool, std::uint64_t, item_key>& candidate : ready) {
        const item_key& key = std::get<item_key>(candidate);
        held_item& item = *items_.at(key);
        const schema::route* route = find_route(item);
        // A suspect may have been granted a slot of its own.
        const bool waits = without_slot.count(route) > 0 &&
                           judge(item).verdict == policy::request_verdict::unsuspected;
        if (!waits && !start(key, item, now))
            without_slot.insert(route);
    }
    // Of the items that are quarantined by themselves only some ask at a time: those that have been
    // idle for longest.
    std::sort(quarantined.begin(), quarantined.end());
    for (const std::pair<instant, item_key>& candidate : quarantined)
        start(candidate.second, *items_.at(candidate.second), now);
}

void item_runner::start_granted() {
    start_ready_items(monotonic_now());
}

std::uint32_t item_runner::count_ready(const schema::route& route, instant now) const {
    return static_cast<std::uint32_t>(
        std::count_if(items_.begin(), items_.end(), [this, &route, now](const auto& keyed_item) {
            const held_item& item = *keyed_item.second;
            return item.upstream_call == call_id() && now >= item.ready_at &&
                   find_route(item) == &route;
        }));
}

net::raw_request item_runner::make_upstream_request(const held_item& item,
                                                    const endpoint_id& endpoint) const {
    const schema::item_body& source = item.leased.item();
    net::raw_request request;
    request.method = "POST";
    request.target = source.url();
    request.fields.add("Host", host_of(item.leased));
    for (const schema::header_field& header : source.headers())
        request.fields.add(header.name(), header.value());
    request.fields.erase_hop_by_hop();
    set_team_header(request.fields, names_, item.leased.has_team() ? item.leased.team() : "");
    request.fields.set(names_.request_id, source.custom_id());
    request.fields.set(names_.expected_endpoint, endpoint.str());
    if (item.last_event > 0)
        request.fields.set(names_.last_event, std::to_string(item.last_event));
    request.body = source.body();
    return request;
}

// \returns false if there is no free slot now.
bool item_runner::start(const item_key& key, held_item& item, instant now) {
    const schema::route* route = find_route(item);
    if (route == nullptr) {
        hold_unrouted(key, item, now);
        return true;
    }
    if (hold_oversized(key, item, *route))
        return true;
    if (waits_for_quarantine(item, now)) {
        set_wait(item, item_wait::quarantine);
        return true;
    }
    if (item.last_event > 0 && !may_go_on(item, *route))
        begin_anew(item, "version_gone");
    std::optional<policy::placement> placement = place(item, *route, now);
    // An item that doesn't ask for a run needs no room, and keeps its events.
    const bool only_waits_for_run =
        item.runs_alone && (is_retry_deferred(item) || has_room_at_version(item, now));
    if (!placement && item.last_event > 0 && !only_waits_for_run) {
        if (waits_for_version(item, now)) {
            set_wait(item, item_wait::version);
            return true;
        }
        placement = place_anew(item, *route, now);
    }
    if (!placement && item.runs_alone) {
        item.runs_alone = false;
        item.ready_at = now + place_alone_interval;
        set_wait(item, quarantined_part(item) ? item_wait::quarantine : item_wait::trial);
        return true;
    }
    if (!placement && waits_for_memory(item, now))
        return true;
    if (!placement && waits_for_other_endpoint(item, now))
        return true;
    if (!placement) {
        // The other endpoints have no free slot: those that failed may be tried again.
        item.failed_endpoints.clear();
        set_wait(item, item_wait::slot);
        return false;
    }
    slots_.acquire(placement->endpoint, policy::work_kind::batch, item.tokens);
    item.endpoint = placement->endpoint;
    item.incarnation = placement->incarnation;
    item.address = placement->address;
    item.endpoint_version = placement->version;
    item.waits_for_version_since = instant();
    item.sent_at = now;
    item.last_progress_at = now;
    if (item.runs_alone)
        item.reserved_slots = slots_.reserve_free_slots(item.endpoint);
    item.start_number = ++start_count_;
    item.asks_for_retry = false;
    set_wait(item, item_wait::none);
    item.parser.reset();
    item.unused_bytes = 0;
    item.status = 0;
    item.not_run = false;
    item.connection_broke = false;
    item.resumed = item.last_event > 0;
    ++item.runs;
    metrics_.count(item.last_event > 0 ? "items_resumed" : "items_started");
    log_info("item_placed")
        .with("item", item.leased.item().custom_id())
        .with("endpoint", item.endpoint.str())
        .with("version", placement->version.str())
        .with("behind_event", item.last_event)
        .with("suspect", item.runs_alone ? short_form(judge(item).cause) : std::string());
    net::raw_call_hooks hooks;
    hooks.on_head = [this, key](const net::raw_head& head) { on_head(key, head); };
    hooks.on_piece = [this, key](std::string_view bytes) { on_body(key, bytes); };
    hooks.on_end = [this, key] { on_end(key); };
    hooks.on_failure = [this, key](const net::raw_failure& failure) { on_failure(key, failure); };
    net::raw_call call;
    call.to = placement->address;
    call.request = make_upstream_request(item, placement->endpoint);
    call.find_owner = match_by_id(names_, item.leased.item().custom_id());
    call.request_id = item.leased.item().custom_id();
    // A duplicate of an earlier response on the same connection would have the same id.
    const bool sent_before = !item.sent_to.insert(call.to).second;
    call.fresh_connection = sent_before || item.leased.attempt() > 1;
    item.upstream_call = client_.start(std::move(call), std::move(hooks));
    return true;
}

void item_runner::stop(held_item& item) {
    item.not_run = item.not_run || client_.is_unsent(item.upstream_call);
    const bool ran = item.upstream_call != call_id() && !item.not_run;
    if (ran && item.runs_alone && !shares_endpoint(item)) {
        item.crashed_alone += item.connection_broke || is_silent(item) ? 1 : 0;
        item.alone_until = monotonic_now();
    }
    end_trial(item);
    if (item.upstream_call == call_id())
        return;
    if (is_silent(item))
        crashes_.record_silent_run(run_of(item));
    else if (client_.was_sent(item.upstream_call) && !item.not_run)
        crashes_.record_ended_run(run_of(item), false);
    client_.cancel(item.upstream_call);
    item.upstream_call = call_id();
    if (ran) {
        item.has_run = true;
        item.idle_since = monotonic_now();
    }
    slots_.release(item.endpoint, policy::work_kind::batch, item.tokens);
    for (; item.reserved_slots > 0; --item.reserved_slots)
        slots_.release(item.endpoint, policy::work_kind::online);
    item.runs_alone = false;
}

void item_runner::requeue(held_item& item, milliseconds delay, const std::string& cause) {
    stop(item);
    item.ready_at = monotonic_now() + delay;
    set_wait(item, item_wait::retry);
    log_info("item_interrupted")
        .with("item", item.leased.item().custom_id())
        .with("endpoint", item.endpoint.str())
        .with("behind_event", item.last_event)
        .with("runs", item.runs)
        .with("cause", cause);
}

std::uint32_t item_runner::yield(const endpoint_id& endpoint, std::uint32_t slots) {
    std::vector<held_item*> candidates;
    for (const std::pair<const item_key, std::unique_ptr<held_item>>& keyed_item : items_) {
        if (keyed_item.second->upstream_call != call_id() &&
            keyed_item.second->endpoint == endpoint)
            candidates.push_back(keyed_item.second.get());
    }
    std::sort(candidates.begin(), candidates.end(), [](const held_item* a, const held_item* b) {
        return a->start_number > b->start_number;
    });
    const std::size_t count = std::min<std::size_t>(slots, candidates.size());
    for (std::size_t i = 0; i < count; ++i)
        requeue(*candidates[i], milliseconds(0), "yielded");
    metrics_.count("items_yielded", count);
    return static_cast<std::uint32_t>(count);
}

void item_runner::check_inactivity(instant now) {
    check_run_limits(now);
    for (const std::pair<const item_key, std::unique_ptr<held_item>>& keyed_item : items_) {
        held_item& item = *keyed_item.second;
        if (item.upstream_call == call_id() || now - item.last_progress_at < inactivity_timeout)
            continue;
        item.failed_endpoints.insert(item.endpoint);
        // At a full endpoint the item may only have waited for others. Taken for a failure, this
        // would keep the endpoint on trial, where it gets the items of all gateways and stays full.
        if (!slots_.is_full(item.endpoint))
            slots_.record_failure(item.endpoint, now);
        requeue(item, milliseconds(0), "endpoint_silent");
    }
}

} // namespace cassia::gateway