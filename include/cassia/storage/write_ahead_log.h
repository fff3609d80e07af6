/// Write-ahead log shared by all groups of a keeper, stored as numbered segment files.
///
/// One thread appends and reads; another may write and sync the batches. A record doesn't move
/// while its segment exists, so other data can refer to it by its position.
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

/// Position of a record in the log.
struct position {
    std::uint32_t segment = 0; ///< numbered from 1; 0 stands for no record
    std::uint64_t offset = 0;

    friend auto operator<=>(const position&, const position&) = default;
};

/// Records that are written to one segment and synced together.
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

    /// Calls `on_record` for every record from `first_segment` on, in order, and truncates a torn
    /// tail (a last batch that was only partly written). What was read is durable afterwards. Fails
    /// with `corrupt` if a record that had been synced is damaged, or a segment between others is
    /// missing.
    result<void> recover(std::uint32_t first_segment, const record_handler& on_record);

    /// Appends a record to the next batch. It is durable only once that batch has been written.
    position append(std::string_view payload);
    bool has_batch() const { return !next_batch_.bytes.empty(); }
    /// Takes the batch of the records appended since the last call, to pass to write().
    log_batch take_batch();
    /// Writes and syncs a batch. Batches must be written in the order taken. May run on another
    /// thread.
    result<void> write(const log_batch& batch);

    /// Reads the payload of a record that has been written.
    result<std::string> read(const position& record);
    /// Deletes the segments before this one, which nothing may refer to any more.
    void remove_before(std::uint32_t segment);

    /// Segment of the next batch.
    std::uint32_t current_segment() const { return next_batch_.segment; }
    std::uint64_t bytes_on_disk() const;

private:
    std::string segment_path(std::uint32_t segment) const;
    result<void> recover_segment(std::uint32_t segment, bool last, const record_handler& on_record);
    result<void> sync_recovered();
    result<void> truncate_segment(std::uint32_t segment, std::uint64_t size);

    std::string folder_;
    std::uint64_t segment_bytes_;
    disk_hooks disk_;
    log_batch next_batch_;                 ///< collects the records of append()
    std::uint64_t batch_number_ = 1;       ///< number of next_batch_
    std::map<std::uint32_t, int> readers_; ///< open files, by segment
    int writer_ = -1;                      ///< file being written; used by write() only
    std::uint32_t writer_segment_ = 0;     ///< its segment; used by write() only
};

} // namespace cassia::storage
