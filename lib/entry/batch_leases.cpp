// Leasing of batch items from the leaders of the work groups, and reporting of their results.

#include "cassia/entry/batch_task.h"

#include "cassia/base/digest.h"
#include "cassia/base/log.h"
#include "cassia/state/sharding.h"

#include <algorithm>
#include <utility>

namespace cassia::entry {

namespace {
// A reply that arrives later than this timeout is ignored, so that the leader, which then takes
// back what the entry doesn't report as held, and this entry never both count on the same item.
constexpr milliseconds lease_timeout(3000);
constexpr milliseconds empty_round_delay(100);
constexpr std::size_t max_ends_per_request = 256;
constexpr milliseconds item_end_timeout(20000);
// An item that has waited this long for a slot here is returned to its group.
constexpr milliseconds max_queue_time(1500);
} // namespace

static cassia::fingerprint fingerprint_of(const schema::leased_item& lease) {
    return cassia::fingerprint(sha256_hex(lease.team() + "\nPOST\n" + lease.item().url() + "\n" +
                                          canonical_body(lease.item().body())));
}

// For each service, the number of items to lease: twice what could run now, less those already
// held, so that an item is available as soon as a slot becomes free, and no more than the batch
// window has room for.
std::map<service_id, std::uint32_t> batch_task::items_to_lease() const {
    std::map<service_id, std::uint32_t> item_counts;
    const instant now = monotonic_now();
    if (draining_ || view_->is_stale(now) || items_.size() >= settings_.batch_window())
        return item_counts;
    for (const policy::endpoint_info& facts : view_->endpoints) {
        auto state = endpoints_.find(facts.id);
        const bool has_capacity = state != endpoints_.end() && state->second.capacity.slots > 0 &&
                                  now >= state->second.paused_until;
        if (!has_capacity)
            continue;
        if (!facts.engine) {
            item_counts[facts.service] += 2 * state->second.capacity.slots;
            continue;
        }
        for (const std::pair<const service_id, policy::served_model>& model : facts.models)
            item_counts[model.first] += 2 * state->second.capacity.slots;
    }
    std::map<service_id, std::uint32_t> held;
    for (const std::pair<const item_id, batch_item>& known_item : items_)
        ++held[known_item.second.service];
    const std::size_t window_left = settings_.batch_window() - items_.size();
    for (auto service = item_counts.begin(); service != item_counts.end();) {
        const std::uint32_t held_count = held[service->first];
        service->second = service->second > held_count ? service->second - held_count : 0;
        service->second =
            static_cast<std::uint32_t>(std::min<std::size_t>(service->second, window_left));
        service = service->second == 0 ? item_counts.erase(service) : std::next(service);
    }
    return item_counts;
}

// Asks one group at a time, in rotation. Each group holds a part of the jobs, and an entry needs
// only few items.
void batch_task::request_leases() {
    const instant now = monotonic_now();
    const std::uint32_t groups = settings_.cluster().work_groups();
    if (!groups_leasing_.empty() || now < next_lease_at_)
        return;
    const std::map<service_id, std::uint32_t> item_counts = items_to_lease();
    if (item_counts.empty())
        return;
    const group_id group(1 + next_lease_group_++ % groups);
    schema::keeper_request request;
    request.set_group(static_cast<std::uint32_t>(group.value()));
    request.mutable_lease()->set_holder(control_.holder());
    request.mutable_lease()->set_number(++last_lease_request_);
    for (const std::pair<const service_id, std::uint32_t>& service : item_counts) {
        schema::lease_want* want = request.mutable_lease()->add_wants();
        want->set_service(service.first.str());
        want->set_limit(service.second);
    }
    groups_leasing_.insert(group);
    // Not resent, because a resend would lease additional items. If the reply is lost, the leader
    // takes the items back because this entry does not report them as held.
    control_.send_request(std::move(request), request_options{lease_timeout, false}, task_,
                          [this, group, now](const schema::keeper_reply& reply) {
                              groups_leasing_.erase(group);
                              on_lease_reply(reply, now);
                              if (reply.result() != schema::keeper_reply::done)
                                  report_held_items();
                          });
}

void batch_task::on_lease_reply(const schema::keeper_reply& reply, instant requested_at) {
    const instant now = monotonic_now();
    const bool expired = now - requested_at > lease_timeout;
    if (reply.work().leased_size() == 0 || expired) {
        // Pause after a round whose last group returned no items.
        if (next_lease_group_ % settings_.cluster().work_groups() == 0)
            next_lease_at_ = now + empty_round_delay;
        return;
    }
    std::map<std::string, std::size_t> items_per_job;
    for (const schema::leased_item& lease : reply.work().leased()) {
        ++items_per_job[lease.job()];
        const item_id id{job_id(lease.job()), lease.ordinal()};
        batch_item& item = items_[id];
        item = batch_item();
        item.lease = lease;
        item.service = service_id(lease.item().service());
        item.fingerprint = fingerprint_of(lease);
        item.for_engine = lease.item().url().compare(0, 13, "/v1/services/") != 0;
        enqueue(id, false);
        metrics_.count("items_leased");
    }
    // One decision for each job, not for each item: the items of a large job would displace all
    // other decisions from the bounded log.
    for (const std::pair<const std::string, std::size_t>& job : items_per_job)
        record_decision(decision_kind::item_leased, job.first, control_.holder(),
                        std::to_string(job.second) + " items, by fair share and deadline");
    place_items();
    request_leases();
}

// Tells each leader which items this entry holds, so that it takes back those whose lease reply was
// lost.
void batch_task::report_held_items() {
    std::map<group_id, schema::held_items> by_group;
    for (const std::pair<const group_id, instant>& contact : view_->leader_last_heard)
        by_group[contact.first].set_holder(control_.holder());
    const std::uint32_t groups = settings_.cluster().work_groups();
    const auto add = [&by_group, groups](const item_id& id) {
        schema::held_items& held = by_group[state::group_of_job(id.first, groups)];
        const int jobs = held.jobs_size();
        if (jobs == 0 || held.jobs(jobs - 1).job() != id.first.str())
            held.add_jobs()->set_job(id.first.str());
        held.mutable_jobs(held.jobs_size() - 1)->add_ordinals(id.second);
    };
    for (const std::pair<const item_id, batch_item>& known_item : items_)
        add(known_item.first);
    // An item is held until its group has confirmed its end.
    for (const auto& group : unconfirmed_ends_) {
        for (const std::pair<item_id, schema::item_end>& end : group.second)
            add(end.first);
    }
    // One request is open at a time.
    const std::uint64_t closed = last_lease_request_ - (groups_leasing_.empty() ? 0 : 1);
    for (std::pair<const group_id, schema::held_items>& group : by_group) {
        auto clock = view_->leader_clocks.find(group.first);
        if (clock == view_->leader_clocks.end())
            continue;
        group.second.set_keeper_clock_us(clock->second);
        group.second.set_closed_requests(closed);
        schema::keeper_request request;
        request.set_group(static_cast<std::uint32_t>(group.first.value()));
        *request.mutable_held() = std::move(group.second);
        // The reply is not used. With this timeout the request is forgotten at the next tick.
        control_.send_request(std::move(request), request_options{milliseconds(1), false}, task_,
                              [](const schema::keeper_reply&) {});
    }
}

void batch_task::end_item(const item_id& id, schema::item_end end) {
    auto found = items_.find(id);
    if (found == items_.end())
        return;
    if (end.status() == schema::failed || end.status() == schema::unknown)
        record_decision(decision_kind::item_ended, id.first.str(), end.endpoint(),
                        "item " + std::to_string(id.second) +
                            (end.status() == schema::failed ? " failed" : " may have run") +
                            ", status " + std::to_string(end.http_status()));
    end.set_job(id.first.str());
    end.set_ordinal(id.second);
    end.set_attempt(found->second.lease.attempt());
    const group_id group = state::group_of_job(id.first, settings_.cluster().work_groups());
    unconfirmed_ends_[group].emplace_back(id, std::move(end));
    items_.erase(found);
}

// Returns an item to its group without a result, so that any entry may lease it.
void batch_task::return_item(const item_id& id) {
    schema::item_end end;
    end.set_status(schema::pending);
    end_item(id, std::move(end));
}

// Returns items that have found no slot here for some time to their groups. Otherwise an item could
// wait until this entry ends: the only engine here that could run it may be gone permanently.
void batch_task::return_stranded_items() {
    const instant now = monotonic_now();
    std::vector<item_id> stranded;
    for (const std::pair<const item_id, batch_item>& known_item : items_) {
        if (!known_item.second.running && now - known_item.second.queued_since > max_queue_time)
            stranded.push_back(known_item.first);
    }
    for (const item_id& id : stranded) {
        metrics_.count("items_given_back");
        return_item(id);
    }
}

void batch_task::enqueue(const item_id& id, bool at_front) {
    batch_item& item = items_.at(id);
    item.queued_since = monotonic_now();
    std::deque<item_id>& queue = queues_[item.service];
    if (at_front)
        queue.push_front(id);
    else
        queue.push_back(id);
}

// Sends the ends of items to their groups, one request at a time for each group, until a majority
// has stored them. A duplicate has no effect, because the first one releases the lease it names.
void batch_task::send_item_ends() {
    for (auto& group : unconfirmed_ends_) {
        if (group.second.empty() || sending_ends_[group.first])
            continue;
        sending_ends_[group.first] = true;
        const std::size_t count = std::min(group.second.size(), max_ends_per_request);
        schema::keeper_request request;
        request.set_group(static_cast<std::uint32_t>(group.first.value()));
        schema::items_end* ends = request.mutable_work()->mutable_ends();
        ends->set_holder(control_.holder());
        ends->set_at(to_unix_ms(wall_now()));
        for (std::size_t i = 0; i < count; ++i)
            *ends->add_ends() = group.second[i].second;
        const group_id id = group.first;
        control_.send_request(std::move(request), request_options{item_end_timeout, true}, task_,
                              [this, id, count](const schema::keeper_reply& reply) {
                                  sending_ends_[id] = false;
                                  if (reply.result() != schema::keeper_reply::done)
                                      return;
                                  auto& unconfirmed = unconfirmed_ends_[id];
                                  unconfirmed.erase(unconfirmed.begin(),
                                                    unconfirmed.begin() +
                                                        static_cast<std::ptrdiff_t>(count));
                                  metrics_.count("items_ended", count);
                                  send_item_ends();
                              });
    }
}

} // namespace cassia::entry
