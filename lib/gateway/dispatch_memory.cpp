// Memory that requests take at endpoints: large requests reserve it, oversized ones are rejected.

#include "cassia/base/log.h"
#include "cassia/gateway/dispatcher.h"

#include <optional>
#include <string>

namespace cassia::gateway {

namespace {
constexpr int status_too_large = 413;
} // namespace

void dispatcher::reserve_memory(online_call& call, instant now) {
    std::uniform_real_distribution<double> uniform(0, 1);
    const std::optional<endpoint_id> reserved = slots_.reserve_memory(
        call.service, policy::work_kind::online, call.tokens, call.failed_endpoints, now,
        uniform(random_), call.required_version());
    if (!reserved)
        return;
    metrics_.count("memory_reserved");
    if (const std::optional<entry_id> holder = slots_.batch_holder(*reserved))
        hooks_.request_yield(*holder, *reserved);
}

std::optional<policy::placement> dispatcher::find_endpoint(online_call& call, instant now) {
    if (slots_.needs_reservation(call.service, call.tokens))
        reserve_memory(call, now);
    std::uniform_real_distribution<double> uniform(0, 1);
    const double draw = uniform(random_);
    const software_version version = call.required_version();
    std::optional<policy::placement> found =
        slots_.place_online(call.service, call.failed_endpoints, now, draw, version, call.tokens);
    if (!found && !call.failed_endpoints.empty())
        found = slots_.place_online(call.service, {}, now, draw, version, call.tokens);
    return found;
}

void dispatcher::end_oversized(online_call& call) {
    const std::uint64_t limit = slots_.memory_limit(call.service);
    log_info("request_too_large")
        .with("request", call.request_id)
        .with("service", call.service.str())
        .with("tokens", call.tokens)
        .with("memory", limit);
    if (call.runs > 0) {
        fail(call, status_bad_gateway, "too_large");
        return;
    }
    net::raw_head head;
    head.status = status_too_large;
    head.fields.add(names_.request_id, call.request_id);
    reject_with(call, head, "too_large",
                "The request takes " + std::to_string(call.tokens) +
                    " tokens, prompt and longest response together. An endpoint holds " +
                    std::to_string(limit) + ".\n");
}

} // namespace cassia::gateway
