/// Reads messages in which single records of endpoints can't be read: a writer with other software,
/// or a damaged disk, spoils its own record only.
#pragma once

#include <cstddef>
#include <optional>
#include <string_view>

namespace google::protobuf {
class Message;
} // namespace google::protobuf

namespace cassia::schema {

/// Parses a message. Where that fails, leaves out the endpoint records and liveness reports, at its
/// top or one level below, that can't be parsed by themselves.
/// \returns how many were left out; nothing if the message can't be parsed without them either.
std::optional<std::size_t> parse_readable_endpoints(std::string_view bytes,
                                                    google::protobuf::Message& into);

} // namespace cassia::schema
