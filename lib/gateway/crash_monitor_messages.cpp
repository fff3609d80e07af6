// What gateways tell each other about crashes and the requests that may have caused them.

#include "cassia/gateway/crash_monitor.h"
#include "poison_messages.h"

#include <algorithm>
#include <utility>

namespace cassia::gateway {

namespace {
constexpr milliseconds successes_interval(200);
constexpr std::size_t digest_receivers = 2;
constexpr std::size_t max_records_sent = 512;
} // namespace

void crash_monitor::receive_crash(const schema::crashed_endpoint& news, instant now) {
    const policy::endpoint_process process{endpoint_id(news.endpoint()), news.incarnation()};
    auto known = crashes_.find(process);
    if (known == crashes_.end()) {
        if (crashes_.size() >= max_crashes)
            return;
        ended_run run;
        run.process = process;
        for (const recent_run& recent : recent_runs_) {
            if (recent.run.process == process)
                run = recent.run;
        }
        suspect(run, decode_crash_time(news.age_ms(), now));
    } else if (known->second.state == crash_state::confirmed) {
        return;
    }
    collect_runs(process, "reported");
    if (topology_.is_relay())
        unpublished_crashes_.push_back(process);
}

void crash_monitor::publish_crashes(instant now) {
    if (unpublished_crashes_.empty())
        return;
    schema::poison_news news;
    for (const policy::endpoint_process& process : std::exchange(unpublished_crashes_, {})) {
        auto crash = crashes_.find(process);
        if (crash == crashes_.end())
            continue;
        schema::crashed_endpoint* told = news.add_crashed_endpoints();
        told->set_endpoint(process.endpoint.str());
        told->set_incarnation(process.incarnation);
        const milliseconds age =
            std::chrono::duration_cast<milliseconds>(now - crash->second.broken_at);
        told->set_age_ms(static_cast<std::uint32_t>(std::max<std::int64_t>(age.count(), 0)));
    }
    for (const entry_id& neighbor : topology_.neighbors())
        send(neighbor, news);
}

void crash_monitor::report_crashes(instant now) {
    for (std::pair<const policy::endpoint_process, suspected_crash>& crash : crashes_) {
        const bool has_runs =
            !crash.second.unreported.empty() || !crash.second.unreported_complete.empty();
        if (crash.second.state == crash_state::confirmed && has_runs)
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
    report.survived_runs = survived_runs_[crash.service];
    std::set<fingerprint> parts;
    const auto add_run = [&report, &crash, &parts](const ended_run& run, bool was_complete) {
        report.runs.push_back(
            {run.request, std::chrono::duration_cast<milliseconds>(crash.broken_at - run.sent_at),
             was_complete, run.parts, run.on_trial});
        parts.insert(run.parts.begin(), run.parts.end());
    };
    for (const ended_run& run : std::exchange(crash.unreported, {}))
        add_run(run, false);
    for (const ended_run& run : std::exchange(crash.unreported_complete, {}))
        add_run(run, true);
    for (const fingerprint& part : parts)
        report.parts.push_back({part, survived_parts_.find(part)});
    schema::poison_news news;
    encode(report, now, *news.add_crashes());
    send_to_coordinators(news);
}

void crash_monitor::report_successes(instant now) {
    const bool has_news = !successes_.empty() || !histories_.empty() || !survived_retries_.empty();
    if (!has_news || now < next_successes_at_)
        return;
    next_successes_at_ = now + successes_interval;
    schema::poison_news news;
    // First, since the survived run also counts below, which ends the suspicion but not what else
    // the quarantine led to.
    for (const fingerprint& part : std::exchange(survived_retries_, {})) {
        schema::request_successes* successes = news.add_successes();
        successes->set_fingerprint(part.str());
        successes->set_survived_retry(true);
    }
    for (const std::pair<const fingerprint, std::uint32_t>& one : std::exchange(successes_, {})) {
        schema::request_successes* successes = news.add_successes();
        successes->set_fingerprint(one.first.str());
        successes->set_runs(one.second);
    }
    for (const fingerprint& part : std::exchange(histories_, {}))
        encode(policy::part_history{part, survived_parts_.find(part)}, *news.add_histories());
    send_to_coordinators(news);
}

void crash_monitor::report_history(const policy::poison_record& record) {
    const bool is_news = record.is_part && record.survived_runs < policy::max_survived_runs &&
                         record.survived_runs < survived_parts_.find(record.request);
    if (is_news)
        histories_.insert(record.request);
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
    for (const schema::crash_report& crash : news.crashes()) {
        policy::crash_report report = decode(crash, now);
        report.gateway = from;
        detector_.record_crash(report, now);
    }
    for (const schema::request_successes& successes : news.successes()) {
        const fingerprint cause(successes.fingerprint());
        detector_.record_successes(cause, decode_survived_runs(successes.runs()), now);
        if (successes.survived_retry())
            detector_.record_retry_success(cause, now);
    }
    for (const schema::part_history& history : news.histories())
        detector_.record_history(decode(history), now);
    for (const schema::crashed_endpoint& crash : news.crashed_endpoints())
        receive_crash(crash, now);
    std::vector<policy::poison_record> fresh;
    for (const schema::poison_record& encoded : news.records()) {
        const policy::poison_record record = decode(encoded, now);
        if (!detector_.merge(record, now))
            continue;
        fresh.push_back(record);
        note_verdict(record);
        report_history(record);
    }
    if (topology_.is_relay())
        publish(fresh, from);
    synchronized_ = synchronized_ || news.answers();
    if (!news.has_digest() || (news.digest() == detector_.digest() && !news.is_new()))
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
    news.set_is_new(!synchronized_);
    news.set_has_digest(true);
    news.set_digest(detector_.digest());
    for (const entry_id& receiver : receivers)
        send(receiver, news);
}

} // namespace cassia::gateway
