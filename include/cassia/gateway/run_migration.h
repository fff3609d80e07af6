/// Migration of a running request to another endpoint, which continues from a copy of its KV cache.
/// The request is executed once only, so that even a request that must not be repeated can migrate.
#pragma once

#include "cassia/base/ids.h"
#include "cassia/net/raw_http.h"

#include <functional>
#include <optional>
#include <string>

namespace cassia::gateway {

/// Identifies a copy of a run's KV cache.
struct kv_cache_copy {
    http_address source; ///< endpoint that executed the run so far
    std::string handle;  ///< that endpoint's name for the copy; empty if there is none
};

/// Encodes and decodes the migration messages of a deployment's endpoints. Without `build_request`
/// runs don't migrate.
struct migration_protocol {
    /// Builds the request that tells an endpoint to stop a run and to copy its KV cache to `to`.
    std::function<net::raw_request(const std::string& request_id, const http_address& to)>
        build_request;
    /// Reads the handle of the copy from the response body; nothing if the run was not stopped.
    std::function<std::optional<std::string>(const std::string& body)> read_handle;
    /// Changes a request so that the endpoint resumes the run from a copy.
    std::function<void(net::raw_request& request, const kv_cache_copy& copy)> resume_from_copy;
};

} // namespace cassia::gateway
