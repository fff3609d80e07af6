/// Bearer tokens of HTTP requests.
#pragma once

#include <string>

namespace cassia::net {
struct http_request;
}

namespace cassia::entry {

/// The API key or token from the header "Authorization: Bearer …", or an empty string.
std::string bearer_token(const net::http_request& request);

/// Whether the request carries the token whose SHA-256 digest (hexadecimal) is `sha256`.
bool has_token(const net::http_request& request, const std::string& sha256);

} // namespace cassia::entry
