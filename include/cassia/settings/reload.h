/// Settings read anew while a program runs.
#pragma once

#include "cassia/settings/command_line.h"

#include <string>

namespace google::protobuf {
class Message;
}

namespace cassia::settings {

class reload_watch {
public:
    explicit reload_watch(const command_line& line);

    /// Reads the file again if its content has changed. A file that can't be read or that holds
    /// faults is reported and changes nothing. \returns whether `out` holds new settings.
    bool poll(google::protobuf::Message& out);

private:
    std::string path_;
    std::vector<std::string> overrides_;
    std::string content_;
};

} // namespace cassia::settings
