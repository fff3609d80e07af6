/// TOML read onto a settings message by reflection over the schema.
#pragma once

#include "cassia/settings/error.h"

#include <string>
#include <vector>

namespace google::protobuf {
class Message;
}

namespace cassia::settings {

/// A TOML text and the name to report faults under.
struct source_text {
    std::string name;
    std::string text;
};

/// Fills `out` from the texts, later ones over earlier ones, and reports every fault: syntax,
/// unknown keys, wrong types, values out of range, missing keys.
result<void> read(const std::vector<source_text>& texts, google::protobuf::Message& out);

/// Turns "key=value" of the command line into a text for read().
source_text override_text(const std::string& assignment);

/// A line for each key of the message: name, type, default and meaning.
std::string describe(const google::protobuf::Message& settings);

} // namespace cassia::settings
