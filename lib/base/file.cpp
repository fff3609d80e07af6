#include "cassia/base/file.h"

#include <glib.h>

namespace cassia {

outcome<std::string, file_error> read_text_file(const std::string& path) {
    char* content = nullptr;
    gsize size = 0;
    GError* problem = nullptr;
    if (g_file_get_contents(path.c_str(), &content, &size, &problem) == FALSE) {
        const bool missing = g_error_matches(problem, G_FILE_ERROR, G_FILE_ERROR_NOENT) != FALSE;
        file_error failed{missing ? file_errc::missing : file_errc::cannot_read, problem->message};
        g_error_free(problem);
        return failure(std::move(failed));
    }
    std::string text(content, size);
    g_free(content);
    return text;
}

} // namespace cassia
