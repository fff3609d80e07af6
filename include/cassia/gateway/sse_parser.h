/// Incremental parser for server-sent events. Does no I/O.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace cassia::gateway {

/// A response of which more was received without a complete event is taken to have no end. Longer
/// than any response that isn't a stream.
inline constexpr std::size_t max_unused_bytes = std::size_t{8} << 20U;

struct sse_event {
    std::string bytes;    ///< as received, including the empty line that ends the event
    std::uint64_t id = 0; ///< 0 without a numeric id
    std::string data;     ///< data lines, joined by line feeds
    bool has_data = false;
};

class sse_parser {
public:
    /// Adds received bytes. \returns the events that they complete.
    std::vector<sse_event> feed(std::string_view bytes);
    /// Whether the last event received is incomplete.
    bool has_partial_event() const { return !buffer_.empty(); }
    std::size_t partial_size() const { return buffer_.size(); }
    /// Discards an incomplete event, whose source is gone, so that the parser can read another
    /// stream.
    void reset();

private:
    std::string buffer_;
    std::size_t scan_from_ = 0; ///< no event ends before this offset
};

} // namespace cassia::gateway
