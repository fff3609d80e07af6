/// Reading of responses as they arrive.
#pragma once

#include "cassia/net/raw_http.h"

#include "growing_body.h"

#include <boost/beast/http/parser.hpp>

#include <cstdint>
#include <memory>

namespace cassia::net {

namespace http = boost::beast::http;
using response_parser = http::response_parser<growing_body>;

/// Of a head, and of the line before a chunk.
constexpr std::uint32_t max_header_bytes = 64 * 1024;

std::unique_ptr<response_parser> make_parser(const raw_request& request);
bool is_informational(const response_parser& parser);
/// Whether the status is one that a response may have: 100 to 599, and not 101, as no request asks
/// for another protocol.
bool has_valid_status(const response_parser& parser);
/// Whether a value or the reason holds the first line of another response: the start of one that
/// broke off and the head behind it were read as one head, which says nothing of either.
bool holds_another_head(const response_parser& parser);
raw_head take_head(const response_parser& parser);
/// How long the connection may be kept after the response.
milliseconds idle_limit_of(const http_fields& fields);

} // namespace cassia::net
