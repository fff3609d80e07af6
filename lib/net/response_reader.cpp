#include "response_reader.h"

#include <algorithm>
#include <charconv>

namespace cassia::net {

namespace {
// A server that names no time for idle connections keeps them for less than a second.
constexpr milliseconds unnamed_idle_limit(400);
// A request that is sent as the server closes is lost with the connection.
constexpr milliseconds idle_margin(600);
constexpr milliseconds most_idle(10000);
constexpr unsigned first_status = 100;
constexpr unsigned switching_protocols = 101;
constexpr unsigned informational_end = 200;
constexpr unsigned status_end = 600;
} // namespace

std::unique_ptr<response_parser> make_parser(const raw_request& request) {
    std::unique_ptr<response_parser> parser = std::make_unique<response_parser>();
    parser->eager(true);
    parser->header_limit(max_header_bytes);
    parser->body_limit(boost::none);
    if (request.method == "HEAD")
        parser->skip(true);
    return parser;
}

bool is_informational(const response_parser& parser) {
    return parser.get().result_int() < informational_end;
}

bool has_valid_status(const response_parser& parser) {
    const unsigned status = parser.get().result_int();
    return status >= first_status && status < status_end && status != switching_protocols;
}

static bool holds_status_line(std::string_view text) {
    constexpr std::string_view version = "HTTP/1.";
    constexpr std::size_t digit_and_space = 2;
    for (std::size_t at = text.find(version); at != std::string_view::npos;
         at = text.find(version, at + 1)) {
        const std::string_view rest = text.substr(at + version.size());
        if (rest.size() > digit_and_space && rest[1] == ' ' && rest[2] >= '1' && rest[2] <= '5')
            return true;
    }
    return false;
}

bool holds_another_head(const response_parser& parser) {
    const response_parser::value_type& message = parser.get();
    if (holds_status_line({message.reason().data(), message.reason().size()}))
        return true;
    return std::any_of(message.begin(), message.end(),
                       [](const response_parser::value_type::value_type& field) {
                           return holds_status_line({field.value().data(), field.value().size()});
                       });
}

raw_head take_head(const response_parser& parser) {
    const response_parser::value_type& message = parser.get();
    raw_head head;
    head.status = static_cast<int>(message.result_int());
    head.reason = std::string(message.reason());
    for (const response_parser::value_type::value_type& field : message)
        head.fields.add({field.name_string().data(), field.name_string().size()},
                        {field.value().data(), field.value().size()});
    if (parser.chunked()) {
        head.framing = body_framing::chunked;
    } else if (parser.content_length()) {
        head.framing = body_framing::length;
        head.length = *parser.content_length();
    } else if (parser.need_eof()) {
        head.framing = body_framing::until_close;
    }
    return head;
}

// How long the other end keeps the connection while nothing happens, less the way there.
milliseconds idle_limit_of(const http_fields& fields) {
    constexpr std::string_view parameter = "timeout=";
    const std::string_view text = fields.find("Keep-Alive");
    const std::size_t at = text.find(parameter);
    if (at == std::string_view::npos)
        return unnamed_idle_limit;
    int seconds = 0;
    std::from_chars(text.data() + at + parameter.size(), text.data() + text.size(), seconds);
    return std::min<milliseconds>(std::chrono::seconds(seconds) - idle_margin, most_idle);
}

} // namespace cassia::net
