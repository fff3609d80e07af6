#include "cassia/settings/command_line.h"

#include "cassia/base/file.h"
#include "cassia/settings/reader.h"

#include <boost/program_options.hpp>

#include <iostream>

namespace cassia::settings {

namespace {
namespace po = boost::program_options;
constexpr const char* version_text = "0.1.0";
} // namespace

static po::options_description make_options() {
    po::options_description options("options");
    po::options_description_easy_init add = options.add_options();
    add("config", po::value<std::string>(), "settings file (TOML)");
    add("set", po::value<std::vector<std::string>>(), "key=value that overrides the file");
    add("check", "check the settings and exit");
    add("help", "show this text");
    add("version", "show the version");
    return options;
}

static void print_help(const program_info& program, const po::options_description& options,
                       const google::protobuf::Message& settings) {
    std::cout << program.name << ": " << program.summary << "\nusage: " << program.name
              << " [options] " << program.usage << '\n'
              << options << "settings, with their defaults:\n"
              << describe(settings);
}

static bool load_settings(const po::variables_map& given, const program_info& program,
                          google::protobuf::Message& settings, std::string& config_text) {
    std::vector<source_text> texts;
    if (given.count("config") > 0) {
        const std::string path = given["config"].as<std::string>();
        outcome<std::string, file_error> content = read_text_file(path);
        if (!content) {
            std::cerr << program.name << ": " << content.error().text << '\n';
            return false;
        }
        config_text = content.value();
        texts.push_back({path, config_text});
    } else {
        texts.push_back({"defaults", program.default_config});
    }
    if (given.count("set") > 0) {
        for (const std::string& assignment : given["set"].as<std::vector<std::string>>())
            texts.push_back(override_text(assignment));
    }
    const result<void> loaded = read(texts, settings);
    if (loaded)
        return true;
    for (const problem& one : loaded.error())
        std::cerr << to_text(one) << '\n';
    return false;
}

static bool parse_options(int argc, const char* const* argv, const po::options_description& options,
                          po::variables_map& given, std::vector<std::string>& arguments,
                          std::string& problem) {
    // The library reports by exceptions, which end here.
    try {
        po::command_line_parser parser(argc, argv);
        const po::parsed_options parsed = parser.options(options).allow_unregistered().run();
        po::store(parsed, given);
        arguments = po::collect_unrecognized(parsed.options, po::include_positional);
    } catch (const po::error& failed) {
        problem = failed.what();
        return false;
    }
    return true;
}

command_line read_command_line(int argc, const char* const* argv, const program_info& program,
                               google::protobuf::Message& settings,
                               const std::function<std::string()>& check) {
    command_line line;
    const po::options_description options = make_options();
    po::variables_map given;
    std::string problem;
    const bool parsed = parse_options(argc, argv, options, given, line.arguments, problem);
    if (parsed && given.count("help") > 0) {
        print_help(program, options, settings);
        line.exit = exit_fine;
        return line;
    }
    if (parsed && given.count("version") > 0) {
        std::cout << program.name << ' ' << version_text << '\n';
        line.exit = exit_fine;
        return line;
    }
    if (parsed && program.usage.empty() && !line.arguments.empty())
        problem = "unknown argument '" + line.arguments.front() + "'";
    if (!problem.empty()) {
        std::cerr << program.name << ": " << problem << "; see --help\n";
        line.exit = exit_usage;
        return line;
    }
    if (given.count("config") > 0)
        line.config = given["config"].as<std::string>();
    if (given.count("set") > 0)
        line.overrides = given["set"].as<std::vector<std::string>>();
    if (!load_settings(given, program, settings, line.config_text)) {
        line.exit = exit_usage;
        return line;
    }
    const std::string wrong = check ? check() : std::string();
    if (!wrong.empty()) {
        std::cerr << program.name << ": " << wrong << '\n';
        line.exit = exit_usage;
        return line;
    }
    if (given.count("check") > 0) {
        std::cout << "settings are fine\n";
        line.exit = exit_fine;
    }
    return line;
}

} // namespace cassia::settings
