/// Admission control of requests: rejects those with an unknown key or beyond their team's quota.
#pragma once

#include "cassia/base/clock.h"
#include "cassia/base/ids.h"
#include "cassia/base/metrics.h"
#include "cassia/gateway/header_names.h"
#include "cassia/gateway/online_call.h"
#include "cassia/gateway/quota_coordinator.h"
#include "cassia/net/raw_http.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>

namespace cassia::gateway {

struct admission_hooks {
    std::function<void(routed_request)> on_admitted;
    std::function<void(exchange_id, int status, const net::http_fields&)> reject;
};

class request_admission {
public:
    request_admission(quota_coordinator& quota, metrics& counts, header_names names,
                      admission_hooks hooks);

    /// Decides on a request of an identified caller, at once or when the quota's owner replies.
    void submit(routed_request request);
    /// Responds with 401 and logs the key's short digest.
    void reject_unknown_key(exchange_id id, const net::raw_request& request);
    void on_quota_decision(const policy::quota_decision& decision);
    /// Drops the request if it still waits for a quota decision.
    void on_caller_gone(exchange_id id);
    std::size_t awaiting_quota() const { return awaiting_quota_.size(); }

private:
    void reject_over_quota(const routed_request& request, milliseconds retry_after);

    quota_coordinator& quota_;
    metrics& metrics_;
    header_names names_;
    admission_hooks hooks_;
    std::map<std::uint64_t, routed_request> awaiting_quota_; ///< by quota_decision::ask
};

} // namespace cassia::gateway
