/// Simulation of gateways that enforce quotas, in virtual time.
#pragma once

#include "cassia/policy/quota_enforcer.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace cassia::policy_test {

using namespace cassia::policy;

inline constexpr milliseconds step(5);
inline constexpr milliseconds window(5000);
inline constexpr double window_s = 5;

inline entry_id gateway_name(std::size_t i) {
    return entry_id("g" + std::to_string(i));
}

inline team_id team_name(std::size_t i) {
    return team_id("t" + std::to_string(i));
}

inline teams::quota make_quota(double rate, double burst) {
    return {{rate}, {burst}};
}

/// Load factor of bursty office traffic: 2.4 s of waves after 3.4 s of calm.
inline double wave(double at_s) {
    constexpr double period_s = 5.8;
    constexpr double calm_s = 3.4;
    return std::fmod(at_s, period_s) < calm_s ? 0.383 : 1.87;
}

/// Outcome of one team's requests.
struct team_outcome {
    std::deque<instant> admitted;
    std::size_t total = 0;
    std::size_t wrongly_rejected = 0; ///< though a single bucket for all gateways had admitted them
    std::size_t rejected = 0;
    std::size_t asked = 0;
    token_bucket exact_bucket;

    /// Most requests admitted in any window, less what the quota allows; negative if below.
    double excess(const teams::quota& quota) const {
        double most = 0;
        std::size_t first = 0;
        for (std::size_t last = 0; last < admitted.size(); ++last) {
            while (admitted[last] - admitted[first] >= window)
                ++first;
            most = std::max(most, static_cast<double>(last - first + 1));
        }
        return most - (quota.rate.per_second * window_s + quota.burst.value);
    }
};

/// Gateways with message delays of 2 to 12 ms.
class fleet {
public:
    struct gateway {
        std::unique_ptr<quota_enforcer> enforcer;
        instant frozen_until{};
        // Messages received, but not processed yet.
        std::deque<std::pair<entry_id, quota_report>> held_reports;
        std::deque<std::pair<entry_id, quota_reply>> held_replies;
    };

    fleet(std::size_t count, quota_map quotas, std::uint64_t seed, quota_tolerance allowed = {})
        : tolerance(allowed), quotas_(std::move(quotas)), random_(seed) {
        for (const auto& one : quotas_)
            set_exact(one.first);
        gateways.resize(count);
        for (std::size_t i = 0; i < count; ++i)
            restart(i);
    }

    void restart(std::size_t i) {
        gateways[i] = {};
        gateways[i].enforcer =
            std::make_unique<quota_enforcer>(gateway_name(i), ++incarnations_, tolerance);
        gateways[i].enforcer->set_quotas(quotas_, now);
        std::erase_if(pending_, [i](const auto& one) { return one.first.first == i; });
        update_list(i);
    }
    /// Removes a gateway from the list of live gateways, or adds it.
    void set_listed(std::size_t i, bool is_listed) {
        if (is_listed)
            unlisted_.erase(i);
        else
            unlisted_.insert(i);
        for (std::size_t k = 0; k < gateways.size(); ++k)
            update_list(k);
    }
    void set_quota(const team_id& team, const teams::quota& quota) {
        quotas_[team] = quota;
        set_exact(team);
        for (gateway& one : gateways)
            one.enforcer->set_quotas(quotas_, now);
    }

    void request(std::size_t i, const team_id& team) {
        team_outcome& outcome = outcomes[team];
        ++outcome.total;
        const bool exact_admits = outcome.exact_bucket.level(now) >= 1;
        if (exact_admits)
            outcome.exact_bucket.take(1, now);
        const quota_decision decision = gateways[i].enforcer->admit(team, now);
        if (decision.verdict == quota_verdict::pending) {
            ++outcome.asked;
            pending_[{i, decision.ask}] = {team, exact_admits, now};
            return;
        }
        record_decision(team, decision, exact_admits);
    }

    /// Advances time; \p each_step generates the load.
    void advance(
        milliseconds time, const std::function<void()>& each_step = [] {}) {
        for (const instant end = now + time; now < end; now += step) {
            each_step();
            deliver();
            for (std::size_t i = 0; i < gateways.size(); ++i) {
                if (now >= gateways[i].frozen_until)
                    poll_gateway(i);
            }
        }
    }

    /// Sends a team's requests, as a Poisson process, to random gateways among the first `spread`.
    void offer_load(const team_id& team, double per_second, std::size_t spread) {
        std::poisson_distribution<int> draw(per_second * static_cast<double>(step.count()) / 1000);
        for (int left = draw(random_); left > 0; --left) {
            const std::size_t i = random_() % spread;
            if (now >= gateways[i].frozen_until)
                request(i, team);
        }
    }

    std::size_t owner_of(const team_id& team) const {
        const auto& owners = gateways[0].enforcer->owners();
        for (std::size_t i = 0; i < gateways.size(); ++i) {
            const bool owns =
                std::find(owners.begin(), owners.end(), gateway_name(i)) != owners.end();
            if (owns && gateways[i].enforcer->owns(team))
                return i;
        }
        return gateways.size();
    }

    std::vector<gateway> gateways;
    std::map<team_id, team_outcome> outcomes;
    instant now = instant(std::chrono::seconds(1000));
    std::function<bool(std::size_t from, std::size_t to)> is_connected =
        [](std::size_t, std::size_t) { return true; };
    std::size_t messages = 0;
    quota_tolerance tolerance;
    milliseconds longest_wait{0};

private:
    struct pending_request {
        team_id team;
        bool exact_admits = false;
        instant at{};
    };
    struct in_flight {
        instant at{};
        std::size_t from = 0;
        std::size_t to = 0;
        std::optional<quota_report> report;
        std::optional<quota_reply> reply;
    };

    void set_exact(const team_id& team) {
        const teams::quota& quota = quotas_.at(team);
        outcomes[team].exact_bucket.set_limit(quota.rate.per_second,
                                              std::max(1.0, quota.burst.value), now);
    }
    void update_list(std::size_t i) {
        std::vector<fleet_gateway> others;
        for (std::size_t k = 0; k < gateways.size(); ++k) {
            if (k != i && unlisted_.count(k) == 0)
                others.push_back({gateway_name(k), zone_id("z"), false});
        }
        if (gateways[i].enforcer)
            gateways[i].enforcer->set_gateways(others, now);
    }
    void record_decision(const team_id& team, const quota_decision& decision, bool exact_admits) {
        team_outcome& outcome = outcomes[team];
        if (decision.verdict == quota_verdict::admitted) {
            outcome.admitted.push_back(now);
            return;
        }
        ++outcome.rejected;
        outcome.wrongly_rejected += exact_admits ? 1 : 0;
    }
    void send(std::size_t from, const entry_id& to, std::optional<quota_report> report,
              std::optional<quota_reply> reply) {
        const std::size_t target = std::stoul(to.str().substr(1));
        ++messages;
        if (!is_connected(from, target))
            return;
        std::uniform_int_distribution<int> delay(2, 12);
        in_flight_.push_back({now + milliseconds(delay(random_)), from, target, std::move(report),
                              std::move(reply)});
    }
    void deliver() {
        std::vector<in_flight> due;
        std::erase_if(in_flight_, [this, &due](in_flight& one) {
            if (one.at > now)
                return false;
            due.push_back(std::move(one));
            return true;
        });
        for (in_flight& one : due) {
            gateway& target = gateways[one.to];
            if (one.report)
                target.held_reports.emplace_back(gateway_name(one.from), std::move(*one.report));
            else
                target.held_replies.emplace_back(gateway_name(one.from), std::move(*one.reply));
        }
    }
    void poll_gateway(std::size_t i) {
        gateway& one = gateways[i];
        while (!one.held_reports.empty()) {
            one.enforcer->receive(one.held_reports.front().first, one.held_reports.front().second,
                                  now);
            one.held_reports.pop_front();
        }
        while (!one.held_replies.empty()) {
            one.enforcer->receive(one.held_replies.front().first, one.held_replies.front().second,
                                  now);
            one.held_replies.pop_front();
        }
        quota_output out = one.enforcer->poll(now);
        for (auto& report : out.reports)
            send(i, report.first, std::move(report.second), std::nullopt);
        for (auto& reply : out.replies)
            send(i, reply.first, std::nullopt, std::move(reply.second));
        for (const quota_decision& decision : out.decisions) {
            auto found = pending_.find({i, decision.ask});
            if (found == pending_.end())
                continue;
            if (one.frozen_until < found->second.at)
                longest_wait = std::max(
                    longest_wait, std::chrono::duration_cast<milliseconds>(now - found->second.at));
            record_decision(found->second.team, decision, found->second.exact_admits);
            pending_.erase(found);
        }
    }

    quota_map quotas_;
    std::mt19937_64 random_;
    std::uint64_t incarnations_ = 0;
    std::set<std::size_t> unlisted_;
    std::vector<in_flight> in_flight_;
    std::map<std::pair<std::size_t, std::uint64_t>, pending_request> pending_;
};

} // namespace cassia::policy_test
