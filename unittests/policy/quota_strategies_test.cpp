// Compares strategies for fleet-wide quotas on the same loads. Prints a table if run with "[ways]".

#include "quota_simulation.h"

#include "cassia/policy/admission.h"

#include <catch2/catch.hpp>

#include <cstdio>

using namespace cassia;
using namespace cassia::policy;
using namespace cassia::policy_test;

namespace {

constexpr milliseconds warm_up(20000);
constexpr milliseconds run_time(30000);
constexpr quota_tolerance tolerance{20, 0.1, 5};
const team_id team = team_name(1);

struct load_case {
    const char* name;
    teams::quota quota;
    std::size_t gateways;
    std::size_t spread;
    double mean;
    bool waves;
    bool all_restart; ///< all processes restart halfway
};

struct run_result {
    team_outcome record;
    std::size_t messages = 0;
};

double rate_at(const load_case& load, instant from, instant now) {
    const double at_s = static_cast<double>((now - from).count()) / 1e6;
    return load.mean * (load.waves ? wave(at_s) : 1);
}

run_result run_with_owner(const load_case& load, std::uint64_t seed) {
    fleet sim(load.gateways, {{team, load.quota}}, seed, tolerance);
    sim.advance(warm_up);
    sim.messages = 0;
    const instant from = sim.now;
    const auto each_step = [&] { sim.offer_load(team, rate_at(load, from, sim.now), load.spread); };
    sim.advance(run_time / 2, each_step);
    for (std::size_t i = 0; load.all_restart && i < load.gateways; ++i)
        sim.restart(i);
    sim.advance(run_time / 2, each_step);
    sim.advance(milliseconds(500));
    return {sim.outcomes.at(team), sim.messages};
}

/// Simulates gateways that decide locally; `exchange` shares state and returns the messages sent.
template <class Limiter>
run_result
run_independent(const load_case& load, std::uint64_t seed,
                const std::function<Limiter(instant)>& make,
                const std::function<bool(Limiter&, instant)>& admit,
                const std::function<std::size_t(std::vector<Limiter>&, instant)>& exchange) {
    run_result out;
    std::mt19937_64 random(seed);
    instant now(std::chrono::seconds(1000));
    const instant from = now + warm_up;
    out.record.exact_bucket.set_limit(load.quota.rate.per_second,
                                      std::max(1.0, load.quota.burst.value), now);
    std::vector<Limiter> limiters;
    for (std::size_t i = 0; i < load.gateways; ++i)
        limiters.push_back(make(now));
    for (; now < from + run_time; now += step) {
        const std::size_t messages = exchange(limiters, now);
        if (now < from)
            continue;
        out.messages += messages;
        if (load.all_restart && now - from >= run_time / 2 && now - from < run_time / 2 + step) {
            for (Limiter& one : limiters)
                one = make(now);
        }
        std::poisson_distribution<int> draw(rate_at(load, from, now) *
                                            static_cast<double>(step.count()) / 1000);
        for (int left = draw(random); left > 0; --left) {
            ++out.record.total;
            const bool exact_admits = out.record.exact_bucket.level(now) >= 1;
            if (exact_admits)
                out.record.exact_bucket.take(1, now);
            if (admit(limiters[random() % load.spread], now)) {
                out.record.admitted.push_back(now);
                continue;
            }
            ++out.record.rejected;
            out.record.wrongly_rejected += exact_admits ? 1 : 0;
        }
    }
    return out;
}

run_result run_with_equal_shares(const load_case& load, std::uint64_t seed) {
    const double part = 1 / static_cast<double>(load.gateways);
    return run_independent<token_bucket>(
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

run_result run_with_shared_rates(const load_case& load, std::uint64_t seed) {
    constexpr milliseconds share_interval(500);
    instant shared_at{};
    return run_independent<rate_limiter>(
        load, seed,
        [&](instant) {
            rate_limiter limiter;
            limiter.configure(load.quota.rate.per_second, load.quota.burst.value);
            return limiter;
        },
        [](rate_limiter& limiter, instant now) { return limiter.admit(now) == milliseconds(0); },
        [&](std::vector<rate_limiter>& limiters, instant now) {
            if (now - shared_at < share_interval)
                return std::size_t{0};
            shared_at = now;
            double all = 0;
            for (const rate_limiter& one : limiters)
                all += one.own_rate(now);
            for (rate_limiter& one : limiters)
                one.set_remote_rate(all - one.own_rate(now));
            return limiters.size() * (limiters.size() - 1);
        });
}

void print(const load_case& load, const char* strategy, const run_result& result) {
    const team_outcome& record = result.record;
    const double requests = static_cast<double>(std::max<std::size_t>(record.total, 1));
    std::printf("| %s | %s | %zu | %zu | %.1f | %.0f | %.0f | %.1f |\n", load.name, strategy,
                record.total, record.admitted.size(),
                1000 * static_cast<double>(record.wrongly_rejected) / requests,
                record.excess(load.quota), 100 * static_cast<double>(record.asked) / requests,
                static_cast<double>(result.messages) / 30);
}

const std::vector<load_case> loads = {
    {"a large team in waves, over 62", make_quota(64, 64), 62, 62, 40, true, false},
    {"the same at one gateway", make_quota(64, 64), 62, 1, 40, true, false},
    {"the same over 246", make_quota(64, 64), 246, 246, 40, true, false},
    {"a small team in waves, over 62", make_quota(3.2, 3.2), 62, 62, 2, true, false},
    {"twice its quota, over 62", make_quota(40, 40), 62, 62, 80, false, false},
    {"twice its quota, all start again", make_quota(40, 40), 62, 62, 80, false, true},
    {"half its quota, all start again", make_quota(40, 40), 62, 62, 20, false, true},
};

} // namespace

TEST_CASE("comparison of quota strategies", "[.][ways]") {
    std::printf("| load | way | requests | admitted | wrongly rejected of 1,000 | most beyond the "
                "quota in 5 s | waited for an answer, %% | messages a second |\n");
    std::printf("| --- | --- | --- | --- | --- | --- | --- | --- |\n");
    for (const load_case& load : loads) {
        print(load, "equal shares", run_with_equal_shares(load, 1));
        print(load, "shared rates", run_with_shared_rates(load, 1));
        print(load, "an owner", run_with_owner(load, 1));
    }
}

TEST_CASE("an owner rejects less than equal shares and exceeds the quota less than shared rates",
          "[policy]") {
    const load_case& small = loads[3];
    CHECK(run_with_owner(small, 2).record.wrongly_rejected <
          run_with_equal_shares(small, 2).record.wrongly_rejected);
    const load_case& over_quota = loads[4];
    CHECK(run_with_owner(over_quota, 2).record.excess(over_quota.quota) <
          run_with_shared_rates(over_quota, 2).record.excess(over_quota.quota));
}
