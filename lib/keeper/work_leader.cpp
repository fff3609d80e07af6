#include "cassia/keeper/work_leader.h"

#include "cassia/base/log.h"
#include "cassia/schema/messages.pb.h"

#include <algorithm>
#include <memory>
#include <utility>

namespace cassia::keeper {

namespace {
// How long the answer to a cancellation waits for the entries to stop. An entry that hears nothing
// from the group's leader for less than this starts no item, so the promise holds either way.
constexpr milliseconds cancel_patience(4000);
// An entry drops the reply to a lease request after 3 s; what it doesn't hold this long after the
// lease was committed, it never got.
constexpr microseconds lease_reply_limit = std::chrono::seconds(5);
constexpr milliseconds expiry_interval(30000);
} // namespace

work_leader::work_leader(const state::work_state& state, milliseconds holder_timeout,
                         work_leader_hooks hooks)
    : state_(state), holder_timeout_(holder_timeout), hooks_(std::move(hooks)) {}

void work_leader::lead(bool leads, instant now) {
    if (leads == leads_)
        return;
    leads_ = leads;
    led_since_ = now;
    lease_queue_.clear();
    leasing_ = false;
    holders_seen_.clear();
    holders_released_.clear();
    std::vector<waiting_cancel> cancels = std::move(cancels_);
    cancels_.clear();
    for (const waiting_cancel& one : cancels) {
        schema::keeper_reply lost;
        lost.set_result(schema::keeper_reply::unavailable);
        one.reply(std::move(lost));
    }
}

void work_leader::set_weight(const team_id& team, double weight) {
    schedule_.set_weight(team, weight);
}

// One lease is decided at a time: the next choice must not see items as free that the one before
// has chosen and not yet committed.
void work_leader::lease(const schema::lease_request& request, reply_function reply, instant now) {
    holder_seen(request.holder(), now);
    std::shared_ptr<schema::lease_request> copy = std::make_shared<schema::lease_request>(request);
    lease_queue_.emplace_back(
        [this, copy, reply = std::move(reply)] { propose_leases(*copy, reply); });
    if (!leasing_)
        serve_next_lease();
}

void work_leader::serve_next_lease() {
    leasing_ = !lease_queue_.empty();
    if (!leasing_)
        return;
    const std::function<void()> next = std::move(lease_queue_.front());
    lease_queue_.pop_front();
    next();
}

std::vector<policy::job_candidate> work_leader::candidates(const std::string& service) const {
    std::vector<policy::job_candidate> found;
    for (const std::pair<const job_id, state::batch_job>& one : state_.jobs()) {
        const state::batch_job& job = one.second;
        const bool open =
            job.status == state::job_status::queued || job.status == state::job_status::running;
        if (!open)
            continue;
        auto place = std::find(job.services.begin(), job.services.end(), service);
        if (place == job.services.end())
            continue;
        const std::size_t waiting = job.pending[place - job.services.begin()].size();
        if (waiting > 0)
            found.push_back(
                {job.id, job.team, job.deadline, job.created, static_cast<std::uint32_t>(waiting)});
    }
    return found;
}

void work_leader::propose_leases(const schema::lease_request& request,
                                 const reply_function& reply) {
    schema::work_command command;
    std::vector<schema::work_command> commands;
    for (const schema::lease_want& want : request.wants()) {
        const std::vector<policy::lease_choice> choices =
            schedule_.choose(candidates(want.service()), want.limit(), to_unix_ms(wall_now()));
        for (const policy::lease_choice& choice : choices) {
            const state::batch_job& job = state_.jobs().at(choice.job);
            auto place = std::find(job.services.begin(), job.services.end(), want.service());
            const std::deque<std::uint32_t>& queue = job.pending[place - job.services.begin()];
            schema::item_lease* lease = command.mutable_lease();
            lease->Clear();
            lease->set_job(choice.job.str());
            lease->set_holder(request.holder());
            for (std::uint32_t i = 0; i < choice.items; ++i)
                lease->add_ordinals(queue[i]);
            commands.push_back(command);
        }
    }
    // The replies of all commands are gathered into one.
    std::shared_ptr<schema::keeper_reply> gathered = std::make_shared<schema::keeper_reply>();
    gathered->mutable_work();
    std::shared_ptr<std::size_t> open = std::make_shared<std::size_t>(commands.size());
    if (commands.empty()) {
        reply(*gathered);
        serve_next_lease();
        return;
    }
    for (const schema::work_command& one : commands) {
        hooks_.propose(one, [this, gathered, open, reply](const schema::keeper_reply& part) {
            if (part.result() != schema::keeper_reply::done)
                gathered->set_result(part.result());
            gathered->mutable_work()->MergeFrom(part.work());
            if (--*open > 0)
                return;
            const state::result<void> filled =
                state_.fill_leased_items(*gathered->mutable_work(), hooks_.read);
            if (!filled) {
                log_error("lease_failed").with("cause", filled.error().text);
                gathered->set_result(schema::keeper_reply::unavailable);
            }
            reply(std::move(*gathered));
            serve_next_lease();
        });
    }
}

void work_leader::leased(const schema::keeper_reply& reply, instant now) {
    for (const schema::leased_item& item : reply.work().leased())
        leased_at_[{job_id(item.job()), item.ordinal()}] = now;
}

// An entry that never got the reply to its lease request doesn't know that it holds the items, and
// they would wait for as long as it lives. So each entry tells what it holds.
schema::stale_items work_leader::reconcile(const schema::held_items& held, instant now) {
    std::set<state::item_key> known;
    for (const schema::held_job& job : held.jobs()) {
        for (const std::uint32_t ordinal : job.ordinals())
            known.insert({job_id(job.job()), ordinal});
    }
    schema::work_command command;
    const instant said_at = from_us(held.keeper_clock_us());
    for (const state::item_key& key : state_.leases_of(held.holder())) {
        // Leases whose time this process doesn't know were there before it started.
        instant& leased = leased_at_.try_emplace(key, now).first->second;
        if (known.count(key) > 0 || leased + lease_reply_limit > said_at)
            continue;
        schema::item_end* end = command.mutable_ends()->add_ends();
        end->set_job(key.first.str());
        end->set_ordinal(key.second);
        end->set_attempt(state_.jobs().at(key.first).items[key.second].attempts);
        end->set_status(schema::pending);
    }
    schema::stale_items stale = stale_of(held);
    if (!command.has_ends())
        return stale;
    log_info("unknown_leases_returned")
        .with("holder", held.holder())
        .with("items", command.ends().ends_size());
    command.mutable_ends()->set_holder(held.holder());
    command.mutable_ends()->set_at(to_unix_ms(wall_now()));
    hooks_.propose(command, [](const schema::keeper_reply&) {});
    return stale;
}

// An entry that was silent for a while has lost its leases and may not know it. It would run its
// items on, also after their job was ended: the end is told to those that have leases.
schema::stale_items work_leader::stale_of(const schema::held_items& held) const {
    schema::stale_items stale;
    const std::set<state::item_key> leased = state_.leases_of(held.holder());
    for (const schema::held_job& told : held.jobs()) {
        schema::held_job lost;
        lost.set_job(told.job());
        const job_id id(told.job());
        auto job = state_.jobs().find(id);
        for (int i = 0; i < std::min(told.ordinals_size(), told.attempts_size()); ++i) {
            const std::uint32_t ordinal = told.ordinals(i);
            const bool same = leased.count({id, ordinal}) > 0 &&
                              job->second.items[ordinal].attempts == told.attempts(i);
            if (same)
                continue;
            lost.add_ordinals(ordinal);
            lost.add_attempts(told.attempts(i));
        }
        if (lost.ordinals_size() > 0)
            *stale.add_jobs() = std::move(lost);
    }
    return stale;
}

void work_leader::cancel(const schema::work_command& command, const reply_function& reply,
                         instant now) {
    const job_id job(command.cancel().job());
    hooks_.propose(command, [this, job, reply, now](schema::keeper_reply answer) {
        // Callers of a listed job learn of each item from its list, so they needn't wait.
        auto found = state_.jobs().find(job);
        const bool listed = found != state_.jobs().end() && found->second.listed;
        const bool stopping = answer.result() == schema::keeper_reply::done && !listed &&
                              answer.work().job().status() == "cancelling";
        if (stopping)
            cancels_.push_back({job, reply, now + cancel_patience});
        else
            reply(std::move(answer));
    });
}

// A cancellation is answered once no entry holds an item of the job any more: after the answer
// nothing of it starts.
void work_leader::answer_cancels(instant now) {
    std::vector<waiting_cancel> waiting;
    for (waiting_cancel& one : cancels_) {
        auto job = state_.jobs().find(one.job);
        const bool settled = job == state_.jobs().end() || job->second.ended != 0;
        if (!settled && now < one.until) {
            waiting.push_back(std::move(one));
            continue;
        }
        schema::keeper_reply answer;
        if (job != state_.jobs().end())
            state::fill_job_view(job->second, *answer.mutable_work()->mutable_job());
        one.reply(std::move(answer));
    }
    cancels_ = std::move(waiting);
}

void work_leader::holder_seen(const std::string& holder, instant now) {
    holders_seen_[holder] = now;
    // An older incarnation of the same entry is certainly gone.
    const std::string name = holder.substr(0, holder.rfind('/') + 1);
    for (const std::string& other : state_.holders()) {
        const bool older = other != holder && other.compare(0, name.size(), name) == 0;
        if (older)
            holders_seen_[other] = instant();
    }
}

void work_leader::release_lost_holders(instant now) {
    for (const std::string& holder : state_.holders()) {
        auto seen = holders_seen_.find(holder);
        const instant last = seen == holders_seen_.end() ? led_since_ : seen->second;
        if (now - last < holder_timeout_ || holders_released_.count(holder) > 0)
            continue;
        log_warning("holder_lost").with("holder", holder);
        holders_released_.insert(holder);
        schema::work_command command;
        command.mutable_lost()->set_holder(holder);
        command.mutable_lost()->set_at(to_unix_ms(wall_now()));
        hooks_.propose(command, [this, holder](const schema::keeper_reply&) {
            holders_released_.erase(holder);
        });
    }
}

void work_leader::tick(instant now, wall_time wall) {
    if (!leads_)
        return;
    answer_cancels(now);
    release_lost_holders(now);
    if (now < next_expiry_)
        return;
    next_expiry_ = now + expiry_interval;
    for (auto one = leased_at_.begin(); one != leased_at_.end();)
        one = state_.jobs().count(one->first.first) == 0 ? leased_at_.erase(one) : std::next(one);
    if (!state_.has_expired(to_unix_ms(wall)))
        return;
    schema::work_command command;
    command.mutable_expire()->set_at(to_unix_ms(wall));
    hooks_.propose(command, [](const schema::keeper_reply&) {});
}

} // namespace cassia::keeper
