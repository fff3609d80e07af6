/// Errors of the routes layer.
#pragma once

#include "cassia/base/outcome.h"

namespace cassia::routes {

enum class errc {
    unknown_service, ///< a route refers to a service that isn't in the table
    duplicate_route, ///< two routes with the same host and prefix
    no_weight,       ///< a route's weights add up to 0
    no_timeout,
    bad_prefix, ///< does not begin and end with a slash
    no_version,
    bad_teams, ///< the text is that of the teams::error
};

using error = layer_error<errc>;

template <class T>
using result = outcome<T, error>;

} // namespace cassia::routes
