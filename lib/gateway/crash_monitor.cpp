#include "cassia/gateway/crash_monitor.h"

#include "cassia/base/digest.h"
#include "cassia/base/log.h"
#include "cassia/gateway/request_fingerprint.h"
#include "cassia/net/task.h"
#include "poison_messages.h"

#include <algorithm>
#include <utility>

namespace cassia::gateway {

namespace {
// A process that ends closes its sockets one by one, so a probe may still be accepted; a second one
// after this delay is not.
constexpr milliseconds probe_retry_delay(50);
constexpr int max_probes = 2;
constexpr milliseconds probe_timeout(400);
// A crash that no probe confirms shows by the next process at the same address.
constexpr milliseconds replacement_wait(5000);
constexpr milliseconds crash_retention(10000);
constexpr milliseconds successes_interval(200);
constexpr milliseconds digest_interval(1000);
constexpr std::size_t digest_receivers = 2;
constexpr std::size_t max_records_sent = 512;
// A crash may follow the end of the run that caused it by this time.
constexpr milliseconds recent_run_time(250);
constexpr std::size_t max_recent_runs = 1024;
constexpr std::size_t max_crashes = 1024;
constexpr std::size_t max_runs_per_crash = 256;
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
        on_probe_ended(id, false, true);
    };
    probe_hooks.on_refused = [this](net::connection_id id) { on_probe_ended(id, true, false); };
    probe_hooks.on_closed = [this](net::connection_id id, bool) {
        on_probe_ended(id, false, false);
    };
    probes_ =
        std::make_unique<net::tcp_connections>(owner, net::tcp_settings(), std::move(probe_hooks));
}

crash_monitor::~crash_monitor() = default;

void crash_monitor::set_gateways(const std::vector<policy::fleet_gateway>& others) {
    topology_.set_gateways(others);
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
}

void crash_monitor::record_broken_run(const ended_run& run) {
    const bool is_known = crashes_.count(run.process) > 0;
    if (!is_known && crashes_.size() >= max_crashes)
        return;
    suspected_crash& crash = crashes_[run.process];
    // The endpoint survived what broke connections before.
    const bool broke_again = crash.state == crash_state::undecided;
    if (broke_again)
        crash = suspected_crash();
    if (crash.unreported.size() < max_runs_per_crash)
        crash.unreported.push_back(run);
    if (is_known && !broke_again)
        return;
    crash.address = run.address;
    crash.service = run.service;
    crash.broken_at = monotonic_now();
    probe(run.process);
}

void crash_monitor::record_ended_run(const ended_run& run) {
    const instant now = monotonic_now();
    recent_runs_.emplace_back(now, run);
    while (recent_runs_.size() > max_recent_runs ||
           now - recent_runs_.front().first > recent_run_time)
        recent_runs_.pop_front();
}

void crash_monitor::add_recent_runs(const policy::endpoint_process& process,
                                    suspected_crash& crash) {
    for (const std::pair<instant, ended_run>& recent : recent_runs_) {
        const bool is_near = crash.broken_at - recent.first <= recent_run_time;
        if (recent.second.process == process && is_near &&
            crash.unreported.size() < max_runs_per_crash)
            crash.unreported.push_back(recent.second);
    }
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

void crash_monitor::on_probe_ended(net::connection_id id, bool refused, bool accepted) {
    auto probed = probed_.find(id);
    if (probed == probed_.end())
        return;
    const policy::endpoint_process process = probed->second;
    probed_.erase(probed);
    auto found = crashes_.find(process);
    if (found == crashes_.end() || found->second.state != crash_state::probing)
        return;
    if (refused)
        confirm(process, "refused");
    else if (accepted && found->second.probes < max_probes)
        owner_.after(probe_retry_delay, [this, process] { probe(process); });
    else
        found->second.state = crash_state::undecided;
}

void crash_monitor::confirm(const policy::endpoint_process& process, const std::string& evidence) {
    suspected_crash& crash = crashes_.at(process);
    crash.state = crash_state::confirmed;
    add_recent_runs(process, crash);
    metrics_.count("endpoint_crashes");
    std::string requests;
    for (std::size_t i = 0; i < std::min(crash.unreported.size(), max_requests_logged); ++i) {
        const ended_run& run = crash.unreported[i];
        requests += (i == 0 ? "" : ",") + run.request_id + ":" + short_form(run.request);
    }
    log_info("endpoint_crashed")
        .with("endpoint", process.endpoint.str())
        .with("address", crash.address.str())
        .with("service", crash.service.str())
        .with("evidence", evidence)
        .with("runs", crash.unreported.size())
        .with("requests", requests);
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
        on_probe_ended(id, false, false);
    }
    std::erase_if(crashes_, [now](const auto& crash) {
        const bool is_confirmed = crash.second.state == crash_state::confirmed;
        return now - crash.second.broken_at > (is_confirmed ? crash_retention : replacement_wait);
    });
}

void crash_monitor::report_crashes(instant now) {
    for (std::pair<const policy::endpoint_process, suspected_crash>& crash : crashes_) {
        if (crash.second.state == crash_state::confirmed && !crash.second.unreported.empty())
            report_crash(crash.first, crash.second, now);
    }
}

void crash_monitor::report_crash(const policy::endpoint_process& process, suspected_crash& crash,
                                 instant now) {
    policy::crash_report report;
    report.process = process;
    report.service = crash.service;
    report.endpoints = std::max(endpoint_counts_[crash.service], 1U);
    report.crashed_at = crash.broken_at;
    for (const ended_run& run : std::exchange(crash.unreported, {}))
        report.runs.push_back(
            {run.request, std::chrono::duration_cast<milliseconds>(crash.broken_at - run.sent_at)});
    schema::poison_news news;
    encode(report, now, *news.add_crashes());
    send_to_coordinators(news);
}

void crash_monitor::record_success(const fingerprint& request) {
    const policy::poison_record* record = detector_.find(request);
    if (record != nullptr && record->crashes > 0)
        ++successes_[request];
}

void crash_monitor::report_successes(instant now) {
    if (successes_.empty() || now < next_successes_at_)
        return;
    next_successes_at_ = now + successes_interval;
    schema::poison_news news;
    for (const std::pair<const fingerprint, std::uint32_t>& one : std::exchange(successes_, {})) {
        schema::request_successes* successes = news.add_successes();
        successes->set_fingerprint(one.first.str());
        successes->set_runs(one.second);
    }
    send_to_coordinators(news);
}

void crash_monitor::send_to_coordinators(const schema::poison_news& news) {
    for (const entry_id& coordinator : topology_.coordinators()) {
        if (coordinator == self_)
            receive(news);
        else
            send(coordinator, news);
    }
}

void crash_monitor::send(const entry_id& to, const schema::poison_news& news) {
    schema::envelope envelope;
    *envelope.mutable_poison() = news;
    envelope.mutable_poison()->set_gateway(self_.str());
    hooks_.send(to, envelope);
}

void crash_monitor::publish(const std::vector<policy::poison_record>& records,
                            const entry_id& except) {
    if (records.empty())
        return;
    schema::poison_news news;
    const instant now = monotonic_now();
    for (const policy::poison_record& record : records)
        encode(record, now, *news.add_records());
    for (const entry_id& neighbor : topology_.neighbors()) {
        if (neighbor != except)
            send(neighbor, news);
    }
}

void crash_monitor::receive(const schema::poison_news& news) {
    const instant now = monotonic_now();
    const entry_id from(news.gateway());
    for (const schema::crash_report& crash : news.crashes())
        detector_.record_crash(decode(crash, now), now);
    for (const schema::request_successes& successes : news.successes())
        detector_.record_successes(fingerprint(successes.fingerprint()), successes.runs(), now);
    std::vector<policy::poison_record> fresh;
    for (const schema::poison_record& encoded : news.records()) {
        const policy::poison_record record = decode(encoded, now);
        if (!detector_.merge(record, now))
            continue;
        fresh.push_back(record);
        note_verdict(record);
    }
    if (topology_.is_relay())
        publish(fresh, from);
    if (!news.has_digest() || news.digest() == detector_.digest())
        return;
    schema::poison_news answer;
    for (const policy::poison_record& record : detector_.published(max_records_sent))
        encode(record, now, *answer.add_records());
    answer.set_answers(true);
    answer.set_has_digest(!news.answers());
    answer.set_digest(detector_.digest());
    send(from, answer);
}

// Repairs what messages didn't reach: gateways that were started, frozen or cut off meanwhile.
void crash_monitor::send_digest() {
    std::vector<entry_id> receivers = topology_.neighbors();
    std::shuffle(receivers.begin(), receivers.end(), random_);
    receivers.resize(std::min(receivers.size(), digest_receivers));
    schema::poison_news news;
    news.set_has_digest(true);
    news.set_digest(detector_.digest());
    for (const entry_id& receiver : receivers)
        send(receiver, news);
}

void crash_monitor::log_findings(const policy::poison_findings& findings) const {
    for (const policy::attributed_crash& crash : findings.crashes) {
        std::vector<policy::poison_record> requests = crash.requests;
        std::sort(requests.begin(), requests.end(),
                  [](const auto& a, const auto& b) { return a.log_odds > b.log_odds; });
        std::string text;
        for (std::size_t i = 0; i < std::min(requests.size(), max_requests_logged); ++i)
            text += (i == 0 ? "" : ",") + short_form(requests[i].request) + ":" +
                    std::to_string(requests[i].crashes) + ":" +
                    std::to_string(requests[i].log_odds);
        log_info("crash_attributed")
            .with("endpoint", crash.process.endpoint.str())
            .with("runs", crash.requests.size())
            .with("requests", text);
    }
}

void crash_monitor::note_verdict(const policy::poison_record& record) {
    if (record.verdict != policy::request_verdict::quarantined)
        return;
    hooks_.on_quarantine();
    std::uint32_t& logged = quarantines_[record.request];
    if (std::exchange(logged, record.quarantines) == record.quarantines)
        return;
    metrics_.count("requests_quarantined");
    log_warning("request_quarantined")
        .with("fingerprint", short_form(record.request))
        .with("crashes", record.crashes)
        .with("log_odds", std::to_string(record.log_odds))
        .with("times", record.quarantines)
        .with("left_ms", quarantine_left(record.request).count());
    std::erase_if(quarantines_,
                  [this](const auto& one) { return detector_.find(one.first) == nullptr; });
}

void crash_monitor::tick() {
    const instant now = monotonic_now();
    check_probes(now);
    report_crashes(now);
    report_successes(now);
    const policy::poison_findings findings = detector_.poll(now);
    log_findings(findings);
    publish(findings.changed, entry_id());
    for (const policy::poison_record& record : findings.changed)
        note_verdict(record);
    if (now >= next_digest_at_) {
        next_digest_at_ = now + digest_interval;
        send_digest();
    }
}

policy::request_verdict crash_monitor::judge(const fingerprint& request) const {
    return detector_.judge(request, monotonic_now());
}

milliseconds crash_monitor::quarantine_left(const fingerprint& request) const {
    const policy::poison_record* record = detector_.find(request);
    if (record == nullptr || record->verdict != policy::request_verdict::quarantined)
        return milliseconds(0);
    const microseconds left = record->quarantined_until - monotonic_now();
    return std::max(std::chrono::duration_cast<milliseconds>(left), milliseconds(0));
}

instant crash_monitor::last_crash(const fingerprint& request) const {
    const policy::poison_record* record = detector_.find(request);
    return record == nullptr ? instant() : record->last_crash_at;
}

} // namespace cassia::gateway
