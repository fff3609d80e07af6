// Which items run, where, and when they stop.

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
// Items wait in the store, where every gateway can take them; here only so many as can start soon.
constexpr std::uint32_t most_ready = 2;
constexpr milliseconds ask_interval(100);
// What an entry that dies has of an item beyond this is made again.
constexpr milliseconds progress_interval(2000);
// With nothing to be had the question is repeated less often: it costs the leader time.
constexpr milliseconds ask_interval_idle(300);
// An endpoint that sends nothing for this long is taken for silent: an event comes every 20 ms or
// so, and a slot that was thought free may have others waiting before it.
constexpr milliseconds silence_limit(1500);
// Past this time an item is given up; clocks of VMs differ by seconds.
constexpr std::uint64_t clock_slack_ms = 5000;
} // namespace

item_runner::item_runner(net::raw_client& client, policy::slot_table& slots, metrics& counts,
                         field_names names, std::uint32_t window, item_runner_hooks hooks)
    : client_(client), slots_(slots), metrics_(counts), names_(std::move(names)), window_(window),
      hooks_(std::move(hooks)), random_(random_bits()) {}

item_runner::~item_runner() = default;

void item_runner::set_routes(std::shared_ptr<const routes::table> table) {
    table_ = std::move(table);
}

std::size_t item_runner::running() const {
    return static_cast<std::size_t>(
        std::count_if(items_.begin(), items_.end(),
                      [](const auto& one) { return one.second->attempt != call_id(); }));
}

std::size_t item_runner::unreported() const {
    return static_cast<std::size_t>(ends_.ends_size()) +
           static_cast<std::size_t>(reported_.ends_size());
}

// Jobs of earlier versions have the host in place of a team.
static const std::string& host_of(const schema::leased_item& item) {
    return item.host().empty() ? item.team() : item.host();
}

const schema::route* item_runner::route_of(const held_item& item) const {
    if (!table_)
        return nullptr;
    return table_->match(host_of(item.leased), net::path_of(item.leased.item().url()));
}

void item_runner::tick(instant now, wall_time wall) {
    std::vector<item_key> overdue;
    for (const std::pair<const item_key, std::unique_ptr<held_item>>& one : items_) {
        const std::uint64_t abandon_at = one.second->leased.abandon_at();
        const bool idle = one.second->attempt == call_id();
        if (idle && abandon_at != 0 && to_unix_ms(wall) > abandon_at + clock_slack_ms)
            overdue.push_back(one.first);
    }
    for (const item_key& key : overdue)
        end(key, schema::failed, false, "abandoned");
    check_silence(now);
    save_progress(now);
    start_ready(now);
    ask_for_items(now);
    send_reports();
}

// Each gateway takes its part of the room: all see the same room, and together they would fill it
// many times over.
void item_runner::ask_for_items(instant now) {
    if (leaving_ || asking_ || !table_ || now < ask_at_ || items_.size() >= window_)
        return;
    const std::size_t ready = items_.size() - running();
    if (ready >= most_ready)
        return;
    for (const schema::route* route : table_->of_kind(schema::route::batch)) {
        const service_id service(route->targets(0).service());
        const std::uint32_t room = slots_.batch_capacity(service, now);
        if (room == 0)
            continue;
        const std::uint32_t limit = std::min(room, most_ready - static_cast<std::uint32_t>(ready));
        asking_ = true;
        hooks_.lease(route->name(), limit, [this](const std::vector<schema::leased_item>& items) {
            asking_ = false;
            ask_at_ = monotonic_now() + (items.empty() ? ask_interval_idle : milliseconds(0));
            for (const schema::leased_item& one : items)
                add(one);
            start_ready(monotonic_now());
        });
    }
    if (!asking_)
        ask_at_ = now + ask_interval;
}

void item_runner::add(const schema::leased_item& leased) {
    const item_key key{job_id(leased.job()), leased.ordinal()};
    auto found = items_.find(key);
    if (found != items_.end()) {
        // Leased anew after a report that is still under way; that run's word counts no more.
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
        .with("behind_event", leased.events());
    items_[key] = std::move(item);
}

void item_runner::start_ready(instant now) {
    const std::uint64_t at = to_unix_ms(wall_now());
    std::vector<std::tuple<bool, std::uint64_t, item_key>> ready;
    for (const std::pair<const item_key, std::unique_ptr<held_item>>& one : items_) {
        if (one.second->attempt == call_id() && now >= one.second->ready_at)
            ready.emplace_back(policy::would_miss_deadline(one.second->leased.deadline(), at),
                               one.second->leased.deadline(), one.first);
    }
    std::sort(ready.begin(), ready.end());
    for (const std::tuple<bool, std::uint64_t, item_key>& one : ready) {
        const item_key& key = std::get<item_key>(one);
        if (!start(key, *items_.at(key), now))
            return;
    }
}

net::raw_request item_runner::request_for(const held_item& item,
                                          const endpoint_id& endpoint) const {
    const schema::item_body& source = item.leased.item();
    net::raw_request request;
    request.method = "POST";
    request.target = source.url();
    request.fields.add("Host", host_of(item.leased));
    for (const schema::header_field& one : source.headers())
        request.fields.add(one.name(), one.value());
    request.fields.erase_hop_by_hop();
    write_team(request.fields, names_, item.leased.has_team() ? item.leased.team() : "");
    request.fields.set(names_.request_id, source.custom_id());
    request.fields.set(names_.expected_endpoint, endpoint.str());
    if (item.last_event > 0)
        request.fields.set(names_.last_event, std::to_string(item.last_event));
    request.body = source.body();
    return request;
}

// \returns false if there is no room for any item now.
bool item_runner::start(const item_key& key, held_item& item, instant now) {
    const schema::route* route = route_of(item);
    if (route == nullptr) {
        if (table_)
            end(key, schema::failed, false, "route_gone");
        return true;
    }
    std::uniform_real_distribution<double> draw(0, 1);
    const service_id service(routes::choose_target(*route, draw(random_)));
    const std::optional<policy::placement> place = slots_.place_batch(
        service, item.avoided, now, draw(random_),
        policy::is_urgent(item.leased.deadline(), route->result_due_ms(), to_unix_ms(wall_now())));
    if (!place) {
        item.avoided.clear();
        return false;
    }
    slots_.acquire(place->endpoint, policy::work_kind::batch);
    item.endpoint = place->endpoint;
    item.progress_at = now;
    item.started = ++starts_;
    item.events.reset();
    item.status = 0;
    item.not_run = false;
    ++item.runs;
    metrics_.count(item.last_event > 0 ? "items_resumed" : "items_started");
    net::raw_call_hooks hooks;
    hooks.on_head = [this, key](const net::raw_head& head) { on_head(key, head); };
    hooks.on_piece = [this, key](std::string_view bytes) { on_piece(key, bytes); };
    hooks.on_end = [this, key] { on_end(key); };
    hooks.on_failure = [this, key](const net::raw_failure& failure) { on_failure(key, failure); };
    net::raw_call call;
    call.to = place->address;
    call.request = request_for(item, place->endpoint);
    item.attempt = client_.start(std::move(call), std::move(hooks));
    return true;
}

void item_runner::stop(held_item& item) {
    if (item.attempt == call_id())
        return;
    client_.cancel(item.attempt);
    item.attempt = call_id();
    slots_.release(item.endpoint, policy::work_kind::batch);
}

void item_runner::put_back(held_item& item, milliseconds pause, const std::string& cause) {
    stop(item);
    item.ready_at = monotonic_now() + pause;
    log_info("item_interrupted")
        .with("item", item.leased.item().custom_id())
        .with("endpoint", item.endpoint.str())
        .with("behind_event", item.last_event)
        .with("runs", item.runs)
        .with("cause", cause);
}

std::uint32_t item_runner::yield(const endpoint_id& endpoint, std::uint32_t slots) {
    std::vector<held_item*> there;
    for (const std::pair<const item_key, std::unique_ptr<held_item>>& one : items_) {
        if (one.second->attempt != call_id() && one.second->endpoint == endpoint)
            there.push_back(one.second.get());
    }
    std::sort(there.begin(), there.end(),
              [](const held_item* a, const held_item* b) { return a->started > b->started; });
    const std::size_t count = std::min<std::size_t>(slots, there.size());
    for (std::size_t i = 0; i < count; ++i)
        put_back(*there[i], milliseconds(0), "yielded");
    metrics_.count("items_yielded", count);
    return static_cast<std::uint32_t>(count);
}

void item_runner::cancel_jobs(const std::set<job_id>& jobs) {
    std::vector<item_key> keys;
    for (const std::pair<const item_key, std::unique_ptr<held_item>>& one : items_) {
        if (jobs.count(one.first.first) > 0)
            keys.push_back(one.first);
    }
    for (const item_key& key : keys) {
        items_.at(key)->last_event = 0; // nobody goes on with it
        end(key, schema::pending, false, "job_ended");
    }
    send_reports();
}

// Nothing is reported: whoever has the lease now will.
void item_runner::drop_stale(const schema::stale_items& stale) {
    for (const schema::held_job& job : stale.jobs()) {
        for (int i = 0; i < job.ordinals_size(); ++i) {
            auto found = items_.find({job_id(job.job()), job.ordinals(i)});
            // Leased to this gateway anew since it told what it holds.
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

void item_runner::leave() {
    leaving_ = true;
    std::vector<item_key> keys;
    for (const std::pair<const item_key, std::unique_ptr<held_item>>& one : items_)
        keys.push_back(one.first);
    for (const item_key& key : keys)
        end(key, schema::pending, false, "leaving");
    send_reports();
}

schema::held_items item_runner::held() const {
    schema::held_items out;
    const auto add_item = [&out](const std::string& job, std::uint32_t ordinal,
                                 std::uint32_t attempt) {
        const bool same = out.jobs_size() > 0 && out.jobs(out.jobs_size() - 1).job() == job;
        schema::held_job* held = same ? out.mutable_jobs(out.jobs_size() - 1) : out.add_jobs();
        held->set_job(job);
        held->add_ordinals(ordinal);
        held->add_attempts(attempt);
    };
    for (const std::pair<const item_key, std::unique_ptr<held_item>>& one : items_)
        add_item(one.first.first.str(), one.first.second, one.second->leased.attempt());
    for (const schema::item_end& one : ends_.ends())
        add_item(one.job(), one.ordinal(), one.attempt());
    for (const schema::item_end& one : reported_.ends())
        add_item(one.job(), one.ordinal(), one.attempt());
    return out;
}

void item_runner::check_silence(instant now) {
    for (const std::pair<const item_key, std::unique_ptr<held_item>>& one : items_) {
        held_item& item = *one.second;
        if (item.attempt == call_id() || now - item.progress_at < silence_limit)
            continue;
        item.avoided.insert(item.endpoint);
        slots_.record_failure(item.endpoint, now);
        put_back(item, milliseconds(0), "endpoint_silent");
    }
}

// Seldom enough that an item's text goes to the store about twice as a whole.
void item_runner::save_progress(instant now) {
    for (const std::pair<const item_key, std::unique_ptr<held_item>>& one : items_) {
        held_item& item = *one.second;
        if (item.last_event == item.saved_event || now - item.saved_at < progress_interval)
            continue;
        item.saved_event = item.last_event;
        item.saved_at = now;
        schema::item_end* out = ends_.add_ends();
        out->set_job(one.first.first.str());
        out->set_ordinal(one.first.second);
        out->set_attempt(item.leased.attempt());
        out->set_status(schema::leased);
        out->set_body(item.text);
        out->set_events(item.last_event);
    }
}

// One report at a time: those that end meanwhile share the next one.
void item_runner::send_reports() {
    if (reporting_ || (ends_.ends_size() == 0 && reported_.ends_size() == 0))
        return;
    reported_.MergeFrom(ends_);
    ends_.Clear();
    reporting_ = true;
    hooks_.report(reported_, [this](bool durable) {
        reporting_ = false;
        if (durable)
            reported_.Clear();
        send_reports();
    });
}

} // namespace cassia::gateway
