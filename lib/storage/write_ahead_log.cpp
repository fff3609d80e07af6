#include "cassia/storage/write_ahead_log.h"

#include "cassia/base/log.h"
#include "cassia/storage/record.h"

#include <fcntl.h>
#include <glib/gstdio.h>
#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <optional>
#include <utility>

namespace cassia::storage {

namespace {
constexpr std::string_view segment_prefix = "log-";
constexpr std::size_t max_open_readers = 64;
} // namespace

write_ahead_log::write_ahead_log(std::string folder, std::uint64_t segment_bytes, disk_hooks disk)
    : folder_(std::move(folder)), segment_bytes_(segment_bytes), disk_(std::move(disk)) {
    next_batch_.segment = 1;
}

write_ahead_log::~write_ahead_log() {
    for (const std::pair<const std::uint32_t, int>& reader : readers_)
        close(reader.second);
    if (writer_ >= 0)
        close(writer_);
}

std::string write_ahead_log::segment_path(std::uint32_t segment) const {
    char name[32];
    std::snprintf(name, sizeof name, "log-%08u", segment);
    return folder_ + "/" + name;
}

static std::vector<std::uint32_t> segment_numbers(const std::string& folder) {
    std::vector<std::uint32_t> numbers;
    for (const std::string& name : list_files(folder, segment_prefix)) {
        const char* digits = name.c_str() + segment_prefix.size();
        numbers.push_back(static_cast<std::uint32_t>(std::strtoul(digits, nullptr, 10)));
    }
    return numbers;
}

result<void> write_ahead_log::recover(std::uint32_t first_segment,
                                      const record_handler& on_record) {
    const std::vector<std::uint32_t> numbers = segment_numbers(folder_);
    std::uint32_t expected = 0;
    next_batch_.segment = std::max(first_segment, next_batch_.segment);
    for (const std::uint32_t number : numbers) {
        if (number < first_segment)
            continue;
        if (expected != 0 && number != expected)
            return failure(error{errc::corrupt, "missing log segment " + segment_path(expected)});
        expected = number + 1;
        result<void> recovered = recover_segment(number, number == numbers.back(), on_record);
        if (!recovered)
            return recovered;
    }
    return sync_recovered();
}

// A process that was killed may have left records and names that it never synced. From here on this
// one answers for them.
result<void> write_ahead_log::sync_recovered() {
    std::vector<std::string> paths;
    if (next_batch_.offset > 0)
        paths.push_back(segment_path(next_batch_.segment));
    paths.push_back(folder_);
    for (const std::string& path : paths) {
        const int file = open(path.c_str(), O_RDONLY | O_CLOEXEC);
        const int error_number = file < 0 ? errno : disk_.sync(file);
        if (file >= 0)
            close(file);
        if (error_number != 0)
            return failure(make_write_error(path, error_number));
    }
    log_info("log_recovered")
        .with("segment", next_batch_.segment)
        .with("offset", next_batch_.offset)
        .with("batches", batch_number_ - 1);
    return success();
}

// Distinguishes damage from a torn tail. A batch is written only once the previous one is synced,
// so an intact frame of a later batch after the bad frame proves that the bad one had been synced.
// It may have been acknowledged, and truncating it would lose acknowledged data. Without such a
// frame, the bad one belongs to the last batch, which was never acknowledged.
static bool was_synced(std::string_view bytes_after, std::uint64_t last_batch) {
    while (const std::optional<record_frame> frame = find_frame(bytes_after)) {
        const bool starts_next = frame->batch == last_batch + 1 && frame->first_of_batch;
        if (starts_next || frame->batch > last_batch + 1)
            return true;
        bytes_after.remove_prefix(
            static_cast<std::size_t>(frame->payload.data() - bytes_after.data()) +
            frame->payload.size());
    }
    return false;
}

result<void> write_ahead_log::recover_segment(std::uint32_t segment, bool last,
                                              const record_handler& on_record) {
    result<std::string> content = read_file(segment_path(segment));
    if (!content)
        return failure(content.error());
    const std::string_view bytes = content.value();
    std::uint64_t offset = 0;
    std::uint64_t last_batch = batch_number_ - 1;
    while (offset < bytes.size()) {
        const std::optional<record_frame> frame = read_frame(bytes.substr(offset));
        if (!frame)
            break;
        on_record(position{segment, offset}, frame->payload);
        offset += frame->frame_bytes;
        last_batch = frame->batch;
    }
    batch_number_ = last_batch + 1;
    next_batch_.segment = segment;
    next_batch_.offset = offset;
    if (offset == bytes.size())
        return success();
    if (!last || was_synced(bytes.substr(offset + 1), last_batch))
        return failure(error{errc::corrupt, segment_path(segment) + ": damaged record at offset " +
                                                std::to_string(offset)});
    log_warning("torn_tail_cut")
        .with("file", segment_path(segment))
        .with("offset", offset)
        .with("bytes", bytes.size() - offset);
    return truncate_segment(segment, offset);
}

result<void> write_ahead_log::truncate_segment(std::uint32_t segment, std::uint64_t size) {
    const std::string path = segment_path(segment);
    const int file = open(path.c_str(), O_WRONLY | O_CLOEXEC);
    const bool truncated =
        file >= 0 && ftruncate(file, static_cast<off_t>(size)) == 0 && disk_.sync(file) == 0;
    const int error_number = errno;
    if (file >= 0)
        close(file);
    if (!truncated)
        return failure(error{errc::cannot_write, path + ": " + std::strerror(error_number)});
    return success();
}

position write_ahead_log::append(std::string_view payload) {
    // A new segment is started only between batches, so that one sync covers a whole batch.
    if (next_batch_.bytes.empty() && next_batch_.offset >= segment_bytes_) {
        ++next_batch_.segment;
        next_batch_.offset = 0;
    }
    const position appended{next_batch_.segment, next_batch_.offset + next_batch_.bytes.size()};
    append_frame(next_batch_.bytes, payload, batch_number_, next_batch_.bytes.empty());
    return appended;
}

log_batch write_ahead_log::take_batch() {
    log_batch batch = std::move(next_batch_);
    next_batch_.segment = batch.segment;
    next_batch_.offset = batch.offset + batch.bytes.size();
    next_batch_.bytes.clear();
    ++batch_number_;
    return batch;
}

result<void> write_ahead_log::write(const log_batch& batch) {
    const std::string path = segment_path(batch.segment);
    if (writer_ < 0 || writer_segment_ != batch.segment) {
        if (writer_ >= 0)
            close(writer_);
        writer_ = open(path.c_str(), O_WRONLY | O_CREAT | O_CLOEXEC, 0600);
        if (writer_ < 0)
            return failure(make_write_error(path, errno));
        writer_segment_ = batch.segment;
        // Without a sync of its folder, a new file could be missing after a power loss.
        const int folder = open(folder_.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
        const int error_number = folder < 0 ? errno : disk_.sync(folder);
        if (folder >= 0)
            close(folder);
        if (error_number != 0)
            return failure(error{errc::cannot_write, folder_ + ": " + std::strerror(error_number)});
    }
    // A write that fails for lack of space may be retried: it overwrites the same bytes. After a
    // failed sync, what is on the disk is unknown, so that error is final.
    const int write_error_number = disk_.write_at(writer_, batch.bytes, batch.offset);
    if (write_error_number != 0)
        return failure(make_write_error(path, write_error_number));
    const int sync_error_number = disk_.sync(writer_);
    if (sync_error_number != 0)
        return failure(error{errc::cannot_write, path + ": " + std::strerror(sync_error_number)});
    return success();
}

result<std::string> write_ahead_log::read(const position& record) {
    auto found = readers_.find(record.segment);
    if (found == readers_.end()) {
        if (readers_.size() >= max_open_readers) {
            close(readers_.begin()->second);
            readers_.erase(readers_.begin());
        }
        const int file = open(segment_path(record.segment).c_str(), O_RDONLY | O_CLOEXEC);
        if (file < 0)
            return failure(
                error{errc::missing, segment_path(record.segment) + ": " + std::strerror(errno)});
        found = readers_.emplace(record.segment, file).first;
    }
    // Most records are small: one read gets both the header and the payload.
    constexpr std::size_t first_read_bytes = 16384;
    std::string bytes(first_read_bytes, '\0');
    const ssize_t count =
        pread(found->second, bytes.data(), bytes.size(), static_cast<off_t>(record.offset));
    if (count < static_cast<ssize_t>(frame_header_bytes))
        return failure(error{errc::corrupt, segment_path(record.segment) +
                                                ": no record at offset " +
                                                std::to_string(record.offset)});
    bytes.resize(static_cast<std::size_t>(count));
    std::uint32_t length = 0;
    std::memcpy(&length, bytes.data() + sizeof length, sizeof length);
    const std::size_t frame_bytes = frame_header_bytes + std::min(length, max_payload_bytes);
    if (frame_bytes > bytes.size() && bytes.size() == first_read_bytes) {
        bytes.resize(frame_bytes);
        const ssize_t rest_count =
            pread(found->second, bytes.data() + first_read_bytes, frame_bytes - first_read_bytes,
                  static_cast<off_t>(record.offset + first_read_bytes));
        bytes.resize(first_read_bytes + static_cast<std::size_t>(std::max<ssize_t>(rest_count, 0)));
    }
    const std::optional<record_frame> frame = read_frame(bytes);
    if (!frame)
        return failure(error{errc::corrupt, segment_path(record.segment) +
                                                ": damaged record at offset " +
                                                std::to_string(record.offset)});
    return std::string(frame->payload);
}

void write_ahead_log::remove_before(std::uint32_t segment) {
    for (const std::uint32_t number : segment_numbers(folder_)) {
        if (number >= segment)
            return;
        auto reader = readers_.find(number);
        if (reader != readers_.end()) {
            close(reader->second);
            readers_.erase(reader);
        }
        g_unlink(segment_path(number).c_str());
        log_info("segment_removed").with("segment", number);
    }
}

std::uint64_t write_ahead_log::bytes_on_disk() const {
    std::uint64_t total = 0;
    for (const std::uint32_t number : segment_numbers(folder_)) {
        struct stat status {};
        if (stat(segment_path(number).c_str(), &status) == 0)
            total += static_cast<std::uint64_t>(status.st_size);
    }
    return total;
}

} // namespace cassia::storage
