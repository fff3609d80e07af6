#include "cassia/gateway/crash_monitor.h"

#include "cassia/base/digest.h"
#include "cassia/base/log.h"
#include "cassia/gateway/request_fingerprint.h"
#include "cassia/net/task.h"

#include <algorithm>
#include <utility>

namespace cassia::gateway {

namespace {
// A process that ends closes its sockets one by one, so a probe may still be accepted, and be
// reset. Later ones are not; each waits twice as long as the one before.
constexpr milliseconds first_probe_delay(50);
constexpr int max_probes = 4;
constexpr milliseconds probe_timeout(400);
// A crash that no probe confirms shows by the next process at the same address.
constexpr milliseconds replacement_wait(5000);
constexpr milliseconds crash_retention(10000);
constexpr milliseconds digest_interval(1000);
constexpr milliseconds first_digest_interval(50);
constexpr milliseconds synchronization_timeout(500);
constexpr std::size_t max_requests_logged = 8;
} // namespace

crash_monitor::crash_monitor(net::task& owner, const std::string& own_ip, entry_id self,
                             const zone_id& zone, metrics& counts, crash_monitor_hooks hooks)
    : owner_(owner), own_ip_(own_ip), self_(std::move(self)), metrics_(counts),
      hooks_(std::move(hooks)), topology_(self_, zone), random_(random_bits()) {
    net::tcp_hooks probe_hooks;
    probe_hooks.on_accepted = [](net::connection_id) {};
    probe_hooks.on_bytes = [](net::connection_id, std::string_view) {};
    probe_hooks.on_connected = [this](net::connection_id id) {
        probes_->reset(id);
        on_probe_ended(id, probe_answer::other);
    };
    probe_hooks.on_refused = [this](net::connection_id id) {
        on_probe_ended(id, probe_answer::refused);
    };
    probe_hooks.on_closed = [this](net::connection_id id, bool) {
        on_probe_ended(id, probe_answer::other);
    };
    probes_ =
        std::make_unique<net::tcp_connections>(owner, net::tcp_settings(), std::move(probe_hooks));
}

crash_monitor::~crash_monitor() = default;

void crash_monitor::set_gateways(const std::vector<policy::fleet_gateway>& others) {
    topology_.set_gateways(others);
    if (!synchronized_)
        next_digest_at_ = instant();
}

void crash_monitor::set_endpoints(const std::vector<policy::slot_endpoint>& endpoints) {
    endpoint_counts_.clear();
    std::map<http_address, policy::endpoint_process> listed;
    for (const policy::slot_endpoint& one : endpoints) {
        ++endpoint_counts_[one.service];
        listed[one.address] = {one.id, one.incarnation};
    }
    for (std::pair<const policy::endpoint_process, suspected_crash>& crash : crashes_) {
        auto found = listed.find(crash.second.address);
        const bool is_replaced = found != listed.end() && found->second != crash.first;
        if (is_replaced && crash.second.state != crash_state::confirmed)
            confirm(crash.first, "replaced");
    }
    confirm_silent_crashes(listed);
}

// All runs at an endpoint that hung may have been given up, so that no connection was left to
// break.
void crash_monitor::confirm_silent_crashes(
    const std::map<http_address, policy::endpoint_process>& processes) {
    std::vector<policy::endpoint_process> replaced;
    for (const std::pair<const policy::endpoint_process, std::vector<recent_run>>& silent :
         silent_runs_) {
        auto found = processes.find(silent.second.front().run.address);
        const bool is_replaced = found != processes.end() && found->second != silent.first;
        if (is_replaced && crashes_.count(silent.first) == 0 && crashes_.size() < max_crashes)
            replaced.push_back(silent.first);
    }
    for (const policy::endpoint_process& process : replaced) {
        suspect(silent_runs_.at(process).front().run, monotonic_now());
        confirm(process, "replaced");
    }
}

void crash_monitor::record_broken_run(const ended_run& run) {
    const bool is_known = crashes_.count(run.process) > 0;
    if (!is_known && crashes_.size() >= max_crashes)
        return;
    suspected_crash& crash = crashes_[run.process];
    // The endpoint survived what broke connections before.
    const bool broke_again = crash.state == crash_state::undecided;
    if (broke_again) {
        std::vector<recent_run> doubtful = std::move(crash.doubtful);
        crash = suspected_crash();
        crash.doubtful = std::move(doubtful);
    }
    if (crash.unreported.size() < max_runs_per_crash)
        crash.unreported.push_back(run);
    if (is_known && !broke_again)
        return;
    suspect(run, monotonic_now());
    probe(run.process);
}

crash_monitor::suspected_crash& crash_monitor::suspect(const ended_run& run, instant broken_at) {
    suspected_crash& crash = crashes_[run.process];
    crash.address = run.address;
    crash.service = run.service;
    crash.broken_at = broken_at;
    return crash;
}

// Endpoints close idle connections at any time; one that ran something a moment ago may have
// crashed.
void crash_monitor::record_idle_closed(const http_address& address) {
    auto last =
        std::find_if(recent_runs_.rbegin(), recent_runs_.rend(),
                     [&address](const recent_run& one) { return one.run.address == address; });
    if (last == recent_runs_.rend() || crashes_.count(last->run.process) > 0 ||
        crashes_.size() >= max_crashes)
        return;
    suspect(last->run, monotonic_now());
    probe(last->run.process);
}

// A connection may break without a crash. The VM of an endpoint that has crashed refuses a new one.
void crash_monitor::probe(const policy::endpoint_process& process) {
    auto found = crashes_.find(process);
    if (found == crashes_.end() || found->second.state != crash_state::probing)
        return;
    ++found->second.probes;
    found->second.probe = probes_->connect(found->second.address, own_ip_);
    probed_[found->second.probe] = process;
}

void crash_monitor::on_probe_ended(net::connection_id id, probe_answer answer) {
    auto probed = probed_.find(id);
    if (probed == probed_.end())
        return;
    const policy::endpoint_process process = probed->second;
    probed_.erase(probed);
    auto found = crashes_.find(process);
    if (found == crashes_.end() || found->second.state != crash_state::probing)
        return;
    const int probes = found->second.probes;
    if (answer == probe_answer::refused)
        confirm(process, "refused");
    else if (answer == probe_answer::other && probes < max_probes)
        owner_.after(first_probe_delay * (1U << (probes - 1)), [this, process] { probe(process); });
    else
        found->second.state = crash_state::undecided;
}

void crash_monitor::confirm(const policy::endpoint_process& process, const std::string& evidence) {
    collect_runs(process, evidence);
    unpublished_crashes_.push_back(process);
}

void crash_monitor::collect_runs(const policy::endpoint_process& process,
                                 const std::string& evidence) {
    suspected_crash& crash = crashes_.at(process);
    crash.state = crash_state::confirmed;
    hooks_.on_crash(process);
    add_recent_runs(process, crash);
    if (crash.unreported.empty() && crash.unreported_complete.empty())
        return;
    metrics_.count("endpoint_crashes");
    std::string requests;
    std::set<fingerprint> parts;
    std::size_t logged = 0;
    const auto add_to_log = [&requests, &parts, &logged](const ended_run& run,
                                                         const std::string& mark) {
        parts.insert(run.parts.begin(), run.parts.end());
        if (logged++ < max_requests_logged)
            requests +=
                (logged == 1 ? "" : ",") + run.request_id + ":" + short_form(run.request) + mark;
    };
    for (const ended_run& run : crash.unreported)
        add_to_log(run, "");
    for (const ended_run& run : crash.unreported_complete)
        add_to_log(run, ":complete");
    std::string part_names;
    logged = 0;
    for (const fingerprint& part : parts) {
        if (logged++ < max_requests_logged)
            part_names += (logged == 1 ? "" : ",") + part.str();
    }
    log_info("endpoint_crashed")
        .with("endpoint", process.endpoint.str())
        .with("address", crash.address.str())
        .with("service", crash.service.str())
        .with("evidence", evidence)
        .with("runs", crash.unreported.size())
        .with("runs_complete", crash.unreported_complete.size())
        .with("requests", requests)
        .with("parts", part_names);
}

bool crash_monitor::has_crashed(const policy::endpoint_process& process) const {
    auto found = crashes_.find(process);
    return found != crashes_.end() && found->second.state == crash_state::confirmed;
}

void crash_monitor::check_probes(instant now) {
    std::vector<net::connection_id> late;
    for (const std::pair<const net::connection_id, policy::endpoint_process>& probed : probed_) {
        auto found = crashes_.find(probed.second);
        if (found == crashes_.end() || now - found->second.broken_at > probe_timeout)
            late.push_back(probed.first);
    }
    for (const net::connection_id id : late) {
        probes_->reset(id);
        on_probe_ended(id, probe_answer::none);
    }
    std::erase_if(crashes_, [now](const auto& crash) {
        const bool is_confirmed = crash.second.state == crash_state::confirmed;
        return now - crash.second.broken_at > (is_confirmed ? crash_retention : replacement_wait);
    });
}

static std::string describe(const policy::attributed_cause& cause) {
    return short_form(cause.record.request) + ":" + std::to_string(cause.record.crashes) + ":" +
           std::to_string(cause.record.log_odds) + ":" + std::to_string(cause.otherwise) +
           (cause.on_trial ? ":alone" : "");
}

void crash_monitor::log_findings(const policy::poison_findings& findings) const {
    for (const policy::attributed_crash& crash : findings.crashes) {
        std::vector<policy::attributed_cause> causes = crash.causes;
        std::sort(causes.begin(), causes.end(), [](const auto& a, const auto& b) {
            return a.record.log_odds > b.record.log_odds;
        });
        std::string text;
        for (std::size_t i = 0; i < std::min(causes.size(), max_requests_logged); ++i)
            text += (i == 0 ? "" : ",") + describe(causes[i]);
        log_info("crash_attributed")
            .with("endpoint", crash.process.endpoint.str())
            .with("runs", crash.causes.size())
            .with("requests", text);
    }
}

void crash_monitor::note_cleared(const policy::poison_record& record) {
    const bool is_cleared = record.is_part && record.cleared_at > record.last_crash_at &&
                            record.verdict == policy::request_verdict::unsuspected;
    // A later quarantine is logged, also if its number is the same.
    auto logged = quarantines_.find(record.request);
    if (!is_cleared || logged == quarantines_.end())
        return;
    metrics_.count("prompt_parts_cleared");
    log_info("prompt_part_cleared")
        .with("fingerprint", short_form(record.request))
        .with("times", record.quarantines)
        .with("quarantined_ms",
              std::chrono::duration_cast<milliseconds>(monotonic_now() - logged->second.since)
                  .count());
    quarantines_.erase(logged);
}

void crash_monitor::note_verdict(const policy::poison_record& record) {
    if (record.verdict != policy::request_verdict::quarantined) {
        note_cleared(record);
        return;
    }
    hooks_.on_quarantine();
    logged_quarantine& logged = quarantines_[record.request];
    if (std::exchange(logged.times, record.quarantines) == record.quarantines)
        return;
    logged.since = monotonic_now();
    metrics_.count(record.is_part ? "prompt_parts_quarantined" : "requests_quarantined");
    log_warning(record.is_part ? "prompt_part_quarantined" : "request_quarantined")
        .with("fingerprint", short_form(record.request))
        .with("crashes", record.crashes)
        .with("all_crashes", record.all_crashes)
        .with("late_crashes", record.late_crashes)
        .with("log_odds", std::to_string(record.log_odds))
        .with("times", record.quarantines)
        .with("relapses", record.relapses)
        .with("left_ms", quarantine_left(record.request).count());
    std::erase_if(quarantines_,
                  [this](const auto& one) { return detector_.find(one.first) == nullptr; });
}

void crash_monitor::tick() {
    const instant now = monotonic_now();
    check_probes(now);
    expire_runs(now);
    publish_crashes(now);
    report_crashes(now);
    report_successes(now);
    const policy::poison_findings findings = detector_.poll(now);
    log_findings(findings);
    publish(findings.changed, entry_id());
    for (const policy::poison_record& record : findings.changed) {
        note_verdict(record);
        report_history(record);
    }
    if (now >= next_digest_at_) {
        next_digest_at_ = now + (synchronized_ ? digest_interval : first_digest_interval);
        send_digest();
    }
}

bool crash_monitor::is_synchronized() const {
    return synchronized_ || monotonic_now() - started_at_ >= synchronization_timeout;
}

policy::request_verdict crash_monitor::judge(const fingerprint& cause) const {
    return detector_.judge(cause, monotonic_now());
}

// A part that was cleared since may have been the cause of its crashes.
policy::request_verdict crash_monitor::judge_itself(const fingerprint& request,
                                                    const std::vector<fingerprint>& parts) const {
    const policy::request_verdict verdict = judge(request);
    if (verdict != policy::request_verdict::quarantined)
        return verdict;
    const instant crashed_at = last_crash(request);
    const bool may_be_innocent =
        std::any_of(parts.begin(), parts.end(), [this, crashed_at](const fingerprint& part) {
            const policy::poison_record* record = detector_.find(part);
            return record != nullptr && record->cleared_at > crashed_at;
        });
    return may_be_innocent ? policy::request_verdict::suspect : verdict;
}

judged_cause crash_monitor::judge(const fingerprint& request,
                                  const std::vector<fingerprint>& parts) const {
    judged_cause gravest{judge_itself(request, parts), request};
    for (const fingerprint& part : parts) {
        const policy::request_verdict verdict = judge(part);
        if (verdict == policy::request_verdict::unsuspected || verdict < gravest.verdict)
            continue;
        if (verdict > gravest.verdict ||
            detector_.find(part)->log_odds > detector_.find(gravest.cause)->log_odds)
            gravest = {verdict, part};
    }
    return gravest;
}

std::vector<policy::poison_record> crash_monitor::quarantined() const {
    std::vector<policy::poison_record> records = detector_.published(detector_.size());
    std::erase_if(records, [this](const policy::poison_record& one) {
        return judge(one.request) != policy::request_verdict::quarantined;
    });
    return records;
}

std::optional<fingerprint>
crash_monitor::find_quarantined(const std::vector<fingerprint>& parts) const {
    std::optional<fingerprint> found;
    for (const fingerprint& part : parts) {
        if (judge(part) == policy::request_verdict::quarantined &&
            (!found || detector_.find(part)->log_odds > detector_.find(*found)->log_odds))
            found = part;
    }
    return found;
}

milliseconds crash_monitor::quarantine_left(const fingerprint& cause) const {
    const policy::poison_record* record = detector_.find(cause);
    if (record == nullptr || record->verdict != policy::request_verdict::quarantined)
        return milliseconds(0);
    const microseconds left = record->quarantined_until - monotonic_now();
    return std::max(std::chrono::duration_cast<milliseconds>(left), milliseconds(0));
}

instant crash_monitor::last_crash(const fingerprint& cause) const {
    const policy::poison_record* record = detector_.find(cause);
    return record == nullptr ? instant() : record->last_crash_at;
}

} // namespace cassia::gateway
