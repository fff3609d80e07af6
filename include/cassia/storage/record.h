/// On-disk format of one record.
///
/// A frame consists of a magic number, the payload's length, a checksum, the number of the batch
/// that it is synced with, whose highest bit marks the batch's first frame, and the payload.
/// Integers are little-endian.
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
    std::size_t frame_bytes = 0; ///< size of the header and the payload
};

inline constexpr std::size_t frame_header_bytes = 20;
inline constexpr std::uint32_t max_payload_bytes = 256U * 1024 * 1024;

/// Appends the frame of `payload` to `out`.
void append_frame(std::string& out, std::string_view payload, std::uint64_t batch,
                  bool first_of_batch);

/// The frame at the start of `bytes`; nothing if it is truncated or damaged.
std::optional<record_frame> read_frame(std::string_view bytes);

/// The first complete, undamaged frame anywhere in `bytes`.
std::optional<record_frame> find_frame(std::string_view bytes);

} // namespace cassia::storage
