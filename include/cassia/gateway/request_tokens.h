/// Tokens that requests occupy in the memory of an endpoint.
#pragma once

#include "cassia/net/raw_http.h"
#include "cassia/policy/slot_table.h"
#include "cassia/schema/messages.pb.h"

#include <cstdint>
#include <functional>
#include <optional>

namespace cassia::gateway {

/// Reads the tokens of a request's prompt and longest response together; nothing if it states none
/// that can be used.
using request_tokens_reader = std::function<std::optional<std::uint64_t>(const net::http_fields&)>;

/// Whether the request is larger than the memory of every endpoint that the route leads to.
bool is_too_large(const schema::route& route, const policy::slot_table& slots,
                  std::uint64_t tokens);

/// Selects the service for one request of the route, among those whose endpoints can hold it.
/// \param random_fraction 0 to 1.
service_id choose_service(const schema::route& route, const policy::slot_table& slots,
                          std::uint64_t tokens, double random_fraction);

} // namespace cassia::gateway
