/// The endpoints that a keeper knew, kept on its disk: after the loss of all processes gateways
/// find them at once, not only as each announces itself again. Pure.
#pragma once

#include "cassia/base/clock.h"
#include "cassia/membership/endpoint_directory.h"

#include <string>

namespace cassia::keeper {

std::string encode_endpoints(const membership::endpoint_directory& known, instant now);
/// Adds what was written. Endpoints that don't announce themselves soon get no work after that.
/// \returns how many; nothing is added of a content that can't be read.
std::size_t decode_endpoints(membership::endpoint_directory& known, const std::string& content,
                             instant now);

} // namespace cassia::keeper
