// Streams that go on at another endpoint or gateway, which must run the software version that began
// them.

#include "cassia/base/log.h"
#include "cassia/gateway/dispatcher.h"

#include <vector>

namespace cassia::gateway {

namespace {
// Endpoints that crash are back in about this time.
constexpr milliseconds version_retry_after(1000);
constexpr std::string_view version_gone_text =
    "No endpoint runs the software version that began this stream. Begin the request anew.\n";
} // namespace

bool dispatcher::is_unservable(const online_call& call) const {
    return call.origin_version && !slots_.serves(call.service, *call.origin_version);
}

void dispatcher::end_unservable(online_call& call) {
    log_info("version_gone")
        .with("request", call.request_id)
        .with("service", call.service.str())
        .with("version", call.origin_version->str())
        .with("behind_event", call.last_event);
    if (call.runs == 0)
        reject(call, "version_gone", version_retry_after, version_gone_text);
    else
        fail(call, status_bad_gateway, "version_gone");
}

void dispatcher::end_unservable() {
    std::vector<exchange_id> ids;
    for (const std::pair<const exchange_id, std::unique_ptr<online_call>>& call : calls_) {
        const bool waits = call.second->upstream_call == call_id();
        if (waits && is_unservable(*call.second))
            ids.push_back(call.first);
    }
    for (const exchange_id id : ids) {
        auto found = calls_.find(id);
        if (found != calls_.end() && is_unservable(*found->second))
            end_unservable(*found->second);
    }
}

} // namespace cassia::gateway
