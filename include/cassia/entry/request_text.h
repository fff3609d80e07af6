/// Parsing and formatting of request and response text: JSON, server-sent events, RFC 3339 times,
/// UTF-8 and percent-encoding.
#pragma once

#include "cassia/base/clock.h"
#include "cassia/base/ids.h"

#include <boost/json/value.hpp>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cassia::entry {

/// Either the parsed value or an error message.
struct json_parse_result {
    std::optional<boost::json::value> value;
    std::string error;
};
/// Parses JSON text with a limited nesting depth.
json_parse_result parse_json(std::string_view text);

/// Serializes JSON so that values which differ only in member order or white space give the same
/// text. The result is for comparing and hashing; it is not valid JSON.
std::string canonical_json(const boost::json::value& value);

/// The canonical form of a JSON body; any other body unchanged.
std::string canonical_body(std::string_view body);

/// Splits a stream, received in chunks of any size, into server-sent events.
class event_splitter {
public:
    void add(std::string_view chunk) { buffer_.append(chunk); }
    /// The next complete event, including the blank line that ends it, or nothing.
    std::optional<std::string> next();

private:
    std::string buffer_;
};

/// The data of an event, without the field name and line ends.
std::string_view event_data(std::string_view event);
inline bool is_done_event(std::string_view event) {
    return event_data(event) == "[DONE]";
}

/// Assembles the events of an engine's stream into the equivalent non-streaming response.
/// \param events data of the events, without the final [DONE].
std::string assemble_completion(const std::vector<std::string>& events, bool chat);

/// The time that an RFC 3339 text denotes, or nothing if it is invalid.
std::optional<wall_time> parse_rfc3339_time(const std::string& text);
std::string format_rfc3339_time(wall_time time);

bool is_valid_utf8(const std::string& bytes);

/// Percent-encodes a path, keeping its slashes.
std::string escape_path(const std::string& path);

} // namespace cassia::entry
