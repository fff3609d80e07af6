/// Writes lines to a file descriptor and never waits for whoever reads them.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace cassia {

enum class line_rank { usual, failure };

class line_writer {
public:
    /// \param descriptor stays the caller's.
    explicit line_writer(int descriptor);

    /// Writes the line, or keeps it until there is room, or drops it if too much is kept.
    void write(std::string_view line, line_rank rank);
    /// Lines that were dropped so far.
    std::uint64_t dropped() const { return dropped_; }

private:
    bool has_room() const;
    void write_kept();

    int descriptor_;
    bool may_wait_; ///< a pipe or terminal, whose reader may be slow
    std::string kept_;
    std::uint64_t dropped_ = 0;
    std::uint64_t told_dropped_ = 0;
};

} // namespace cassia
