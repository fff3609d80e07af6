/// Finds out to which request the response of an endpoint belongs.
#pragma once

#include "cassia/gateway/header_names.h"
#include "cassia/net/raw_client.h"

#include <functional>
#include <string>

namespace cassia::gateway {

/// A late duplicate response may arrive on a kept connection in place of the next one. Endpoints
/// repeat the request id in their responses.
/// \param request_id of the request that was sent; empty if it has none.
std::function<net::response_owner(const net::raw_head&)> match_by_id(const header_names& names,
                                                                     const std::string& request_id);

} // namespace cassia::gateway
