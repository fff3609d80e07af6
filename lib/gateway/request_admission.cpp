#include "cassia/gateway/request_admission.h"

#include "cassia/base/log.h"
#include "cassia/gateway/caller_identity.h"

#include <algorithm>
#include <utility>

namespace cassia::gateway {

namespace {
constexpr int status_unauthorized = 401;
constexpr int status_too_many_requests = 429;
} // namespace

request_admission::request_admission(quota_coordinator& quota, metrics& counts, header_names names,
                                     admission_hooks hooks)
    : quota_(quota), metrics_(counts), names_(std::move(names)), hooks_(std::move(hooks)) {}

void request_admission::submit(routed_request request) {
    if (request.team == nullptr) {
        hooks_.on_admitted(std::move(request));
        return;
    }
    const policy::quota_decision decision = quota_.admit(request.team->id);
    switch (decision.verdict) {
    case policy::quota_verdict::admitted:
        request.grant = decision.grant;
        hooks_.on_admitted(std::move(request));
        break;
    case policy::quota_verdict::rejected:
        reject_over_quota(request, decision.retry_after);
        break;
    case policy::quota_verdict::pending:
        metrics_.count("quota_asked");
        awaiting_quota_[decision.ask] = std::move(request);
        quota_.flush();
        break;
    }
}

void request_admission::on_quota_decision(const policy::quota_decision& decision) {
    auto found = awaiting_quota_.find(decision.ask);
    if (found == awaiting_quota_.end())
        return;
    routed_request request = std::move(found->second);
    awaiting_quota_.erase(found);
    metrics_.observe("quota_answer", monotonic_now() - request.arrived_at);
    if (decision.verdict == policy::quota_verdict::rejected) {
        reject_over_quota(request, decision.retry_after);
        return;
    }
    request.grant = decision.grant;
    hooks_.on_admitted(std::move(request));
}

void request_admission::on_caller_gone(exchange_id id) {
    auto found = std::find_if(awaiting_quota_.begin(), awaiting_quota_.end(),
                              [id](const auto& pending) { return pending.second.id == id; });
    if (found == awaiting_quota_.end())
        return;
    quota_.cancel(found->first);
    awaiting_quota_.erase(found);
}

void request_admission::reject_unknown_key(exchange_id id, const net::raw_request& request) {
    metrics_.count("rejected_unknown_key");
    log_warning("request_rejected")
        .with("request", request.fields.find(names_.request_id))
        .with("cause", "unknown_key")
        .with("key_digest", short_key_digest(request.fields, names_));
    net::http_fields fields;
    fields.add(names_.request_id, request.fields.find(names_.request_id));
    hooks_.reject(id, status_unauthorized, fields);
}

void request_admission::reject_over_quota(const routed_request& request, milliseconds retry_after) {
    metrics_.count("rejected_over_quota");
    log_info("request_rejected")
        .with("request", request.request.fields.find(names_.request_id))
        .with("cause", "over_quota")
        .with("team", request.team->id.str())
        .with("retry_after_ms", retry_after.count());
    net::http_fields fields;
    fields.add(names_.request_id, request.request.fields.find(names_.request_id));
    fields.add("Retry-After", net::to_seconds(retry_after));
    hooks_.reject(request.id, status_too_many_requests, fields);
}

} // namespace cassia::gateway
