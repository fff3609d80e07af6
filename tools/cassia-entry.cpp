// Serves callers, endpoints and operators: routing, batch dispatch; no durable state.

#include "cassia/base/log.h"
#include "cassia/entry/service.h"
#include "cassia/net/task.h"
#include "cassia/settings/command_line.h"
#include "cassia/settings/logging.h"

int main(int argc, char** argv) {
    cassia::net::hold_signals();
    cassia::schema::entry_settings settings;
    const cassia::settings::program_info program{"cassia-entry",
                                                 "routes callers' requests to endpoints", "", ""};
    const cassia::settings::command_line line =
        cassia::settings::read_command_line(argc, argv, program, settings);
    if (line.exit)
        return *line.exit;
    if (!cassia::settings::start_logs(settings.name(), settings.log()))
        return cassia::settings::exit_failed;
    cassia::entry::service service(settings);
    const std::string problem = service.open();
    if (!problem.empty()) {
        cassia::log_error("start_failed").with("cause", problem);
        return cassia::settings::exit_failed;
    }
    cassia::log_info("entry_started").with("address", settings.http_address());
    service.run();
    cassia::log_info("entry_stopped");
    return cassia::settings::exit_fine;
}
