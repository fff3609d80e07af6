/// File operations for durable data. The system calls that durability depends on are hooks, so that
/// tests can make them fail.
#pragma once

#include "cassia/storage/error.h"

#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace cassia::storage {

struct disk_hooks {
    /// Writes all bytes at the offset. \returns 0 or an errno.
    std::function<int(int file, std::string_view bytes, std::uint64_t offset)> write_at;
    /// Makes the file's content durable. \returns 0 or an errno.
    std::function<int(int file)> sync;
};

/// Hooks that call the operating system.
disk_hooks system_disk();

/// The error for a write that failed with this errno: `no_space` if the disk or the quota is full,
/// else `cannot_write`.
error make_write_error(const std::string& path, int error_number);

/// Replaces a file atomically and durably: readers see either the old content or the new one.
result<void> write_file(const disk_hooks& disk, const std::string& folder, const std::string& name,
                        std::string_view content);

/// Reads a whole file; fails with `missing` if it doesn't exist.
result<std::string> read_file(const std::string& path);

/// Creates the folder and its parents, durably.
result<void> make_folder(const disk_hooks& disk, const std::string& folder);

/// Names in the folder that start with `prefix`, sorted; empty if the folder can't be read.
std::vector<std::string> list_files(const std::string& folder, std::string_view prefix);

} // namespace cassia::storage
