/// A folder whose content goes back to what was synced, as after a loss of power.
#pragma once

#include "cassia/storage/disk.h"

#include <catch2/catch.hpp>

#include <sys/stat.h>

#include <algorithm>
#include <cerrno>
#include <cstdint>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

namespace cassia::storage {

/// What of the writes and names that weren't synced a loss of power leaves.
enum class unsynced { lost, names_kept, last_write_kept };

class power_loss_disk {
public:
    explicit power_loss_disk(std::string folder) : folder_(std::move(folder)) {}

    /// Hooks of one process. Calls beyond `calls_left` fail without an effect, as those of a
    /// process that was killed before.
    disk_hooks process(int calls_left = -1) {
        const std::shared_ptr<int> left = std::make_shared<int>(calls_left);
        disk_hooks hooks;
        hooks.write_at = [this, left](int file, std::string_view bytes, std::uint64_t offset) {
            if (!take_call(*left))
                return EIO;
            last_writes_[file_number(file)] = {offset, std::string(bytes)};
            return system_disk().write_at(file, bytes, offset);
        };
        hooks.sync = [this, left](int file) {
            if (!take_call(*left))
                return EIO;
            record_sync(file);
            return 0;
        };
        return hooks;
    }

    /// The files are as their last syncs left them. A file is durable with its own sync, a name
    /// that was changed or removed with the folder's.
    void lose_power(unsynced fate) {
        const std::map<std::string, std::uint64_t> current = names();
        std::map<std::string, std::string> left;
        for (const std::pair<const std::string, std::uint64_t>& one :
             fate == unsynced::names_kept ? current : durable_names_)
            left[one.first] = content_after_loss(one.second, fate);
        for (const std::pair<const std::string, std::uint64_t>& one : current)
            std::filesystem::remove(folder_ + "/" + one.first);
        for (const std::pair<const std::string, std::string>& one : left)
            std::ofstream(folder_ + "/" + one.first, std::ios::binary) << one.second;
        contents_.clear();
        last_writes_.clear();
        durable_names_ = names();
        for (const std::pair<const std::string, std::uint64_t>& one : durable_names_)
            contents_[one.second] = left.at(one.first);
    }

private:
    static bool take_call(int& left) {
        if (left == 0)
            return false;
        --left;
        return true;
    }

    static struct stat status_of(int file) {
        struct stat status {};
        REQUIRE(::fstat(file, &status) == 0);
        return status;
    }
    static std::uint64_t file_number(int file) { return status_of(file).st_ino; }
    static std::uint64_t file_number(const std::string& path) {
        struct stat status {};
        REQUIRE(::stat(path.c_str(), &status) == 0);
        return status.st_ino;
    }

    std::string content_after_loss(std::uint64_t file, unsynced fate) const {
        auto synced = contents_.find(file);
        std::string content = synced == contents_.end() ? "" : synced->second;
        auto write = last_writes_.find(file);
        if (fate != unsynced::last_write_kept || write == last_writes_.end())
            return content;
        const std::string& bytes = write->second.second;
        content.resize(std::max(content.size(), write->second.first + bytes.size()));
        return content.replace(write->second.first, bytes.size(), bytes);
    }

    std::map<std::string, std::uint64_t> names() const {
        std::map<std::string, std::uint64_t> found;
        for (const std::string& name : list_files(folder_, ""))
            found[name] = file_number(folder_ + "/" + name);
        return found;
    }

    std::string read(const std::string& name) const {
        std::ifstream file(folder_ + "/" + name, std::ios::binary);
        return {std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
    }

    void record_sync(int file) {
        const struct stat status = status_of(file);
        const std::map<std::string, std::uint64_t> current = names();
        if (S_ISDIR(status.st_mode)) {
            durable_names_ = current;
            return;
        }
        for (const std::pair<const std::string, std::uint64_t>& one : current) {
            if (one.second != status.st_ino)
                continue;
            contents_[one.second] = read(one.first);
            last_writes_.erase(one.second);
            const bool is_new =
                std::none_of(durable_names_.begin(), durable_names_.end(),
                             [&one](const auto& durable) { return durable.second == one.second; });
            if (is_new)
                durable_names_[one.first] = one.second;
        }
    }

    std::string folder_;
    std::map<std::string, std::uint64_t> durable_names_; ///< with the numbers of their files
    std::map<std::uint64_t, std::string> contents_;      ///< synced, by number of the file
    /// Since the file's sync: offset and bytes.
    std::map<std::uint64_t, std::pair<std::uint64_t, std::string>> last_writes_;
};

} // namespace cassia::storage
