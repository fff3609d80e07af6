/// The frame of one record on disk.
///
/// A frame is a magic number, the payload's length, a checksum, the number of the batch it was
/// synced with and whether it is the first of that batch, then the payload. Integers are
/// little-endian.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace cassia::storage {

struct record_frame {
    std::uint64_t batch = 0;
    bool first_of_batch = false;
    std::string_view payload;
    std::size_t frame_bytes = 0;
};

inline constexpr std::size_t frame_header_bytes = 20;
inline constexpr std::uint32_t most_payload_bytes = 256U * 1024 * 1024;

/// Appends the frame of `payload` to `out`.
void append_frame(std::string& out, std::string_view payload, std::uint64_t batch,
                  bool first_of_batch);

/// The frame at the start of `bytes`; nothing if it is cut short or damaged.
std::optional<record_frame> read_frame(std::string_view bytes);

/// The first whole frame at or after the start of `bytes`.
std::optional<record_frame> find_frame(std::string_view bytes);

} // namespace cassia::storage
