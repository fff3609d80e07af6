/// A fleet in virtual time whose requests crash endpoints or are hit by crashes with other causes.
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

struct poison_model {
    int endpoints = 12;
    int slots = 8;
    milliseconds restart{3000};
    double innocents_per_s = 30;
    milliseconds innocent_time{600};
    int innocent_bodies = 0; ///< innocents choose among so many bodies; 0: each has its own
    int poisons = 0;         ///< different bodies
    double poison_per_s = 6; ///< of each body
    int poison_copies = 1;   ///< of a body, sent at the same moment
    milliseconds poison_time{80};
    int poison_every = 1;         ///< each run of this number crashes
    milliseconds poison_delay{0}; ///< from the end of a run to its crash
    /// Share of the endpoints that crash together for another reason, and how often.
    double outage_share = 0;
    milliseconds outage_interval{0};
    milliseconds length{30000};
    milliseconds verdict_delay{60}; ///< from a report to the verdict at all gateways
};

struct poison_result {
    std::size_t crashes = 0; ///< that poison caused
    std::size_t innocents_quarantined = 0;
    std::size_t poisons_quarantined = 0;
    std::size_t most_late_runs = 0; ///< of one body, later than 3 s after its third crash
    std::size_t innocents_served = 0;
    std::size_t innocents_sent = 0;
    std::size_t records = 0;
};

inline constexpr milliseconds contact_time(3000);

class poison_simulation {
public:
    poison_simulation(poison_model model, std::uint64_t seed) : model_(model), random_(seed) {
        endpoints_.resize(static_cast<std::size_t>(model.endpoints));
    }

    poison_result run() {
        for (; now_ < instant() + offset + model_.length; now_ += step)
            advance();
        result_.records = detector_.size();
        for (const std::string& body : quarantined_)
            ++(body[0] == 'p' ? result_.poisons_quarantined : result_.innocents_quarantined);
        return result_;
    }

private:
    static constexpr milliseconds step{10};
    static constexpr milliseconds offset{1000000};
    static constexpr int max_runs = 4; ///< two attempts of a caller at two endpoints each
    static constexpr milliseconds max_detection_time{15};
    static constexpr milliseconds max_wait{4000};
    static constexpr milliseconds caller_pause{100}; ///< between these attempts

    struct request_run {
        std::string body;
        instant sent_at{};
        instant ends_at{};
        bool crashes = false;
        int runs = 1;
        std::optional<trial_id> trial; ///< of a suspect, which runs alone
    };
    struct waiting_request {
        std::string body;
        instant since{};
        int runs = 1;
        trial_id trial; ///< of a suspect
    };
    struct endpoint {
        std::uint64_t incarnation = 1;
        instant up_at{};
        std::vector<request_run> runs;
        std::vector<request_run> ended; ///< that may still crash it
    };

    double uniform() { return std::uniform_real_distribution<double>(0, 1)(random_); }
    bool happens(double per_s) { return uniform() < per_s * 0.01; }

    void send(const std::string& body, int runs) { send(body, runs, now_); }

    void send(const std::string& body, int runs, instant since) {
        const request_verdict verdict = detector_.judge(fingerprint(body), now_);
        if (verdict == request_verdict::quarantined) {
            quarantined_.insert(body);
            return;
        }
        if (verdict == request_verdict::suspect) {
            waiting_suspects_.push_back({body, since, runs, trial_id(++trials_)});
            return;
        }
        const std::vector<std::size_t> usable = usable_endpoints();
        if (usable.empty()) {
            if (runs <= max_runs)
                waiting_.push_back({body, since, runs, trial_id()});
            return;
        }
        begin_run(usable[random_() % usable.size()], body, runs, std::nullopt);
    }

    std::vector<std::size_t> usable_endpoints() const {
        std::vector<std::size_t> usable;
        for (std::size_t i = 0; i < endpoints_.size(); ++i) {
            const endpoint& one = endpoints_[i];
            const bool reserved = std::any_of(one.runs.begin(), one.runs.end(),
                                              [](const request_run& run) { return run.trial; });
            if (now_ >= one.up_at && !reserved &&
                one.runs.size() < static_cast<std::size_t>(model_.slots))
                usable.push_back(i);
        }
        return usable;
    }

    void begin_run(std::size_t index, const std::string& body, int runs,
                   std::optional<trial_id> trial) {
        const bool poison = body[0] == 'p';
        if (poison)
            count_late_run(body);
        const bool crashes = poison && ++poison_runs_[body] % model_.poison_every == 0;
        const milliseconds time = poison ? model_.poison_time : model_.innocent_time;
        const auto taken = std::chrono::duration_cast<milliseconds>(time * (0.5 + uniform()));
        endpoints_[index].runs.push_back({body, now_, now_ + taken, crashes, runs, trial});
    }

    static trial_key key_of(trial_id trial) { return {entry_id("gateway"), trial}; }

    void begin_trials() {
        const trial_schedule::choose fewest_runs =
            [this](const trial_request&,
                   const std::set<endpoint_id>& excluded) -> trial_schedule::choice {
            std::optional<std::size_t> best;
            for (const std::size_t index : usable_endpoints()) {
                if (excluded.count(id_of(index)) == 0 &&
                    (!best || endpoints_[index].runs.size() < endpoints_[*best].runs.size()))
                    best = index;
            }
            return {best ? std::optional<endpoint_id>(id_of(*best)) : std::nullopt,
                    max_trials(endpoints_.size())};
        };
        std::vector<waiting_request> left;
        for (const waiting_request& one : std::exchange(waiting_suspects_, {})) {
            const request_verdict verdict = detector_.judge(fingerprint(one.body), now_);
            const bool is_over = now_ - one.since >= max_wait || one.runs > max_runs;
            if (verdict != request_verdict::suspect || is_over) {
                schedule_.end(key_of(one.trial), trial_outcome::unused, now_);
                if (!is_over)
                    send(one.body, one.runs, one.since);
                continue;
            }
            schedule_.refresh({key_of(one.trial), fingerprint(one.body), service_id("llm"), {}},
                              now_);
            left.push_back(one);
        }
        waiting_suspects_.insert(waiting_suspects_.end(), left.begin(), left.end());
        for (const endpoint& one : endpoints_) {
            for (const request_run& run : one.runs) {
                if (run.trial)
                    schedule_.refresh({key_of(*run.trial), fingerprint(run.body), {}, {}}, now_);
            }
        }
        for (const trial_grant& grant : schedule_.poll(now_, fewest_runs)) {
            auto found = std::find_if(
                waiting_suspects_.begin(), waiting_suspects_.end(),
                [&grant](const waiting_request& one) { return one.trial == grant.key.id; });
            const waiting_request granted = *found;
            waiting_suspects_.erase(found);
            begin_run(index_of(grant.endpoint), granted.body, granted.runs, granted.trial);
        }
    }

    static endpoint_id id_of(std::size_t index) { return endpoint_id("e" + std::to_string(index)); }
    static std::size_t index_of(const endpoint_id& id) { return std::stoul(id.str().substr(1)); }

    void count_late_run(const std::string& body) {
        const std::vector<instant>& crashes = crashes_of_[body];
        if (crashes.size() < 3 || now_ <= crashes[2] + contact_time)
            return;
        result_.most_late_runs = std::max(result_.most_late_runs, ++late_runs_[body]);
    }

    // Within an attempt a request is sent on at once, unless it is suspected by then.
    void send_again(const request_run& lost) {
        if (lost.runs >= max_runs)
            return;
        const bool same_attempt = lost.runs % 2 == 1;
        const bool suspected =
            detector_.judge(fingerprint(lost.body), now_) != request_verdict::unsuspected;
        if (same_attempt && !suspected)
            send(lost.body, lost.runs + 1);
        else
            pending_.emplace(now_ + caller_pause,
                             std::make_pair(lost.body, lost.runs + (same_attempt ? 2 : 1)));
    }

    void crash(std::size_t index) {
        endpoint& one = endpoints_[index];
        if (now_ < one.up_at)
            return;
        crash_report report;
        report.process = {id_of(index), one.incarnation};
        report.service = service_id("llm");
        report.endpoints = static_cast<std::uint32_t>(model_.endpoints);
        report.crashed_at =
            now_ + std::chrono::duration_cast<milliseconds>(max_detection_time * uniform());
        const std::vector<request_run> lost = std::exchange(one.runs, {});
        const std::vector<request_run> ended = std::exchange(one.ended, {});
        ++one.incarnation;
        one.up_at = now_ + model_.restart;
        for (const std::vector<request_run>* runs : {&lost, &ended}) {
            for (const request_run& run : *runs)
                report.runs.push_back({fingerprint(run.body),
                                       std::chrono::duration_cast<milliseconds>(now_ - run.sent_at),
                                       runs == &ended,
                                       {},
                                       run.trial.has_value()});
        }
        reports_.push_back(report);
        for (const request_run& run : lost) {
            if (run.trial)
                schedule_.end(key_of(*run.trial), trial_outcome::crashed, now_);
            send_again(run);
        }
    }

    void end_runs(std::size_t index) {
        endpoint& one = endpoints_[index];
        std::vector<request_run> ended;
        const auto middle =
            std::partition(one.runs.begin(), one.runs.end(),
                           [this](const request_run& run) { return now_ < run.ends_at; });
        ended.assign(middle, one.runs.end());
        const bool ends_at_once = model_.poison_delay == milliseconds(0);
        if (!ends_at_once || std::none_of(ended.begin(), ended.end(),
                                          [](const request_run& run) { return run.crashes; })) {
            one.runs.erase(middle, one.runs.end());
            for (const request_run& run : ended)
                complete(one, run);
        }
        const std::vector<request_run>& crashing = ends_at_once ? ended : one.ended;
        for (const request_run& run : crashing) {
            if (!run.crashes || now_ < run.ends_at + model_.poison_delay)
                continue;
            ++result_.crashes;
            crashes_of_[run.body].push_back(now_);
            crash(index);
            return;
        }
        judge_survived(one);
    }

    void complete(endpoint& at, const request_run& run) {
        result_.innocents_served += run.body[0] == 'p' ? 0 : 1;
        at.ended.push_back(run);
        if (run.trial)
            schedule_.end(key_of(*run.trial), trial_outcome::completed, now_);
    }

    // A run counts as completed once its endpoint has survived it.
    void judge_survived(endpoint& at) {
        for (const request_run& run : at.ended) {
            if (now_ - run.ends_at >= late_crash_time &&
                detector_.find(fingerprint(run.body)) != nullptr)
                detector_.record_successes(fingerprint(run.body), 1, now_);
        }
        std::erase_if(at.ended, [this](const request_run& run) {
            return now_ - run.ends_at >= late_crash_time;
        });
    }

    void outage() {
        if (model_.outage_interval == milliseconds(0) ||
            (now_ - instant()) % model_.outage_interval != microseconds(0))
            return;
        for (std::size_t i = 0; i < endpoints_.size(); ++i) {
            if (uniform() < model_.outage_share)
                crash(i);
        }
    }

    void advance() {
        for (std::size_t i = 0; i < endpoints_.size(); ++i)
            end_runs(i);
        outage();
        const std::vector<waiting_request> waiting = std::exchange(waiting_, {});
        for (const waiting_request& one : waiting) {
            if (now_ - one.since < max_wait)
                send(one.body, one.runs, one.since);
        }
        while (!pending_.empty() && pending_.begin()->first <= now_) {
            const std::pair<std::string, int> next = pending_.begin()->second;
            pending_.erase(pending_.begin());
            if (next.second <= max_runs)
                send(next.first, next.second);
        }
        if (happens(model_.innocents_per_s)) {
            ++result_.innocents_sent;
            const std::uint64_t number =
                model_.innocent_bodies > 0
                    ? random_() % static_cast<std::uint64_t>(model_.innocent_bodies)
                    : result_.innocents_sent;
            send("i" + std::to_string(number), 1);
        }
        for (int i = 0; i < model_.poisons; ++i) {
            const int copies = happens(model_.poison_per_s) ? model_.poison_copies : 0;
            for (int copy = 0; copy < copies; ++copy)
                send("p" + std::to_string(i), 1);
        }
        while (!reports_.empty() && now_ - reports_.front().crashed_at >= model_.verdict_delay) {
            detector_.record_crash(reports_.front(), now_ - milliseconds(50));
            reports_.erase(reports_.begin());
        }
        detector_.poll(now_);
        begin_trials();
    }

    poison_model model_;
    std::mt19937_64 random_;
    instant now_ = instant() + offset;
    std::vector<endpoint> endpoints_;
    std::vector<crash_report> reports_;
    std::vector<waiting_request> waiting_; ///< for a slot
    std::vector<waiting_request> waiting_suspects_;
    std::uint64_t trials_ = 0;
    trial_schedule schedule_;
    std::map<std::string, int> poison_runs_;
    std::map<std::string, std::vector<instant>> crashes_of_;
    std::map<std::string, std::size_t> late_runs_;
    std::multimap<instant, std::pair<std::string, int>> pending_; ///< callers' next attempts
    std::set<std::string> quarantined_;
    poison_detector detector_;
    poison_result result_;
};

} // namespace cassia::policy
