/// Who sends a request.
#pragma once

#include <string>

namespace cassia::net {
struct http_request;
}

namespace cassia::entry {

/// The key or token of "Authorization: Bearer …"; empty if there is none.
std::string bearer_token(const net::http_request& request);

/// Whether the request carries the token with this SHA-256.
bool has_token(const net::http_request& request, const std::string& sha256);

} // namespace cassia::entry
