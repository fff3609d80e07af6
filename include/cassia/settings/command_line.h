/// The command line that all programs share.
#pragma once

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace google::protobuf {
class Message;
}

namespace cassia::settings {

enum exit_code { exit_fine = 0, exit_failed = 1, exit_usage = 2 };

struct program_info {
    std::string name;
    std::string summary;
    std::string usage;          ///< behind the options; empty if it takes no arguments
    std::string default_config; ///< settings to start from where no --config is given
};

struct command_line {
    std::optional<int> exit; ///< set if there's nothing left to do
    std::vector<std::string> arguments;
    std::string config;                 ///< path of the settings file; empty if there is none
    std::string config_text;            ///< of that file, as it was loaded
    std::vector<std::string> overrides; ///< key=value assignments
};

/// Reads --config, --set, --check, --help and --version, fills the settings, and prints what is
/// wrong with them. `check`, if given, adds checks that the schema can't express; it returns an
/// empty string or what is wrong.
command_line read_command_line(int argc, const char* const* argv, const program_info& program,
                               google::protobuf::Message& settings,
                               const std::function<std::string()>& check = {});

} // namespace cassia::settings
