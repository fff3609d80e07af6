// Ways to keep a quota over all gateways, on the same loads. Prints a table: run with "[ways]".

#include "quota_simulation.h"

#include "cassia/policy/admission.h"

#include <catch2/catch.hpp>

#include <cstdio>

using namespace cassia;
using namespace cassia::policy;
using namespace cassia::policy_test;

namespace {

constexpr milliseconds warm_up(20000);
constexpr milliseconds played(30000);
constexpr quota_tolerance tolerance{20, 0.1, 5};
const team_id team = team_name(1);

struct load_case {
    const char* name;
    teams::quota quota;
    std::size_t gateways;
    std::size_t spread;
    double mean;
    bool waves;
    bool all_restart; ///< all processes start again in the middle
};

struct figures {
    team_record record;
    std::size_t messages = 0;
};

double rate_at(const load_case& load, instant from, instant now) {
    const double at_s = static_cast<double>((now - from).count()) / 1e6;
    return load.mean * (load.waves ? wave(at_s) : 1);
}

figures play_owner(const load_case& load, std::uint64_t seed) {
    fleet all(load.gateways, {{team, load.quota}}, seed, tolerance);
    all.advance(warm_up);
    all.messages = 0;
    const instant from = all.now;
    const auto each_step = [&] { all.load(team, rate_at(load, from, all.now), load.spread); };
    all.advance(played / 2, each_step);
    for (std::size_t i = 0; load.all_restart && i < load.gateways; ++i)
        all.restart(i);
    all.advance(played / 2, each_step);
    all.advance(milliseconds(500));
    return {all.outcomes.at(team), all.messages};
}

/// Gateways that decide by themselves; `tell` passes time and counts messages.
template <class Limiter>
figures play_alone(const load_case& load, std::uint64_t seed,
                   const std::function<Limiter(instant)>& make,
                   const std::function<bool(Limiter&, instant)>& admit,
                   const std::function<std::size_t(std::vector<Limiter>&, instant)>& tell) {
    figures out;
    std::mt19937_64 random(seed);
    instant now(std::chrono::seconds(1000));
    const instant from = now + warm_up;
    out.record.exact.set_limit(load.quota.rate.per_second, std::max(1.0, load.quota.burst.value),
                               now);
    std::vector<Limiter> limiters;
    for (std::size_t i = 0; i < load.gateways; ++i)
        limiters.push_back(make(now));
    for (; now < from + played; now += step) {
        const std::size_t messages = tell(limiters, now);
        if (now < from)
            continue;
        out.messages += messages;
        if (load.all_restart && now - from >= played / 2 && now - from < played / 2 + step) {
            for (Limiter& one : limiters)
                one = make(now);
        }
        std::poisson_distribution<int> draw(rate_at(load, from, now) *
                                            static_cast<double>(step.count()) / 1000);
        for (int left = draw(random); left > 0; --left) {
            ++out.record.all;
            const bool exactly = out.record.exact.level(now) >= 1;
            if (exactly)
                out.record.exact.take(1, now);
            if (admit(limiters[random() % load.spread], now)) {
                out.record.admitted.push_back(now);
                continue;
            }
            ++out.record.rejected;
            out.record.wrongly_rejected += exactly ? 1 : 0;
        }
    }
    return out;
}

figures play_equal_shares(const load_case& load, std::uint64_t seed) {
    const double part = 1 / static_cast<double>(load.gateways);
    return play_alone<token_bucket>(
        load, seed,
        [&](instant now) {
            token_bucket bucket;
            bucket.set_limit(load.quota.rate.per_second * part,
                             std::max(1.0, load.quota.burst.value * part), now);
            return bucket;
        },
        [](token_bucket& bucket, instant now) {
            if (bucket.level(now) < 1)
                return false;
            bucket.take(1, now);
            return true;
        },
        [](std::vector<token_bucket>&, instant) { return std::size_t{0}; });
}

figures play_told_rates(const load_case& load, std::uint64_t seed) {
    constexpr milliseconds told_each(500);
    instant told_at{};
    return play_alone<rate_limiter>(
        load, seed,
        [&](instant) {
            rate_limiter limiter;
            limiter.configure(load.quota.rate.per_second, load.quota.burst.value);
            return limiter;
        },
        [](rate_limiter& limiter, instant now) { return limiter.admit(now) == milliseconds(0); },
        [&](std::vector<rate_limiter>& limiters, instant now) {
            if (now - told_at < told_each)
                return std::size_t{0};
            told_at = now;
            double all = 0;
            for (const rate_limiter& one : limiters)
                all += one.own_rate(now);
            for (rate_limiter& one : limiters)
                one.set_remote_rate(all - one.own_rate(now));
            return limiters.size() * (limiters.size() - 1);
        });
}

void print(const load_case& load, const char* way, const figures& got) {
    const team_record& record = got.record;
    const double requests = static_cast<double>(std::max<std::size_t>(record.all, 1));
    std::printf("| %s | %s | %zu | %zu | %.1f | %.0f | %.0f | %.1f |\n", load.name, way, record.all,
                record.admitted.size(),
                1000 * static_cast<double>(record.wrongly_rejected) / requests,
                record.excess(load.quota), 100 * static_cast<double>(record.asked) / requests,
                static_cast<double>(got.messages) / 30);
}

const std::vector<load_case> loads = {
    {"a large team in waves, over 62", quota_of(64, 64), 62, 62, 40, true, false},
    {"the same at one gateway", quota_of(64, 64), 62, 1, 40, true, false},
    {"the same over 246", quota_of(64, 64), 246, 246, 40, true, false},
    {"a small team in waves, over 62", quota_of(3.2, 3.2), 62, 62, 2, true, false},
    {"twice its quota, over 62", quota_of(40, 40), 62, 62, 80, false, false},
    {"twice its quota, all start again", quota_of(40, 40), 62, 62, 80, false, true},
    {"half its quota, all start again", quota_of(40, 40), 62, 62, 20, false, true},
};

} // namespace

TEST_CASE("ways to keep a quota, compared", "[.][ways]") {
    std::printf("| load | way | requests | admitted | wrongly rejected of 1,000 | most beyond the "
                "quota in 5 s | waited for an answer, %% | messages a second |\n");
    std::printf("| --- | --- | --- | --- | --- | --- | --- | --- |\n");
    for (const load_case& load : loads) {
        print(load, "equal shares", play_equal_shares(load, 1));
        print(load, "rates told", play_told_rates(load, 1));
        print(load, "an owner", play_owner(load, 1));
    }
}

TEST_CASE("an owner admits more than equal shares and less beyond the quota than told rates",
          "[policy]") {
    const load_case& small = loads[3];
    CHECK(play_owner(small, 2).record.wrongly_rejected <
          play_equal_shares(small, 2).record.wrongly_rejected);
    const load_case& over_quota = loads[4];
    CHECK(play_owner(over_quota, 2).record.excess(over_quota.quota) <
          play_told_rates(over_quota, 2).record.excess(over_quota.quota));
}
