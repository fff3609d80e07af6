// Stands in for one of the systems around the entries: an engine, a plain service, the weight
// store.

#include "cassia/base/log.h"
#include "cassia/net/task.h"
#include "cassia/settings/command_line.h"
#include "cassia/settings/logging.h"
#include "cassia/standin/engine.h"
#include "cassia/standin/plain_service.h"

#include <csignal>
#include <iostream>

static int fail(const std::string& problem) {
    cassia::log_error("start_failed").with("cause", problem);
    return cassia::settings::exit_failed;
}

template <class Endpoint>
static int run_endpoint(cassia::net::task& task, Endpoint& endpoint) {
    const std::string problem = endpoint.open();
    if (!problem.empty())
        return fail(problem);
    cassia::net::on_signal(task, SIGTERM, [&endpoint] { endpoint.leave(); });
    cassia::net::on_signal(task, SIGINT, [&endpoint] { endpoint.leave(); });
    cassia::net::deliver_signals();
    task.run();
    return cassia::settings::exit_fine;
}

static int run_weight_store(cassia::net::task& task, cassia::standin::weight_store& store) {
    const std::string problem = store.open();
    if (!problem.empty())
        return fail(problem);
    cassia::net::on_signal(task, SIGTERM, [&task] { task.quit(); });
    cassia::net::on_signal(task, SIGINT, [&task] { task.quit(); });
    cassia::net::deliver_signals();
    task.run();
    return cassia::settings::exit_fine;
}

int main(int argc, char** argv) {
    cassia::net::hold_signals();
    cassia::schema::standin_settings settings;
    const cassia::settings::program_info program{
        "cassia-standin", "stands in for an engine, a service or the weight store", "", ""};
    const cassia::settings::command_line line =
        cassia::settings::read_command_line(argc, argv, program, settings);
    if (line.exit)
        return *line.exit;
    if (!cassia::settings::start_logs(settings.name(), settings.log()))
        return cassia::settings::exit_failed;
    cassia::net::task task("standin");
    if (settings.kind() == "weight-store") {
        cassia::standin::weight_store store(task, settings);
        return run_weight_store(task, store);
    }
    if (settings.kind() == "service") {
        cassia::standin::plain_service service(task, settings);
        return run_endpoint(task, service);
    }
    cassia::standin::engine engine(task, settings);
    return run_endpoint(task, engine);
}
