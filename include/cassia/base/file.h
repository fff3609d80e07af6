/// Reading whole files.
#pragma once

#include "cassia/base/outcome.h"

#include <string>

namespace cassia {

enum class file_errc { missing, cannot_read };
using file_error = layer_error<file_errc>;

outcome<std::string, file_error> read_text_file(const std::string& path);

} // namespace cassia
