/// Cuts a stream of server-sent events into whole events. Pure.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace cassia::gateway {

struct stream_event {
    std::string bytes;    ///< as they came, with the empty line that ends it
    std::uint64_t id = 0; ///< 0 if it names none
    std::string data;     ///< lines of data, joined by line feeds
    bool has_data = false;
};

class event_splitter {
public:
    /// Adds bytes. \returns the events that they complete.
    std::vector<stream_event> feed(std::string_view bytes);
    /// Whether part of an event has come in.
    bool has_rest() const { return !rest_.empty(); }
    /// Forgets the part of an event that has come in: its source is gone.
    void reset();

private:
    std::string rest_;
    std::size_t searched_ = 0; ///< no event ends before this place
};

} // namespace cassia::gateway
