/// Moving a run that is under way to another endpoint, which goes on from a copy of its memory: it
/// stays one run, so it may be done where nothing may run twice.
#pragma once

#include "cassia/base/ids.h"
#include "cassia/net/raw_http.h"

#include <functional>
#include <optional>
#include <string>

namespace cassia::gateway {

/// Where the memory of a run is kept.
struct kv_cache_copy {
    http_address source; ///< endpoint that the run comes from
    std::string handle;  ///< its name for the copy; empty if there is none
};

/// How endpoints are asked, in their words. Without `request` nothing is moved.
struct migration_protocol {
    /// Asks the endpoint that runs a request to stop it, and to copy its memory to another one.
    std::function<net::raw_request(const std::string& request_id, const http_address& to)>
        build_request;
    /// Reads the handle out of the answer's body. Nothing: the run wasn't stopped.
    std::function<std::optional<std::string>(const std::string& body)> read_handle;
    /// Changes a request so that it goes on from a copy.
    std::function<void(net::raw_request& request, const kv_cache_copy& copy)> resume_from_copy;
};

} // namespace cassia::gateway
