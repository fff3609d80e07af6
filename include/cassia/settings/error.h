/// Errors of the settings layer.
#pragma once

#include "cassia/base/outcome.h"

#include <string>
#include <vector>

namespace cassia::settings {

/// One fault in a settings file, with its place.
struct problem {
    std::string file;
    std::uint32_t line = 0;
    std::uint32_t column = 0;
    std::string key;
    std::string text; ///< what was expected
};

/// "FILE:LINE:COLUMN: KEY: TEXT".
std::string to_text(const problem& one);

using problem_list = std::vector<problem>;

template <class T>
using result = outcome<T, problem_list>;

} // namespace cassia::settings
