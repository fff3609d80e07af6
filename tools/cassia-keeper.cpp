// Keeps the replicated durable state: the two lists, jobs, items, results, keys.

#include "cassia/base/log.h"
#include "cassia/keeper/service.h"
#include "cassia/net/task.h"
#include "cassia/settings/command_line.h"
#include "cassia/settings/logging.h"

#include <csignal>

int main(int argc, char** argv) {
    cassia::net::hold_signals();
    cassia::schema::keeper_settings settings;
    const cassia::settings::program_info program{"cassia-keeper",
                                                 "keeps the replicated durable state", "", ""};
    const cassia::settings::command_line line =
        cassia::settings::read_command_line(argc, argv, program, settings);
    if (line.exit)
        return *line.exit;
    if (!cassia::settings::start_logs(settings.name(), settings.log()))
        return cassia::settings::exit_failed;
    cassia::keeper::service service(settings);
    const std::string problem = service.open();
    if (!problem.empty()) {
        cassia::log_error("start_failed").with("cause", problem);
        return cassia::settings::exit_failed;
    }
    cassia::net::on_signal(service.owner(), SIGHUP, [] { cassia::log_info("settings_kept"); });
    return service.run();
}
