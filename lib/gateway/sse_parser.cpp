#include "cassia/gateway/sse_parser.h"

#include <algorithm>
#include <charconv>

namespace cassia::gateway {

static std::string_view value_of(std::string_view line) {
    std::string_view value = line.substr(line.find(':') + 1);
    if (!value.empty() && value.front() == ' ')
        value.remove_prefix(1);
    return value;
}

static void read_line(std::string_view line, stream_event& event) {
    const std::string_view name = line.substr(0, line.find(':'));
    if (name == "id") {
        const std::string_view text = value_of(line);
        std::from_chars(text.data(), text.data() + text.size(), event.id);
    }
    if (name == "data") {
        if (event.has_data)
            event.data.push_back('\n');
        event.data.append(value_of(line));
        event.has_data = true;
    }
}

static stream_event read_event(std::string_view bytes) {
    stream_event event;
    event.bytes = std::string(bytes);
    while (!bytes.empty()) {
        const std::size_t end = std::min(bytes.find('\n'), bytes.size());
        std::string_view line = bytes.substr(0, end);
        bytes.remove_prefix(std::min(end + 1, bytes.size()));
        if (!line.empty() && line.back() == '\r')
            line.remove_suffix(1);
        if (!line.empty())
            read_line(line, event);
    }
    return event;
}

// An event ends with an empty line, which follows a line feed at once or behind a carriage return.
static std::size_t end_of_event(std::string_view text, std::size_t from) {
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

std::vector<stream_event> event_splitter::feed(std::string_view bytes) {
    rest_.append(bytes);
    std::vector<stream_event> events;
    std::size_t begin = 0;
    std::size_t from = searched_;
    for (;;) {
        const std::size_t end = end_of_event(rest_, from);
        if (end == std::string_view::npos)
            break;
        events.push_back(read_event(std::string_view(rest_).substr(begin, end - begin)));
        begin = end;
        from = end;
    }
    rest_.erase(0, begin);
    // The line feed that begins an event's end may be among the last two bytes.
    searched_ = rest_.size() < 2 ? 0 : rest_.size() - 2;
    return events;
}

void event_splitter::reset() {
    rest_.clear();
    searched_ = 0;
}

} // namespace cassia::gateway
