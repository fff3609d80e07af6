// Streams that go on at another endpoint or gateway, which must run the software version that began
// them.

#include "cassia/base/digest.h"
#include "cassia/base/log.h"
#include "cassia/gateway/dispatcher.h"

#include <algorithm>
#include <vector>

namespace cassia::gateway {

namespace {
constexpr std::size_t max_id_length = 256;
constexpr std::size_t max_logged_id_length = 64;
constexpr std::size_t key_length = 16;
// Callers return until their deadline, by their own clocks.
constexpr milliseconds retention_margin(2000);
// As long as other gateways are asked for the record of a stream; both are asked at once.
constexpr milliseconds evidence_timeout(250);
constexpr std::string_view origin_unknown_text =
    "It isn't known which software version began this stream. Begin the request anew.\n";
// Endpoints that crash are back in about this time.
constexpr milliseconds version_retry_after(1000);
constexpr std::string_view version_gone_text =
    "No endpoint of the software version that began this stream can be reached. "
    "Begin the request anew.\n";
} // namespace

// The request is part of the key: the id of another caller's attempt finds nothing.
stream_key dispatcher::key_of(online_call& call, std::string_view first_attempt) {
    std::string text(first_attempt);
    text += "\n" + fingerprint_of(call).str();
    return stream_key(sha256_hex(text).substr(0, key_length));
}

void dispatcher::on_first_event(online_call& call) {
    call.origin_version = call.endpoint_version;
    if (!call.route->resumable() || call.endpoint_version.empty() || call.request_id.empty())
        return;
    origins_.record(key_of(call, call.request_id), {call.service, call.endpoint_version},
                    call.caller_deadline - monotonic_now() + retention_margin);
}

void dispatcher::take_up(online_call& call) {
    const std::string_view first_attempt = call.request.fields.find(names_.resumes);
    call.taken_up_at = monotonic_now();
    metrics_.count("streams_taken_up");
    log_info("stream_taken_up")
        .with("request", call.request_id)
        .with("resumes", first_attempt.substr(0, max_logged_id_length))
        .with("behind_event", call.last_event);
    // In advance: the record of the stream may be gone with the gateways that had it.
    if (has_one_target(call) && hooks_.only_version(call.service, call.taken_up_at).only)
        hooks_.request_versions();
    if (first_attempt.empty() || first_attempt.size() > max_id_length) {
        on_unknown_origin(call);
        return;
    }
    call.lookup = origins_.look_up(key_of(call, first_attempt));
    lookups_[call.lookup] = call.id;
}

void dispatcher::on_origin(const policy::stream_origin_decision& decision) {
    auto found = lookups_.find(decision.lookup);
    if (found == lookups_.end())
        return;
    online_call& call = *calls_.at(found->second);
    lookups_.erase(found);
    call.lookup = lookup_id();
    if (decision.began_by && !decision.began_by->version.empty())
        go_on(call, *decision.began_by, "record");
    else
        on_unknown_origin(call);
}

void dispatcher::cancel_lookup(online_call& call) {
    if (call.lookup == lookup_id())
        return;
    origins_.cancel(call.lookup);
    lookups_.erase(call.lookup);
}

bool dispatcher::has_one_target(const online_call& call) {
    return std::count_if(call.route->targets().begin(), call.route->targets().end(),
                         [](const schema::route_target& one) { return one.weight() > 0; }) == 1;
}

// Where a service had one version alone for longer than any stream lasts, that one began it. The
// stream began before its caller came here, so what was known before then proves nothing: an
// endpoint of another version may have joined and begun it since.
void dispatcher::on_unknown_origin(online_call& call) {
    const version_evidence evidence = has_one_target(call)
                                          ? hooks_.only_version(call.service, call.taken_up_at)
                                          : version_evidence();
    const bool may_wait = monotonic_now() - call.taken_up_at < evidence_timeout;
    if (evidence.only && !evidence.is_current && may_wait) {
        unknown_origins_.insert(call.id);
        return;
    }
    unknown_origins_.erase(call.id);
    if (evidence.only && evidence.is_current)
        go_on(call, {call.service, *evidence.only}, "only_version");
    else
        reject(call, "origin_unknown", default_retry_after, origin_unknown_text);
}

void dispatcher::check_unknown_origins() {
    const std::vector<exchange_id> ids(unknown_origins_.begin(), unknown_origins_.end());
    for (const exchange_id id : ids) {
        if (unknown_origins_.count(id) > 0)
            on_unknown_origin(*calls_.at(id));
    }
}

void dispatcher::go_on(online_call& call, const policy::software& began_by,
                       const std::string& evidence) {
    log_info("stream_origin_known")
        .with("request", call.request_id)
        .with("service", began_by.service.str())
        .with("version", began_by.version.str())
        .with("evidence", evidence);
    metrics_.count("streams_taken_up_by_" + evidence);
    call.origin_version = began_by.version;
    call.service = began_by.service;
    if (!routes::is_target(*call.route, call.service.str())) {
        end_unservable(call);
        return;
    }
    place(call);
}

// A stream under way waits for an endpoint to return. A request that has not run is rejected at
// once, so that its caller can begin anew.
bool dispatcher::is_unservable(const online_call& call) const {
    if (!call.origin_version)
        return false;
    const software_version& version = *call.origin_version;
    return !slots_.serves(call.service, version) ||
           (call.runs == 0 && slots_.all_suspended(call.service, version, monotonic_now()));
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
