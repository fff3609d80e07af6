// How commands change jobs and items.

#include "cassia/base/digest.h"
#include "cassia/schema/messages.pb.h"
#include "cassia/state/work_state.h"

#include <algorithm>

namespace cassia::state {

namespace {
constexpr std::uint8_t strikes_until_failed = 2;
constexpr std::uint16_t most_attempts_counted = 65535;
} // namespace

static bool is_open(const batch_job& job) {
    return job.status == job_status::queued || job.status == job_status::running;
}

static schema::work_reply missing(const std::string& what) {
    schema::work_reply reply;
    reply.set_result(schema::work_reply::missing);
    reply.set_detail(what);
    return reply;
}

static schema::work_reply view_of(const batch_job& job) {
    schema::work_reply reply;
    fill_job_view(job, *reply.mutable_job());
    return reply;
}

schema::work_reply work_state::begin_job(const schema::job_begin& begin) {
    const job_id id(begin.job());
    auto found = jobs_.find(id);
    if (found != jobs_.end() && found->second.status != job_status::loading) {
        schema::work_reply reply = view_of(found->second);
        const bool same = found->second.fingerprint == begin.fingerprint();
        reply.set_result(same ? schema::work_reply::replay : schema::work_reply::key_reused);
        return reply;
    }
    // A submission that broke off before its commit starts anew.
    batch_job job;
    job.id = id;
    job.team = team_id(begin.team());
    job.host = begin.host();
    job.has_team = begin.has_team();
    job.fingerprint = begin.fingerprint();
    job.deadline = begin.deadline();
    job.created = begin.at();
    job.retention_ms = begin.retention_ms();
    job.route = begin.route();
    job.abandon_at = begin.abandon_at();
    job.max_failures = begin.max_failures();
    job.listed = begin.listed();
    job.items.resize(begin.total());
    schema::work_reply reply = view_of(job);
    jobs_[id] = std::move(job);
    return reply;
}

static std::uint16_t service_place(batch_job& job, const std::string& service) {
    auto found = std::find(job.services.begin(), job.services.end(), service);
    if (found == job.services.end()) {
        job.services.push_back(service);
        job.pending.emplace_back();
        found = job.services.end() - 1;
    }
    return static_cast<std::uint16_t>(found - job.services.begin());
}

schema::work_reply work_state::add_items(const schema::job_items& added,
                                         const storage::position& at) {
    auto found = jobs_.find(job_id(added.job()));
    if (found == jobs_.end())
        return missing("job");
    batch_job& job = found->second;
    const std::size_t end = added.first() + static_cast<std::size_t>(added.items_size());
    // A resent part, or one that two entries sent for the same job, adds nothing.
    if (job.status != job_status::loading || added.first() != job.loaded || end > job.items.size())
        return view_of(job);
    for (int i = 0; i < added.items_size(); ++i) {
        const std::uint32_t ordinal = added.first() + static_cast<std::uint32_t>(i);
        batch_item& item = job.items[ordinal];
        item.body = at;
        item.body_ordinal = static_cast<std::uint32_t>(i);
        item.repeatable = added.items(i).repeatable();
        item.custom_hash = stable_hash(added.items(i).custom_id());
        item.service = service_place(job, added.items(i).service());
        item.tokens = added.items(i).tokens();
        job.waiting_tokens += item.tokens;
    }
    job.loaded = static_cast<std::uint32_t>(end);
    return view_of(job);
}

schema::work_reply work_state::commit_job(const schema::job_commit& commit) {
    auto found = jobs_.find(job_id(commit.job()));
    if (found == jobs_.end())
        return missing("job");
    batch_job& job = found->second;
    if (job.status != job_status::loading)
        return view_of(job);
    if (job.loaded != job.items.size())
        return missing("items");
    job.status = job_status::queued;
    for (std::uint32_t ordinal = 0; ordinal < job.items.size(); ++ordinal)
        job.pending[job.items[ordinal].service].push_back(ordinal);
    settle(job, commit.at());
    return view_of(job);
}

std::uint64_t work_state::waiting_tokens(const std::string& route, const team_id& team) const {
    std::uint64_t sum = 0;
    for (const std::pair<const job_id, batch_job>& one : jobs_) {
        if (one.second.route == route && one.second.team == team && is_open(one.second))
            sum += one.second.waiting_tokens;
    }
    return sum;
}

// Checked where the job is committed: counts that entries keep would let several of them fill the
// same room at once.
schema::work_reply work_state::submit_job(const schema::job_submit& submit,
                                          const storage::position& at) {
    const schema::job_begin& begin = submit.begin();
    auto found = jobs_.find(job_id(begin.job()));
    const bool known = found != jobs_.end() && found->second.status != job_status::loading;
    std::uint64_t tokens = 0;
    for (const schema::item_body& item : submit.items().items())
        tokens += item.tokens();
    const bool fits =
        begin.max_waiting_tokens() == 0 ||
        waiting_tokens(begin.route(), team_id(begin.team())) + tokens <= begin.max_waiting_tokens();
    if (!known && !fits) {
        schema::work_reply refused;
        refused.set_result(schema::work_reply::over_quota);
        return refused;
    }
    schema::work_reply reply = begin_job(begin);
    if (known)
        return reply;
    add_items(submit.items(), at);
    schema::job_commit commit;
    commit.set_job(begin.job());
    commit.set_at(begin.at());
    return commit_job(commit);
}

schema::work_reply work_state::cancel_job(const schema::job_cancel& cancel) {
    auto found = jobs_.find(job_id(cancel.job()));
    const bool known = found != jobs_.end() && found->second.status != job_status::loading &&
                       found->second.team.str() == cancel.team();
    if (!known)
        return missing("job");
    batch_job& job = found->second;
    if (!is_open(job)) {
        schema::work_reply reply = view_of(job);
        const bool cancelled =
            job.status == job_status::cancelling || job.status == job_status::cancelled;
        reply.set_result(cancelled ? schema::work_reply::done : schema::work_reply::already_ended);
        return reply;
    }
    job.status = job_status::cancelling;
    for (std::deque<std::uint32_t>& queue : job.pending) {
        for (const std::uint32_t ordinal : queue)
            job.items[ordinal].status = schema::cancelled;
        job.counts.cancelled += static_cast<std::uint32_t>(queue.size());
        queue.clear();
    }
    settle(job, cancel.at());
    return view_of(job);
}

schema::work_reply work_state::lease_items(const schema::item_lease& lease) {
    auto found = jobs_.find(job_id(lease.job()));
    if (found == jobs_.end())
        return missing("job");
    batch_job& job = found->second;
    schema::work_reply reply;
    if (!is_open(job))
        return reply;
    for (const std::uint32_t ordinal : lease.ordinals()) {
        if (ordinal >= job.items.size() || job.items[ordinal].status != schema::pending)
            continue;
        batch_item& item = job.items[ordinal];
        std::deque<std::uint32_t>& queue = job.pending[item.service];
        queue.erase(std::find(queue.begin(), queue.end(), ordinal));
        item.status = schema::leased;
        item.attempts = std::min<std::uint16_t>(item.attempts + 1, most_attempts_counted);
        ++job.counts.running;
        leases_[lease.holder()].insert({job.id, ordinal});
        schema::leased_item* leased = reply.add_leased();
        leased->set_job(job.id.str());
        leased->set_ordinal(ordinal);
        leased->set_attempt(item.attempts);
        leased->set_team(job.team.str());
        leased->set_host(job.host);
        leased->set_has_team(job.has_team);
        leased->set_deadline(job.deadline);
        leased->set_strikes(item.strikes);
        leased->set_abandon_at(job.abandon_at);
    }
    job.status = job_status::running;
    return reply;
}

void work_state::give_back(batch_job& job, std::uint32_t ordinal) {
    batch_item& item = job.items[ordinal];
    --job.counts.running;
    if (!is_open(job)) {
        item.status = schema::cancelled;
        ++job.counts.cancelled;
        return;
    }
    item.status = schema::pending;
    job.pending[item.service].push_back(ordinal);
}

schema::work_reply work_state::end_items(const schema::items_end& ends,
                                         const storage::position& at) {
    for (int i = 0; i < ends.ends_size(); ++i)
        end_item(ends.ends(i), static_cast<std::uint32_t>(i), ends.holder(), at, ends.at());
    return {};
}

// An entry that dies, or leaves, takes with it what its items have made so far. Begun anew at other
// entries they would be late though they had nearly been done; so the next one goes on from here.
void work_state::keep_progress(batch_item& item, const schema::item_end& end, std::uint32_t place,
                               const storage::position& at) {
    const bool has_ended = end.status() != schema::pending && end.status() != schema::leased;
    if (has_ended || end.events() == 0)
        return;
    item.result = at;
    item.result_ordinal = place;
}

// The first end of an item counts, and only from the holder of its lease: a result that comes
// from an attempt that was given up would otherwise replace, or double, the one already delivered.
void work_state::end_item(const schema::item_end& end, std::uint32_t place,
                          const std::string& holder, const storage::position& at,
                          std::uint64_t now) {
    auto found = jobs_.find(job_id(end.job()));
    if (found == jobs_.end() || end.ordinal() >= found->second.items.size())
        return;
    batch_job& job = found->second;
    batch_item& item = job.items[end.ordinal()];
    auto held = leases_.find(holder);
    const item_key key{job.id, end.ordinal()};
    if (held == leases_.end() || held->second.count(key) == 0 || item.attempts != end.attempt())
        return;
    keep_progress(item, end, place, at);
    if (end.status() == schema::leased)
        return;
    held->second.erase(key);
    if (held->second.empty())
        leases_.erase(held);
    if (end.strike())
        ++item.strikes;
    if (job.status == job_status::cancelling) {
        give_back(job, end.ordinal());
        settle(job, now);
        return;
    }
    if (end.failed_run())
        ++item.failures;
    const bool failed_out = job.max_failures > 0 && item.failures >= job.max_failures;
    const bool struck_out = failed_out || (end.strike() && item.strikes >= strikes_until_failed);
    if (end.status() == schema::pending && !struck_out) {
        give_back(job, end.ordinal());
        settle(job, now);
        return;
    }
    --job.counts.running;
    item.status = static_cast<std::uint8_t>(struck_out ? schema::failed : end.status());
    item.result = at;
    item.result_ordinal = place;
    job.waiting_tokens -= item.tokens;
    if (job.listed)
        job.ended_order.push_back(end.ordinal());
    if (item.status == schema::completed)
        ++job.counts.completed;
    else if (item.status == schema::unknown)
        ++job.counts.unknown;
    else if (item.status == schema::cancelled)
        ++job.counts.cancelled;
    else
        ++job.counts.failed;
    settle(job, now);
}

// An entry that died held items that may or may not have run. Those that may be repeated run
// again; the others must not, and nobody can tell any more whether they ran.
void work_state::lose_holder_items(const std::string& holder, std::uint64_t now) {
    auto held = leases_.find(holder);
    if (held == leases_.end())
        return;
    const std::set<item_key> lost = std::move(held->second);
    leases_.erase(held);
    for (const item_key& key : lost) {
        auto found = jobs_.find(key.first);
        if (found == jobs_.end())
            continue;
        batch_job& job = found->second;
        batch_item& item = job.items[key.second];
        if (item.repeatable) {
            give_back(job, key.second);
        } else {
            --job.counts.running;
            item.status = schema::unknown;
            ++job.counts.unknown;
        }
        settle(job, now);
    }
}

void work_state::settle(batch_job& job, std::uint64_t now) {
    const job_counts& counts = job.counts;
    const std::size_t ended =
        std::size_t{counts.completed} + counts.failed + counts.unknown + counts.cancelled;
    if (ended < job.items.size() || job.ended != 0)
        return;
    job.ended = now;
    if (job.status == job_status::cancelling)
        job.status = job_status::cancelled;
    else if (counts.completed == 0 && !job.items.empty())
        job.status = job_status::failed;
    else
        job.status = job_status::completed;
    job.pending.clear();
    job.pending.resize(job.services.size());
}

std::vector<std::string> work_state::holders() const {
    std::set<std::string> names;
    for (const std::pair<const std::string, std::set<item_key>>& one : leases_)
        names.insert(one.first);
    for (const std::pair<const key_name, idempotency_key>& one : keys_) {
        if (one.second.status == key_status::running)
            names.insert(one.second.holder);
    }
    return {names.begin(), names.end()};
}

std::set<item_key> work_state::leases_of(const std::string& holder) const {
    auto held = leases_.find(holder);
    return held == leases_.end() ? std::set<item_key>() : held->second;
}

} // namespace cassia::state
