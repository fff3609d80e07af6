// The operator's tool.

#include "cassia/ctl/commands.h"
#include "cassia/settings/command_line.h"

int main(int argc, char** argv) {
    cassia::schema::ctl_settings settings;
    const cassia::settings::program_info program{
        "cassiactl", "operates a fleet through any of its entries", cassia::ctl::usage(),
        "entry = [\"127.0.0.11:8080\"]\n"};
    const cassia::settings::command_line line =
        cassia::settings::read_command_line(argc, argv, program, settings);
    if (line.exit)
        return *line.exit;
    return cassia::ctl::run(settings, line.arguments);
}
