#include "cassia/entry/request_text.h"

#include <boost/json.hpp>
#include <glib.h>

#include <algorithm>
#include <vector>

namespace cassia::entry {

namespace {
constexpr std::size_t max_nesting_depth = 64;
} // namespace

json_parse_result parse_json(std::string_view text) {
    boost::json::parse_options options;
    options.max_depth = max_nesting_depth;
    boost::json::error_code error;
    boost::json::value value =
        boost::json::parse(boost::json::string_view(text.data(), text.size()), error, {}, options);
    if (error)
        return {std::nullopt, error.message()};
    return {std::move(value), ""};
}

static void append_canonical(const boost::json::value& value, std::string& out) {
    if (const boost::json::array* array = value.if_array()) {
        out.push_back('[');
        for (const boost::json::value& element : *array) {
            append_canonical(element, out);
            out.push_back(',');
        }
        out.push_back(']');
        return;
    }
    const boost::json::object* object = value.if_object();
    if (object == nullptr) {
        out.append(boost::json::serialize(value));
        return;
    }
    std::vector<boost::json::string_view> names;
    for (const boost::json::key_value_pair& member : *object)
        names.push_back(member.key());
    std::sort(names.begin(), names.end());
    out.push_back('{');
    for (const boost::json::string_view name : names) {
        out.append(boost::json::serialize(boost::json::string(name)));
        out.push_back(':');
        append_canonical(object->at(name), out);
        out.push_back(',');
    }
    out.push_back('}');
}

std::string canonical_json(const boost::json::value& value) {
    std::string text;
    append_canonical(value, text);
    return text;
}

std::string canonical_body(std::string_view body) {
    const json_parse_result parsed = parse_json(body);
    return parsed.value ? canonical_json(*parsed.value) : std::string(body);
}

std::optional<std::string> event_splitter::next() {
    const std::size_t end = buffer_.find("\n\n");
    if (end == std::string::npos)
        return std::nullopt;
    std::string event = buffer_.substr(0, end + 2);
    buffer_.erase(0, end + 2);
    return event;
}

std::string_view event_data(std::string_view event) {
    constexpr std::string_view field_name = "data:";
    const std::size_t start = event.find(field_name);
    if (start == std::string_view::npos)
        return {};
    std::string_view data = event.substr(start + field_name.size());
    while (!data.empty() && data.front() == ' ')
        data.remove_prefix(1);
    while (!data.empty() && (data.back() == '\n' || data.back() == '\r'))
        data.remove_suffix(1);
    return data;
}

// The text that an event adds to a choice: `delta.content` of a chat event, else `text`.
static const boost::json::value* choice_text(const boost::json::object& choice) {
    const boost::json::value* delta = choice.if_contains("delta");
    if (delta == nullptr)
        return choice.if_contains("text");
    return delta->is_object() ? delta->as_object().if_contains("content") : nullptr;
}

static const boost::json::object* first_choice(const boost::json::object& event) {
    const boost::json::value* choices = event.if_contains("choices");
    const bool present = choices != nullptr && choices->is_array() &&
                         !choices->as_array().empty() && choices->as_array()[0].is_object();
    return present ? &choices->as_array()[0].as_object() : nullptr;
}

std::string assemble_completion(const std::vector<std::string>& events, bool chat) {
    std::string text;
    std::string finish_reason = "stop";
    boost::json::object body;
    for (const std::string& data : events) {
        const json_parse_result event = parse_json(data);
        if (!event.value || !event.value->is_object())
            continue;
        const boost::json::object& object = event.value->as_object();
        for (const char* name : {"id", "model"}) {
            if (const boost::json::value* member = object.if_contains(name))
                body[name] = *member;
        }
        const boost::json::object* choice = first_choice(object);
        if (choice == nullptr)
            continue;
        const boost::json::value* delta_text = choice_text(*choice);
        if (delta_text != nullptr && delta_text->is_string())
            text += std::string(delta_text->as_string());
        const boost::json::value* reason = choice->if_contains("finish_reason");
        if (reason != nullptr && reason->is_string())
            finish_reason = std::string(reason->as_string());
    }
    boost::json::object choice{{"index", 0}, {"finish_reason", finish_reason}};
    if (chat)
        choice["message"] = {{"role", "assistant"}, {"content", text}};
    else
        choice["text"] = text;
    body["object"] = chat ? "chat.completion" : "text_completion";
    body["choices"] = boost::json::array{std::move(choice)};
    body["usage"] = {{"completion_tokens", events.size()}};
    return boost::json::serialize(body);
}

std::optional<wall_time> parse_rfc3339_time(const std::string& text) {
    GTimeZone* utc = g_time_zone_new_utc();
    GDateTime* time = g_date_time_new_from_iso8601(text.c_str(), utc);
    g_time_zone_unref(utc);
    if (time == nullptr)
        return std::nullopt;
    constexpr std::int64_t ms_per_second = 1000;
    constexpr std::int64_t us_per_ms = 1000;
    const std::int64_t ms =
        g_date_time_to_unix(time) * ms_per_second + g_date_time_get_microsecond(time) / us_per_ms;
    g_date_time_unref(time);
    return wall_time(milliseconds(ms));
}

std::string format_rfc3339_time(wall_time time) {
    constexpr std::int64_t ms_per_second = 1000;
    GDateTime* utc =
        g_date_time_new_from_unix_utc(static_cast<gint64>(to_unix_ms(time)) / ms_per_second);
    char* text = g_date_time_format(utc, "%Y-%m-%dT%H:%M:%SZ");
    std::string formatted(text);
    g_free(text);
    g_date_time_unref(utc);
    return formatted;
}

bool is_valid_utf8(const std::string& bytes) {
    return g_utf8_validate(bytes.data(), static_cast<gssize>(bytes.size()), nullptr) != FALSE;
}

std::string escape_path(const std::string& path) {
    char* escaped = g_uri_escape_string(path.c_str(), "/", FALSE);
    std::string result(escaped);
    g_free(escaped);
    return result;
}

} // namespace cassia::entry
