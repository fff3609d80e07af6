#include "cassia/ctl/commands.h"

#include "cassia/net/peer_hub.h"
#include "cassia/settings/command_line.h"

#include <boost/json.hpp>

#include <algorithm>
#include <iostream>

namespace cassia::ctl {

std::string usage() {
    return "COMMAND\n"
           "  check PLANS ALLOWANCES              find every error in the two lists\n"
           "  apply --base N --change-id ID [--wait] PLANS ALLOWANCES\n"
           "  show                                the lists in force\n"
           "  history                             accepted versions\n"
           "  status                              the fleet at a glance\n"
           "  explain REQUEST|JOB|ENDPOINT|CHANGE why the system did what it did\n"
           "  dump [ENTRY]                        state of an entry, as JSON\n"
           "  drain ENTRY                         take an entry out of service\n"
           "  report                              metrics of all entries\n"
           "  secret                              a new key for cluster.secret\n"
           "  batch submit [--key KEY] [--deadline RFC3339] FILE\n"
           "  batch list | watch JOB | fetch JOB [FILE] | cancel JOB\n";
}

std::string take_option(arguments& given, const std::string& name) {
    auto found = std::find(given.begin(), given.end(), name);
    if (found == given.end() || std::next(found) == given.end())
        return "";
    std::string value = *std::next(found);
    given.erase(found, found + 2);
    return value;
}

bool take_flag(arguments& given, const std::string& name) {
    auto found = std::find(given.begin(), given.end(), name);
    if (found == given.end())
        return false;
    given.erase(found);
    return true;
}

int usage_error(const std::string& text) {
    std::cerr << "cassiactl: " << text << "; see --help\n";
    return settings::exit_usage;
}

int failed(const answer& got) {
    std::cerr << "cassiactl: ";
    if (got.status == 0)
        std::cerr << "no entry answers (" << got.text << ")\n";
    else
        std::cerr << got.entry << " answered " << got.status << ": " << got.text << '\n';
    return settings::exit_failed;
}

int run(const schema::ctl_settings& settings, const arguments& given) {
    if (given.empty())
        return usage_error("expected a command");
    const std::string& command = given.front();
    const arguments rest(given.begin() + 1, given.end());
    if (command == "check")
        return check_lists(rest);
    if (command == "secret") {
        std::cout << net::make_cluster_secret() << '\n';
        return settings::exit_fine;
    }
    client to(settings);
    if (command == "apply")
        return apply_lists(to, rest);
    if (command == "show")
        return show_lists(to);
    if (command == "history")
        return show_history(to);
    if (command == "status")
        return show_status(to);
    if (command == "explain")
        return explain(to, rest);
    if (command == "dump")
        return show_dump(to, rest);
    if (command == "drain")
        return drain(to, rest);
    if (command == "report")
        return report(to);
    if (command == "batch")
        return run_batch(to, rest);
    return usage_error("unknown command '" + command + "'");
}

} // namespace cassia::ctl
