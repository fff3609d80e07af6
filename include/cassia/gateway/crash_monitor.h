/// Finds out whether an endpoint whose connections broke has crashed, reports the requests that ran
/// there to the gateways that judge them, and spreads and applies their verdicts.
#pragma once

#include "cassia/base/clock.h"
#include "cassia/base/ids.h"
#include "cassia/base/metrics.h"
#include "cassia/gateway/prompt_parts.h"
#include "cassia/net/tcp_connections.h"
#include "cassia/policy/gossip_topology.h"
#include "cassia/policy/poison_detector.h"
#include "cassia/policy/slot_table.h"
#include "cassia/policy/trial_schedule.h"
#include "cassia/schema/messages.pb.h"

#include <cstdint>
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

namespace cassia::net {
class task;
}

namespace cassia::gateway {

/// An endpoint that sent nothing for this time may hang.
inline constexpr milliseconds silence_time(300);

/// An endpoint that a run hangs may end only this long after the run was given up.
inline constexpr milliseconds silent_run_time(10000);

/// A run that has ended, in whatever way.
struct ended_run {
    std::string request_id;
    fingerprint request;
    policy::endpoint_process process;
    http_address address;
    service_id service;
    instant sent_at{};
    std::vector<fingerprint> parts{}; ///< keys of its prompt's parts
    bool on_trial = false;            ///< it ran alone, as a suspect
    bool has_output = true;           ///< the endpoint wrote a response that is no error
    bool resumed = false;             ///< it went on behind what an earlier run had written
};

/// What a request is judged by: itself or a part of its prompt.
struct judged_cause {
    policy::request_verdict verdict = policy::request_verdict::unsuspected;
    fingerprint cause;
};

struct crash_monitor_hooks {
    /// Sends to another gateway. \returns false if its address is unknown.
    std::function<bool(const entry_id& to, schema::envelope&)> send;
    /// The process of an endpoint has crashed, as this gateway or another one found out.
    std::function<void(const policy::endpoint_process& process)> on_crash;
    /// Some request was quarantined.
    std::function<void()> on_quarantine;
};

class crash_monitor {
public:
    /// \param own_ip IP number to probe endpoints from; any if empty.
    crash_monitor(net::task& owner, const std::string& own_ip, entry_id self, const zone_id& zone,
                  metrics& counts, crash_monitor_hooks hooks);
    ~crash_monitor();

    void set_gateways(const std::vector<policy::fleet_gateway>& others);
    void set_endpoints(const std::vector<policy::slot_endpoint>& endpoints);
    /// Other gateways judge from now on.
    void leave() { topology_.leave(); }
    /// The connection broke before the response was complete.
    void record_broken_run(const ended_run& run);
    /// The endpoint closed an idle connection.
    void record_idle_closed(const http_address& address);
    /// The response was complete, or the run was cancelled. What it began may still crash its
    /// endpoint; one that was complete speaks for its request only after that.
    void record_ended_run(const ended_run& run, bool was_complete);
    /// The run was given up as its endpoint was silent, which may mean that the run hangs it.
    void record_silent_run(const ended_run& run);
    /// Something was received from this process of the endpoint.
    void record_received(const endpoint_id& endpoint, std::uint64_t incarnation);
    bool has_crashed(const policy::endpoint_process& process) const;
    /// Gateways that judge requests, the preferred one first.
    const std::vector<entry_id>& coordinators() const { return topology_.coordinators(); }

    /// Whether any request is under suspicion; if not, judge() need not be called.
    bool has_records() const { return detector_.has_published(); }
    policy::request_verdict judge(const fingerprint& cause) const;
    /// Probability that a run crashes its endpoint by this cause; 1 if only a run alone can tell.
    double risk_of(const fingerprint& cause) const { return detector_.risk_of(cause); }
    /// The gravest verdict on a request and the parts of its prompt; of like ones that with the
    /// highest odds.
    judged_cause judge(const fingerprint& request, const std::vector<fingerprint>& parts) const;
    /// The verdict on a request by its own crashes, unless one of its parts may explain them.
    policy::request_verdict judge_itself(const fingerprint& request,
                                         const std::vector<fingerprint>& parts) const;
    /// What is quarantined now: requests, and parts of prompts.
    std::vector<policy::poison_record> quarantined() const;
    /// The part that is quarantined, if any; of several that with the highest odds.
    std::optional<fingerprint> find_quarantined(const std::vector<fingerprint>& parts) const;
    /// See policy::poison_detector; for coordinators.
    bool awaits_control(const fingerprint& part, const service_id& service) const {
        return detector_.awaits_control(part, service, monotonic_now());
    }
    /// See policy::poison_detector.
    bool awaits_retry(const fingerprint& cause) const {
        return detector_.awaits_retry(cause, monotonic_now());
    }
    /// What is left of the quarantine; 0 if there is none.
    milliseconds quarantine_left(const fingerprint& cause) const;
    /// When it last crashed an endpoint, as far as is known.
    instant last_crash(const fingerprint& cause) const;

    void receive(const schema::poison_news& news);
    void tick();
    /// Whether this gateway has received another one's records since its start, or none was
    /// received in time. Until then it doesn't know which requests are quarantined.
    bool is_synchronized() const;

private:
    static constexpr std::size_t max_crashes = 1024;
    static constexpr std::size_t max_runs_per_crash = 256;
    enum class crash_state { probing, undecided, confirmed };
    enum class probe_answer { refused, other, none };
    struct recent_run {
        instant ended_at{};
        ended_run run;
        bool was_complete = false;
    };
    struct suspected_crash {
        http_address address;
        service_id service;
        instant broken_at{};
        crash_state state = crash_state::probing;
        int probes = 0;
        net::connection_id probe;
        std::vector<ended_run> unreported;
        std::vector<ended_run> unreported_complete; ///< runs that were complete before
        /// Earlier runs that it may not have survived.
        std::vector<recent_run> doubtful;
    };

    struct logged_quarantine {
        std::uint32_t times = 0;
        instant since{};
    };

    void probe(const policy::endpoint_process& process);
    void on_probe_ended(net::connection_id id, probe_answer answer);
    void add_recent_runs(const policy::endpoint_process& process, suspected_crash& crash);
    void confirm_silent_crashes(const std::map<http_address, policy::endpoint_process>& processes);
    void expire_runs(instant now);
    void expire_run(const recent_run& run);
    void record_survived(const ended_run& run);
    /// Reports runs that the record of a part doesn't count yet.
    void report_history(const policy::poison_record& record);
    /// Begins to find out whether the endpoint has crashed.
    suspected_crash& suspect(const ended_run& run, instant broken_at);
    /// The endpoint has crashed, as this gateway found out.
    void confirm(const policy::endpoint_process& process, const std::string& evidence);
    /// Gathers what ran at an endpoint that has crashed, to be reported.
    void collect_runs(const policy::endpoint_process& process, const std::string& evidence);
    void receive_crash(const schema::crashed_endpoint& news, instant now);
    /// Reports crashes to other gateways, which may know of further runs there.
    void publish_crashes(instant now);
    void check_probes(instant now);
    void report_crashes(instant now);
    void report_crash(const policy::endpoint_process& process, suspected_crash& crash, instant now);
    void report_successes(instant now);
    void send_to_coordinators(const schema::poison_news& news);
    void publish(const std::vector<policy::poison_record>& records, const entry_id& except);
    void log_findings(const policy::poison_findings& findings) const;
    void note_verdict(const policy::poison_record& record);
    /// Logs that a quarantine ended since a retry was survived.
    void note_cleared(const policy::poison_record& record);
    void send_digest();
    void send(const entry_id& to, const schema::poison_news& news);

    net::task& owner_;
    std::string own_ip_;
    entry_id self_;
    metrics& metrics_;
    crash_monitor_hooks hooks_;
    policy::gossip_topology topology_;
    policy::poison_detector detector_;
    std::unique_ptr<net::tcp_connections> probes_;
    std::map<policy::endpoint_process, suspected_crash> crashes_;
    std::map<net::connection_id, policy::endpoint_process> probed_;
    std::vector<policy::endpoint_process> unpublished_crashes_;
    std::deque<recent_run> recent_runs_; ///< those that ended without a break
    /// Runs that were given up at endpoints from which nothing was received since.
    std::map<policy::endpoint_process, std::vector<recent_run>> silent_runs_;
    std::map<service_id, std::uint32_t> endpoint_counts_;
    prompt_part_counts survived_parts_; ///< runs with each part
    std::map<service_id, std::uint32_t> survived_runs_;
    std::set<fingerprint> histories_;                      ///< of parts, not yet reported
    std::map<fingerprint, std::uint32_t> successes_;       ///< not yet reported
    std::set<fingerprint> survived_retries_;               ///< of parts, not yet reported
    std::map<fingerprint, logged_quarantine> quarantines_; ///< latest, for each cause
    instant next_successes_at_{};
    instant next_digest_at_{};
    instant started_at_ = monotonic_now();
    bool synchronized_ = false;
    std::mt19937_64 random_;
};

} // namespace cassia::gateway
