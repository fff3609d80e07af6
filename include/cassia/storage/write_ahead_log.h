/// The log that all groups of a keeper share, as numbered segment files.
///
/// One thread appends and reads, another writes and syncs the batches. Records keep their place
/// for as long as their segment exists, so a position serves as the address of a body.
#pragma once

#include "cassia/storage/disk.h"

#include <compare>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace cassia::storage {

/// Address of a record.
struct position {
    std::uint32_t segment = 0; ///< numbered from 1; 0 stands for no record
    std::uint64_t offset = 0;

    friend auto operator<=>(const position&, const position&) = default;
};

/// Records that are written and synced together, to one segment.
struct log_batch {
    std::uint32_t segment = 0;
    std::uint64_t offset = 0;
    std::string bytes;
};

class write_ahead_log {
public:
    using record_handler = std::function<void(const position&, std::string_view payload)>;

    write_ahead_log(std::string folder, std::uint64_t segment_bytes, disk_hooks disk);
    ~write_ahead_log();
    write_ahead_log(const write_ahead_log&) = delete;
    write_ahead_log& operator=(const write_ahead_log&) = delete;

    /// Hands over every record from `first_segment` on, in order, and cuts a torn tail.
    /// Fails with `corrupt` if a record is damaged that had been synced.
    result<void> recover(std::uint32_t first_segment, const record_handler& on_record);

    /// Adds a record to the next batch. Durable only once that batch has been written.
    position append(std::string_view payload);
    bool has_batch() const { return !next_.bytes.empty(); }
    /// Takes what was appended, to be handed to write().
    log_batch take_batch();
    /// Writes and syncs a batch; batches go in the order taken. May run on another thread.
    result<void> write(const log_batch& batch);

    /// Payload of a record that has been written.
    result<std::string> read(const position& at);
    /// Removes segments that nobody refers to any more.
    void remove_before(std::uint32_t segment);

    std::uint32_t current_segment() const { return next_.segment; }
    std::uint64_t bytes_on_disk() const;

private:
    std::string segment_path(std::uint32_t segment) const;
    result<void> recover_segment(std::uint32_t segment, bool last, const record_handler& on_record);
    result<void> cut_tail(std::uint32_t segment, std::uint64_t size);

    std::string folder_;
    std::uint64_t segment_bytes_;
    disk_hooks disk_;
    log_batch next_;
    std::uint64_t batch_number_ = 1;
    std::map<std::uint32_t, int> readers_; ///< open files, by segment
    int writer_ = -1;                      ///< touched by write() only
    std::uint32_t writer_segment_ = 0;
};

} // namespace cassia::storage
