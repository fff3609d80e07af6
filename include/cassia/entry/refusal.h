/// Errors returned to callers.
#pragma once

#include "cassia/base/clock.h"
#include "cassia/net/http_server.h"

#include <string>

namespace cassia::entry {

/// Whether the request was executed. `no` guarantees that no endpoint received it.
enum class run_state { no, maybe, yes };

enum class rejection_code {
    bad_request,      ///< 400
    unauthorized,     ///< 401
    not_allowed,      ///< 403
    not_found,        ///< 404
    bad_method,       ///< 405
    in_progress,      ///< 409
    conflict,         ///< 409
    too_large,        ///< 413
    key_reused,       ///< 422
    quarantined,      ///< 422
    over_share,       ///< 429
    header_too_large, ///< 431
    outcome_unknown,  ///< 502
    endpoint_failed,  ///< 502
    no_endpoint,      ///< 503
    draining,         ///< 503
    stale,            ///< 503
    no_quorum,        ///< 503
    crowded,          ///< 503
    deadline,         ///< 504
};

struct rejection {
    rejection_code code = rejection_code::bad_request;
    std::string message;
    run_state run = run_state::no;
    milliseconds retry_after{0}; ///< zero: a retry would not help
};

/// What can be said of a request whose transmission is refused before its key, or its job, has been
/// looked up: an earlier transmission of it may have been accepted.
run_state run_state_before_lookup(const net::http_request& request);

/// Used for `retry_after` where no better estimate is available.
inline constexpr milliseconds default_retry_after(1000);

int http_status_of(rejection_code code);
const char* rejection_code_name(rejection_code code);
const char* run_state_name(run_state run);

net::http_response to_http_response(const rejection& rejected, const std::string& request_id);

/// The error as a server-sent event, for a stream that has already begun.
std::string to_sse_event(const rejection& rejected, const std::string& request_id);

} // namespace cassia::entry
