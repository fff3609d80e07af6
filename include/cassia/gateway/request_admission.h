/// Which requests may be forwarded: those of teams with a known key, within the team's quota.
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
    std::function<void(admitted_request)> on_admitted;
    std::function<void(exchange_id, int status, const net::http_fields&)> reject;
};

class request_admission {
public:
    request_admission(quota_link& quota, metrics& counts, header_names names,
                      admission_hooks hooks);

    /// Decides on a request of an accepted caller, at once or when the owner of the quota answers.
    void offer(admitted_request request);
    /// Answers a caller whose key is unknown.
    void reject_key(exchange_id id, const net::raw_request& request);
    void on_decision(const policy::quota_decision& decision);
    /// The caller has left.
    void abandon(exchange_id id);
    std::size_t waiting() const { return asked_.size(); }

private:
    void reject_quota(const admitted_request& request, milliseconds retry_after);

    quota_link& quota_;
    metrics& metrics_;
    header_names names_;
    admission_hooks hooks_;
    std::map<std::uint64_t, admitted_request> asked_; ///< by the number of the ask
};

} // namespace cassia::gateway
