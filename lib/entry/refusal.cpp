#include "cassia/entry/refusal.h"

#include <boost/json.hpp>

namespace cassia::entry {

namespace {
struct code_info {
    refusal_code code;
    int status;
    const char* name;
};

constexpr code_info codes[] = {
    {refusal_code::bad_request, 400, "bad_request"},
    {refusal_code::unauthorized, 401, "unauthorized"},
    {refusal_code::not_allowed, 403, "not_allowed"},
    {refusal_code::not_found, 404, "not_found"},
    {refusal_code::bad_method, 405, "bad_method"},
    {refusal_code::in_progress, 409, "in_progress"},
    {refusal_code::conflict, 409, "conflict"},
    {refusal_code::too_large, 413, "too_large"},
    {refusal_code::key_reused, 422, "key_reused"},
    {refusal_code::quarantined, 422, "quarantined"},
    {refusal_code::over_share, 429, "over_share"},
    {refusal_code::header_too_large, 431, "header_too_large"},
    {refusal_code::outcome_unknown, 502, "outcome_unknown"},
    {refusal_code::endpoint_failed, 502, "endpoint_failed"},
    {refusal_code::no_endpoint, 503, "no_endpoint"},
    {refusal_code::draining, 503, "draining"},
    {refusal_code::stale, 503, "stale"},
    {refusal_code::no_quorum, 503, "no_quorum"},
    {refusal_code::deadline, 504, "deadline"},
};
} // namespace

static const code_info& info_of(refusal_code code) {
    for (const code_info& info : codes) {
        if (info.code == code)
            return info;
    }
    return codes[0];
}

int http_status_of(refusal_code code) {
    return info_of(code).status;
}
const char* refusal_code_name(refusal_code code) {
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

static std::string error_body(const refusal& refused, const std::string& request_id) {
    const boost::json::object body = {{"error",
                                       {{"code", refusal_code_name(refused.code)},
                                        {"message", refused.message},
                                        {"run", run_state_name(refused.run)},
                                        {"request_id", request_id}}}};
    return boost::json::serialize(body);
}

net::http_response to_http_response(const refusal& refused, const std::string& request_id) {
    net::http_response response;
    response.status = http_status_of(refused.code);
    response.body = error_body(refused, request_id);
    response.headers["Cassia-Run"] = run_state_name(refused.run);
    response.headers["Cassia-Request-Id"] = request_id;
    if (refused.retry_after.count() > 0) {
        // Retry-After is in whole seconds; round up.
        constexpr std::int64_t ms_per_second = 1000;
        const std::int64_t seconds =
            (refused.retry_after.count() + ms_per_second - 1) / ms_per_second;
        response.headers["Retry-After"] = std::to_string(seconds);
    }
    return response;
}

std::string to_sse_event(const refusal& refused, const std::string& request_id) {
    return "data: " + error_body(refused, request_id) + "\n\n";
}

} // namespace cassia::entry
