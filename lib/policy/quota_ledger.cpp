#include "cassia/policy/quota_ledger.h"

#include "cassia/base/digest.h"

#include <algorithm>
#include <utility>

namespace cassia::policy {

namespace {
constexpr milliseconds tick_interval(20);
// Two missed heartbeat reports with their retransmissions.
constexpr milliseconds reporter_timeout(2500);
// After a longer gap between ticks this process was frozen, and other owners have granted instead.
constexpr milliseconds freeze_threshold(1000);
// Hysteresis: a team reopens at a level higher by this fraction of its burst than it closes at.
constexpr double reopen_margin = 0.1;
// Fractions of the tolerance: for requests admitted before the start, and for unreported ones.
constexpr double start_tolerance_fraction = 0.75;
constexpr double unreported_tolerance_fraction = 0.25;
constexpr std::size_t max_announced = 32; // per reply
constexpr double max_earned_s = 600;
constexpr milliseconds max_retry_after(10000);
constexpr milliseconds retry_after_without_share(400);
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

void quota_ledger::apply_limit(const team_id& team, account& one, instant now) {
    const teams::quota& quota = quotas_.at(team);
    const double fraction = shares_.at(shard_of(team)).fraction;
    // A team without a burst may still have one request at a time.
    const double capacity = std::max(1.0, quota.burst.value * fraction);
    one.bucket.set_limit(quota.rate.per_second * fraction, capacity, now);
    if (fraction > one.credited_fraction) {
        one.bucket.refund((fraction - one.credited_fraction) * start_tolerance_fraction *
                              tolerance_.max_excess(quota),
                          now);
        one.credited_fraction = fraction;
    }
    update_open(team, one, now);
}

// Each gateway may have one request in flight that isn't reported yet, so while a team is open its
// bucket must hold a token for each gateway.
void quota_ledger::update_open(const team_id& team, account& one, instant now) {
    const double fraction = shares_.at(shard_of(team)).fraction;
    const double tolerated =
        unreported_tolerance_fraction * tolerance_.max_excess(quotas_.at(team));
    const double unreported = (static_cast<double>(fleet_size_) - tolerated) * fraction;
    const double margin = one.open ? 0 : one.bucket.capacity() * reopen_margin;
    const bool open = fraction > 0 && one.bucket.level(now) >= std::max(unreported, 1.0) + margin;
    if (one.open && !open)
        newly_closed_.push_back(team);
    one.open = open;
}

// Returns null for a team without a limit.
quota_ledger::account* quota_ledger::find_account(const team_id& team, instant now) {
    auto quota = quotas_.find(team);
    if (quota == quotas_.end() || !quota->second.is_limited())
        return nullptr;
    auto found = accounts_.find(team);
    if (found == accounts_.end()) {
        const shard_share& share = shares_.at(shard_of(team));
        const double earned = share.earned_s * quota->second.rate.per_second;
        found = accounts_.emplace(team, account{token_bucket(earned, now), share.credited_fraction})
                    .first;
        apply_limit(team, found->second, now);
    }
    return &found->second;
}

// Requests that gateways admitted are charged even above the quota; the debt delays later ones.
void quota_ledger::apply_totals(reporter& from, const quota_totals& reported, instant now) {
    quota_totals& previous = from.totals[reported.team];
    account* one = find_account(reported.team, now);
    if (one != nullptr) {
        if (reported.admitted > previous.admitted)
            one->bucket.take(static_cast<double>(reported.admitted - previous.admitted), now);
        if (reported.returned > previous.returned)
            one->bucket.refund(static_cast<double>(reported.returned - previous.returned), now);
        update_open(reported.team, *one, now);
    }
    previous = {reported.team, std::max(previous.admitted, reported.admitted),
                std::max(previous.returned, reported.returned)};
}

quota_reply quota_ledger::receive(const entry_id& from, const quota_report& report, instant now) {
    reporter& sender = reporters_[from];
    quota_reply reply;
    reply.epoch = epoch_;
    if (report.incarnation != sender.incarnation)
        sender = {};
    if (report.epoch != epoch_)
        sender.announced_open.clear();
    sender.incarnation = report.incarnation;
    sender.last_seen = now;
    // A report received out of order has outdated totals, but its asks still need answers.
    if (report.sequence > sender.sequence) {
        sender.sequence = report.sequence;
        if (sender.shards != report.shards) {
            sender.shards = report.shards;
            update_shares(now);
        }
        for (const quota_totals& one : report.totals) {
            if (report.epoch == epoch_)
                apply_totals(sender, one, now);
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
    announce_open(sender, reply);
    reply.sequence = sender.sequence;
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
    answer.next_token = one->bucket.time_to_next(now, max_retry_after);
    if (shares_.at(shard_of(team)).fraction == 0) {
        // No gateway contributes its share here: the asking one has another owner, which has not
        // answered it.
        answer.next_token = milliseconds(0);
        answer.retry_after = retry_after_without_share;
        return answer;
    }
    // Rejected callers get successive retry times, at the rate at which tokens arrive.
    const double rate = std::max(quotas_.at(team).rate.per_second, 1e-3);
    const microseconds spacing(static_cast<std::int64_t>(us_per_s / rate));
    one->next_retry_at =
        std::min(std::max(one->next_retry_at, now + answer.next_token - spacing) + spacing,
                 now + max_retry_after);
    answer.retry_after = std::chrono::ceil<milliseconds>(one->next_retry_at - now);
    return answer;
}

void quota_ledger::refund(const team_id& team, instant now) {
    if (account* one = find_account(team, now))
        one->bucket.refund(1, now);
}

// Each gateway asks one owner about a team at a time and contributes 1/fleet size of the rate to
// it, so owners that don't know of each other together grant the rate only once.
void quota_ledger::update_shares(instant now) {
    std::array<std::size_t, quota_shards> asking_gateways{};
    const auto count = [&asking_gateways](shard_set shards) {
        for (std::uint32_t shard = 0; shard < quota_shards; ++shard)
            asking_gateways.at(shard) += has_shard(shards, shard) ? 1 : 0;
    };
    count(own_shards_);
    for (const std::pair<const entry_id, reporter>& one : reporters_)
        count(one.second.shards);
    if (asking_gateways == asking_gateways_ && shares_fleet_size_ == fleet_size_)
        return;
    asking_gateways_ = asking_gateways;
    shares_fleet_size_ = fleet_size_;
    for (std::uint32_t shard = 0; shard < quota_shards; ++shard) {
        shares_.at(shard).fraction = std::min(1.0, static_cast<double>(asking_gateways.at(shard)) /
                                                       static_cast<double>(fleet_size_));
    }
    update_accounts(now);
    for (shard_share& one : shares_)
        one.credited_fraction = std::max(one.credited_fraction, one.fraction);
}

void quota_ledger::update_accounts(instant now) {
    std::erase_if(accounts_, [this](const std::pair<const team_id, account>& one) {
        return quotas_.count(one.first) == 0 || shares_.at(shard_of(one.first)).fraction == 0;
    });
    for (const std::pair<const team_id, teams::quota>& one : quotas_) {
        if (shares_.at(shard_of(one.first)).fraction == 0)
            continue;
        if (account* found = find_account(one.first, now))
            apply_limit(one.first, *found, now);
    }
}

// A gateway that knows a team to be open beforehand admits its first request without asking.
void quota_ledger::announce_open(reporter& to, quota_reply& reply) const {
    for (const std::pair<const team_id, account>& one : accounts_) {
        if (reply.open.size() >= max_announced)
            return;
        if (one.second.open && has_shard(to.shards, shard_of(one.first)) &&
            to.announced_open.insert(one.first).second)
            reply.open.push_back(one.first);
    }
}

// What other owners granted meanwhile isn't known, so all state is dropped under a new epoch.
void quota_ledger::reset(instant now) {
    ++epoch_;
    reporters_.clear();
    accounts_.clear();
    newly_closed_.clear();
    shares_ = {};
    asking_gateways_ = {};
    update_shares(now);
}

std::vector<std::pair<entry_id, quota_reply>> quota_ledger::tick(instant now) {
    if (newly_closed_.empty() && now - ticked_at_ < tick_interval)
        return {};
    if (ticked_at_ != instant() && now - ticked_at_ > freeze_threshold)
        reset(now);
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
            one.fraction == 0 ? 0 : std::min(max_earned_s, one.earned_s + one.fraction * passed_s);
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
