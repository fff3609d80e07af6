/// Errors of the teams layer. None of them tells a key.
#pragma once

#include "cassia/base/outcome.h"

#include <cstddef>
#include <string>

namespace cassia::teams {

enum class errc {
    duplicate_team, ///< two teams with one name
    duplicate_key,  ///< two teams with one key
    bad_name,       ///< empty
    bad_key,        ///< the digest of no key, or of an empty one
    bad_quota,      ///< negative or not a number
};

struct error {
    errc code;
    std::string text;
    std::size_t index = 0; ///< of the team in the list
};

template <class T>
using result = outcome<T, error>;

} // namespace cassia::teams
