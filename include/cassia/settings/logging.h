/// Logs as the settings say.
#pragma once

#include "cassia/base/log.h"

#include <string>

namespace cassia::schema {
class log_settings;
}

namespace cassia::settings {

/// Starts the logs of a program. \returns false, with a line on standard error, if it can't.
bool start_logs(const std::string& process, const schema::log_settings& settings,
                log_stream stream = log_stream::standard_output);

} // namespace cassia::settings
