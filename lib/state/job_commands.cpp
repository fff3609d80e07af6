// Commands on jobs and items.

#include "cassia/base/digest.h"
#include "cassia/schema/messages.pb.h"
#include "cassia/state/work_state.h"

#include <algorithm>

namespace cassia::state {

namespace {
constexpr std::uint8_t max_strikes = 2; // crashes of endpoints attributed to an item
constexpr std::uint16_t max_counted_attempts = 65535;
} // namespace

static bool is_active(const batch_job& job) {
    return job.status == job_status::queued || job.status == job_status::running;
}

static schema::work_reply missing(const std::string& detail) {
    schema::work_reply reply;
    reply.set_result(schema::work_reply::missing);
    reply.set_detail(detail);
    return reply;
}

static schema::work_reply reply_with_view(const batch_job& job) {
    schema::work_reply reply;
    fill_job_view(job, *reply.mutable_job());
    return reply;
}

std::string fingerprint_of(const schema::job_items& items) {
    return sha256_hex(items.SerializeAsString());
}

// The items of a forwarded job are stored with the name of the route that accepted it. When they
// are resent, another route may match.
static bool is_resent(const batch_job& job, schema::job_items items) {
    for (schema::item_body& item : *items.mutable_items())
        item.set_service(job.route);
    return !job.route.empty() && job.fingerprint == fingerprint_of(items);
}

schema::work_reply work_state::begin_job(const schema::job_begin& begin) {
    const job_id id(begin.job());
    auto found = jobs_.find(id);
    const bool is_loading = found != jobs_.end() && found->second.status == job_status::loading;
    const bool same_content =
        found != jobs_.end() && found->second.fingerprint == begin.fingerprint();
    // Parts don't say which submission they belong to, and another one may still send some.
    if (found != jobs_.end() && !(is_loading && same_content)) {
        schema::work_reply reply = reply_with_view(found->second);
        reply.set_result(same_content ? schema::work_reply::replay
                                      : schema::work_reply::key_reused);
        return reply;
    }
    // Replaces a job whose earlier submission was interrupted before its commit.
    batch_job job;
    job.id = id;
    job.team = team_id(begin.team());
    job.host = begin.host();
    job.has_team = begin.has_team();
    job.sender = read_job_sender(begin.sender());
    job.fingerprint = begin.fingerprint();
    job.deadline = begin.deadline();
    job.created = begin.at();
    job.retention_ms = begin.retention_ms();
    job.route = begin.route();
    job.routes_version = begin.routes_version();
    job.route_prefix = begin.route_prefix();
    job.abandon_at = begin.abandon_at();
    job.max_failures = begin.max_failures();
    job.listed = begin.listed();
    job.items.resize(begin.total());
    schema::work_reply reply = reply_with_view(job);
    jobs_[id] = std::move(job);
    return reply;
}

static std::uint16_t find_or_add_service(batch_job& job, const std::string& service) {
    auto found = std::find(job.services.begin(), job.services.end(), service);
    if (found == job.services.end()) {
        job.services.push_back(service);
        job.pending.emplace_back();
        found = job.services.end() - 1;
    }
    return static_cast<std::uint16_t>(found - job.services.begin());
}

schema::work_reply work_state::add_items(const schema::job_items& added,
                                         const storage::position& position) {
    auto found = jobs_.find(job_id(added.job()));
    if (found == jobs_.end())
        return missing("job");
    batch_job& job = found->second;
    const std::size_t end = added.first() + static_cast<std::size_t>(added.items_size());
    // A part that was resent, or that a second entry sent for the same job, is ignored.
    if (job.status != job_status::loading || added.first() != job.loaded || end > job.items.size())
        return reply_with_view(job);
    for (int i = 0; i < added.items_size(); ++i) {
        const std::uint32_t ordinal = added.first() + static_cast<std::uint32_t>(i);
        batch_item& item = job.items[ordinal];
        item.body = position;
        item.body_ordinal = static_cast<std::uint32_t>(i);
        item.repeatable = added.items(i).repeatable();
        item.custom_id_hash = stable_hash(added.items(i).custom_id());
        item.service = find_or_add_service(job, added.items(i).service());
        item.tokens = added.items(i).tokens();
        job.waiting_tokens += item.tokens;
    }
    job.loaded = static_cast<std::uint32_t>(end);
    return reply_with_view(job);
}

schema::work_reply work_state::commit_job(const schema::job_commit& commit) {
    auto found = jobs_.find(job_id(commit.job()));
    if (found == jobs_.end())
        return missing("job");
    batch_job& job = found->second;
    if (job.status != job_status::loading)
        return reply_with_view(job);
    if (job.loaded != job.items.size())
        return missing("items");
    job.status = job_status::queued;
    for (std::uint32_t ordinal = 0; ordinal < job.items.size(); ++ordinal)
        job.pending[job.items[ordinal].service].push_back(ordinal);
    finish_job_if_done(job, commit.at());
    return reply_with_view(job);
}

std::uint64_t work_state::waiting_tokens(const std::string& route, const team_id& team) const {
    std::uint64_t sum = 0;
    for (const std::pair<const job_id, batch_job>& job : jobs_) {
        if (job.second.route == route && job.second.team == team && is_active(job.second))
            sum += job.second.waiting_tokens;
    }
    return sum;
}

// The limit on waiting tokens is checked when the command is applied: if each entry checked its own
// counts, several entries could use up the same remaining quota at once.
schema::work_reply work_state::submit_job(const schema::job_submit& submit,
                                          const storage::position& position) {
    schema::job_begin begin = submit.begin();
    auto found = jobs_.find(job_id(begin.job()));
    if (found != jobs_.end() && begin.fingerprint() != found->second.fingerprint &&
        is_resent(found->second, submit.items()))
        begin.set_fingerprint(found->second.fingerprint);
    const bool committed = found != jobs_.end() && found->second.status != job_status::loading;
    std::uint64_t tokens = 0;
    for (const schema::item_body& item : submit.items().items())
        tokens += item.tokens();
    const bool fits =
        begin.max_waiting_tokens() == 0 ||
        waiting_tokens(begin.route(), team_id(begin.team())) + tokens <= begin.max_waiting_tokens();
    if (!committed && !fits) {
        schema::work_reply rejected;
        rejected.set_result(schema::work_reply::over_quota);
        return rejected;
    }
    schema::work_reply reply = begin_job(begin);
    if (committed || reply.result() != schema::work_reply::done)
        return reply;
    add_items(submit.items(), position);
    schema::job_commit commit;
    commit.set_job(begin.job());
    commit.set_at(begin.at());
    return commit_job(commit);
}

schema::work_reply work_state::cancel_job(const schema::job_cancel& cancel) {
    auto found = jobs_.find(job_id(cancel.job()));
    const bool visible = found != jobs_.end() && found->second.status != job_status::loading &&
                         found->second.team.str() == cancel.team();
    if (!visible)
        return missing("job");
    batch_job& job = found->second;
    if (!is_active(job)) {
        schema::work_reply reply = reply_with_view(job);
        const bool already_cancelled =
            job.status == job_status::cancelling || job.status == job_status::cancelled;
        reply.set_result(already_cancelled ? schema::work_reply::done
                                           : schema::work_reply::already_ended);
        return reply;
    }
    job.status = job_status::cancelling;
    for (std::deque<std::uint32_t>& queue : job.pending) {
        for (const std::uint32_t ordinal : queue)
            job.items[ordinal].status = schema::cancelled;
        job.counts.cancelled += static_cast<std::uint32_t>(queue.size());
        queue.clear();
    }
    finish_job_if_done(job, cancel.at());
    return reply_with_view(job);
}

schema::work_reply work_state::lease_items(const schema::item_lease& lease) {
    auto found = jobs_.find(job_id(lease.job()));
    if (found == jobs_.end())
        return missing("job");
    batch_job& job = found->second;
    schema::work_reply reply;
    if (!is_active(job))
        return reply;
    for (const std::uint32_t ordinal : lease.ordinals()) {
        if (ordinal >= job.items.size() || job.items[ordinal].status != schema::pending)
            continue;
        batch_item& item = job.items[ordinal];
        std::deque<std::uint32_t>& queue = job.pending[item.service];
        queue.erase(std::find(queue.begin(), queue.end(), ordinal));
        item.status = schema::leased;
        item.attempts = std::min<std::uint16_t>(item.attempts + 1, max_counted_attempts);
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
        leased->set_request(lease.request());
        leased->set_route_prefix(job.route_prefix);
    }
    job.status = job_status::running;
    return reply;
}

void work_state::requeue_or_cancel_item(batch_job& job, std::uint32_t ordinal) {
    batch_item& item = job.items[ordinal];
    --job.counts.running;
    if (!is_active(job)) {
        item.status = schema::cancelled;
        ++job.counts.cancelled;
        return;
    }
    item.status = schema::pending;
    job.pending[item.service].push_back(ordinal);
}

// Every end of a leased item goes through here: members restored from a snapshot count the waiting
// tokens anew, so one that is forgotten makes them diverge from the others.
void work_state::end_leased_item(batch_job& job, std::uint32_t ordinal, std::uint8_t status) {
    batch_item& item = job.items[ordinal];
    --job.counts.running;
    item.status = status;
    job.waiting_tokens -= item.tokens;
    if (job.listed)
        job.ended_order.push_back(ordinal);
    if (status == schema::completed)
        ++job.counts.completed;
    else if (status == schema::unknown)
        ++job.counts.unknown;
    else if (status == schema::cancelled)
        ++job.counts.cancelled;
    else
        ++job.counts.failed;
}

schema::work_reply work_state::end_items(const schema::items_end& ends,
                                         const storage::position& position) {
    for (int i = 0; i < ends.ends_size(); ++i)
        end_item(ends.ends(i), static_cast<std::uint32_t>(i), ends.holder(), position, ends.at());
    return {};
}

// Without saved progress, the output of an item would be lost with the entry that runs it. Started
// from the beginning at another entry, an item that was almost complete would miss its deadline; so
// the next holder of its lease continues from the saved progress.
void work_state::save_progress(batch_item& item, const schema::item_end& end,
                               std::uint32_t end_ordinal, const storage::position& position) {
    if (end.discards_progress()) {
        item.result = storage::position();
        item.result_ordinal = 0;
        return;
    }
    const bool has_ended = end.status() != schema::pending && end.status() != schema::leased;
    if (has_ended || end.events() == 0)
        return;
    item.result = position;
    item.result_ordinal = end_ordinal;
}

// Only the first end of an item counts, and only if it comes from the holder of the lease.
// Otherwise a result of an abandoned attempt would replace, or duplicate, one that was already
// delivered.
void work_state::end_item(const schema::item_end& end, std::uint32_t end_ordinal,
                          const std::string& holder, const storage::position& position,
                          std::uint64_t now) {
    auto found = jobs_.find(job_id(end.job()));
    if (found == jobs_.end() || end.ordinal() >= found->second.items.size())
        return;
    batch_job& job = found->second;
    batch_item& item = job.items[end.ordinal()];
    auto leases = leases_.find(holder);
    const item_key key{job.id, end.ordinal()};
    if (leases == leases_.end() || leases->second.count(key) == 0 || item.attempts != end.attempt())
        return;
    save_progress(item, end, end_ordinal, position);
    if (end.status() == schema::leased)
        return;
    leases->second.erase(key);
    if (leases->second.empty())
        leases_.erase(leases);
    if (end.strike())
        ++item.strikes;
    if (job.status == job_status::cancelling) {
        requeue_or_cancel_item(job, end.ordinal());
        finish_job_if_done(job, now);
        return;
    }
    if (end.failed_run())
        ++item.failures;
    const bool failed_too_often = job.max_failures > 0 && item.failures >= job.max_failures;
    const bool must_fail = failed_too_often || (end.strike() && item.strikes >= max_strikes);
    if (end.status() == schema::pending && !must_fail) {
        requeue_or_cancel_item(job, end.ordinal());
        finish_job_if_done(job, now);
        return;
    }
    item.result = position;
    item.result_ordinal = end_ordinal;
    end_leased_item(job, end.ordinal(),
                    static_cast<std::uint8_t>(must_fail ? schema::failed : end.status()));
    finish_job_if_done(job, now);
}

// The items of a failed holder may or may not have run. Those that may be repeated are queued
// again. The others must not run twice and end as unknown, since it can't be determined whether
// they ran.
void work_state::revoke_leases(const std::string& holder, std::uint64_t now) {
    auto leases = leases_.find(holder);
    if (leases == leases_.end())
        return;
    const std::set<item_key> revoked = std::move(leases->second);
    leases_.erase(leases);
    for (const item_key& key : revoked) {
        auto found = jobs_.find(key.first);
        if (found == jobs_.end())
            continue;
        batch_job& job = found->second;
        if (job.items[key.second].repeatable)
            requeue_or_cancel_item(job, key.second);
        else
            end_leased_item(job, key.second, schema::unknown);
        finish_job_if_done(job, now);
    }
}

void work_state::finish_job_if_done(batch_job& job, std::uint64_t now) {
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
    for (const std::pair<const std::string, std::set<item_key>>& lease : leases_)
        names.insert(lease.first);
    for (const std::pair<const key_name, idempotency_key>& key : keys_) {
        if (key.second.status == key_status::running)
            names.insert(key.second.holder);
    }
    return {names.begin(), names.end()};
}

std::set<item_key> work_state::leases_of(const std::string& holder) const {
    auto leases = leases_.find(holder);
    return leases == leases_.end() ? std::set<item_key>() : leases->second;
}

} // namespace cassia::state
