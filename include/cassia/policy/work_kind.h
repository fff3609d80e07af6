/// The two kinds of work that endpoints are given.
#pragma once

#include <cstdint>

namespace cassia::policy {

enum class work_kind : std::uint8_t { online, batch };

} // namespace cassia::policy
