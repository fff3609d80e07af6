// Which items run next that wait for a quarantined part of prompts.

#include "cassia/policy/trial_schedule.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

using namespace cassia;
using namespace cassia::policy;

namespace {

constexpr instant start = instant() + milliseconds(1000000);
constexpr milliseconds step(10);
constexpr milliseconds max_untried(20000);
constexpr std::size_t slots = 8;
const fingerprint part("part");
const service_id service("llm");

/// Items with one quarantined part, and endpoints that some of them crash.
class waiting_items {
public:
    struct model {
        std::size_t items = 20;
        std::size_t bad = 0;        ///< of these, those that crash endpoints whatever their part
        milliseconds bad_for{0};    ///< how long the part crashes endpoints
        milliseconds to_crash{50};  ///< from the beginning of a run
        milliseconds run_time{200}; ///< of a sound run
        milliseconds length{60000};
        std::size_t endpoints = 9;
        milliseconds restart{1000};
    };
    struct result {
        milliseconds longest_untried{0};              ///< of an item that hasn't ended
        std::optional<milliseconds> first_survived{}; ///< end of the first sound run
        std::size_t crashes = 0;
        std::size_t most_at_risk =
            0; ///< endpoints with runs of the items at once, while they crash
    };

    waiting_items(const model& model, std::uint64_t seed)
        : model_(model), random_(seed), endpoints_(model.endpoints, start), items_(model.items) {
        std::vector<std::size_t> order(model.items);
        for (std::size_t i = 0; i < order.size(); ++i)
            order[i] = i;
        std::shuffle(order.begin(), order.end(), random_);
        for (std::size_t i = 0; i < model.bad; ++i)
            items_[order[i]].is_bad = true;
    }

    result run() {
        for (; now_ < start + model_.length; now_ += step)
            advance();
        for (const item& one : items_)
            note_idle(one);
        return result_;
    }

private:
    struct item {
        bool is_bad = false;
        bool is_done = false;
        instant idle_since = start;
        std::uint32_t crashes = 0;
        instant alone_until{};
        bool is_shared = false;
        std::optional<std::size_t> endpoint{};
        instant began_at{};
    };

    void note_idle(const item& one) {
        if (!one.is_done && !one.endpoint)
            result_.longest_untried =
                std::max(result_.longest_untried,
                         std::chrono::duration_cast<milliseconds>(now_ - one.idle_since));
    }

    bool crashes(const item& one) const {
        return (one.is_bad || now_ < start + model_.bad_for) &&
               now_ - one.began_at >= model_.to_crash;
    }

    static trial_key key_of(std::size_t index) {
        return {entry_id("gateway"), trial_id(index + 1)};
    }

    void end_run(std::size_t index, trial_outcome outcome) {
        items_[index].endpoint.reset();
        items_[index].idle_since = now_;
        schedule_.end(key_of(index), outcome, now_);
    }

    void crash(std::size_t endpoint) {
        ++result_.crashes;
        endpoints_[endpoint] = now_ + model_.restart;
        for (std::size_t i = 0; i < items_.size(); ++i) {
            if (items_[i].endpoint != endpoint)
                continue;
            if (!items_[i].is_shared) {
                ++items_[i].crashes;
                items_[i].alone_until = now_;
            }
            end_run(i, trial_outcome::crashed);
        }
    }

    void advance() {
        std::set<std::size_t> at_risk;
        for (std::size_t i = 0; i < items_.size(); ++i) {
            item& one = items_[i];
            if (!one.endpoint)
                continue;
            at_risk.insert(*one.endpoint);
            if (crashes(one)) {
                crash(*one.endpoint);
            } else if (now_ - one.began_at >= model_.run_time) {
                one.is_done = true;
                if (!result_.first_survived)
                    result_.first_survived = std::chrono::duration_cast<milliseconds>(now_ - start);
                end_run(i, trial_outcome::completed);
            }
        }
        if (now_ < start + model_.bad_for)
            result_.most_at_risk = std::max(result_.most_at_risk, at_risk.size());
        grant();
    }

    void grant() {
        for (std::size_t i = 0; i < items_.size(); ++i) {
            const item& one = items_[i];
            if (!one.is_done)
                schedule_.refresh({key_of(i),
                                   part,
                                   service,
                                   {},
                                   work_kind::batch,
                                   retry_history{one.idle_since, one.crashes, one.alone_until}},
                                  now_);
        }
        const trial_schedule::choose choose = [this](const trial_request&,
                                                     const std::set<endpoint_id>& excluded) {
            trial_schedule::choice choice{std::nullopt, max_trials(endpoints_.size()), slots};
            for (std::size_t i = 0; i < endpoints_.size() && !choice.endpoint; ++i) {
                const endpoint_id id("e" + std::to_string(i));
                if (now_ >= endpoints_[i] && excluded.count(id) == 0)
                    choice.endpoint = id;
            }
            return choice;
        };
        for (const trial_grant& grant : schedule_.poll(now_, choose)) {
            const std::size_t index = grant.key.id.value() - 1;
            note_idle(items_[index]);
            items_[index].endpoint = std::stoul(grant.endpoint.str().substr(1));
            items_[index].began_at = now_;
            items_[index].is_shared = grant.shared;
        }
    }

    model model_;
    std::mt19937_64 random_;
    instant now_ = start;
    std::vector<instant> endpoints_; ///< when each is up
    std::vector<item> items_;
    trial_schedule schedule_;
    result result_;
};

} // namespace

// Guards against items that no longer run since others with the same quarantined part do.
TEST_CASE("each item with a quarantined part runs within 20 s of its last run", "[retries]") {
    waiting_items::model model;
    model.items = GENERATE(1U, 2U, 17U, 62U, 150U);
    model.bad_for = model.length;
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        const waiting_items::result result = waiting_items(model, seed).run();
        CAPTURE(model.items, seed, result.crashes);
        CHECK(result.longest_untried <= max_untried);
        // As many as if one item at a time ran, or one each three seconds.
        const auto one_at_a_time = model.items * (model.length / max_untried);
        const auto at_intervals = static_cast<std::size_t>(model.length / retry_interval);
        CHECK(result.crashes <= std::max(one_at_a_time, at_intervals));
        CHECK(result.most_at_risk <= 1);
    }
}

// Guards against items that are idle since groups of them run one after the other, and against more
// endpoints at risk than suspects may use.
TEST_CASE("items with a quarantined part run in time if they take long to crash", "[retries]") {
    waiting_items::model model;
    model.items = GENERATE(17U, 62U, 150U);
    model.to_crash = milliseconds(GENERATE(500, 1000, 2000, 2900));
    model.run_time = milliseconds(4000);
    model.length = milliseconds(120000);
    model.bad_for = model.length;
    const waiting_items::result result = waiting_items(model, 1).run();
    CAPTURE(model.items, model.to_crash.count(), result.most_at_risk);
    CHECK(result.longest_untried <= max_untried);
    CHECK(result.most_at_risk <= max_trials(model.endpoints));
    CHECK(result.crashes <= model.items * (model.length / max_untried));
}

// Guards against a part that stays quarantined after it has crashed its last endpoint.
TEST_CASE("an item runs soon after its quarantined part has recovered", "[retries]") {
    waiting_items::model model;
    model.items = GENERATE(2U, 17U, 62U);
    model.bad_for = milliseconds(GENERATE(2000, 6000, 12000));
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        const waiting_items::result result = waiting_items(model, seed).run();
        CAPTURE(model.items, model.bad_for.count(), seed);
        REQUIRE(result.first_survived);
        CHECK(*result.first_survived <= model.bad_for + milliseconds(5000));
    }
}

// Guards against sound items that wait behind crashing ones with the same quarantined part.
TEST_CASE("a sound item runs soon although others with its part crash endpoints", "[retries]") {
    waiting_items::model model;
    model.items = GENERATE(10U, 60U);
    model.bad = model.items / GENERATE(4U, 2U);
    milliseconds latest(0);
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        const waiting_items::result result = waiting_items(model, seed).run();
        CAPTURE(model.items, model.bad, seed);
        REQUIRE(result.first_survived);
        latest = std::max(latest, *result.first_survived);
    }
    CHECK(latest <= milliseconds(20000));
}
