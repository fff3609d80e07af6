#include "cassia/keeper/work_leader.h"

#include "cassia/base/log.h"
#include "cassia/schema/messages.pb.h"

#include <algorithm>
#include <memory>
#include <utility>

namespace cassia::keeper {

namespace {
// How long the response to a cancellation waits for the gateways to stop the job's items. A gateway
// that doesn't hear the group's leader for 3 s starts no more items, so no item starts after the
// response even if that gateway couldn't be told.
constexpr milliseconds cancel_timeout(4000);
// A gateway ignores the reply to a lease request after 3 s. An item that it doesn't hold this long
// after the lease was applied has never reached it.
constexpr microseconds lease_reply_timeout = std::chrono::seconds(5);
constexpr milliseconds expiry_check_interval(30000);
constexpr milliseconds holder_retention(600000);
// Holders send heartbeats to each member of the group at this interval.
constexpr milliseconds heartbeat_interval(1000);
constexpr milliseconds unfinished_log_interval(5000);
// Items of jobs that have been open for this long are named in the log, the oldest jobs' first.
constexpr std::uint64_t long_open_ms = 15000;
constexpr std::size_t max_items_logged = 8;
} // namespace

work_leader::work_leader(const state::work_state& state, milliseconds holder_timeout,
                         work_leader_hooks hooks)
    : state_(state), holder_timeout_(holder_timeout), hooks_(std::move(hooks)) {}

void work_leader::set_leading(bool leading, instant now) {
    if (leading == leading_)
        return;
    leading_ = leading;
    role_changed_at_ = now;
    reject_lease_requests();
    holders_being_released_.clear();
    if (leading_)
        discount_own_silence(now);
    std::vector<pending_cancel> dropped = std::move(pending_cancels_);
    pending_cancels_.clear();
    for (const pending_cancel& cancel : dropped) {
        schema::keeper_reply response;
        response.set_result(schema::keeper_reply::unavailable);
        cancel.reply(std::move(response));
    }
}

// A member that received nothing for a while, as it was suspended or cut off, doesn't take holders
// for lost: only what they sent less than others counts.
void work_leader::discount_own_silence(instant now) {
    instant latest{};
    for (const std::pair<const std::string, instant>& holder : holders_last_seen_)
        latest = std::max(latest, holder.second);
    const microseconds own_silence = now - latest - heartbeat_interval;
    if (own_silence <= microseconds(0))
        return;
    for (std::pair<const std::string, instant>& holder : holders_last_seen_) {
        if (holder.second != instant())
            holder.second += own_silence;
    }
}

void work_leader::set_weight(const team_id& team, double weight) {
    schedule_.set_weight(team, weight);
}

void work_leader::on_lease_applied(const schema::keeper_reply& reply, instant now) {
    for (const schema::leased_item& item : reply.work().leased())
        granted_[{job_id(item.job()), item.ordinal()}] = {now, item.request(), item.attempt()};
}

// A holder that says which of its requests are closed has no need of clocks: what such a request
// was granted and the holder doesn't report is lost, or was ended and needs no lease.
bool work_leader::is_lost(const granted_lease& lease, const schema::held_items& held) {
    if (lease.request != 0 && lease.request <= held.closed_requests())
        return true;
    return lease.at + lease_reply_timeout <= from_us(held.keeper_clock_us());
}

// A gateway that never received the reply to its lease request doesn't know that it holds the
// items, and they would wait for as long as it is alive. So each gateway reports the items that it
// holds.
schema::stale_items work_leader::reconcile(const schema::held_items& held, instant now) {
    std::set<state::item_key> reported;
    for (const schema::held_job& job : held.jobs()) {
        for (const std::uint32_t ordinal : job.ordinals())
            reported.insert({job_id(job.job()), ordinal});
    }
    schema::work_command command;
    for (const state::item_key& key : state_.leases_of(held.holder())) {
        const std::uint32_t attempt = state_.jobs().at(key.first).items[key.second].attempts;
        granted_lease& lease = granted_[key];
        // A lease that isn't known was applied before this process started, or came in a snapshot.
        if (lease.attempt != attempt)
            lease = {now, 0, attempt};
        if (reported.count(key) > 0 || !is_lost(lease, held))
            continue;
        schema::item_end* end = command.mutable_ends()->add_ends();
        end->set_job(key.first.str());
        end->set_ordinal(key.second);
        end->set_attempt(attempt);
        end->set_status(schema::pending);
    }
    schema::stale_items stale = find_stale_items(held);
    if (!command.has_ends())
        return stale;
    log_info("unknown_leases_returned")
        .with("holder", held.holder())
        .with("closed_requests", held.closed_requests())
        .with("items", command.ends().ends_size());
    command.mutable_ends()->set_holder(held.holder());
    command.mutable_ends()->set_at(to_unix_ms(wall_now()));
    hooks_.propose(command, [](const schema::keeper_reply&) {});
    return stale;
}

// A gateway that was unresponsive for a while has lost its leases and may not know it. It would go
// on running the items even after their job ended, as that is announced to holders of leases only.
schema::stale_items work_leader::find_stale_items(const schema::held_items& held) const {
    schema::stale_items stale;
    const std::set<state::item_key> leased = state_.leases_of(held.holder());
    for (const schema::held_job& reported : held.jobs()) {
        schema::held_job stale_job;
        stale_job.set_job(reported.job());
        const job_id job_key(reported.job());
        auto job = state_.jobs().find(job_key);
        for (int i = 0; i < std::min(reported.ordinals_size(), reported.attempts_size()); ++i) {
            const std::uint32_t ordinal = reported.ordinals(i);
            const bool still_leased = leased.count({job_key, ordinal}) > 0 &&
                                      job->second.items[ordinal].attempts == reported.attempts(i);
            if (still_leased)
                continue;
            stale_job.add_ordinals(ordinal);
            stale_job.add_attempts(reported.attempts(i));
        }
        if (stale_job.ordinals_size() > 0)
            *stale.add_jobs() = std::move(stale_job);
    }
    return stale;
}

void work_leader::cancel(const schema::work_command& command, const reply_callback& reply,
                         instant now) {
    const job_id cancelled_job(command.cancel().job());
    hooks_.propose(command, [this, cancelled_job, reply, now](schema::keeper_reply response) {
        // A listed job keeps its results in the order in which items ended. Its callers see each
        // end there, so the response needn't wait for the items.
        auto found_job = state_.jobs().find(cancelled_job);
        const bool listed = found_job != state_.jobs().end() && found_job->second.listed;
        const bool must_wait = response.result() == schema::keeper_reply::done && !listed &&
                               response.work().job().status() == "cancelling";
        if (must_wait)
            pending_cancels_.push_back({cancelled_job, reply, now + cancel_timeout});
        else
            reply(std::move(response));
    });
}

// Responds to a cancellation once no gateway holds an item of the job any more, so that no item
// starts after the response.
void work_leader::respond_to_settled_cancels(instant now) {
    std::vector<pending_cancel> still_pending;
    for (pending_cancel& cancel : pending_cancels_) {
        auto job = state_.jobs().find(cancel.job);
        const bool settled = job == state_.jobs().end() || job->second.ended != 0;
        if (!settled && now < cancel.deadline) {
            still_pending.push_back(std::move(cancel));
            continue;
        }
        schema::keeper_reply response;
        if (job != state_.jobs().end())
            state::fill_job_view(job->second, *response.mutable_work()->mutable_job());
        cancel.reply(std::move(response));
    }
    pending_cancels_ = std::move(still_pending);
}

void work_leader::mark_holder_alive(const std::string& holder, instant now) {
    const bool is_new = holders_last_seen_.insert_or_assign(holder, now).second;
    if (!is_new)
        return;
    std::erase_if(holders_last_seen_, [this, now](const auto& known) {
        return now - known.second > holder_retention && state_.leases_of(known.first).empty();
    });
    // Any other incarnation of the same gateway is presumed to be an earlier process, now dead.
    const std::string gateway_prefix = holder.substr(0, holder.rfind('/') + 1);
    for (const std::string& other : state_.holders()) {
        const bool same_gateway =
            other != holder && other.compare(0, gateway_prefix.size(), gateway_prefix) == 0;
        if (same_gateway)
            holders_last_seen_[other] = instant();
    }
}

void work_leader::release_lost_holders(instant now) {
    for (const std::string& holder : state_.holders()) {
        auto seen = holders_last_seen_.find(holder);
        const instant last_seen =
            seen == holders_last_seen_.end() ? role_changed_at_ : seen->second;
        if (now - last_seen < holder_timeout_ || holders_being_released_.count(holder) > 0)
            continue;
        log_warning("holder_lost").with("holder", holder);
        holders_being_released_.insert(holder);
        schema::work_command command;
        command.mutable_lost()->set_holder(holder);
        command.mutable_lost()->set_at(to_unix_ms(wall_now()));
        hooks_.propose(command, [this, holder](const schema::keeper_reply&) {
            holders_being_released_.erase(holder);
        });
    }
}

void work_leader::log_unfinished(instant now, wall_time wall) {
    if (now < next_unfinished_log_)
        return;
    next_unfinished_log_ = now + unfinished_log_interval;
    std::size_t unleased = 0;
    std::size_t leased = 0;
    const state::batch_job* oldest = nullptr;
    for (const std::pair<const job_id, state::batch_job>& known : state_.jobs()) {
        const state::batch_job& job = known.second;
        if (job.ended != 0 || job.status == state::job_status::loading)
            continue;
        for (const std::deque<std::uint32_t>& queue : job.pending)
            unleased += queue.size();
        leased += job.counts.running;
        if (oldest == nullptr || job.created < oldest->created)
            oldest = &job;
    }
    const lease_counts counts = std::exchange(lease_counts_, {});
    if (oldest == nullptr)
        return;
    const std::uint64_t unix_ms = to_unix_ms(wall);
    log_info("items_unfinished")
        .with("unleased", unleased)
        .with("leased", leased)
        .with("oldest_job", oldest->id.str())
        .with("oldest_ms", unix_ms > oldest->created ? unix_ms - oldest->created : 0)
        .with("lease_requests", counts.requests)
        .with("items_wanted", counts.wanted)
        .with("items_granted", counts.granted)
        .with("requests_expired", counts.expired);
    log_oldest_items(unix_ms);
}

void work_leader::log_oldest_items(std::uint64_t unix_ms) const {
    std::vector<const state::batch_job*> open;
    for (const std::pair<const job_id, state::batch_job>& known : state_.jobs()) {
        const state::batch_job& job = known.second;
        if (job.ended == 0 && job.status != state::job_status::loading &&
            unix_ms > job.created + long_open_ms)
            open.push_back(&job);
    }
    std::sort(open.begin(), open.end(), [](const state::batch_job* a, const state::batch_job* b) {
        return a->created < b->created;
    });
    std::vector<state::item_key> oldest;
    for (const state::batch_job* job : open) {
        for (std::uint32_t i = 0; i < job->items.size() && oldest.size() < max_items_logged; ++i) {
            if (job->items[i].status == schema::pending || job->items[i].status == schema::leased)
                oldest.emplace_back(job->id, i);
        }
    }
    std::map<state::item_key, std::string> leased_to;
    for (const std::string& holder : state_.holders()) {
        for (const state::item_key& item : state_.leases_of(holder))
            leased_to[item] = holder;
    }
    const std::vector<std::string> ids = state_.custom_ids_of(oldest, hooks_.read_record);
    for (std::size_t i = 0; i < oldest.size(); ++i) {
        const state::batch_job& job = state_.jobs().at(oldest[i].first);
        log_info("item_unfinished")
            .with("item", ids[i])
            .with("job", job.id.str())
            .with("ordinal", oldest[i].second)
            .with("holder", leased_to[oldest[i]])
            .with("attempts", job.items[oldest[i].second].attempts)
            .with("age_ms", unix_ms - job.created);
    }
}

void work_leader::tick(instant now, wall_time wall) {
    if (!leading_)
        return;
    latest_time_ = now;
    respond_to_settled_cancels(now);
    release_lost_holders(now);
    log_unfinished(now, wall);
    if (now < next_expiry_check_)
        return;
    next_expiry_check_ = now + expiry_check_interval;
    std::erase_if(granted_, [this](const auto& lease) {
        return state_.jobs().count(lease.first.first) == 0;
    });
    std::erase_if(unreadable_until_, [now](const auto& item) { return now >= item.second; });
    if (!state_.has_expired(to_unix_ms(wall)))
        return;
    schema::work_command command;
    command.mutable_expire()->set_at(to_unix_ms(wall));
    hooks_.propose(command, [](const schema::keeper_reply&) {});
}

} // namespace cassia::keeper
