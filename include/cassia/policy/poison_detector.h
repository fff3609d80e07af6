/// Detects poison requests, and poison parts of prompts, which crash the endpoints that run them.
/// Each crash raises the odds of the requests and parts that ran there: the less, the more another
/// of them or other crashes of that time explain it. Pure.
#pragma once

#include "cassia/base/clock.h"
#include "cassia/base/ids.h"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace cassia::policy {

/// One process of an endpoint.
struct endpoint_process {
    endpoint_id endpoint;
    std::uint64_t incarnation = 0;

    friend auto operator<=>(const endpoint_process&, const endpoint_process&) = default;
};

/// A run at an endpoint that crashed.
struct crashed_run {
    fingerprint request;
    milliseconds duration{0};         ///< from its sending to the crash
    bool was_complete = false;        ///< it had ended, a short time before the crash
    std::vector<fingerprint> parts{}; ///< of its prompt, those that other requests may share
    bool on_trial = false;            ///< it ran alone, as a suspect
};

/// Further survived runs of a part say nothing more of it.
inline constexpr std::uint32_t max_survived_runs = 50;

/// The survived runs alone that clear a part double with each relapse, up to this one: 16 of them
/// take half a minute.
inline constexpr std::uint32_t max_relapses = 4;

/// Runs with a part of a prompt that their endpoints survived, as one gateway counted them.
struct part_history {
    fingerprint part;
    std::uint32_t survived_runs = 0;
};

/// What one gateway knows of a crash.
struct crash_report {
    endpoint_process process;
    service_id service;
    std::uint32_t endpoints = 1; ///< of the service, when it crashed
    instant crashed_at{};
    std::vector<crashed_run> runs;
    std::vector<part_history> parts{};
    entry_id gateway{};
    std::uint32_t survived_runs = 0; ///< of the service, at this gateway
};

enum class request_verdict : std::uint8_t {
    unsuspected,
    suspect,     ///< more likely than not poison: runs alone, and not again within an attempt
    quarantined, ///< not run for a time
};

inline constexpr double default_late_crash_probability = 0.2;

/// What is known of a cause of crashes: a request, or a part of prompts.
struct poison_record {
    fingerprint request; ///< or the part's key
    bool is_part = false;
    /// Grows with each change that all gateways have to know; 0 while none of them has to.
    std::uint64_t version = 0;
    request_verdict verdict = request_verdict::unsuspected;
    double log_odds = 0; ///< natural logarithm of the odds that it is poison
    /// Probability that it crashes endpoints only after its responses, if it is poison.
    double late_crash_probability = default_late_crash_probability;
    std::uint32_t crashes = 0; ///< counted ones, since it was last cleared
    std::uint32_t quarantines = 0;
    std::uint32_t survived_runs = 0; ///< of a part, bounded
    std::uint32_t trial_crashes = 0; ///< of a part, of those counted: in runs on trial
    instant last_crash_at{};
    instant quarantined_until{};
    // Of a part only.
    std::uint32_t all_crashes = 0; ///< since it was last cleared
    /// Of these, those by which it should have been stopped; two at most before it first was.
    std::uint32_t late_crashes = 0;
    instant known_at{};   ///< of the crash that was the last one tolerated
    instant cleared_at{}; ///< when retries showed that it crashes endpoints no more
    /// Of one that was quarantined: how often it was suspected again soon after it was cleared.
    std::uint32_t relapses = 0;
    std::uint32_t survived_retries = 0; ///< since it last crashed an endpoint
    instant retry_survived_at{};        ///< the latest of these
};

/// What a crash says of a request or part that ran there.
struct attributed_cause {
    poison_record record; ///< after the crash
    double otherwise = 1; ///< probability that the endpoint would have crashed without it
    bool on_trial = false;
};

struct attributed_crash {
    endpoint_process process;
    std::vector<attributed_cause> causes;
};

struct poison_findings {
    std::vector<attributed_crash> crashes;
    std::vector<poison_record> changed; ///< to be published to all gateways
};

class poison_detector {
public:
    /// Collects what gateways report of a crash.
    void record_crash(const crash_report& report, instant now);
    /// Runs of the request, or with the part, were completed, and their endpoints survived them.
    void record_successes(const fingerprint& request, std::uint32_t runs, instant now);
    /// A run of a retry with the part was survived, as its gateway has just found out: the part
    /// crashes endpoints no more, and its quarantine ends, unless it has crashed one since the run
    /// began. One that was cleared before and has crashed endpoints again needs more such runs.
    void record_retry_success(const fingerprint& part, instant now);
    /// Takes over what a gateway counted before the part came under suspicion.
    void record_history(const part_history& history, instant now);
    /// Attributes the crashes on which all reports should have arrived.
    poison_findings poll(instant now);
    /// Takes over a record that another gateway published. \returns whether it was news.
    bool merge(const poison_record& record, instant now);

    request_verdict judge(const fingerprint& request, instant now) const;
    /// Probability that a request crashes its endpoint; 1 for parts, which runs alone decide on,
    /// and for requests that aren't known.
    double risk_of(const fingerprint& request) const;
    /// Whether a further run alone of a part can prove nothing yet, since too few runs of the
    /// service without it are known to have succeeded.
    bool awaits_control(const fingerprint& part, const service_id& service, instant now) const;
    /// Whether only retries clear the part, as it was quarantined before.
    static bool is_cleared_by_retries(const poison_record& record);
    /// Whether a part that was quarantined is a suspect now: one run with it shows whether it still
    /// crashes endpoints.
    bool awaits_retry(const fingerprint& cause, instant now) const;
    /// The published record of a request; null if there is none.
    const poison_record* find(const fingerprint& request) const;
    bool has_published() const { return published_ > 0; }
    /// At most this many, the most suspected and latest first.
    std::vector<poison_record> published(std::size_t limit) const;
    /// The same for gateways that hold the same versions of the same records.
    std::uint64_t digest() const;
    std::size_t size() const { return records_.size(); }

private:
    struct known_crash {
        crash_report report;
        instant first_reported_at{}; ///< of the runs not yet judged
        std::size_t judged = 0;      ///< runs that were; those of late reports follow
        /// Requests and parts that ran there, with the parts of each request.
        std::map<fingerprint, std::set<fingerprint>> causes;
        double unexplained = 1;    ///< as of the latest poll: that none of its causes is poison
        bool was_on_trial = false; ///< a suspect ran there alone
    };
    struct candidate {
        poison_record* record = nullptr;
        milliseconds duration{0};
        bool was_complete = false; ///< some run of it was complete
        bool was_running = false;  ///< some run of it wasn't
        bool on_trial = false;
        bool counts = false; ///< the run is independent of the crashes counted so far
        double background = 0;
        /// Of causes that ran at the same crashes, with like odds, one is blamed, a request if
        /// there is one. Parts follow if crashes go on without it.
        bool is_follower = false;
        double without_twins = 1; ///< probability that none of the others of these is poison
        double gain = 0;
        double if_innocent = 0;
    };
    struct service_history {
        std::map<entry_id, std::uint32_t> survived_runs; ///< by gateway
        instant reported_at{};
    };

    /// Suspects that share an endpoint don't run alone.
    static bool had_run_alone(const crash_report& report);
    attributed_crash attribute(const endpoint_process& process, known_crash& crash, instant now);
    std::vector<candidate> candidates(const known_crash& crash, instant now);
    double probability_of(const fingerprint& request) const;
    /// Probability that none of the causes that ran there, except this one, is poison.
    double unexplained_without(const known_crash& crash, const fingerprint& cause) const;
    void update_unexplained(known_crash& crash) const;
    /// For each candidate the probability that the endpoint crashed within a run of its length for
    /// another reason than one of its causes, if the candidate isn't poison.
    void set_background(const known_crash& crash, std::vector<candidate>& candidates) const;
    /// Time from another recent crash of the service; nothing if it is the same or not near.
    static std::optional<microseconds> time_since(const known_crash& crash,
                                                  const known_crash& other);
    /// Probability that an endpoint crashes within a run of the candidate's length, whatever the
    /// cause, by the crashes that the candidate had no run at.
    double any_crash_probability(const known_crash& crash, const candidate& one) const;
    /// A factor, at most 1, by which runs that were complete before make the probability too low
    /// that nothing else explains a crash in a run alone.
    double late_explanations(const std::vector<candidate>& candidates,
                             const candidate& trial) const;
    /// Probability that no part of a request that ran alone is poison; 1 for other candidates.
    double own_parts_innocent(const known_crash& crash, const candidate& trial) const;
    /// Marks the candidates that no crash tells apart.
    void find_twins(std::vector<candidate>& candidates) const;
    poison_record& record_of(const fingerprint& request, instant now);
    /// \returns whether the number was news.
    static bool raise_survived(poison_record& record, std::uint32_t survived_runs);
    /// Runs of the service that survived without the part, as far as is known.
    std::uint64_t control_runs(const poison_record& record, const service_id& service) const;
    void update_verdict(poison_record& record, const service_id& service, instant now);
    /// Counts a relapse of a part that is suspected again.
    static void count_relapse(poison_record& record, instant now);
    /// Suspects a request that ran at crashes of most of a service's endpoints, at whatever moment.
    void suspect_if_crashed_most(poison_record& record, const crash_report& report);
    void publish(poison_record& record);
    static void count_crash(poison_record& record, instant crashed_at);
    static void quarantine(poison_record& record, instant now);
    /// A crash under a part that is retried while it is quarantined.
    void extend_quarantine(poison_record& record, instant now);
    void end_quarantine(poison_record& record, instant now) const;
    /// Whether the part crashed an endpoint later than that, or may have, as is yet to be judged.
    bool may_have_crashed_since(const poison_record& part, instant since) const;
    void evict_one();
    void expire(instant now);

    std::map<fingerprint, poison_record> records_;
    std::map<endpoint_process, known_crash> crashes_;
    std::map<service_id, service_history> services_;
    std::vector<fingerprint> changed_;
    std::size_t published_ = 0; ///< records with a version
};

} // namespace cassia::policy
