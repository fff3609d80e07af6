// A process is killed, the next one reads what it left, and then the power fails.

#include "power_loss_disk.h"
#include "temporary_folder.h"

#include "cassia/storage/write_ahead_log.h"

#include <catch2/catch.hpp>

#include <sys/stat.h>

#include <cerrno>
#include <string>
#include <string_view>
#include <vector>

using namespace cassia::storage;

namespace {

constexpr std::uint64_t segment_bytes = 256;

result<std::vector<std::string>> recover(write_ahead_log& log) {
    std::vector<std::string> records;
    const result<void> recovered =
        log.recover(1, [&records](const position&, std::string_view payload) {
            records.emplace_back(payload);
        });
    if (!recovered)
        return cassia::failure(recovered.error());
    return records;
}

result<std::vector<std::string>> recover(const std::string& folder, const disk_hooks& disk) {
    write_ahead_log log(folder, segment_bytes, disk);
    return recover(log);
}

/// Writes batches until a call of the disk fails. \returns how many were synced.
int write_until_killed(const std::string& folder, const disk_hooks& disk) {
    write_ahead_log log(folder, segment_bytes, disk);
    REQUIRE(recover(log));
    for (int batch = 0;; ++batch) {
        log.append("record " + std::to_string(batch));
        if (!log.write(log.take_batch()))
            return batch;
    }
}

bool is_folder(int file) {
    struct stat status {};
    return ::fstat(file, &status) == 0 && S_ISDIR(status.st_mode);
}

} // namespace

// Guards against records that a restarted process answers for and that a loss of power takes away.
TEST_CASE("what a process reads after a kill is durable", "[storage][power-loss]") {
    const int calls = GENERATE(range(1, 60));
    const unsynced fate = GENERATE(unsynced::lost, unsynced::names_kept);
    CAPTURE(calls, static_cast<int>(fate));
    temporary_folder folder;
    power_loss_disk disk(folder.path());
    const int synced = write_until_killed(folder.path(), disk.process(calls));
    const result<std::vector<std::string>> before = recover(folder.path(), disk.process());
    REQUIRE(before);
    REQUIRE(before.value().size() >= static_cast<std::size_t>(synced));
    disk.lose_power(fate);
    const result<std::vector<std::string>> after = recover(folder.path(), disk.process());
    REQUIRE(after);
    CHECK(after.value() == before.value());
}

// Guards against a log that is taken for damaged as a batch outlived the unsynced one before it.
TEST_CASE("a batch of a killed process is not missing before the next process's batch",
          "[storage][power-loss]") {
    const int calls = GENERATE(range(1, 60));
    CAPTURE(calls);
    temporary_folder folder;
    power_loss_disk disk(folder.path());
    write_until_killed(folder.path(), disk.process(calls));
    std::size_t recovered = 0;
    {
        bool power_fails = false;
        disk_hooks hooks = disk.process();
        hooks.sync = [&power_fails, sync = hooks.sync](int file) {
            return power_fails && !is_folder(file) ? EIO : sync(file);
        };
        write_ahead_log log(folder.path(), segment_bytes, hooks);
        const result<std::vector<std::string>> records = recover(log);
        REQUIRE(records);
        recovered = records.value().size();
        log.append("the next record");
        power_fails = true;
        CHECK_FALSE(log.write(log.take_batch()));
    }
    disk.lose_power(unsynced::last_write_kept);
    const result<std::vector<std::string>> after = recover(folder.path(), disk.process());
    REQUIRE(after);
    CHECK(after.value().size() >= recovered);
}
