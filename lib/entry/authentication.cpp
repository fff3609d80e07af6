#include "cassia/entry/authentication.h"

#include "cassia/base/digest.h"
#include "cassia/net/http_server.h"

#include <string_view>

namespace cassia::entry {

std::string bearer_token(const net::http_request& request) {
    constexpr std::string_view scheme = "Bearer ";
    const std::string& header = request.header("authorization");
    if (header.compare(0, scheme.size(), scheme) != 0)
        return "";
    return header.substr(scheme.size());
}

bool has_token(const net::http_request& request, const std::string& sha256) {
    const std::string token = bearer_token(request);
    return !token.empty() && equal_secrets(sha256_hex(token), sha256);
}

} // namespace cassia::entry
