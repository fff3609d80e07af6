/// The few file operations that durability rests on, as hooks, so that a test can make each fail.
#pragma once

#include "cassia/storage/error.h"

#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace cassia::storage {

struct disk_hooks {
    /// Writes all bytes at the offset. Returns 0 or an errno.
    std::function<int(int file, std::string_view bytes, std::uint64_t offset)> write_at;
    /// Makes the file's content durable. Returns 0 or an errno.
    std::function<int(int file)> sync;
};

/// The operating system's own operations.
disk_hooks system_disk();

/// The error of a write that failed with this errno.
error write_error(const std::string& path, int number);

/// Replaces a file in one step: a reader finds the old content or the new one, whole.
result<void> write_file(const disk_hooks& disk, const std::string& folder, const std::string& name,
                        std::string_view content);

/// A whole file; `missing` if there is none.
result<std::string> read_file(const std::string& path);

/// Makes the folder and those above it.
result<void> make_folder(const std::string& folder);

/// Names in the folder that start with `prefix`, sorted.
std::vector<std::string> list_files(const std::string& folder, std::string_view prefix);

} // namespace cassia::storage
