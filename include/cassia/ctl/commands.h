/// The commands of cassiactl.
#pragma once

#include "cassia/ctl/client.h"
#include "cassia/schema/settings.pb.h"

#include <string>
#include <vector>

namespace cassia::ctl {

using arguments = std::vector<std::string>;

/// Runs the command that the arguments name. \returns the exit code.
int run(const schema::ctl_settings& settings, const arguments& given);

/// Text behind the program's name in its usage.
std::string usage();

// The commands by subject; each gets what stands behind its name.
int check_lists(const arguments& given);
int apply_lists(client& to, const arguments& given);
int show_lists(client& to);
int show_history(client& to);
int show_status(client& to);
int explain(client& to, const arguments& given);
int show_dump(client& to, const arguments& given);
int drain(client& to, const arguments& given);
int report(client& to);
int run_batch(client& to, const arguments& given);

/// Takes "--name value" out of the arguments; empty if it isn't there.
std::string take_option(arguments& given, const std::string& name);
bool take_flag(arguments& given, const std::string& name);
int usage_error(const std::string& text);
/// Prints why an answer isn't the one hoped for.
int failed(const answer& got);

} // namespace cassia::ctl
