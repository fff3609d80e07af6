#include "cassia/settings/reload.h"

#include "cassia/base/file.h"
#include "cassia/base/log.h"
#include "cassia/settings/reader.h"

#include <utility>

namespace cassia::settings {

reload_watch::reload_watch(const command_line& line)
    : path_(line.config), overrides_(line.overrides), content_(line.config_text) {}

// The content is compared, not the time of the change: a file may be replaced by an older copy, and
// clocks may jump.
bool reload_watch::poll(google::protobuf::Message& out) {
    if (path_.empty())
        return false;
    outcome<std::string, file_error> content = read_text_file(path_);
    if (!content || content.value() == content_)
        return false;
    content_ = std::move(content.value());
    std::vector<source_text> texts{{path_, content_}};
    for (const std::string& assignment : overrides_)
        texts.push_back(override_text(assignment));
    const result<void> loaded = read(texts, out);
    if (loaded) {
        log_info("settings_reloaded").with("file", path_);
        return true;
    }
    for (const problem& one : loaded.error())
        log_error("settings_refused").with("cause", to_text(one));
    return false;
}

} // namespace cassia::settings
