#include "cassia/gateway/trial_exchange.h"

#include "cassia/base/digest.h"
#include "cassia/base/log.h"
#include "cassia/gateway/request_fingerprint.h"
#include "poison_messages.h"

#include <algorithm>
#include <utility>

namespace cassia::gateway {

namespace {
// Messages are sent once, so a request is repeated; a coordinator forgets one that isn't.
constexpr milliseconds repeat_interval(100);
constexpr milliseconds answer_timeout(400);
constexpr std::size_t max_coordinators_tried = 2;
// Limit of requests, of items, and of items with quarantined parts each, which services share.
constexpr std::size_t max_asked = 64;
// As runs that are asked for stay so, a service that comes later gets its share beside them.
constexpr std::size_t max_asked_late = 64;
constexpr std::size_t max_items_of_cause = 16;
constexpr milliseconds long_wait(1000);
constexpr milliseconds wait_log_interval(5000);
} // namespace

trial_exchange::trial_exchange(entry_id self, trial_exchange_hooks hooks)
    : self_(std::move(self)), hooks_(std::move(hooks)), last_id_(random_bits()) {}

std::optional<trial_id> trial_exchange::begin(const fingerprint& request, const service_id& service,
                                              const software_version& version,
                                              policy::work_kind kind,
                                              const std::optional<policy::retry_history>& retry,
                                              const fingerprint& item) {
    if (!may_ask(request, service, kind, retry.has_value()))
        return std::nullopt;
    const trial_id id = make_id(item);
    asked_trial& trial = asked_[id];
    trial.request = {{self_, id}, request, service, version, kind, retry};
    ask(trial, monotonic_now());
    return id;
}

trial_id trial_exchange::make_id(const fingerprint& item) {
    ++last_id_;
    if (item.empty())
        return trial_id(last_id_);
    const std::uint32_t name = static_cast<std::uint32_t>(stable_hash(item.str()));
    return policy::make_trial_id(std::max(name, 1U), static_cast<std::uint32_t>(last_id_));
}

// One run decides for all requests that wait for it. An accepted item has to run in time, and the
// schedule knows how long it has waited only if it is asked for.
bool trial_exchange::may_ask(const fingerprint& request, const service_id& service,
                             policy::work_kind kind, bool is_retry) const {
    std::map<service_id, std::size_t> of_services{{service, 0}};
    std::size_t of_kind = 0;
    std::size_t of_cause = 0;
    for (const std::pair<const trial_id, asked_trial>& one : asked_) {
        const policy::trial_request& asked = one.second.request;
        if (asked.kind != kind || asked.retry.has_value() != is_retry)
            continue;
        ++of_kind;
        ++of_services[asked.service];
        of_cause += asked.request == request ? 1 : 0;
    }
    const bool is_item = kind == policy::work_kind::batch;
    if (of_cause >= (is_item ? max_items_of_cause : 1))
        return false;
    const std::size_t of_service = of_services[service];
    return of_service == 0 ||
           (of_service < max_asked / of_services.size() && of_kind < max_asked + max_asked_late);
}

void trial_exchange::set_cause(trial_id id, const fingerprint& cause,
                               const std::optional<policy::retry_history>& retry) {
    auto found = asked_.find(id);
    if (found == asked_.end() || found->second.endpoint)
        return;
    policy::trial_request& asked = found->second.request;
    if (asked.request == cause && asked.retry.has_value() == retry.has_value())
        return;
    asked.request = cause;
    asked.retry = retry;
    ask(found->second, monotonic_now());
}

trial_exchange::state trial_exchange::find(trial_id id) const {
    auto found = asked_.find(id);
    if (found == asked_.end())
        return {};
    return {found->second.changes < max_coordinators_tried, found->second.endpoint,
            found->second.coordinator, found->second.is_shared};
}

bool trial_exchange::asks_for(trial_id id, const service_id& service,
                              const software_version& version) const {
    auto found = asked_.find(id);
    return found != asked_.end() && found->second.request.service == service &&
           found->second.request.version == version;
}

// A coordinator that is frozen or lost doesn't answer, and the next one is asked. Two that schedule
// for different gateways allow two runs of a request at once, which is bearable.
void trial_exchange::ask(asked_trial& trial, instant now) {
    const std::vector<entry_id> coordinators = hooks_.coordinators();
    const entry_id& coordinator = coordinators[trial.changes % coordinators.size()];
    const bool is_silent = trial.coordinator == coordinator && trial.coordinator != self_ &&
                           now - trial.answered_at >= answer_timeout;
    if (is_silent && trial.changes < max_coordinators_tried && !trial.endpoint) {
        ++trial.changes;
        ask(trial, now);
        return;
    }
    if (trial.coordinator != coordinator && !trial.endpoint) {
        trial.coordinator = coordinator;
        trial.answered_at = now;
    }
    trial.next_send_at = now + repeat_interval;
    if (trial.coordinator == self_) {
        schedule_.refresh(trial.request, now);
        return;
    }
    schema::poison_news news;
    schema::trial_request* request = news.add_trial_requests();
    request->set_id(trial.request.key.id.value());
    request->set_fingerprint(trial.request.request.str());
    request->set_service(trial.request.service.str());
    request->set_version(trial.request.version.str());
    request->set_batch(trial.request.kind == policy::work_kind::batch);
    if (trial.request.retry)
        encode(*trial.request.retry, now, *request);
    send(trial.coordinator, news);
}

void trial_exchange::end(trial_id id, policy::trial_outcome outcome) {
    auto found = asked_.find(id);
    if (found == asked_.end())
        return;
    const asked_trial trial = std::move(found->second);
    asked_.erase(found);
    if (trial.coordinator == self_) {
        schedule_.end(trial.request.key, outcome, monotonic_now());
        return;
    }
    schema::poison_news news;
    schema::trial_end* ended = news.add_trial_ends();
    ended->set_id(id.value());
    ended->set_outcome(static_cast<std::uint32_t>(outcome));
    send(trial.coordinator, news);
}

void trial_exchange::send(const entry_id& to, const schema::poison_news& news) {
    schema::envelope envelope;
    *envelope.mutable_poison() = news;
    envelope.mutable_poison()->set_gateway(self_.str());
    hooks_.send(to, envelope);
}

void trial_exchange::answer(const policy::trial_key& key,
                            const std::optional<policy::trial_grant>& grant) {
    if (key.gateway == self_) {
        auto found = asked_.find(key.id);
        if (found != asked_.end() && grant) {
            found->second.endpoint = grant->endpoint;
            found->second.is_shared = grant->shared;
        }
        return;
    }
    schema::poison_news news;
    schema::trial_answer* answered = news.add_trial_answers();
    answered->set_id(key.id.value());
    if (grant) {
        answered->set_endpoint(grant->endpoint.str());
        answered->set_shared(grant->shared);
    }
    send(key.gateway, news);
}

void trial_exchange::receive(const schema::poison_news& news) {
    const instant now = monotonic_now();
    const entry_id from(news.gateway());
    for (const schema::trial_request& request : news.trial_requests()) {
        const policy::trial_key key{from, trial_id(request.id())};
        schedule_.refresh({key, fingerprint(request.fingerprint()), service_id(request.service()),
                           software_version(request.version()),
                           request.batch() ? policy::work_kind::batch : policy::work_kind::online,
                           decode(request, now)},
                          now);
        answer(key, schedule_.granted(key));
    }
    for (const schema::trial_end& ended : news.trial_ends()) {
        const std::uint32_t last = static_cast<std::uint32_t>(policy::trial_outcome::silent);
        schedule_.end({from, trial_id(ended.id())},
                      static_cast<policy::trial_outcome>(std::min(ended.outcome(), last)), now);
    }
    bool granted = false;
    for (const schema::trial_answer& answered : news.trial_answers()) {
        auto found = asked_.find(trial_id(answered.id()));
        if (found == asked_.end() || found->second.coordinator != from)
            continue;
        found->second.answered_at = now;
        if (answered.endpoint().empty())
            continue;
        granted = granted || !found->second.endpoint;
        found->second.endpoint = endpoint_id(answered.endpoint());
        found->second.is_shared = answered.shared();
    }
    if (granted && hooks_.on_granted)
        hooks_.on_granted();
}

void trial_exchange::tick() {
    const instant now = monotonic_now();
    for (std::pair<const trial_id, asked_trial>& one : asked_) {
        if (now >= one.second.next_send_at)
            ask(one.second, now);
    }
    for (const policy::trial_grant& grant :
         schedule_.poll(now, hooks_.choose_endpoint, hooks_.is_listed, hooks_.risk_of)) {
        log_info("trial_granted")
            .with("gateway", grant.key.gateway.str())
            .with("endpoint", grant.endpoint.str())
            .with("cause", short_form(grant.request))
            .with("shared", grant.shared ? 1 : 0)
            .with("retry", grant.retried_items > 0 ? 1 : 0)
            .with("retried_items", grant.retried_items)
            .with("waiting_or_running", schedule_.size());
        answer(grant.key, grant);
    }
    log_waiting(now);
}

void trial_exchange::log_waiting(instant now) {
    if (now < next_log_at_)
        return;
    const policy::trial_summary summary = schedule_.summarize(now);
    if (summary.longest_wait < long_wait)
        return;
    next_log_at_ = now + wait_log_interval;
    log_info("trials_waiting")
        .with("waiting", summary.waiting)
        .with("running", summary.running)
        .with("endpoints", summary.endpoints)
        .with("longest_ms", summary.longest_wait.count())
        .with("cause", short_form(summary.longest_waiting));
}

} // namespace cassia::gateway
