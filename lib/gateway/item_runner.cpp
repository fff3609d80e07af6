// Leasing, placement, interruption and reporting of batch items.

#include "cassia/gateway/item_runner.h"

#include "cassia/base/digest.h"
#include "cassia/base/log.h"
#include "cassia/gateway/caller_identity.h"
#include "cassia/policy/batch_schedule.h"
#include "held_item.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace cassia::gateway {

namespace {
// Limit of items that wait for a slot at this gateway. It is low because other gateways can lease
// only the items that are still with the keepers.
constexpr std::uint32_t max_ready_items = 2;
constexpr milliseconds lease_interval(100);
// Interval at which the progress of running items is saved. If the gateway crashes, what came after
// is run again.
constexpr milliseconds progress_interval(2000);
// Interval after a reply without items; longer, because each request costs the leader time.
constexpr milliseconds lease_interval_idle(300);
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

const schema::route* item_runner::find_route(const held_item& item) const {
    if (!routes_)
        return nullptr;
    return routes_->match(host_of(item.leased), net::path_of(item.leased.item().url()));
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
    save_progress(now);
    start_ready_items(now);
    request_leases(now);
    send_reports();
}

// Requests a few items at a time: all gateways see the same free slots, and together they would
// lease many times as many items as there are slots.
void item_runner::request_leases(instant now) {
    if (shutting_down_ || lease_in_flight_ || !routes_ || now < next_lease_at_ ||
        items_.size() >= max_items_)
        return;
    const std::size_t ready_items = ready(now);
    if (ready_items >= max_ready_items)
        return;
    for (const schema::route* route : routes_->of_kind(schema::route::batch)) {
        const service_id service(route->targets(0).service());
        const std::uint32_t room = slots_.batch_capacity(service, now);
        if (room == 0)
            continue;
        const std::uint32_t limit =
            std::min(room, max_ready_items - static_cast<std::uint32_t>(ready_items));
        lease_in_flight_ = true;
        hooks_.lease(route->name(), limit, [this](const std::vector<schema::leased_item>& items) {
            lease_in_flight_ = false;
            next_lease_at_ =
                monotonic_now() + (items.empty() ? lease_interval_idle : milliseconds(0));
            for (const schema::leased_item& item : items)
                add(item);
            start_ready_items(monotonic_now());
        });
    }
    if (!lease_in_flight_)
        next_lease_at_ = now + lease_interval;
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
    item->text = leased.progress();
    item->last_event = leased.events();
    item->saved_event = leased.events();
    item->saved_at = monotonic_now();
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

void item_runner::start_ready_items(instant now) {
    const std::uint64_t unix_ms = to_unix_ms(wall_now());
    std::vector<std::tuple<bool, std::uint64_t, item_key>> ready;
    for (const std::pair<const item_key, std::unique_ptr<held_item>>& keyed_item : items_) {
        if (keyed_item.second->upstream_call == call_id() && now >= keyed_item.second->ready_at)
            ready.emplace_back(
                policy::would_miss_deadline(keyed_item.second->leased.deadline(), unix_ms),
                keyed_item.second->leased.deadline(), keyed_item.first);
    }
    // By deadline, items without one first; those that would end too late come last.
    std::sort(ready.begin(), ready.end());
    for (const std::tuple<bool, std::uint64_t, item_key>& candidate : ready) {
        const item_key& key = std::get<item_key>(candidate);
        if (!start(key, *items_.at(key), now))
            return;
    }
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
        if (routes_)
            finish(key, schema::failed, false, "route_gone");
        return true;
    }
    if (waits_for_quarantine(item, now))
        return true;
    if (item.last_event > 0 && !may_go_on(item, *route))
        begin_anew(item, "version_gone");
    std::optional<policy::placement> placement = place(item, *route, now);
    if (!placement && item.last_event > 0 && !item.runs_alone) {
        if (waits_for_version(item, now))
            return true;
        placement = place_anew(item, *route, now);
    }
    if (!placement && item.runs_alone) {
        item.runs_alone = false;
        item.ready_at = now + place_alone_interval;
        return true;
    }
    if (!placement) {
        // The other endpoints have no free slot: those that failed may be tried again.
        item.failed_endpoints.clear();
        return false;
    }
    slots_.acquire(placement->endpoint, policy::work_kind::batch);
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
    item.parser.reset();
    item.status = 0;
    item.not_run = false;
    item.connection_broke = false;
    ++item.runs;
    metrics_.count(item.last_event > 0 ? "items_resumed" : "items_started");
    log_info("item_placed")
        .with("item", item.leased.item().custom_id())
        .with("endpoint", item.endpoint.str())
        .with("version", placement->version.str())
        .with("behind_event", item.last_event);
    net::raw_call_hooks hooks;
    hooks.on_head = [this, key](const net::raw_head& head) { on_head(key, head); };
    hooks.on_piece = [this, key](std::string_view bytes) { on_body(key, bytes); };
    hooks.on_end = [this, key] { on_end(key); };
    hooks.on_failure = [this, key](const net::raw_failure& failure) { on_failure(key, failure); };
    net::raw_call call;
    call.to = placement->address;
    call.request = make_upstream_request(item, placement->endpoint);
    item.upstream_call = client_.start(std::move(call), std::move(hooks));
    return true;
}

void item_runner::stop(held_item& item) {
    end_trial(item);
    if (item.upstream_call == call_id())
        return;
    if (is_silent(item))
        crashes_.record_silent_run(run_of(item));
    else if (client_.was_sent(item.upstream_call) && !item.not_run)
        crashes_.record_ended_run(run_of(item), false);
    client_.cancel(item.upstream_call);
    item.upstream_call = call_id();
    slots_.release(item.endpoint, policy::work_kind::batch);
    for (; item.reserved_slots > 0; --item.reserved_slots)
        slots_.release(item.endpoint, policy::work_kind::online);
    item.runs_alone = false;
}

void item_runner::requeue(held_item& item, milliseconds delay, const std::string& cause) {
    stop(item);
    item.ready_at = monotonic_now() + delay;
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

void item_runner::check_inactivity(instant now) {
    for (const std::pair<const item_key, std::unique_ptr<held_item>>& keyed_item : items_) {
        held_item& item = *keyed_item.second;
        if (item.upstream_call == call_id() || now - item.last_progress_at < inactivity_timeout)
            continue;
        item.failed_endpoints.insert(item.endpoint);
        slots_.record_failure(item.endpoint, now);
        requeue(item, milliseconds(0), "endpoint_silent");
    }
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
