#include "cassia/entry/refusal.h"

#include <boost/json.hpp>

namespace cassia::entry {

namespace {
struct code_facts {
    refusal_code code;
    int status;
    const char* name;
};

constexpr code_facts codes[] = {
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

static const code_facts& facts_of(refusal_code code) {
    for (const code_facts& one : codes) {
        if (one.code == code)
            return one;
    }
    return codes[0];
}

int status_of(refusal_code code) {
    return facts_of(code).status;
}
const char* code_name(refusal_code code) {
    return facts_of(code).name;
}

const char* run_name(run_state run) {
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

static std::string body_of(const refusal& refused, const std::string& request_id) {
    const boost::json::object body = {{"error",
                                       {{"code", code_name(refused.code)},
                                        {"message", refused.message},
                                        {"run", run_name(refused.run)},
                                        {"request_id", request_id}}}};
    return boost::json::serialize(body);
}

net::http_response to_response(const refusal& refused, const std::string& request_id) {
    net::http_response response;
    response.status = status_of(refused.code);
    response.body = body_of(refused, request_id);
    response.headers["Cassia-Run"] = run_name(refused.run);
    response.headers["Cassia-Request-Id"] = request_id;
    if (refused.retry_after.count() > 0) {
        // The header counts whole seconds.
        constexpr std::int64_t ms_per_second = 1000;
        const std::int64_t seconds =
            (refused.retry_after.count() + ms_per_second - 1) / ms_per_second;
        response.headers["Retry-After"] = std::to_string(seconds);
    }
    return response;
}

std::string to_event(const refusal& refused, const std::string& request_id) {
    return "data: " + body_of(refused, request_id) + "\n\n";
}

} // namespace cassia::entry
