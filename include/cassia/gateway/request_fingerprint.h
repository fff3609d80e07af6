/// Identifies requests that are the same but for their id: caller, method, path and body.
#pragma once

#include "cassia/base/ids.h"

#include <string>
#include <string_view>

namespace cassia::gateway {

/// \param team empty if the route requires no key.
fingerprint make_fingerprint(std::string_view team, std::string_view host, std::string_view method,
                             std::string_view target, std::string_view body);

/// An item of a job is identified by itself: several may have the same text, and each is owed.
fingerprint make_item_fingerprint(std::string_view job, std::string_view item);

/// The first digits, or the whole key of a part of prompts, for logs.
std::string short_form(const fingerprint& request);

} // namespace cassia::gateway
