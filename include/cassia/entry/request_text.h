/// Reading request bodies: canonical JSON, fingerprints, server-sent events, RFC 3339 times.
#pragma once

#include "cassia/base/clock.h"
#include "cassia/base/ids.h"

#include <boost/json/value.hpp>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cassia::entry {

/// The JSON value, or what is wrong with the text. Nesting is bounded.
struct json_parse_result {
    std::optional<boost::json::value> value;
    std::string error;
};
json_parse_result parse_json(std::string_view text);

/// JSON without regard to member order and white space.
std::string canonical(const boost::json::value& value);

/// Canonical form of a body: JSON where it is JSON, else the bytes themselves.
std::string canonical_body(std::string_view body);

/// Splits server-sent events, which arrive cut anywhere.
class event_splitter {
public:
    void add(std::string_view piece) { buffer_.append(piece); }
    /// The next whole event with the blank line that ends it, or nothing.
    std::optional<std::string> next();

private:
    std::string buffer_;
};

/// The data of an event, without "data: " and line ends.
std::string_view event_data(std::string_view event);
inline bool is_done(std::string_view event) {
    return event_data(event) == "[DONE]";
}

/// The answer in one piece that an engine's stream of events amounts to.
/// \param events data of the events, without the last, [DONE].
std::string assemble_answer(const std::vector<std::string>& events, bool chat);

/// Unix time of an RFC 3339 text.
std::optional<wall_time> parse_time(const std::string& text);
std::string format_time(wall_time time);

/// Whether the bytes are UTF-8.
bool is_text(const std::string& bytes);

/// Percent-encodes a path, keeping its slashes.
std::string escape_path(const std::string& path);

} // namespace cassia::entry
