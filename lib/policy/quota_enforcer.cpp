#include "cassia/policy/quota_enforcer.h"

#include "cassia/base/digest.h"

#include <algorithm>
#include <cmath>

namespace cassia::policy {

namespace {
constexpr milliseconds heartbeat_interval(1000);
constexpr milliseconds report_interval(20);
// An answer takes a round trip between zones and the response time of a busy gateway.
constexpr milliseconds resend_after(150);
constexpr milliseconds answer_timeout(400);
constexpr milliseconds ask_timeout(250);
constexpr milliseconds failed_owner_backoff(1000);
// Two heartbeats with their retransmissions.
constexpr milliseconds open_lease_duration(2500);
// After a longer gap between polls this process was frozen: missing answers don't mean that owners
// failed.
constexpr milliseconds freeze_threshold(300);
// Bounds a cached denial, as the owner or its rate may change.
constexpr milliseconds max_denial(500);
constexpr std::uint32_t max_owners_tried = 2;
constexpr double us_per_s = 1e6;
} // namespace

quota_enforcer::quota_enforcer(entry_id self, std::uint64_t incarnation, quota_tolerance tolerance)
    : self_(std::move(self)), incarnation_(incarnation), ledger_(self_, incarnation, tolerance) {
    rank_owners();
}

bool quota_enforcer::is_avoided(const entry_id& owner) const {
    auto found = states_.find(owner);
    return found != states_.end() && found->second.failed_at != instant();
}

// The number of owners is the square root of the fleet size. Each owner exchanges messages with all
// gateways, and each gateway with all owners. All gateways rank by the same hashes, so they agree.
void quota_enforcer::rank_owners() {
    std::vector<entry_id> candidates;
    if (!leaving_)
        candidates.push_back(self_);
    for (const fleet_gateway& one : others_) {
        if (!one.leaving)
            candidates.push_back(one.id);
    }
    const auto rank_by = [](std::vector<entry_id>& ids, const std::string& seed) {
        std::sort(ids.begin(), ids.end(), [&seed](const entry_id& a, const entry_id& b) {
            return std::make_pair(stable_hash(seed + a.str()), a) <
                   std::make_pair(stable_hash(seed + b.str()), b);
        });
    };
    rank_by(candidates, "");
    const std::size_t count =
        static_cast<std::size_t>(std::ceil(std::sqrt(static_cast<double>(candidates.size()))));
    candidates.resize(std::min(candidates.size(), count));
    owners_ = candidates;
    ranked_.clear();
    for (std::uint32_t shard = 0; shard < quota_shards; ++shard) {
        rank_by(candidates, std::to_string(shard) + " ");
        ranked_.push_back(candidates);
    }
    std::map<entry_id, owner_state> known = std::move(states_);
    states_.clear();
    for (const entry_id& one : owners_) {
        if (one != self_)
            states_[one] = std::move(known[one]);
    }
    for (std::pair<const std::uint64_t, pending_ask>& one : asks_) {
        if (one.second.owner != self_ && states_.count(one.second.owner) == 0)
            one.second.owner = entry_id();
    }
}

// A gateway that reaches no owner enforces its own share of the quota.
const entry_id& quota_enforcer::owner_of(std::uint32_t shard) const {
    const std::vector<entry_id>& ranked = ranked_[shard];
    auto found = std::find_if(ranked.begin(), ranked.end(),
                              [this](const entry_id& one) { return !is_avoided(one); });
    return found == ranked.end() ? self_ : *found;
}

void quota_enforcer::update_shards(instant now) {
    shard_set own = 0;
    for (std::pair<const entry_id, owner_state>& one : states_)
        one.second.shards = 0;
    for (std::uint32_t shard = 0; shard < quota_shards; ++shard) {
        const entry_id& owner = owner_of(shard);
        (owner == self_ ? own : states_.at(owner).shards) |= shard_set{1} << shard;
    }
    ledger_.set_own_shards(own, now);
}

void quota_enforcer::set_gateways(const std::vector<fleet_gateway>& others, instant now) {
    const bool first = !has_gateway_list_;
    has_gateway_list_ = true;
    if (!first && others == others_)
        return;
    others_ = others;
    rank_owners();
    ledger_.set_fleet_size(others_.size() + 1);
    update_shards(now);
    redirect_asks(entry_id(), now);
}

void quota_enforcer::set_quotas(quota_map quotas, instant now) {
    quotas_ = quotas;
    ledger_.set_quotas(std::move(quotas), now);
    denials_.clear();
}

void quota_enforcer::leave(instant now) {
    leaving_ = true;
    rank_owners();
    update_shards(now);
    redirect_asks(entry_id(), now);
}

bool quota_enforcer::may_admit_locally(const owner_state& owner, const team_id& team,
                                       instant now) const {
    auto reported = owner.totals.find(team);
    const bool has_unacknowledged =
        reported != owner.totals.end() && !reported->second.acknowledged;
    return !has_unacknowledged && owner.open.count(team) > 0 &&
           now - owner.acknowledged_at < open_lease_duration;
}

// The owner isn't asked before a token can be available; callers rejected meanwhile get successive
// retry times.
std::optional<quota_decision> quota_enforcer::reject_from_denial(const team_id& team, instant now) {
    auto found = denials_.find(team);
    if (found == denials_.end())
        return std::nullopt;
    if (now >= found->second.until) {
        denials_.erase(found);
        return std::nullopt;
    }
    quota_decision decision;
    const double rate = quotas_.at(team).rate.per_second;
    found->second.retry_at += microseconds(static_cast<std::int64_t>(us_per_s / rate));
    decision.verdict = quota_verdict::rejected;
    decision.retry_after = std::chrono::ceil<milliseconds>(found->second.retry_at - now);
    return decision;
}

quota_decision quota_enforcer::decide(const team_id& team, const entry_id& owner,
                                      std::uint64_t epoch, const quota_answer& answer,
                                      instant now) {
    quota_decision decision;
    if (answer.granted) {
        decision.grant = {team, owner, epoch};
        return decision;
    }
    decision.verdict = quota_verdict::rejected;
    decision.retry_after = answer.retry_after;
    denials_[team] = {now + std::min(answer.next_token, max_denial), now + answer.retry_after};
    return decision;
}

quota_decision quota_enforcer::admit(const team_id& team, instant now) {
    auto quota = quotas_.find(team);
    if (quota == quotas_.end() || !quota->second.is_limited())
        return {};
    if (std::optional<quota_decision> known = reject_from_denial(team, now))
        return *known;
    if (!has_gateway_list_) {
        asks_[++last_ask_] = {team, entry_id(), now, 0};
        return {quota_verdict::pending, milliseconds(0), {}, last_ask_};
    }
    const entry_id& owner = owner_of(shard_of(team));
    if (owner == self_)
        return decide(team, self_, ledger_.epoch(), ledger_.ask(team, now), now);
    owner_state& state = states_.at(owner);
    if (may_admit_locally(state, team, now)) {
        reported_totals& own = state.totals[team];
        own.totals.team = team;
        ++own.totals.admitted;
        own.sequence = 0;
        own.acknowledged = false;
        return {quota_verdict::admitted, milliseconds(0), {team, owner, state.epoch}, 0};
    }
    asks_[++last_ask_] = {team, entry_id(), now, 0};
    send_ask(last_ask_, asks_.at(last_ask_), now);
    return {quota_verdict::pending, milliseconds(0), {}, last_ask_};
}

bool quota_enforcer::send_ask(std::uint64_t id, pending_ask& one, instant now) {
    one.owner = one.tries < max_owners_tried ? owner_of(shard_of(one.team)) : self_;
    one.asked_at = now;
    ++one.tries;
    if (one.owner != self_) {
        states_.at(one.owner).asks.push_back({id, one.team});
        return true;
    }
    const quota_answer answer = ledger_.ask(one.team, now);
    finish_ask(id, one, decide(one.team, self_, ledger_.epoch(), answer, now), now);
    return false;
}

void quota_enforcer::redirect_asks(const entry_id& owner, instant now) {
    for (auto one = asks_.begin(); one != asks_.end();) {
        const bool kept = one->second.owner != owner || send_ask(one->first, one->second, now);
        one = kept ? std::next(one) : asks_.erase(one);
    }
}

void quota_enforcer::finish_ask(std::uint64_t id, const pending_ask& one, quota_decision decision,
                                instant now) {
    if (one.cancelled) {
        refund(decision.grant, now);
        return;
    }
    decision.ask = id;
    decisions_.push_back(std::move(decision));
}

void quota_enforcer::cancel_ask(std::uint64_t ask) {
    auto found = asks_.find(ask);
    if (found != asks_.end())
        found->second.cancelled = true;
}

void quota_enforcer::refund(const quota_grant& grant, instant now) {
    if (grant.team.empty())
        return;
    if (grant.owner == self_) {
        if (grant.epoch == ledger_.epoch())
            ledger_.refund(grant.team, now);
        return;
    }
    auto found = states_.find(grant.owner);
    // In another epoch the owner has no record of the token.
    if (found == states_.end() || found->second.epoch != grant.epoch)
        return;
    reported_totals& own = found->second.totals[grant.team];
    own.totals.team = grant.team;
    ++own.totals.returned;
    own.sequence = 0;
}

void quota_enforcer::receive(const entry_id& from, const quota_report& report, instant now) {
    replies_.emplace_back(from, ledger_.receive(from, report, now));
}

void quota_enforcer::receive(const entry_id& from, const quota_reply& reply, instant now) {
    auto found = states_.find(from);
    if (found == states_.end())
        return;
    owner_state& owner = found->second;
    if (reply.epoch != owner.epoch) {
        owner.epoch = reply.epoch;
        owner.open.clear();
        owner.totals.clear();
    }
    while (!owner.unacknowledged.empty() && owner.unacknowledged.front().sequence <= reply.sequence)
        owner.unacknowledged.pop_front();
    owner.acknowledged_at = now;
    for (std::pair<const team_id, reported_totals>& one : owner.totals) {
        if (one.second.sequence != 0 && one.second.sequence <= reply.sequence)
            one.second.acknowledged = true;
    }
    const bool trusted_again =
        owner.failed_at != instant() && now - owner.failed_at >= failed_owner_backoff;
    if (trusted_again) {
        owner.failed_at = instant();
        update_shards(now);
    }
    for (const team_id& team : reply.closed)
        owner.open.erase(team);
    if (owner.failed_at == instant())
        owner.open.insert(reply.open.begin(), reply.open.end());
    for (const quota_answer& one : reply.answers) {
        auto ask = asks_.find(one.ask);
        // Answered already, or asked elsewhere meanwhile.
        if (ask == asks_.end() || ask->second.owner != from)
            continue;
        if (one.open)
            owner.open.insert(ask->second.team);
        finish_ask(one.ask, ask->second, decide(ask->second.team, from, reply.epoch, one, now),
                   now);
        asks_.erase(ask);
    }
}

void quota_enforcer::mark_failed(const entry_id& owner, instant now) {
    owner_state& state = states_.at(owner);
    state.failed_at = now;
    state.open.clear();
    state.unacknowledged.clear();
    state.asks.clear();
    // Unknown whether the totals arrived: send them again.
    for (std::pair<const team_id, reported_totals>& one : state.totals)
        one.second.sequence = 0;
    update_shards(now);
    redirect_asks(owner, now);
}

bool quota_enforcer::is_silent(const owner_state& owner, instant now) {
    return owner.failed_at == instant() && !owner.unacknowledged.empty() &&
           now - owner.unacknowledged.front().at > answer_timeout;
}

void quota_enforcer::fail_silent_owners(instant now) {
    const bool any_silent = std::any_of(states_.begin(), states_.end(), [now](const auto& one) {
        return is_silent(one.second, now);
    });
    if (!any_silent)
        return;
    // By rank: what one owner was asked goes on to the next.
    for (const entry_id& owner : owners_) {
        auto found = states_.find(owner);
        if (found != states_.end() && is_silent(found->second, now))
            mark_failed(owner, now);
    }
}

void quota_enforcer::retry_timed_out_asks(instant now) {
    std::set<entry_id> silent_owners;
    for (std::pair<const std::uint64_t, pending_ask>& one : asks_) {
        if (now - one.second.asked_at <= ask_timeout)
            continue;
        silent_owners.insert(one.second.owner);
        if (one.second.owner.empty()) // no list of gateways received yet: decide locally
            one.second.tries = max_owners_tried;
    }
    for (const entry_id& owner : silent_owners) {
        if (owner.empty())
            redirect_asks(owner, now);
        else
            mark_failed(owner, now);
    }
}

bool quota_enforcer::is_report_due(const owner_state& state, instant now) {
    if (now - state.reported_at >= heartbeat_interval)
        return true;
    if (state.failed_at != instant())
        return false;
    if (!state.asks.empty() || state.reported_shards != state.shards)
        return true;
    if (!state.unacknowledged.empty() && now - state.unacknowledged.back().at >= resend_after)
        return true;
    return now - state.reported_at >= report_interval &&
           std::any_of(state.totals.begin(), state.totals.end(),
                       [](const auto& one) { return one.second.sequence == 0; });
}

quota_report quota_enforcer::build_report(owner_state& state, instant now) const {
    quota_report report;
    report.incarnation = incarnation_;
    report.sequence = ++state.sequence;
    report.epoch = state.epoch;
    report.shards = state.shards;
    const std::uint64_t oldest =
        state.unacknowledged.empty() ? report.sequence : state.unacknowledged.front().sequence;
    for (std::pair<const team_id, reported_totals>& one : state.totals) {
        if (one.second.sequence == 0)
            one.second.sequence = report.sequence;
        if (one.second.sequence >= oldest)
            report.totals.push_back(one.second.totals);
    }
    report.asks = std::exchange(state.asks, {});
    state.reported_shards = report.shards;
    state.reported_at = now;
    if (state.failed_at == instant())
        state.unacknowledged.push_back({report.sequence, now});
    return report;
}

quota_output quota_enforcer::poll(instant now) {
    quota_output out;
    if (polled_at_ != instant() && now - polled_at_ > freeze_threshold) {
        for (std::pair<const entry_id, owner_state>& one : states_)
            one.second.unacknowledged.clear();
        for (std::pair<const std::uint64_t, pending_ask>& one : asks_)
            one.second.asked_at = now;
    }
    polled_at_ = now;
    retry_timed_out_asks(now);
    fail_silent_owners(now);
    for (std::pair<const entry_id, owner_state>& one : states_) {
        if (is_report_due(one.second, now))
            out.reports.emplace_back(one.first, build_report(one.second, now));
    }
    out.replies = ledger_.tick(now);
    for (std::pair<entry_id, quota_reply>& one : replies_)
        out.replies.push_back(std::move(one));
    replies_.clear();
    out.decisions = std::exchange(decisions_, {});
    return out;
}

} // namespace cassia::policy
