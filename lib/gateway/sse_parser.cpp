#include "cassia/gateway/sse_parser.h"

#include <algorithm>
#include <charconv>

namespace cassia::gateway {

static std::string_view field_value(std::string_view line) {
    std::string_view value = line.substr(line.find(':') + 1);
    if (!value.empty() && value.front() == ' ')
        value.remove_prefix(1);
    return value;
}

static void parse_line(std::string_view line, sse_event& event) {
    const std::string_view name = line.substr(0, line.find(':'));
    if (name == "id") {
        const std::string_view text = field_value(line);
        std::from_chars(text.data(), text.data() + text.size(), event.id);
    }
    if (name == "data") {
        if (event.has_data)
            event.data.push_back('\n');
        event.data.append(field_value(line));
        event.has_data = true;
    }
}

static sse_event parse_event(std::string_view bytes) {
    sse_event event;
    event.bytes = std::string(bytes);
    while (!bytes.empty()) {
        const std::size_t end = std::min(bytes.find('\n'), bytes.size());
        std::string_view line = bytes.substr(0, end);
        bytes.remove_prefix(std::min(end + 1, bytes.size()));
        if (!line.empty() && line.back() == '\r')
            line.remove_suffix(1);
        if (!line.empty())
            parse_line(line, event);
    }
    return event;
}

// An event ends with an empty line: two line feeds, with or without a carriage return between.
// \returns the offset after the empty line.
static std::size_t find_event_end(std::string_view text, std::size_t from) {
    for (std::size_t i = text.find('\n', from); i != std::string_view::npos;
         i = text.find('\n', i + 1)) {
        const std::string_view rest = text.substr(i + 1);
        if (rest.substr(0, 1) == "\n")
            return i + 2;
        if (rest.substr(0, 2) == "\r\n")
            return i + 3;
    }
    return std::string_view::npos;
}

std::vector<sse_event> sse_parser::feed(std::string_view bytes) {
    buffer_.append(bytes);
    std::vector<sse_event> events;
    std::size_t begin = 0;
    std::size_t from = scan_from_;
    for (;;) {
        const std::size_t end = find_event_end(buffer_, from);
        if (end == std::string_view::npos)
            break;
        events.push_back(parse_event(std::string_view(buffer_).substr(begin, end - begin)));
        begin = end;
        from = end;
    }
    buffer_.erase(0, begin);
    // Many streams at once hold a part of an event each, not a whole read.
    constexpr std::size_t max_kept_buffer = 16UL * 1024;
    if (buffer_.capacity() > max_kept_buffer && buffer_.size() < buffer_.capacity() / 2)
        buffer_.shrink_to_fit();
    // The line feed before the empty line may be among the last two bytes.
    scan_from_ = buffer_.size() < 2 ? 0 : buffer_.size() - 2;
    return events;
}

void sse_parser::reset() {
    // With its capacity, which may be that of a large event.
    buffer_ = std::string();
    scan_from_ = 0;
}

} // namespace cassia::gateway
