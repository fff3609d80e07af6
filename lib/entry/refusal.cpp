#include "cassia/entry/refusal.h"

#include <boost/json.hpp>

namespace cassia::entry {

namespace {
struct code_info {
    rejection_code code;
    int status;
    const char* name;
};

constexpr code_info codes[] = {
    {rejection_code::bad_request, 400, "bad_request"},
    {rejection_code::unauthorized, 401, "unauthorized"},
    {rejection_code::not_allowed, 403, "not_allowed"},
    {rejection_code::not_found, 404, "not_found"},
    {rejection_code::bad_method, 405, "bad_method"},
    {rejection_code::in_progress, 409, "in_progress"},
    {rejection_code::conflict, 409, "conflict"},
    {rejection_code::too_large, 413, "too_large"},
    {rejection_code::key_reused, 422, "key_reused"},
    {rejection_code::quarantined, 422, "quarantined"},
    {rejection_code::over_share, 429, "over_share"},
    {rejection_code::header_too_large, 431, "header_too_large"},
    {rejection_code::outcome_unknown, 502, "outcome_unknown"},
    {rejection_code::endpoint_failed, 502, "endpoint_failed"},
    {rejection_code::no_endpoint, 503, "no_endpoint"},
    {rejection_code::draining, 503, "draining"},
    {rejection_code::stale, 503, "stale"},
    {rejection_code::no_quorum, 503, "no_quorum"},
    {rejection_code::crowded, 503, "crowded"},
    {rejection_code::deadline, 504, "deadline"},
};
} // namespace

static const code_info& info_of(rejection_code code) {
    for (const code_info& info : codes) {
        if (info.code == code)
            return info;
    }
    return codes[0];
}

int http_status_of(rejection_code code) {
    return info_of(code).status;
}
const char* rejection_code_name(rejection_code code) {
    return info_of(code).name;
}

const char* run_state_name(run_state run) {
    switch (run) {
    case run_state::no:
        return "no";
    case run_state::maybe:
        return "maybe";
    case run_state::yes:
        return "yes";
    }
    return "maybe";
}

// Jobs are named by their content where they have no key.
run_state run_state_before_lookup(const net::http_request& request) {
    const bool is_named =
        !request.header("idempotency-key").empty() || request.path == "/v1/batches";
    return is_named ? run_state::maybe : run_state::no;
}

static std::string error_body(const rejection& rejected, const std::string& request_id) {
    const boost::json::object body = {{"error",
                                       {{"code", rejection_code_name(rejected.code)},
                                        {"message", rejected.message},
                                        {"run", run_state_name(rejected.run)},
                                        {"request_id", request_id}}}};
    return boost::json::serialize(body);
}

net::http_response to_http_response(const rejection& rejected, const std::string& request_id) {
    net::http_response response;
    response.status = http_status_of(rejected.code);
    response.body = error_body(rejected, request_id);
    response.headers["Cassia-Run"] = run_state_name(rejected.run);
    response.headers["Cassia-Request-Id"] = request_id;
    if (rejected.retry_after.count() > 0) {
        // Retry-After is in whole seconds; round up.
        constexpr std::int64_t ms_per_second = 1000;
        const std::int64_t seconds =
            (rejected.retry_after.count() + ms_per_second - 1) / ms_per_second;
        response.headers["Retry-After"] = std::to_string(seconds);
    }
    return response;
}

std::string to_sse_event(const rejection& rejected, const std::string& request_id) {
    return "data: " + error_body(rejected, request_id) + "\n\n";
}

} // namespace cassia::entry
