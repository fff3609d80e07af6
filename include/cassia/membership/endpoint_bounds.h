/// Bounds of what is believed of an endpoint, whoever reports it: other writers announce endpoints
/// too, and other processes may run software that believed more. Pure.
#pragma once

#include "cassia/schema/messages.pb.h"

#include <cstdint>
#include <optional>
#include <string>

namespace cassia::membership {

constexpr std::uint32_t most_slots = 65535;
/// Of incarnations and sequences: exact in the double of any writer, and far above Unix time in
/// milliseconds.
constexpr std::uint64_t largest_count = 1ULL << 53U;

/// Whether the text is a name: printable UTF-8 of at most 256 bytes, and not empty.
bool is_name(const std::string& text);
/// \returns why the record names no endpoint that can be used; nothing if it does.
std::optional<std::string> find_fault(const schema::endpoint_record& record);
/// Whether the liveness report may be believed.
bool is_sound(const schema::endpoint_pulse& pulse);

} // namespace cassia::membership
