#include "cassia/policy/quota_ledger.h"

#include "cassia/base/digest.h"

#include <algorithm>
#include <utility>

namespace cassia::policy {

namespace {
constexpr milliseconds tick_interval(20);
// Two reports that didn't come, and their resending.
constexpr milliseconds reporter_timeout(2500);
// After a longer pause this process was frozen, and others have granted in its place.
constexpr milliseconds longest_pause(1000);
// A team opens at a higher level than it closes at, by this part of its burst.
constexpr double reopening_margin = 0.1;
// Parts of the tolerance: for what was admitted before the start, and for what is under way.
constexpr double tolerance_at_start = 0.75;
constexpr double tolerance_under_way = 0.25;
constexpr std::size_t most_announced = 32; // in one reply
constexpr double longest_earned_s = 600;
constexpr milliseconds longest_retry_after(10000);
constexpr milliseconds retry_without_owner(400);
constexpr double us_per_s = 1e6;
} // namespace

std::uint32_t shard_of(const team_id& team) {
    return static_cast<std::uint32_t>(stable_hash(team.str()) % quota_shards);
}

static bool has_shard(shard_set shards, std::uint32_t shard) {
    return (shards >> shard & 1U) != 0;
}

quota_ledger::quota_ledger(entry_id self, std::uint64_t epoch, quota_tolerance tolerance)
    : self_(std::move(self)), epoch_(epoch), tolerance_(tolerance) {}

void quota_ledger::set_quotas(quota_map quotas, instant now) {
    quotas_ = std::move(quotas);
    update_accounts(now);
}

void quota_ledger::set_own_shards(shard_set shards, instant now) {
    if (shards == own_shards_)
        return;
    own_shards_ = shards;
    update_shares(now);
}

void quota_ledger::limit(const team_id& team, account& one, instant now) {
    const teams::quota& quota = quotas_.at(team);
    const double part = shares_.at(shard_of(team)).part;
    // A team without a burst still has one request at a time.
    const double capacity = std::max(1.0, quota.burst.value * part);
    one.bucket.set_limit(quota.rate.per_second * part, capacity, now);
    if (part > one.credited) {
        one.bucket.refund((part - one.credited) * tolerance_at_start * tolerance_.max_excess(quota),
                          now);
        one.credited = part;
    }
    update_open(team, one, now);
}

// Each gateway may have one request under way that isn't reported yet, so the bucket holds a token
// for each of them while the team is open.
void quota_ledger::update_open(const team_id& team, account& one, instant now) {
    const double part = shares_.at(shard_of(team)).part;
    const double tolerated = tolerance_under_way * tolerance_.max_excess(quotas_.at(team));
    const double unreported = (static_cast<double>(fleet_size_) - tolerated) * part;
    const double margin = one.open ? 0 : one.bucket.capacity() * reopening_margin;
    const bool open = part > 0 && one.bucket.level(now) >= std::max(unreported, 1.0) + margin;
    if (one.open && !open)
        newly_closed_.push_back(team);
    one.open = open;
}

// Null for a team that has no limit.
quota_ledger::account* quota_ledger::find_account(const team_id& team, instant now) {
    auto quota = quotas_.find(team);
    if (quota == quotas_.end() || !quota->second.is_limited())
        return nullptr;
    auto found = accounts_.find(team);
    if (found == accounts_.end()) {
        const shard_share& share = shares_.at(shard_of(team));
        const double earned = share.earned_s * quota->second.rate.per_second;
        found = accounts_.emplace(team, account{token_bucket(earned, now), share.credited}).first;
        limit(team, found->second, now);
    }
    return &found->second;
}

// What gateways admitted is charged even where it exceeds the quota: the debt holds up later ones.
void quota_ledger::apply_totals(reporter& from, const quota_totals& reported, instant now) {
    quota_totals& known = from.totals[reported.team];
    account* one = find_account(reported.team, now);
    if (one != nullptr) {
        if (reported.admitted > known.admitted)
            one->bucket.take(static_cast<double>(reported.admitted - known.admitted), now);
        if (reported.returned > known.returned)
            one->bucket.refund(static_cast<double>(reported.returned - known.returned), now);
        update_open(reported.team, *one, now);
    }
    known = {reported.team, std::max(known.admitted, reported.admitted),
             std::max(known.returned, reported.returned)};
}

quota_reply quota_ledger::receive(const entry_id& from, const quota_report& report, instant now) {
    reporter& known = reporters_[from];
    quota_reply reply;
    reply.epoch = epoch_;
    if (report.incarnation != known.incarnation)
        known = {};
    if (report.epoch != epoch_)
        known.announced_open.clear();
    known.incarnation = report.incarnation;
    known.last_seen = now;
    // A report that was overtaken says nothing new, but its asks still wait for their answers.
    if (report.sequence > known.sequence) {
        known.sequence = report.sequence;
        if (known.shards != report.shards) {
            known.shards = report.shards;
            update_shares(now);
        }
        for (const quota_totals& one : report.totals) {
            if (report.epoch == epoch_)
                apply_totals(known, one, now);
        }
    }
    for (const quota_totals& one : report.totals) {
        const account* found = find_account(one.team, now);
        if (found != nullptr && !found->open)
            reply.closed.push_back(one.team);
    }
    for (const quota_ask& one : report.asks) {
        reply.answers.push_back(ask(one.team, now));
        reply.answers.back().ask = one.id;
    }
    announce_open(known, reply);
    reply.sequence = known.sequence;
    return reply;
}

quota_answer quota_ledger::ask(const team_id& team, instant now) {
    quota_answer answer;
    account* one = find_account(team, now);
    if (one == nullptr) {
        answer.granted = true;
        return answer;
    }
    if (one->bucket.level(now) >= 1) {
        one->bucket.take(1, now);
        answer.granted = true;
        update_open(team, *one, now);
        answer.open = one->open;
        return answer;
    }
    answer.next_token = one->bucket.time_to_next(now, longest_retry_after);
    if (shares_.at(shard_of(team)).part == 0) {
        // Asked by a gateway that goes by another owner and waits for its answer.
        answer.next_token = milliseconds(0);
        answer.retry_after = retry_without_owner;
        return answer;
    }
    // Those that are rejected return one after the other, as tokens come.
    const double rate = std::max(quotas_.at(team).rate.per_second, 1e-3);
    const microseconds spacing(static_cast<std::int64_t>(us_per_s / rate));
    one->promised_until =
        std::min(std::max(one->promised_until, now + answer.next_token - spacing) + spacing,
                 now + longest_retry_after);
    answer.retry_after = std::chrono::ceil<milliseconds>(one->promised_until - now);
    return answer;
}

void quota_ledger::refund(const team_id& team, instant now) {
    if (account* one = find_account(team, now))
        one->bucket.refund(1, now);
}

// Each gateway asks one owner about a team at a time and brings its part of the rate along, so
// owners that don't know of each other grant the rate once together.
void quota_ledger::update_shares(instant now) {
    std::array<std::size_t, quota_shards> users{};
    const auto count = [&users](shard_set shards) {
        for (std::uint32_t shard = 0; shard < quota_shards; ++shard)
            users.at(shard) += has_shard(shards, shard) ? 1 : 0;
    };
    count(own_shards_);
    for (const std::pair<const entry_id, reporter>& one : reporters_)
        count(one.second.shards);
    if (users == users_ && shared_by_ == fleet_size_)
        return;
    users_ = users;
    shared_by_ = fleet_size_;
    for (std::uint32_t shard = 0; shard < quota_shards; ++shard) {
        shares_.at(shard).part =
            std::min(1.0, static_cast<double>(users.at(shard)) / static_cast<double>(fleet_size_));
    }
    update_accounts(now);
    for (shard_share& one : shares_)
        one.credited = std::max(one.credited, one.part);
}

void quota_ledger::update_accounts(instant now) {
    std::erase_if(accounts_, [this](const std::pair<const team_id, account>& one) {
        return quotas_.count(one.first) == 0 || shares_.at(shard_of(one.first)).part == 0;
    });
    for (const std::pair<const team_id, teams::quota>& one : quotas_) {
        if (shares_.at(shard_of(one.first)).part == 0)
            continue;
        if (account* found = find_account(one.first, now))
            limit(one.first, *found, now);
    }
}

// A gateway that knows it beforehand needn't ask about its first request of a team.
void quota_ledger::announce_open(reporter& to, quota_reply& reply) const {
    for (const std::pair<const team_id, account>& one : accounts_) {
        if (reply.open.size() >= most_announced)
            return;
        if (one.second.open && has_shard(to.shards, shard_of(one.first)) &&
            to.announced_open.insert(one.first).second)
            reply.open.push_back(one.first);
    }
}

// What others have granted meanwhile isn't known here.
void quota_ledger::restart(instant now) {
    ++epoch_;
    reporters_.clear();
    accounts_.clear();
    newly_closed_.clear();
    shares_ = {};
    users_ = {};
    update_shares(now);
}

std::vector<std::pair<entry_id, quota_reply>> quota_ledger::tick(instant now) {
    if (newly_closed_.empty() && now - ticked_at_ < tick_interval)
        return {};
    if (ticked_at_ != instant() && now - ticked_at_ > longest_pause)
        restart(now);
    const double passed_s =
        ticked_at_ == instant() ? 0 : static_cast<double>((now - ticked_at_).count()) / us_per_s;
    ticked_at_ = now;
    std::erase_if(reporters_, [now](const std::pair<const entry_id, reporter>& one) {
        return now - one.second.last_seen > reporter_timeout;
    });
    update_shares(now);
    for (std::pair<const team_id, account>& one : accounts_)
        update_open(one.first, one.second, now);
    for (shard_share& one : shares_)
        one.earned_s =
            one.part == 0 ? 0 : std::min(longest_earned_s, one.earned_s + one.part * passed_s);
    std::vector<std::pair<entry_id, quota_reply>> out;
    if (newly_closed_.empty())
        return out;
    for (std::pair<const entry_id, reporter>& one : reporters_) {
        quota_reply reply;
        reply.epoch = epoch_;
        reply.sequence = one.second.sequence;
        for (const team_id& team : newly_closed_) {
            one.second.announced_open.erase(team);
            if (has_shard(one.second.shards, shard_of(team)))
                reply.closed.push_back(team);
        }
        if (!reply.closed.empty())
            out.emplace_back(one.first, std::move(reply));
    }
    newly_closed_.clear();
    return out;
}

} // namespace cassia::policy
