#include "cassia/net/raw_http.h"

#include <boost/beast/http/rfc7230.hpp>
#include <boost/beast/http/status.hpp>
#include <glib.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <memory>
#include <utility>

namespace cassia::net {

namespace {
constexpr std::array<std::string_view, 8> connection_fields = {
    "Connection", "Keep-Alive", "Proxy-Connection",  "TE",
    "Trailer",    "Upgrade",    "Transfer-Encoding", "Proxy-Authenticate"};
constexpr int hexadecimal = 16;
} // namespace

bool equal_ignoring_case(std::string_view a, std::string_view b) {
    return a.size() == b.size() && g_ascii_strncasecmp(a.data(), b.data(), a.size()) == 0;
}

void http_fields::add(std::string_view name, std::string_view value) {
    fields_.push_back({std::string(name), std::string(value)});
}

void http_fields::set(std::string_view name, std::string_view value) {
    erase(name);
    add(name, value);
}

void http_fields::erase(std::string_view name) {
    fields_.erase(std::remove_if(fields_.begin(), fields_.end(),
                                 [name](const http_field& one) {
                                     return equal_ignoring_case(one.name, name);
                                 }),
                  fields_.end());
}

std::string_view http_fields::find(std::string_view name) const {
    auto found = std::find_if(fields_.begin(), fields_.end(), [name](const http_field& one) {
        return equal_ignoring_case(one.name, name);
    });
    return found == fields_.end() ? std::string_view() : std::string_view(found->value);
}

bool http_fields::has(std::string_view name) const {
    return std::any_of(fields_.begin(), fields_.end(), [name](const http_field& one) {
        return equal_ignoring_case(one.name, name);
    });
}

void http_fields::erase_hop_by_hop() {
    const std::string named(find("Connection"));
    for (const boost::beast::string_view one : boost::beast::http::token_list(named))
        erase(std::string_view(one.data(), one.size()));
    for (const std::string_view name : connection_fields)
        erase(name);
}

std::optional<std::uint64_t> read_number(std::string_view text) {
    std::uint64_t number = 0;
    const std::from_chars_result end =
        std::from_chars(text.data(), text.data() + text.size(), number);
    if (end.ec != std::errc() || end.ptr != text.data() + text.size())
        return std::nullopt;
    return number;
}

std::optional<milliseconds> read_milliseconds(std::string_view text) {
    const std::optional<std::uint64_t> number = read_number(text);
    if (!number)
        return std::nullopt;
    const std::uint64_t longest = milliseconds(std::chrono::hours(24)).count();
    return milliseconds(static_cast<std::int64_t>(std::min(*number, longest)));
}

std::string to_seconds(milliseconds time) {
    constexpr double ms_per_s = 1000;
    return std::to_string(static_cast<double>(time.count()) / ms_per_s);
}

std::string reason_phrase(int status) {
    const boost::beast::string_view phrase = boost::beast::http::obsolete_reason(
        boost::beast::http::int_to_status(static_cast<unsigned>(status)));
    return {phrase.data(), phrase.size()};
}

// The length is that of the bytes sent, whatever framing the message came with: two statements of
// it that differ would let one end see a second request inside the first.
static void append_fields(std::string& out, const http_fields& fields) {
    for (const http_field& one : fields.all()) {
        if (equal_ignoring_case(one.name, "Content-Length"))
            continue;
        out.append(one.name).append(": ").append(one.value).append("\r\n");
    }
}

void raw_request::share_body() {
    if (!shared_body)
        shared_body = std::make_shared<const std::string>(std::exchange(body, std::string()));
}

std::string head_bytes(const raw_request& request) {
    std::string out;
    out.append(request.method).append(" ").append(request.target).append(" HTTP/1.1\r\n");
    append_fields(out, request.fields);
    const std::size_t size = request.whole_body().size();
    const bool bodiless = size == 0 && request.method != "POST" && request.method != "PUT" &&
                          request.method != "PATCH";
    if (!bodiless)
        out.append("Content-Length: ").append(std::to_string(size)).append("\r\n");
    return out.append("\r\n");
}

std::string to_bytes(const raw_request& request) {
    return head_bytes(request).append(request.whole_body());
}

std::string to_bytes(const raw_head& head, bool close) {
    std::string out = "HTTP/1.1 " + std::to_string(head.status) + " " +
                      (head.reason.empty() ? reason_phrase(head.status) : head.reason) + "\r\n";
    append_fields(out, head.fields);
    if (head.framing == body_framing::length)
        out.append("Content-Length: ").append(std::to_string(head.length)).append("\r\n");
    if (head.framing == body_framing::chunked)
        out.append("Transfer-Encoding: chunked\r\n");
    if (close || head.framing == body_framing::until_close)
        out.append("Connection: close\r\n");
    out.append("\r\n");
    return out;
}

std::string to_chunk(std::string_view piece) {
    std::array<char, 16> size{};
    const std::to_chars_result end =
        std::to_chars(size.data(), size.data() + size.size(), piece.size(), hexadecimal);
    std::string out(size.data(), end.ptr);
    out.append("\r\n").append(piece).append("\r\n");
    return out;
}

std::string_view path_of(std::string_view target) {
    return target.substr(0, target.find('?'));
}

static std::string percent_decoded(const std::string& text) {
    const std::unique_ptr<char, decltype(&g_free)> decoded(
        g_uri_unescape_string(text.c_str(), nullptr), g_free);
    return decoded ? std::string(decoded.get()) : text;
}

std::string decoded_path_of(std::string_view target) {
    return percent_decoded(std::string(path_of(target)));
}

std::string query_parameter(std::string_view target, std::string_view name) {
    const std::size_t mark = target.find('?');
    std::string_view rest = mark == std::string_view::npos ? "" : target.substr(mark + 1);
    while (!rest.empty()) {
        const std::size_t end = std::min(rest.find('&'), rest.size());
        const std::string_view pair = rest.substr(0, end);
        rest.remove_prefix(std::min(end + 1, rest.size()));
        const std::size_t equals = std::min(pair.find('='), pair.size());
        if (pair.substr(0, equals) != name)
            continue;
        return percent_decoded(std::string(pair.substr(std::min(equals + 1, pair.size()))));
    }
    return "";
}

} // namespace cassia::net
