#include "cassia/gateway/request_fingerprint.h"

#include "cassia/base/digest.h"

#include <algorithm>

namespace cassia::gateway {

namespace {
constexpr std::size_t short_length = 16;
} // namespace

fingerprint make_fingerprint(std::string_view team, std::string_view host, std::string_view method,
                             std::string_view target, std::string_view body) {
    // A line feed can't be part of a header value, a method or a target.
    constexpr std::string_view end = "\n";
    return fingerprint(sha256_hex_of_parts({team, end, host, end, method, end, target, end, body}));
}

fingerprint make_item_fingerprint(std::string_view job, std::string_view item) {
    std::string text("item\n");
    text.append(job).append("\n").append(item);
    return fingerprint(sha256_hex(text));
}

std::string short_form(const fingerprint& request) {
    // Keys of parts are no digests.
    const bool is_part = request.str().rfind("part:", 0) == 0;
    return is_part ? request.str() : request.str().substr(0, short_length);
}

} // namespace cassia::gateway
