// Recovery of the write-ahead log after a crash, a torn write, a damaged record or a failing disk.

#include "temporary_folder.h"

#include "cassia/storage/record.h"
#include "cassia/storage/write_ahead_log.h"

#include <catch2/catch.hpp>
#include <glib/gstdio.h>
#include <unistd.h>

#include <cerrno>
#include <cstdlib>
#include <fstream>
#include <random>
#include <string>
#include <vector>

using namespace cassia::storage;

namespace {

constexpr std::uint64_t segment_bytes = 4096;

struct recovery {
    std::vector<std::string> records;
    result<void> outcome = cassia::success();
};

recovery recover(const std::string& folder) {
    recovery recovered;
    write_ahead_log log(folder, segment_bytes, system_disk());
    recovered.outcome = log.recover(1, [&recovered](const position&, std::string_view payload) {
        recovered.records.emplace_back(payload);
    });
    return recovered;
}

void write_batches(const std::string& folder, int batches, int records_per_batch) {
    write_ahead_log log(folder, segment_bytes, system_disk());
    REQUIRE(log.recover(1, [](const position&, std::string_view) {}));
    for (int i = 0; i < batches; ++i) {
        for (int n = 0; n < records_per_batch; ++n)
            log.append("record " + std::to_string(i) + "." + std::to_string(n));
        REQUIRE(log.write(log.take_batch()));
    }
}

std::string first_segment(const std::string& folder) {
    return folder + "/log-00000001";
}

void overwrite(const std::string& path, std::streamoff offset, char byte) {
    std::fstream file(path, std::ios::in | std::ios::out | std::ios::binary);
    file.seekp(offset);
    file.put(byte);
}

} // namespace

TEST_CASE("records are recovered in order, across segments and restarts", "[storage]") {
    temporary_folder folder;
    write_batches(folder.path(), 40, 5);
    write_batches(folder.path(), 40, 5);
    const recovery recovered = recover(folder.path());
    REQUIRE(recovered.outcome);
    CHECK(recovered.records.size() == 400);
    CHECK(recovered.records[199] == "record 39.4");
    CHECK(recovered.records[200] == "record 0.0");
    CHECK(list_files(folder.path(), "log-").size() > 2);
}

TEST_CASE("a record can be read by its position", "[storage]") {
    temporary_folder folder;
    write_ahead_log log(folder.path(), segment_bytes, system_disk());
    REQUIRE(log.recover(1, [](const position&, std::string_view) {}));
    const std::string large(100000, 'x');
    const position small_position = log.append("small");
    const position large_position = log.append(large);
    REQUIRE(log.write(log.take_batch()));
    CHECK(log.read(small_position).value() == "small");
    CHECK(log.read(large_position).value() == large);
    CHECK_FALSE(log.read(position{1, 3}));
}

// Guards against a keeper that can't restart after a power loss in the middle of a write. The last
// batch is incomplete and none of it was acknowledged, so it is dropped and the rest is kept.
TEST_CASE("a tail torn at any offset is truncated", "[storage]") {
    for (int removed_bytes = 1; removed_bytes < 60; removed_bytes += 3) {
        temporary_folder folder;
        write_batches(folder.path(), 2, 2);
        const std::string path = first_segment(folder.path());
        const std::string content = read_file(path).value();
        REQUIRE(truncate(path.c_str(), static_cast<off_t>(content.size()) - removed_bytes) == 0);
        const recovery recovered = recover(folder.path());
        INFO("removed bytes " << removed_bytes);
        REQUIRE(recovered.outcome);
        CHECK(recovered.records.size() >= 2);
        CHECK(recovered.records.size() < 4);
        write_batches(folder.path(), 1, 1);
        CHECK(recover(folder.path()).records.back() == "record 0.0");
    }
}

// Guards against lost acknowledged records: a bit flips in a record synced long ago. Truncating
// there, as for a torn tail, would drop that record and all after it, and the keeper would vote
// without them.
TEST_CASE("damage before the last batch is reported and nothing is truncated", "[storage]") {
    temporary_folder folder;
    write_batches(folder.path(), 3, 2);
    const std::string path = first_segment(folder.path());
    overwrite(path, 25, '!');
    const std::string before = read_file(path).value();
    const recovery recovered = recover(folder.path());
    REQUIRE_FALSE(recovered.outcome);
    CHECK(recovered.outcome.error().code == errc::corrupt);
    CHECK(read_file(path).value() == before);
}

TEST_CASE("recovery fails if a segment between others is missing", "[storage]") {
    temporary_folder folder;
    write_batches(folder.path(), 300, 5);
    g_unlink((folder.path() + "/log-00000002").c_str());
    CHECK_FALSE(recover(folder.path()).outcome);
}

// Guards against a job that is acknowledged although the disk is full or the sync failed, and is
// lost in the next restart.
TEST_CASE("a failed write or sync is reported", "[storage]") {
    temporary_folder folder;
    disk_hooks disk = system_disk();
    int injected_errno = 0;
    const bool sync_fails = GENERATE(true, false);
    if (sync_fails)
        disk.sync = [&injected_errno](int) { return injected_errno; };
    else
        disk.write_at = [&injected_errno](int file, std::string_view bytes, std::uint64_t offset) {
            return injected_errno != 0 ? injected_errno
                                       : system_disk().write_at(file, bytes, offset);
        };
    write_ahead_log log(folder.path(), segment_bytes, disk);
    REQUIRE(log.recover(1, [](const position&, std::string_view) {}));
    log.append("first");
    REQUIRE(log.write(log.take_batch()));
    injected_errno = sync_fails ? EIO : ENOSPC;
    log.append("second");
    const log_batch batch = log.take_batch();
    const result<void> written = log.write(batch);
    REQUIRE_FALSE(written);
    CHECK(written.error().code == (sync_fails ? errc::cannot_write : errc::no_space));
    if (sync_fails)
        return;
    // Once there is space again, the same batch is written at the same offset.
    injected_errno = 0;
    REQUIRE(log.write(batch));
    CHECK(recover(folder.path()).records.size() == 2);
}

// Guards against a crash or an excessive allocation over bytes that a damaged disk returns.
TEST_CASE("reading damaged frames neither crashes nor returns more than the given bytes",
          "[storage][fuzz]") {
    constexpr int rounds = 20000;
    const unsigned seed = 20261203;
    INFO("seed " << seed);
    std::mt19937 random(seed);
    std::string valid;
    append_frame(valid, "payload of a record", 7, true);
    append_frame(valid, std::string(300, 'p'), 7, false);
    for (int i = 0; i < rounds; ++i) {
        std::string bytes = valid;
        const std::size_t changes = 1 + random() % 4;
        for (std::size_t n = 0; n < changes; ++n)
            bytes[random() % bytes.size()] = static_cast<char>(random());
        bytes.resize(random() % (bytes.size() + 1));
        if (const std::optional<record_frame> frame = read_frame(bytes))
            REQUIRE(frame->frame_bytes <= bytes.size());
        if (const std::optional<record_frame> frame = find_frame(bytes))
            REQUIRE(frame->payload.size() <= bytes.size());
    }
}
