/// A fleet in virtual time whose prompts share parts, one of which may crash endpoints.
#pragma once

#include "part_model.h"

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

class part_simulation {
public:
    part_simulation(const part_model& model, std::uint64_t seed)
        : model_(model), random_(seed), endpoints_(static_cast<std::size_t>(model.endpoints)),
          history_(model.gateways), survived_runs_(model.gateways) {}

    part_result run() {
        for (; now_ < begin + model_.history + model_.length; now_ += step)
            advance();
        for (const std::string& cause : quarantined_) {
            if (cause[0] == 'B')
                ++result_.quarantined;
            else
                result_.innocent.insert(cause);
        }
        for (const std::pair<const std::string, std::size_t>& late : late_runs_)
            result_.late_runs = std::max(result_.late_runs, late.second);
        return result_;
    }

private:
    using request = part_request;
    static constexpr milliseconds step{10};
    static constexpr instant begin = instant() + milliseconds(1000000);
    static constexpr int max_runs = 4; ///< two attempts of a caller at two endpoints each
    static constexpr milliseconds max_wait{4000};
    static constexpr milliseconds caller_pause{100};
    static constexpr milliseconds contact_time{3000};

    struct running {
        request what;
        instant began_at{};
        instant ends_at{};
        bool alone = false;
        std::optional<std::string> crashes_by{};
    };
    struct endpoint {
        std::uint64_t incarnation = 1;
        instant up_at{};
        std::vector<running> runs;
        std::vector<running> ended;
    };

    double uniform() { return std::uniform_real_distribution<double>(0, 1)(random_); }
    /// How many events of this rate happen in a step.
    int events(double per_s) { return std::poisson_distribution<int>(per_s * 0.01)(random_); }
    static endpoint_id id_of(std::size_t index) { return endpoint_id("e" + std::to_string(index)); }
    static trial_key key_of(trial_id trial) { return {entry_id("gateway"), trial}; }
    request make_request() {
        return make_part_request(random_, ++last_body_, model_.gateways, now_);
    }

    request_verdict verdict(const std::string& cause) {
        const request_verdict found = detector_.judge(fingerprint(cause), now_);
        if (found == request_verdict::quarantined)
            quarantined_.insert(cause);
        return found;
    }

    /// The cause that has the gravest verdict, of these the one with the highest odds.
    std::pair<request_verdict, std::string> judge(const request& one) {
        std::pair<request_verdict, std::string> worst(verdict(one.body), one.body);
        for (const std::string& part : one.parts) {
            const request_verdict found = verdict(part);
            if (found == request_verdict::unsuspected || found < worst.first)
                continue;
            if (found > worst.first || detector_.find(fingerprint(part))->log_odds >
                                           detector_.find(fingerprint(worst.second))->log_odds)
                worst = {found, part};
        }
        return worst;
    }

    void place(request one) {
        const std::pair<request_verdict, std::string> judged = judge(one);
        const bool is_sound = !one.crashes_by();
        const bool waited = now_ - one.sent_at >= milliseconds(1000);
        if (judged.first == request_verdict::quarantined) {
            result_.refused += is_sound ? 1 : 0;
            return;
        }
        if (judged.first == request_verdict::suspect) {
            one.was_suspect = true;
            if (one.trial == trial_id())
                one.trial = trial_id(++last_trial_);
            if (now_ - one.sent_at >= max_wait)
                result_.delayed += is_sound ? 1 : 0;
            else
                suspects_.emplace_back(one, judged.second);
            return;
        }
        const std::vector<std::size_t> usable = usable_endpoints();
        if (usable.empty() && now_ - one.sent_at < max_wait)
            waiting_.push_back(one);
        if (usable.empty())
            return;
        result_.delayed += is_sound && one.was_suspect && waited ? 1 : 0;
        start(usable[random_() % usable.size()], one, false);
    }

    std::vector<std::size_t> usable_endpoints() const {
        std::vector<std::size_t> usable;
        for (std::size_t i = 0; i < endpoints_.size(); ++i) {
            const endpoint& one = endpoints_[i];
            const bool reserved = std::any_of(one.runs.begin(), one.runs.end(),
                                              [](const running& run) { return run.alone; });
            if (now_ >= one.up_at && !reserved && one.runs.size() < model_.slots)
                usable.push_back(i);
        }
        return usable;
    }

    void start(std::size_t index, request one, bool alone) {
        const std::optional<std::string> cause = one.crashes_by();
        const std::vector<instant>& crashes = crashes_of_[cause.value_or("")];
        const std::size_t tolerated = tolerated_crashes(cause.value_or(""));
        if (crashes.size() >= tolerated && now_ > crashes[tolerated - 1] + contact_time)
            ++late_runs_[*cause];
        ++one.runs;
        // Draws nothing in the other models, whose seeds stay as they are.
        const bool will_crash = cause && (model_.bad_share >= 1 || uniform() < model_.bad_share);
        const milliseconds time = will_crash ? model_.bad_time : model_.sound_time;
        const auto taken = std::chrono::duration_cast<milliseconds>(time * (0.5 + uniform()));
        endpoints_[index].runs.push_back(
            {one, now_, now_ + taken, alone, will_crash ? cause : std::nullopt});
    }

    void begin_trials() {
        const trial_schedule::choose fewest_runs =
            [this](const trial_request& asked,
                   const std::set<endpoint_id>& excluded) -> trial_schedule::choice {
            if (detector_.awaits_control(asked.request, asked.service, now_))
                return {};
            std::optional<std::size_t> best;
            for (const std::size_t index : usable_endpoints()) {
                if (excluded.count(id_of(index)) == 0 &&
                    (!best || endpoints_[index].runs.size() < endpoints_[*best].runs.size()))
                    best = index;
            }
            return {best ? std::optional<endpoint_id>(id_of(*best)) : std::nullopt,
                    max_trials(endpoints_.size())};
        };
        for (const std::pair<request, std::string>& one : std::exchange(suspects_, {})) {
            const std::size_t before = suspects_.size();
            place(one.first);
            if (suspects_.size() == before) {
                schedule_.end(key_of(one.first.trial), trial_outcome::unused, now_);
                continue;
            }
            schedule_.refresh({key_of(one.first.trial),
                               fingerprint(suspects_.back().second),
                               service_id("llm"),
                               {}},
                              now_);
        }
        for (const endpoint& at : endpoints_) {
            for (const running& run : at.runs) {
                if (run.alone)
                    schedule_.refresh({key_of(run.what.trial), {}, {}, {}}, now_);
            }
        }
        for (const trial_grant& grant : schedule_.poll(now_, fewest_runs)) {
            auto found =
                std::find_if(suspects_.begin(), suspects_.end(),
                             [&grant](const auto& one) { return one.first.trial == grant.key.id; });
            const request granted = found->first;
            suspects_.erase(found);
            const bool waited = now_ - granted.sent_at >= milliseconds(1000);
            result_.delayed += !granted.crashes_by() && waited ? 1 : 0;
            start(std::stoul(grant.endpoint.str().substr(1)), granted, true);
        }
    }

    void send_again(const running& lost) {
        request again = lost.what;
        again.trial = trial_id();
        if (again.runs >= max_runs)
            return;
        const bool same_attempt = again.runs % 2 == 1;
        if (same_attempt && judge(again).first == request_verdict::unsuspected) {
            place(again);
            return;
        }
        again.runs += same_attempt ? 1 : 0;
        if (again.runs < max_runs)
            later_.emplace(now_ + caller_pause, again);
    }

    void crash(std::size_t index) {
        endpoint& one = endpoints_[index];
        if (now_ < one.up_at)
            return;
        const std::vector<running> lost = std::exchange(one.runs, {});
        const std::vector<running> ended = std::exchange(one.ended, {});
        for (std::size_t gateway = 0; gateway < model_.gateways; ++gateway) {
            crash_report report;
            report.process = {id_of(index), one.incarnation};
            report.service = service_id("llm");
            report.endpoints = static_cast<std::uint32_t>(model_.endpoints);
            report.crashed_at = now_;
            report.gateway = entry_id("g" + std::to_string(gateway));
            report.survived_runs = survived_runs_[gateway];
            for (const std::vector<running>* runs : {&lost, &ended}) {
                for (const running& run : *runs) {
                    if (run.what.gateway == gateway)
                        add_run(report, run, runs == &ended);
                }
            }
            if (!report.runs.empty())
                reports_.push_back(report);
        }
        ++one.incarnation;
        one.up_at = now_ + model_.restart;
        for (const running& run : lost) {
            if (run.alone)
                schedule_.end(key_of(run.what.trial), trial_outcome::crashed, now_);
            send_again(run);
        }
    }

    void add_run(crash_report& report, const running& run, bool was_complete) {
        crashed_run reported{fingerprint(run.what.body),
                             std::chrono::duration_cast<milliseconds>(now_ - run.began_at),
                             was_complete,
                             {},
                             run.alone};
        for (const std::string& part : run.what.parts) {
            reported.parts.emplace_back(part);
            report.parts.push_back(
                {fingerprint(part), history_[run.what.gateway][fingerprint(part)]});
        }
        report.runs.push_back(reported);
    }

    void end_runs(std::size_t index) {
        endpoint& one = endpoints_[index];
        std::vector<running> left;
        for (const running& run : std::exchange(one.runs, {})) {
            const bool crashes = run.crashes_by.has_value();
            if (now_ < run.ends_at || (crashes && model_.bad_delay == milliseconds(0))) {
                left.push_back(run);
                continue;
            }
            one.ended.push_back(run);
            if (run.alone)
                schedule_.end(key_of(run.what.trial), trial_outcome::completed, now_);
        }
        one.runs = left;
        for (const std::vector<running>* runs : {&one.runs, &one.ended}) {
            for (const running& run : *runs) {
                const std::optional<std::string>& cause = run.crashes_by;
                if (!cause || now_ < run.ends_at + model_.bad_delay)
                    continue;
                ++result_.crashes;
                crashes_of_[*cause].push_back(now_);
                crash(index);
                return;
            }
        }
        for (const running& run : one.ended) {
            if (now_ - run.ends_at >= late_crash_time)
                record_survived(run);
        }
        std::erase_if(one.ended,
                      [this](const running& run) { return now_ - run.ends_at >= late_crash_time; });
    }

    void record_survived(const running& run) {
        const request& one = run.what;
        result_.served_bad += one.crashes_by() ? 1 : 0;
        ++survived_runs_[one.gateway];
        if (detector_.find(fingerprint(one.body)) != nullptr)
            detector_.record_successes(fingerprint(one.body), 1, now_);
        for (const std::string& part : one.parts) {
            ++history_[one.gateway][fingerprint(part)];
            const poison_record* record = detector_.find(fingerprint(part));
            if (record == nullptr)
                continue;
            const bool is_retry = run.alone && poison_detector::is_cleared_by_retries(*record) &&
                                  run.began_at > record->last_crash_at;
            detector_.record_successes(fingerprint(part), 1, now_);
            if (is_retry)
                detector_.record_retry_success(fingerprint(part), now_);
        }
    }

    // All gateways report what they know of a part that comes under suspicion.
    void report_history(const poison_record& record) {
        for (std::map<fingerprint, std::uint32_t>& history : history_) {
            if (record.is_part)
                detector_.record_history({record.request, history[record.request]}, now_);
        }
    }

    void outage() {
        if (model_.outage_interval == milliseconds(0) || now_ < begin + model_.history)
            return;
        if ((now_ - begin) % model_.outage_interval == microseconds(0)) {
            instant at = now_;
            for (std::size_t i = 0; i < endpoints_.size(); ++i) {
                if (uniform() >= model_.outage_share)
                    continue;
                outages_.emplace(at, i);
                at += model_.outage_step;
            }
        }
        for (; !outages_.empty() && outages_.begin()->first <= now_;
             outages_.erase(outages_.begin()))
            crash(outages_.begin()->second);
    }

    void send_new() {
        for (int i = events(model_.sound_per_s); i > 0; --i, ++result_.sound)
            place(make_request());
        for (int i = events(model_.companion_per_s); i > 0; --i, ++result_.sound) {
            request one = make_request();
            one.parts.emplace_back("companion");
            place(one);
        }
        if (now_ < begin + model_.history) {
            send_sound_history();
            return;
        }
        for (int part = 0; part < model_.bad_parts; ++part) {
            for (int i = events(model_.bad_per_s); i > 0; --i) {
                request one = make_request();
                one.parts[model_.bad_position] = "B" + std::to_string(part);
                if (uniform() < model_.companion_share)
                    one.parts.emplace_back("companion");
                place(one);
            }
        }
        for (int body = 0; body < model_.bad_bodies; ++body) {
            for (int i = events(model_.bad_body_per_s); i > 0; --i) {
                request one = make_request();
                one.body = "Body" + std::to_string(body);
                one.parts = {"first", rare_part_or(body, "second1"), "third1"};
                place(one);
            }
            for (int i = events(model_.rare_sound_per_s); i > 0; --i, ++result_.sound) {
                request one = make_request();
                one.parts[1] = rare_part_or(body, "second1");
                place(one);
            }
        }
    }

    void send_sound_history() {
        // Draws nothing in the other models, whose seeds stay as they are.
        if (model_.sound_history_per_s <= 0)
            return;
        for (int part = 0; part < model_.bad_parts; ++part) {
            for (int i = events(model_.sound_history_per_s); i > 0; --i, ++result_.sound) {
                request one = make_request();
                one.parts[model_.bad_position] = "B" + std::to_string(part);
                one.is_sound = true;
                place(one);
            }
        }
    }

    std::string rare_part_or(int body, const std::string& common) const {
        return model_.rare_parts ? "rare" + std::to_string(body) : common;
    }

    void note_suspicion() {
        for (const std::string part : {"first", "third0", "third1", "companion"}) {
            instant& since = suspected_since_[part];
            if (verdict(part) == request_verdict::unsuspected)
                since = now_;
            else if (since != instant())
                result_.longest_suspicion =
                    std::max(result_.longest_suspicion,
                             std::chrono::duration_cast<milliseconds>(now_ - since));
        }
    }

    void advance() {
        for (std::size_t i = 0; i < endpoints_.size(); ++i)
            end_runs(i);
        outage();
        for (const request& one : std::exchange(waiting_, {}))
            place(one);
        for (; !later_.empty() && later_.begin()->first <= now_; later_.erase(later_.begin()))
            place(later_.begin()->second);
        send_new();
        while (!reports_.empty() && now_ - reports_.front().crashed_at >= model_.verdict_delay) {
            detector_.record_crash(reports_.front(), now_ - milliseconds(50));
            reports_.erase(reports_.begin());
        }
        for (const poison_record& changed : detector_.poll(now_).changed)
            report_history(changed);
        note_suspicion();
        begin_trials();
    }

    part_model model_;
    std::mt19937_64 random_;
    instant now_ = begin;
    std::vector<endpoint> endpoints_;
    std::vector<std::map<fingerprint, std::uint32_t>> history_; ///< of each gateway
    std::vector<std::uint32_t> survived_runs_;                  ///< of each gateway
    std::vector<crash_report> reports_;
    std::vector<request> waiting_; ///< for a slot
    std::vector<std::pair<request, std::string>> suspects_;
    std::multimap<instant, request> later_; ///< callers' next attempts
    std::multimap<instant, std::size_t> outages_;
    std::uint64_t last_body_ = 0;
    std::uint64_t last_trial_ = 0;
    trial_schedule schedule_;
    std::map<std::string, std::vector<instant>> crashes_of_;
    std::map<std::string, std::size_t> late_runs_;
    std::map<std::string, instant> suspected_since_;
    std::set<std::string> quarantined_;
    poison_detector detector_;
    part_result result_;
};

} // namespace cassia::policy
