#include "cassia/storage/record.h"

#include <zlib.h>

#include <cstring>

namespace cassia::storage {

namespace {
constexpr std::uint32_t frame_magic = 0xca551a01;
constexpr std::uint64_t first_of_batch_bit = 1ULL << 63U;
constexpr std::size_t length_offset = 4;
constexpr std::size_t checksum_offset = 8;
constexpr std::size_t batch_offset = 12;
} // namespace

static void append_number(std::string& out, std::uint64_t number, unsigned bytes) {
    constexpr unsigned bits_per_byte = 8;
    for (unsigned i = 0; i < bytes; ++i)
        out.push_back(static_cast<char>((number >> (i * bits_per_byte)) & 0xffU));
}

static std::uint64_t read_number(std::string_view bytes, std::size_t offset, unsigned count) {
    constexpr unsigned bits_per_byte = 8;
    std::uint64_t number = 0;
    for (unsigned i = 0; i < count; ++i)
        number |= static_cast<std::uint64_t>(static_cast<unsigned char>(bytes[offset + i]))
                  << (i * bits_per_byte);
    return number;
}

// The checksum also covers the length and the batch, so that a damaged header is detected.
static std::uint32_t checksum(std::uint32_t length, std::uint64_t batch, std::string_view payload) {
    std::string header;
    append_number(header, length, sizeof length);
    append_number(header, batch, sizeof batch);
    uLong crc =
        crc32(0, reinterpret_cast<const Bytef*>(header.data()), static_cast<uInt>(header.size()));
    crc = crc32(crc, reinterpret_cast<const Bytef*>(payload.data()),
                static_cast<uInt>(payload.size()));
    return static_cast<std::uint32_t>(crc);
}

void append_frame(std::string& out, std::string_view payload, std::uint64_t batch,
                  bool first_of_batch) {
    const std::uint64_t batch_field = first_of_batch ? batch | first_of_batch_bit : batch;
    const std::uint32_t length = static_cast<std::uint32_t>(payload.size());
    append_number(out, frame_magic, sizeof frame_magic);
    append_number(out, length, sizeof length);
    append_number(out, checksum(length, batch_field, payload), sizeof(std::uint32_t));
    append_number(out, batch_field, sizeof batch_field);
    out.append(payload);
}

std::optional<record_frame> read_frame(std::string_view bytes) {
    if (bytes.size() < frame_header_bytes)
        return std::nullopt;
    if (read_number(bytes, 0, sizeof frame_magic) != frame_magic)
        return std::nullopt;
    const std::uint32_t length =
        static_cast<std::uint32_t>(read_number(bytes, length_offset, sizeof(std::uint32_t)));
    if (length > max_payload_bytes || length > bytes.size() - frame_header_bytes)
        return std::nullopt;
    const std::uint64_t batch_field = read_number(bytes, batch_offset, sizeof(std::uint64_t));
    const std::string_view payload = bytes.substr(frame_header_bytes, length);
    if (read_number(bytes, checksum_offset, sizeof(std::uint32_t)) !=
        checksum(length, batch_field, payload))
        return std::nullopt;
    return record_frame{batch_field & ~first_of_batch_bit, (batch_field & first_of_batch_bit) != 0,
                        payload, frame_header_bytes + length};
}

std::optional<record_frame> find_frame(std::string_view bytes) {
    std::string magic;
    append_number(magic, frame_magic, sizeof frame_magic);
    std::size_t offset = bytes.find(magic);
    while (offset != std::string_view::npos) {
        if (std::optional<record_frame> frame = read_frame(bytes.substr(offset)))
            return frame;
        offset = bytes.find(magic, offset + 1);
    }
    return std::nullopt;
}

} // namespace cassia::storage
