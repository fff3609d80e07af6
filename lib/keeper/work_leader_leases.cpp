// How a work group's leader grants leases.

#include "cassia/base/log.h"
#include "cassia/keeper/work_leader.h"

#include <algorithm>
#include <utility>

namespace cassia::keeper {

namespace {
// A gateway waits 2.5 s for the reply; the rest is for the way there and back.
constexpr milliseconds max_lease_turnaround(2300);
// An item whose record couldn't be read isn't leased again for this time.
constexpr milliseconds unreadable_pause(10000);
} // namespace

/// What one request gets in a round.
struct work_leader::lease_grant {
    std::vector<schema::work_command> commands; ///< one for each job
    schema::keeper_reply reply;                 ///< the merged replies to the commands
    std::size_t outstanding = 0;                ///< commands without a reply
    reply_callback send_reply;
};

/// Requests whose leases are committed together.
struct work_leader::lease_round {
    instant started_at{};
    std::vector<lease_grant> grants;
    std::size_t outstanding = 0; ///< grants without a reply
};

/// Items that can be leased, in the order in which they are to be granted.
struct work_leader::available_items {
    std::vector<state::item_key> items;
    std::size_t next = 0;
};

void work_leader::lease(const schema::lease_request& request, reply_callback reply, instant now) {
    latest_time_ = now;
    mark_holder_alive(request.holder(), now);
    ++lease_counts_.requests;
    for (const schema::lease_want& want : request.wants())
        lease_counts_.wanted += want.limit();
    lease_queue_.push_back({request, std::move(reply), now});
    serve_lease_requests();
}

// A request must not choose items that an earlier one has chosen but that are not committed as
// leased yet. So the requests that arrive during a commit wait for its end, and then share the next
// one: the time that a request waits does not grow with the number of gateways.
void work_leader::serve_lease_requests() {
    while (lease_round_ == nullptr && !lease_queue_.empty())
        start_lease_round(take_waiting_requests());
}

// The next commit will take about as long as the last one. Items must not be leased to a gateway
// that will have stopped waiting by then: they would not run until the lease is taken back.
std::vector<work_leader::queued_lease> work_leader::take_waiting_requests() {
    const microseconds max_wait = max_lease_turnaround - last_round_duration_;
    std::vector<queued_lease> requests = std::exchange(lease_queue_, {});
    const auto expired = std::stable_partition(
        requests.begin(), requests.end(), [this, max_wait](const queued_lease& queued) {
            const microseconds waited = latest_time_ - queued.arrived_at;
            return waited == microseconds(0) || waited < max_wait;
        });
    lease_counts_.expired += static_cast<std::uint64_t>(requests.end() - expired);
    if (expired != requests.end())
        log_warning("lease_requests_expired").with("requests", requests.end() - expired);
    for (auto request = expired; request != requests.end(); ++request) {
        schema::keeper_reply response;
        response.set_result(schema::keeper_reply::unavailable);
        request->reply(std::move(response));
    }
    requests.erase(expired, requests.end());
    return requests;
}

std::uint32_t work_leader::count_readable(const job_id& job,
                                          const std::deque<std::uint32_t>& ordinals) const {
    if (unreadable_until_.empty())
        return static_cast<std::uint32_t>(ordinals.size());
    return static_cast<std::uint32_t>(
        std::count_if(ordinals.begin(), ordinals.end(), [this, &job](std::uint32_t ordinal) {
            return is_readable({job, ordinal});
        }));
}

std::vector<policy::job_candidate> work_leader::find_candidates(const std::string& service) const {
    std::vector<policy::job_candidate> candidates;
    for (const std::pair<const job_id, state::batch_job>& known_job : state_.jobs()) {
        const state::batch_job& job = known_job.second;
        const bool open =
            job.status == state::job_status::queued || job.status == state::job_status::running;
        if (!open)
            continue;
        for (std::size_t i = 0; i < job.services.size(); ++i) {
            // Most jobs have no items to lease, so that is checked before the name is compared.
            if (job.pending[i].empty() || job.services[i] != service)
                continue;
            const std::uint32_t waiting = count_readable(job.id, job.pending[i]);
            if (waiting > 0)
                candidates.push_back({job.id, job.team, job.deadline, job.created, waiting});
        }
    }
    return candidates;
}

bool work_leader::is_readable(const state::item_key& item) const {
    auto found = unreadable_until_.find(item);
    return found == unreadable_until_.end() || latest_time_ >= found->second;
}

work_leader::available_items work_leader::choose_items(const std::string& service,
                                                       std::uint32_t limit) {
    available_items available;
    const std::vector<policy::lease_choice> choices =
        schedule_.choose(find_candidates(service), limit, to_unix_ms(wall_now()));
    for (const policy::lease_choice& choice : choices) {
        const state::batch_job& job = state_.jobs().at(choice.job);
        const auto found = std::find(job.services.begin(), job.services.end(), service);
        const std::deque<std::uint32_t>& unleased = job.pending[found - job.services.begin()];
        std::uint32_t left = choice.items;
        for (auto ordinal = unleased.begin(); left > 0 && ordinal != unleased.end(); ++ordinal) {
            if (!is_readable({choice.job, *ordinal}))
                continue;
            available.items.emplace_back(choice.job, *ordinal);
            --left;
        }
    }
    return available;
}

static void add_lease(std::vector<schema::work_command>& commands,
                      const schema::lease_request& request, const state::item_key& key) {
    if (commands.empty() || commands.back().lease().job() != key.first.str()) {
        schema::item_lease* lease = commands.emplace_back().mutable_lease();
        lease->set_job(key.first.str());
        lease->set_holder(request.holder());
        lease->set_request(request.number());
    }
    commands.back().mutable_lease()->add_ordinals(key.second);
}

// Nobody leases such items by the name of their route. A holder whose table is older than the one
// that a job was accepted by may not know the route yet.
void work_leader::add_unrouted(const schema::lease_request& request,
                               std::set<state::item_key>& chosen,
                               std::vector<schema::work_command>& commands) const {
    const schema::unrouted_want& want = request.unrouted();
    const std::set<std::string> known(want.known().begin(), want.known().end());
    std::uint32_t left = want.limit();
    for (const std::pair<const job_id, state::batch_job>& known_job : state_.jobs()) {
        const state::batch_job& job = known_job.second;
        const bool open =
            job.status == state::job_status::queued || job.status == state::job_status::running;
        if (!open || job.route.empty() || job.routes_version > want.routes_version())
            continue;
        for (std::size_t i = 0; i < job.services.size(); ++i) {
            if (job.pending[i].empty() || known.count(job.services[i]) > 0)
                continue;
            for (const std::uint32_t ordinal : job.pending[i]) {
                if (left == 0)
                    return;
                const state::item_key key{job.id, ordinal};
                if (!is_readable(key) || !chosen.insert(key).second)
                    continue;
                add_lease(commands, request, key);
                --left;
            }
        }
    }
}

void work_leader::start_lease_round(std::vector<queued_lease> requests) {
    std::map<std::string, std::uint32_t> limits;
    for (const queued_lease& queued : requests) {
        for (const schema::lease_want& want : queued.request.wants())
            limits[want.service()] += want.limit();
    }
    std::map<std::string, available_items> available;
    for (const std::pair<const std::string, std::uint32_t>& limit : limits)
        available[limit.first] = choose_items(limit.first, limit.second);
    const std::shared_ptr<lease_round> round = std::make_shared<lease_round>();
    std::set<state::item_key> unrouted;
    for (queued_lease& queued : requests) {
        lease_grant grant;
        for (const schema::lease_want& want : queued.request.wants()) {
            available_items& items = available.at(want.service());
            for (std::uint32_t i = 0; i < want.limit() && items.next < items.items.size(); ++i)
                add_lease(grant.commands, queued.request, items.items[items.next++]);
        }
        if (queued.request.has_unrouted())
            add_unrouted(queued.request, unrouted, grant.commands);
        grant.reply.mutable_work();
        grant.outstanding = grant.commands.size();
        grant.send_reply = std::move(queued.reply);
        if (grant.commands.empty())
            grant.send_reply(std::move(grant.reply));
        else
            round->grants.push_back(std::move(grant));
    }
    if (round->grants.empty())
        return;
    round->started_at = latest_time_;
    round->outstanding = round->grants.size();
    lease_round_ = round;
    for (lease_grant& grant : round->grants) {
        const std::vector<schema::work_command> commands = std::exchange(grant.commands, {});
        for (const schema::work_command& command : commands)
            hooks_.propose(command, [this, round, &grant](const schema::keeper_reply& reply) {
                finish_command(round, grant, reply);
            });
    }
}

void work_leader::finish_command(const std::shared_ptr<lease_round>& round, lease_grant& grant,
                                 const schema::keeper_reply& reply) {
    if (reply.result() != schema::keeper_reply::done)
        grant.reply.set_result(reply.result());
    grant.reply.mutable_work()->MergeFrom(reply.work());
    if (--grant.outstanding > 0)
        return;
    // Items without their bodies can't be run. The holder doesn't know of their leases, and each
    // further lease would cost a commit.
    for (const state::item_key& key :
         state_.fill_leased_items(*grant.reply.mutable_work(), hooks_.read_record)) {
        log_error("item_unreadable").with("job", key.first.str()).with("ordinal", key.second);
        unreadable_until_[key] = latest_time_ + unreadable_pause;
    }
    lease_counts_.granted += static_cast<std::uint64_t>(grant.reply.work().leased_size());
    grant.send_reply(std::move(grant.reply));
    if (--round->outstanding > 0 || round != lease_round_)
        return;
    lease_round_.reset();
    last_round_duration_ = latest_time_ - round->started_at;
    serve_lease_requests();
}

void work_leader::reject_lease_requests() {
    lease_round_.reset();
    last_round_duration_ = microseconds(0);
    const std::vector<queued_lease> rejected = std::exchange(lease_queue_, {});
    for (const queued_lease& queued : rejected) {
        schema::keeper_reply response;
        response.set_result(schema::keeper_reply::unavailable);
        queued.reply(std::move(response));
    }
}

} // namespace cassia::keeper
