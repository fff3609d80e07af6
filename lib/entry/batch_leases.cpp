// Leases of batch items from the work groups' leaders, and how items end there.

#include "cassia/entry/batch_task.h"

#include "cassia/base/digest.h"
#include "cassia/base/log.h"
#include "cassia/state/sharding.h"

#include <algorithm>
#include <utility>

namespace cassia::entry {

namespace {
// The leader takes back what an entry doesn't know of after 5 s; a reply later than this is
// dropped, so that both never count on the same item.
constexpr milliseconds lease_patience(3000);
constexpr milliseconds idle_pause(100);
constexpr std::size_t most_ends_at_once = 256;
constexpr milliseconds end_patience(20000);
constexpr milliseconds longest_wait(1500);
} // namespace

static cassia::fingerprint print_of(const schema::leased_item& lease) {
    return cassia::fingerprint(sha256_hex(lease.team() + "\nPOST\n" + lease.item().url() + "\n" +
                                          canonical_body(lease.item().body())));
}

// As many as could run now, and as many again, so that a slot that gets free finds an item ready.
std::map<service_id, std::uint32_t> batch_task::wanted_items() const {
    std::map<service_id, std::uint32_t> wanted;
    const instant now = monotonic_now();
    if (draining_ || view_->stale || items_.size() >= settings_.batch_window())
        return wanted;
    for (const policy::endpoint_facts& facts : view_->endpoints) {
        auto at = seats_.find(facts.id);
        const bool free =
            at != seats_.end() && at->second.offer.slots > 0 && now >= at->second.paused_until;
        if (!free)
            continue;
        if (!facts.engine) {
            wanted[facts.service] += 2 * at->second.offer.slots;
            continue;
        }
        for (const std::pair<const service_id, policy::served_model>& model : facts.models)
            wanted[model.first] += 2 * at->second.offer.slots;
    }
    std::map<service_id, std::uint32_t> held;
    for (const std::pair<const item_id, item>& one : items_)
        ++held[one.second.service];
    const std::size_t room = settings_.batch_window() - items_.size();
    for (auto one = wanted.begin(); one != wanted.end();) {
        const std::uint32_t have = held[one->first];
        one->second = one->second > have ? one->second - have : 0;
        one->second = static_cast<std::uint32_t>(std::min<std::size_t>(one->second, room));
        one = one->second == 0 ? wanted.erase(one) : std::next(one);
    }
    return wanted;
}

// One group at a time, in turn: each holds some of the jobs, and an entry wants few items.
void batch_task::request_leases() {
    const instant now = monotonic_now();
    const std::uint32_t groups = settings_.cluster().work_groups();
    if (!leasing_.empty() || now < next_lease_at_)
        return;
    const std::map<service_id, std::uint32_t> wanted = wanted_items();
    if (wanted.empty())
        return;
    const group_id group(1 + next_group_++ % groups);
    schema::keeper_request request;
    request.set_group(static_cast<std::uint32_t>(group.value()));
    request.mutable_lease()->set_holder(control_.holder());
    for (const std::pair<const service_id, std::uint32_t>& one : wanted) {
        schema::lease_want* want = request.mutable_lease()->add_wants();
        want->set_service(one.first.str());
        want->set_limit(one.second);
    }
    leasing_.insert(group);
    // Never resent: a lease whose reply is lost goes back to the leader by what this entry says it
    // holds, while a resend would lease further items.
    control_.send_request(std::move(request), request_options{lease_patience, false}, task_,
                          [this, group, now](const schema::keeper_reply& reply) {
                              leasing_.erase(group);
                              on_leased(reply, now);
                          });
}

void batch_task::on_leased(const schema::keeper_reply& reply, instant asked_at) {
    const instant now = monotonic_now();
    const bool late = now - asked_at > lease_patience;
    if (reply.work().leased_size() == 0 || late) {
        // After a round over all groups without an item, the next waits a little.
        if (next_group_ % settings_.cluster().work_groups() == 0)
            next_lease_at_ = now + idle_pause;
        return;
    }
    std::map<std::string, std::size_t> leased;
    for (const schema::leased_item& lease : reply.work().leased()) {
        ++leased[lease.job()];
        const item_id id{job_id(lease.job()), lease.ordinal()};
        item& one = items_[id];
        one = item();
        one.lease = lease;
        one.service = service_id(lease.item().service());
        one.print = print_of(lease);
        one.engine = lease.item().url().compare(0, 13, "/v1/services/") != 0;
        make_ready(id, false);
        metrics_.count("items_leased");
    }
    // A line a lease and not an item: a large job would push everything else out of the memory.
    for (const std::pair<const std::string, std::size_t>& job : leased)
        explain(decision_kind::item_leased, job.first, control_.holder(),
                std::to_string(job.second) + " items, by fair share and deadline");
    place_items();
    request_leases();
}

// What this entry holds, so that a leader takes back items whose lease reply got lost.
void batch_task::tell_held() {
    std::map<group_id, schema::held_items> by_group;
    for (const std::pair<const group_id, instant>& leader : view_->leader_last_heard)
        by_group[leader.first].set_holder(control_.holder());
    const std::uint32_t groups = settings_.cluster().work_groups();
    const auto add = [&by_group, groups](const item_id& id) {
        schema::held_items& held = by_group[state::group_of_job(id.first, groups)];
        const int jobs = held.jobs_size();
        if (jobs == 0 || held.jobs(jobs - 1).job() != id.first.str())
            held.add_jobs()->set_job(id.first.str());
        held.mutable_jobs(held.jobs_size() - 1)->add_ordinals(id.second);
    };
    for (const std::pair<const item_id, item>& one : items_)
        add(one.first);
    // Items whose end is on its way are held too.
    for (const auto& group : ends_) {
        for (const std::pair<item_id, schema::item_end>& end : group.second)
            add(end.first);
    }
    for (std::pair<const group_id, schema::held_items>& one : by_group) {
        auto clock = view_->leader_clocks.find(one.first);
        if (clock == view_->leader_clocks.end())
            continue;
        one.second.set_keeper_clock_us(clock->second);
        schema::keeper_request request;
        request.set_group(static_cast<std::uint32_t>(one.first.value()));
        *request.mutable_held() = std::move(one.second);
        control_.send_request(std::move(request), request_options{milliseconds(1), false}, task_,
                              [](const schema::keeper_reply&) {});
    }
}

void batch_task::end_item(const item_id& id, schema::item_end end) {
    auto found = items_.find(id);
    if (found == items_.end())
        return;
    if (end.status() == schema::failed || end.status() == schema::unknown)
        explain(decision_kind::item_ended, id.first.str(), end.endpoint(),
                "item " + std::to_string(id.second) +
                    (end.status() == schema::failed ? " failed" : " may have run") + ", status " +
                    std::to_string(end.http_status()));
    end.set_job(id.first.str());
    end.set_ordinal(id.second);
    end.set_attempt(found->second.lease.attempt());
    const group_id group = state::group_of_job(id.first, settings_.cluster().work_groups());
    ends_[group].emplace_back(id, std::move(end));
    items_.erase(found);
}

// Given back unrun: the item waits again, for any entry.
void batch_task::give_back(const item_id& id) {
    schema::item_end end;
    end.set_status(schema::pending);
    end_item(id, std::move(end));
}

// An item that finds no slot here goes back to its group, where any entry may take it. Kept, it
// would wait for as long as this entry lives: the only engine it could run on may be gone for good.
void batch_task::give_back_stranded() {
    const instant now = monotonic_now();
    std::vector<item_id> stranded;
    for (const std::pair<const item_id, item>& one : items_) {
        if (!one.second.running && now - one.second.ready_since > longest_wait)
            stranded.push_back(one.first);
    }
    for (const item_id& id : stranded) {
        metrics_.count("items_given_back");
        give_back(id);
    }
}

void batch_task::make_ready(const item_id& id, bool first) {
    item& one = items_.at(id);
    one.ready_since = monotonic_now();
    std::deque<item_id>& queue = ready_[one.service];
    if (first)
        queue.push_front(id);
    else
        queue.push_back(id);
}

// Ends are sent until a majority has them, a batch at a time for each group. Sent twice they count
// once: the lease that they name is gone after the first.
void batch_task::flush_ends() {
    for (auto& group : ends_) {
        if (group.second.empty() || flushing_[group.first])
            continue;
        flushing_[group.first] = true;
        const std::size_t count = std::min(group.second.size(), most_ends_at_once);
        schema::keeper_request request;
        request.set_group(static_cast<std::uint32_t>(group.first.value()));
        schema::items_end* ends = request.mutable_work()->mutable_ends();
        ends->set_holder(control_.holder());
        ends->set_at(to_unix_ms(wall_now()));
        for (std::size_t i = 0; i < count; ++i)
            *ends->add_ends() = group.second[i].second;
        const group_id id = group.first;
        control_.send_request(std::move(request), request_options{end_patience, true}, task_,
                              [this, id, count](const schema::keeper_reply& reply) {
                                  flushing_[id] = false;
                                  if (reply.result() != schema::keeper_reply::done)
                                      return;
                                  auto& list = ends_[id];
                                  list.erase(list.begin(),
                                             list.begin() + static_cast<std::ptrdiff_t>(count));
                                  metrics_.count("items_ended", count);
                                  flush_ends();
                              });
    }
}

} // namespace cassia::entry
