/// Format of the file in which a keeper saves its endpoint directory. After a restart of the whole
/// cluster, gateways can route to the saved endpoints before these announce themselves again. Pure.
#pragma once

#include "cassia/base/clock.h"
#include "cassia/membership/endpoint_directory.h"

#include <string>

namespace cassia::keeper {

std::string encode_endpoints(const membership::endpoint_directory& directory, instant now);
/// Adds the saved endpoints to the directory. Those that don't announce themselves soon afterwards
/// get no further work.
/// \returns the number of endpoints restored; 0 if the content can't be parsed. Odd records are left
/// out.
std::size_t decode_endpoints(membership::endpoint_directory& directory, const std::string& content,
                             instant now);

} // namespace cassia::keeper
