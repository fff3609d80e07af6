/// HTTP/1.1 messages that are passed on as they came: nothing is decoded, reordered or joined.
#pragma once

#include "cassia/base/clock.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cassia::net {

struct http_field {
    std::string name;
    std::string value;
};

/// Header fields in the order they came.
class http_fields {
public:
    void add(std::string_view name, std::string_view value);
    /// Replaces all fields of that name by one.
    void set(std::string_view name, std::string_view value);
    void erase(std::string_view name);
    /// Value of the first field of that name, in any case; empty if there is none.
    std::string_view find(std::string_view name) const;
    bool has(std::string_view name) const;
    const std::vector<http_field>& all() const { return fields_; }
    /// Removes what concerns one connection only (RFC 9110, 7.6.1).
    void erase_hop_by_hop();

private:
    std::vector<http_field> fields_;
};

bool equal_ignoring_case(std::string_view a, std::string_view b);

struct raw_request {
    std::string method;
    std::string target; ///< as it stood in the request line, with the query
    http_fields fields;
    std::string body;
    /// In place of `body`, if it is set: copies of the request have it in common.
    std::shared_ptr<const std::string> shared_body;

    std::string_view whole_body() const { return shared_body ? *shared_body : body; }
    /// Makes copies of the request cheap from now on.
    void share_body();
};

/// How a body's end is marked.
enum class body_framing {
    none,   ///< no body follows
    length, ///< Content-Length
    chunked,
    until_close, ///< the connection's end
};

struct raw_head {
    int status = 0;
    std::string reason;
    http_fields fields; ///< without those that concern one connection
    body_framing framing = body_framing::none;
    std::uint64_t length = 0; ///< with framing `length`
};

/// The bytes of a request, with its body.
std::string to_bytes(const raw_request& request);
/// The same without the body.
std::string head_bytes(const raw_request& request);
/// The bytes of a head; `close` announces the end of the connection.
std::string to_bytes(const raw_head& head, bool close);
/// The bytes of one chunk.
std::string to_chunk(std::string_view piece);
constexpr std::string_view last_chunk = "0\r\n\r\n";

/// A whole number and nothing else.
std::optional<std::uint64_t> read_number(std::string_view text);
/// A whole number of milliseconds, no more than a day.
std::optional<milliseconds> read_milliseconds(std::string_view text);

/// Seconds with their fraction, as Retry-After takes them here.
std::string to_seconds(milliseconds time);

/// The usual phrase of a status.
std::string reason_phrase(int status);
/// Path of a target, without the query.
std::string_view path_of(std::string_view target);
/// The same, percent-decoded; as it stands if it can't be decoded.
std::string decoded_path_of(std::string_view target);
/// Value of a query parameter, percent-decoded; empty if there is none.
std::string query_parameter(std::string_view target, std::string_view name);

} // namespace cassia::net
