/// Logs: one line of key=value pairs for each event.
#pragma once

#include <concepts>
#include <cstdint>
#include <string>
#include <string_view>

namespace cassia {

enum class log_level { debug, info, warning, error };

/// Where lines go if no file is named: a program whose results go to standard output logs beside.
enum class log_stream { standard_output, standard_error };

/// Where lines go and which are written. Called once, before the first event.
/// \param process name that every line carries.
/// \param file path to append to; `stream` if empty.
/// \returns false if the file can't be opened.
bool start_logs(const std::string& process, log_level least, const std::string& file,
                log_stream stream = log_stream::standard_output);

/// Lines that were not written since the start because their reader was too slow.
std::uint64_t dropped_log_lines();

/// One event, written when the object goes away. Values are quoted where needed.
class log_event {
public:
    log_event(log_level level, std::string_view event);
    log_event(const log_event&) = delete;
    log_event& operator=(const log_event&) = delete;
    ~log_event();

    log_event& with(std::string_view key, std::string_view value);
    log_event& with(std::string_view key, const char* value) {
        return with(key, std::string_view(value));
    }
    template <std::integral Number>
    log_event& with(std::string_view key, Number value) {
        return written_ ? with(key, std::string_view(std::to_string(value))) : *this;
    }

private:
    log_level level_;
    bool written_; ///< false: below the least level or over its budget, nothing is built
    std::string line_;
};

inline log_event log_debug(std::string_view event) {
    return {log_level::debug, event};
}
inline log_event log_info(std::string_view event) {
    return {log_level::info, event};
}
inline log_event log_warning(std::string_view event) {
    return {log_level::warning, event};
}
inline log_event log_error(std::string_view event) {
    return {log_level::error, event};
}

} // namespace cassia
