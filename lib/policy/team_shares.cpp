#include "cassia/policy/team_shares.h"

#include <algorithm>
#include <cmath>
#include <utility>
#include <vector>

namespace cassia::policy {

namespace {
// Several runs long, so that single runs don't change the order; short compared with a load wave.
constexpr double half_life_us = 2e6;
// Mean life of use: slots held for long add up to this much each.
constexpr double mean_life_ms = half_life_us / 1000 / 0.6931471805599453;
// Three missed repetitions of a report.
constexpr milliseconds remote_use_timeout(1500);
// Use below this has no effect on the order.
constexpr double negligible_ms = 1;
// A team whose requests arrive at random at its share holds more than this only once in 700 times.
constexpr double max_deviations = 3;
} // namespace

double decay_after(microseconds elapsed) {
    return std::exp2(-static_cast<double>(std::max<std::int64_t>(elapsed.count(), 0)) /
                     half_life_us);
}

void add_team_use(team_use_map& sum, const team_use_map& use, microseconds age) {
    const double factor = decay_after(age);
    for (const std::pair<const team_id, double>& one : use)
        sum[one.first] += factor * one.second;
}

void subtract_team_use(team_use_map& sum, const team_use_map& use, microseconds age) {
    const double factor = decay_after(age);
    for (const std::pair<const team_id, double>& one : use) {
        auto found = sum.find(one.first);
        if (found != sum.end())
            found->second = std::max(0.0, found->second - factor * one.second);
    }
}

team_use_map largest_users(const team_use_map& use) {
    std::vector<std::pair<double, team_id>> ranked;
    for (const std::pair<const team_id, double>& one : use) {
        if (one.second >= negligible_ms)
            ranked.emplace_back(one.second, one.first);
    }
    const std::size_t count = std::min(ranked.size(), max_reported_teams);
    std::partial_sort(ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(count),
                      ranked.end(), std::greater<>());
    team_use_map largest;
    for (std::size_t i = 0; i < count; ++i)
        largest[ranked[i].second] = ranked[i].first;
    return largest;
}

void team_shares::set_weights(const std::map<team_id, double>& weights) {
    weights_ = weights;
    double sum = 0;
    std::size_t count = 0;
    for (const std::pair<const team_id, double>& one : weights_) {
        sum += std::max(one.second, 0.0);
        count += one.second > 0 ? 1 : 0;
    }
    mean_weight_ = count == 0 ? 1 : sum / static_cast<double>(count);
    total_weight_ = mean_weight_ * static_cast<double>(weights_.size());
}

double team_shares::weight(const team_id& team) const {
    auto found = weights_.find(team);
    return found != weights_.end() && found->second > 0 ? found->second : mean_weight_;
}

// Exact for a constant number of held slots.
void team_shares::advance(own_record& record, instant now) {
    const double factor = decay_after(now - record.at);
    record.used_ms = factor * record.used_ms + (1 - factor) * mean_life_ms * record.held;
    record.at = now;
}

// Slots held count ahead for a run each. Without this, a gateway would give all slots that become
// free at the same time to the same team.
double team_shares::use_of(own_record record, instant now) {
    advance(record, now);
    return record.used_ms + static_cast<double>(assumed_run.count()) * record.held;
}

void team_shares::acquire(const team_id& team, instant now) {
    own_record& record = own_[team];
    advance(record, now);
    ++record.held;
}

void team_shares::release(const team_id& team, instant now) {
    auto found = own_.find(team);
    if (found == own_.end() || found->second.held == 0)
        return;
    advance(found->second, now);
    --found->second.held;
}

void team_shares::set_remote_use(const entry_id& holder, team_use_map use, instant now) {
    remote_[holder] = {std::move(use), now};
}

void team_shares::expire(instant now) {
    std::erase_if(remote_, [now](const std::pair<const entry_id, remote_record>& one) {
        return now - one.second.received_at > remote_use_timeout;
    });
    std::erase_if(own_, [now](const std::pair<const team_id, own_record>& one) {
        return use_of(one.second, now) < negligible_ms;
    });
}

team_use_map team_shares::own_use(instant now) const {
    team_use_map use;
    for (const std::pair<const team_id, own_record>& one : own_)
        use[one.first] = use_of(one.second, now);
    return largest_users(use);
}

double team_shares::relative_use(const team_id& team, instant now) const {
    auto own = own_.find(team);
    double use = own == own_.end() ? 0 : use_of(own->second, now);
    for (const std::pair<const entry_id, remote_record>& other : remote_) {
        auto found = other.second.use.find(team);
        const microseconds age = now - other.second.received_at;
        if (found != other.second.use.end() && age <= remote_use_timeout)
            use += decay_after(age) * found->second;
    }
    return use / weight(team);
}

double team_shares::share_of(const team_id& team) const {
    return capacity_ * weight(team) / total_weight_;
}

double team_shares::held_by(const team_id& team, instant now) const {
    return relative_use(team, now) * weight(team) /
           (mean_life_ms + static_cast<double>(assumed_run.count()));
}

double team_shares::part_of_share(const team_id& team, instant now) const {
    return is_enabled() && capacity_ > 0 ? held_by(team, now) / share_of(team) : 0;
}

bool team_shares::is_over_share(const team_id& team, instant now) const {
    if (!is_enabled() || capacity_ == 0)
        return false;
    const double share = share_of(team);
    return held_by(team, now) > share + max_deviations * std::sqrt(share);
}

team_use_map team_shares::total_use(instant now) const {
    team_use_map total;
    for (const std::pair<const team_id, own_record>& one : own_)
        total[one.first] = use_of(one.second, now);
    for (const std::pair<const entry_id, remote_record>& other : remote_) {
        const microseconds age = now - other.second.received_at;
        if (age <= remote_use_timeout)
            add_team_use(total, other.second.use, age);
    }
    return total;
}

} // namespace cassia::policy
