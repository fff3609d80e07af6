/// Format of the file in which a keeper saves its endpoint directory. After a restart of the whole
/// cluster, gateways can route to the saved endpoints before these announce themselves again. Pure.
#pragma once

#include "cassia/base/clock.h"
#include "cassia/membership/endpoint_directory.h"
#include "cassia/membership/version_spread.h"

#include <functional>
#include <string>

namespace cassia::keeper {

std::string
encode_endpoints(const membership::endpoint_directory& directory, instant now,
                 const membership::version_spread& versions = membership::version_spread());
/// Adds the saved endpoints to the directory. Those that don't announce themselves soon afterwards
/// get no further work.
/// \param on_confirmed gets the endpoints in service whose version a majority of the control
/// keepers knew. \returns the number of endpoints restored, without odd records; 0 if the content
/// can't be parsed.
std::size_t decode_endpoints(
    membership::endpoint_directory& directory, const std::string& content, instant now,
    const std::function<void(const schema::endpoint_record&)>& on_confirmed =
        [](const schema::endpoint_record&) {});

} // namespace cassia::keeper
