/// Errors of the teams layer. Their texts never contain a key.
#pragma once

#include "cassia/base/outcome.h"

#include <cstddef>
#include <string>

namespace cassia::teams {

enum class errc {
    duplicate_team, ///< two teams with one name
    duplicate_key,  ///< two teams with one key
    bad_name,       ///< empty
    bad_key,        ///< not a SHA-256 digest, or the digest of an empty key
    bad_quota,      ///< negative or not finite
};

struct error {
    errc code;
    std::string text;
    std::size_t index = 0; ///< position of the team in the list
};

template <class T>
using result = outcome<T, error>;

} // namespace cassia::teams
