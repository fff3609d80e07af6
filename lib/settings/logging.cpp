#include "cassia/settings/logging.h"

#include "cassia/schema/settings.pb.h"

#include <iostream>

namespace cassia::settings {

static log_level level_from(const std::string& name) {
    if (name == "debug")
        return log_level::debug;
    if (name == "warning")
        return log_level::warning;
    if (name == "error")
        return log_level::error;
    return log_level::info;
}

bool start_logs(const std::string& process, const schema::log_settings& settings,
                log_stream stream) {
    if (cassia::start_logs(process, level_from(settings.level()), settings.file(), stream))
        return true;
    std::cerr << process << ": cannot open log file '" << settings.file() << "'\n";
    return false;
}

} // namespace cassia::settings
