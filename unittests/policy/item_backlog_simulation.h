/// Items of jobs in virtual time, of which some crash each endpoint that runs them.
#pragma once

#include "cassia/policy/poison_detector.h"
#include "cassia/policy/trial_schedule.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace cassia::policy {

struct backlog_model {
    std::size_t items = 1200;
    std::size_t one_bad_in = 20; ///< 0: none
    std::size_t endpoints = 6;
    std::size_t slots = 8;
    milliseconds run_time{200};
    milliseconds restart{500}; ///< from a crash until gateways use the endpoint again
    double leases_per_s = 150;
    milliseconds length{120000};
};

struct backlog_result {
    milliseconds sound_done{0}; ///< when the last sound item ended, the length if one is left
    std::size_t sound_left = 0; ///< at the end
    std::size_t crashes = 0;
    std::size_t sound_runs_broken = 0;
    std::size_t bad_quarantined = 0;
    std::size_t sound_quarantined = 0;
    std::size_t most_late_runs = 0; ///< of one item, later than 3 s after its third crash
    milliseconds longest_idle{0};   ///< of a sound item, from its lease or the end of a run
};

class backlog_simulation {
public:
    backlog_simulation(backlog_model model, std::uint64_t seed)
        : model_(model), random_(seed), endpoints_(model.endpoints) {
        items_.resize(model.items);
        for (std::size_t i = 0; i < items_.size(); ++i) {
            items_[i].is_bad = model.one_bad_in > 0 && random_() % model.one_bad_in == 0;
            items_[i].body = fingerprint("item" + std::to_string(i));
            sound_left_ += items_[i].is_bad ? 0 : 1;
        }
    }

    backlog_result run() {
        result_.sound_done = model_.length;
        for (; now_ < start + model_.length && sound_left_ > 0; now_ += step)
            advance();
        if (sound_left_ == 0)
            result_.sound_done = std::chrono::duration_cast<milliseconds>(now_ - start);
        result_.sound_left = sound_left_;
        for (const batch_item& one : items_) {
            if (one.was_quarantined)
                ++(one.is_bad ? result_.bad_quarantined : result_.sound_quarantined);
        }
        return result_;
    }

private:
    static constexpr instant start = instant() + milliseconds(1000000);
    static constexpr milliseconds step{10};
    static constexpr milliseconds schedule_interval{50};
    static constexpr milliseconds verdict_delay{60};
    static constexpr milliseconds failure_delay{150};
    static constexpr milliseconds quarantine_interval{18000};
    static constexpr milliseconds contact_time{3000};
    static constexpr std::size_t max_asked = 192; ///< by three gateways
    static constexpr std::size_t max_ready = 6;

    enum class item_state { unleased, ready, runs, done };
    struct batch_item {
        fingerprint body;
        item_state state = item_state::unleased;
        bool is_bad = false;
        bool was_quarantined = false;
        instant ready_at{};
        instant idle_since{};
        std::size_t runs = 0;
        std::optional<trial_id> trial;
        std::optional<trial_grant> grant;
        std::vector<instant> crashes;
        std::size_t late_runs = 0;
    };
    struct item_run {
        std::size_t item = 0;
        instant sent_at{};
        instant ends_at{};
        bool on_trial = false;
    };
    struct endpoint {
        std::uint64_t incarnation = 1;
        instant up_at{};
        std::vector<item_run> runs;
        std::vector<item_run> ended;
    };

    double uniform() { return std::uniform_real_distribution<double>(0, 1)(random_); }
    static endpoint_id id_of(std::size_t index) { return endpoint_id("e" + std::to_string(index)); }
    static std::size_t index_of(const endpoint_id& id) { return std::stoul(id.str().substr(1)); }
    static trial_key key_of(trial_id trial) { return {entry_id("gateway"), trial}; }

    trial_request request_of(const batch_item& one) const {
        return {key_of(*one.trial), one.body, service_id("llm"), {}, work_kind::batch};
    }

    bool is_usable(const endpoint& one) const {
        return now_ >= one.up_at && one.runs.size() < model_.slots;
    }

    static bool is_reserved(const endpoint& one) {
        return std::any_of(one.runs.begin(), one.runs.end(),
                           [](const item_run& run) { return run.on_trial; });
    }

    void begin_run(std::size_t index, std::size_t number, bool on_trial) {
        batch_item& one = items_[number];
        one.state = item_state::runs;
        ++one.runs;
        if (!one.is_bad)
            result_.longest_idle =
                std::max(result_.longest_idle,
                         std::chrono::duration_cast<milliseconds>(now_ - one.idle_since));
        if (one.crashes.size() >= 3 && now_ > one.crashes[2] + contact_time)
            result_.most_late_runs = std::max(result_.most_late_runs, ++one.late_runs);
        const auto taken =
            std::chrono::duration_cast<milliseconds>(model_.run_time * (0.5 + uniform()));
        endpoints_[index].runs.push_back({number, now_, now_ + taken, on_trial});
    }

    void lease() {
        leases_ += model_.leases_per_s * 0.01;
        std::size_t ready = 0;
        for (const batch_item& one : items_)
            ready += one.state == item_state::ready && !one.trial && now_ >= one.ready_at ? 1 : 0;
        leases_ = std::min(leases_, static_cast<double>(max_ready));
        for (; next_ < items_.size() && leases_ >= 1 && ready < max_ready; ++next_, ++ready) {
            leases_ -= 1;
            items_[next_].state = item_state::ready;
            items_[next_].idle_since = now_;
        }
    }

    void end_trial(batch_item& one, trial_outcome outcome) {
        if (!one.trial)
            return;
        schedule_.end(key_of(*one.trial), outcome, now_);
        one.trial.reset();
        one.grant.reset();
        --asked_;
    }

    void start_ready() {
        for (std::size_t i = 0; i < next_; ++i) {
            batch_item& one = items_[i];
            if (one.state != item_state::ready || now_ < one.ready_at)
                continue;
            const request_verdict verdict = detector_.judge(one.body, now_);
            if (verdict == request_verdict::quarantined) {
                one.was_quarantined = true;
                const poison_record* record = detector_.find(one.body);
                one.ready_at = record->last_crash_at + quarantine_interval;
                if (now_ < one.ready_at) {
                    end_trial(one, trial_outcome::unused);
                    continue;
                }
            }
            if (verdict == request_verdict::unsuspected) {
                end_trial(one, trial_outcome::unused);
                begin_unsuspected(i);
                continue;
            }
            begin_suspect(i);
        }
    }

    void begin_unsuspected(std::size_t number) {
        std::vector<std::size_t> usable;
        for (std::size_t i = 0; i < endpoints_.size(); ++i) {
            if (is_usable(endpoints_[i]) && !is_reserved(endpoints_[i]))
                usable.push_back(i);
        }
        if (!usable.empty())
            begin_run(usable[random_() % usable.size()], number, false);
    }

    void begin_suspect(std::size_t number) {
        batch_item& one = items_[number];
        if (!one.trial) {
            if (asked_ >= max_asked)
                return;
            one.trial = trial_id(++trials_);
            ++asked_;
        }
        schedule_.refresh(request_of(one), now_);
        if (!one.grant)
            return;
        const std::size_t index = index_of(one.grant->endpoint);
        if (is_usable(endpoints_[index]))
            begin_run(index, number, true);
        else
            end_trial(one, trial_outcome::unused);
    }

    trial_schedule::choice choose(const std::set<endpoint_id>& excluded) const {
        std::optional<std::size_t> best;
        for (std::size_t i = 0; i < endpoints_.size(); ++i) {
            if (is_usable(endpoints_[i]) && excluded.count(id_of(i)) == 0 &&
                (!best || endpoints_[i].runs.size() < endpoints_[*best].runs.size()))
                best = i;
        }
        trial_schedule::choice choice;
        choice.limit = max_trials(endpoints_.size());
        if (best) {
            choice.endpoint = id_of(*best);
            choice.places = model_.slots - endpoints_[*best].runs.size();
        }
        return choice;
    }

    void grant_trials() {
        if ((now_ - start) % schedule_interval != microseconds(0))
            return;
        for (const batch_item& one : items_) {
            if (one.state == item_state::runs && one.trial)
                schedule_.refresh(request_of(one), now_);
        }
        const trial_schedule::choose choose_endpoint =
            [this](const trial_request&, const std::set<endpoint_id>& excluded) {
                return choose(excluded);
            };
        const trial_schedule::is_listed listed = [this](const endpoint_id& id) {
            return now_ >= endpoints_[index_of(id)].up_at;
        };
        const trial_schedule::risk_of risk = [this](const fingerprint& one) {
            return detector_.risk_of(one);
        };
        for (const trial_grant& grant : schedule_.poll(now_, choose_endpoint, listed, risk)) {
            for (batch_item& one : items_) {
                if (one.trial == grant.key.id)
                    one.grant = grant;
            }
        }
    }

    void break_run(const item_run& run) {
        batch_item& one = items_[run.item];
        end_trial(one, trial_outcome::crashed);
        one.state = item_state::ready;
        one.idle_since = now_;
        one.ready_at =
            now_ + failure_delay * static_cast<std::int64_t>(std::min<std::size_t>(one.runs, 20));
        result_.sound_runs_broken += one.is_bad ? 0 : 1;
    }

    void crash(std::size_t index) {
        endpoint& at = endpoints_[index];
        ++result_.crashes;
        crash_report report;
        report.process = {id_of(index), at.incarnation++};
        report.service = service_id("llm");
        report.endpoints = static_cast<std::uint32_t>(model_.endpoints);
        report.crashed_at = now_;
        at.up_at = now_ + model_.restart;
        const std::vector<item_run> lost = std::exchange(at.runs, {});
        const std::vector<item_run> ended = std::exchange(at.ended, {});
        const auto add = [this, &report](const item_run& run, bool was_complete) {
            const auto duration = std::chrono::duration_cast<milliseconds>(now_ - run.sent_at);
            report.runs.push_back(
                {items_[run.item].body, duration, was_complete, {}, run.on_trial});
        };
        for (const item_run& run : lost)
            add(run, false);
        for (const item_run& run : ended)
            add(run, true);
        reports_.push_back(report);
        for (const item_run& run : lost)
            break_run(run);
    }

    void end_runs(std::size_t index) {
        endpoint& at = endpoints_[index];
        for (const item_run& run : at.runs) {
            if (now_ >= run.ends_at && items_[run.item].is_bad) {
                items_[run.item].crashes.push_back(now_);
                crash(index);
                return;
            }
        }
        const auto middle =
            std::partition(at.runs.begin(), at.runs.end(),
                           [this](const item_run& run) { return now_ < run.ends_at; });
        for (auto run = middle; run != at.runs.end(); ++run) {
            end_trial(items_[run->item], trial_outcome::completed);
            items_[run->item].state = item_state::done;
            --sound_left_;
            at.ended.push_back(*run);
        }
        at.runs.erase(middle, at.runs.end());
        for (const item_run& run : at.ended) {
            if (now_ - run.ends_at >= late_crash_time &&
                detector_.find(items_[run.item].body) != nullptr)
                detector_.record_successes(items_[run.item].body, 1, now_);
        }
        std::erase_if(at.ended, [this](const item_run& run) {
            return now_ - run.ends_at >= late_crash_time;
        });
    }

    void advance() {
        for (std::size_t i = 0; i < endpoints_.size(); ++i)
            end_runs(i);
        while (!reports_.empty() && now_ - reports_.front().crashed_at >= verdict_delay) {
            detector_.record_crash(reports_.front(), now_ - milliseconds(50));
            reports_.erase(reports_.begin());
        }
        detector_.poll(now_);
        lease();
        start_ready();
        grant_trials();
    }

    backlog_model model_;
    std::mt19937_64 random_;
    std::vector<endpoint> endpoints_;
    std::vector<batch_item> items_;
    std::size_t next_ = 0; ///< the first item that isn't leased
    std::size_t sound_left_ = 0;
    double leases_ = 0;
    std::size_t asked_ = 0;
    std::uint64_t trials_ = 0;
    instant now_ = start;
    std::vector<crash_report> reports_;
    trial_schedule schedule_;
    poison_detector detector_;
    backlog_result result_;
};

} // namespace cassia::policy
