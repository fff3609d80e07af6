// A keeper's folder after a kill and a loss of power.

#include "../storage/power_loss_disk.h"
#include "../storage/temporary_folder.h"

#include "cassia/keeper/store.h"
#include "cassia/schema/messages.pb.h"

#include <catch2/catch.hpp>

#include <sys/stat.h>

#include <algorithm>
#include <cstdint>
#include <filesystem>
#include <string>
#include <vector>

using namespace cassia;
using namespace cassia::keeper;
using namespace cassia::storage;

namespace {

constexpr std::uint64_t segment_bytes = 4096;
const group_id group(1);

schema::group_snapshot snapshot_at(std::uint64_t index) {
    schema::group_snapshot snapshot;
    snapshot.set_group(static_cast<std::uint32_t>(group.value()));
    snapshot.set_index(index);
    snapshot.set_replay_segment(1);
    return snapshot;
}

struct recovered_folder {
    disk_id disk;
    std::uint64_t index = 0; ///< of the snapshot, 0 if there is none
};

recovered_folder open_store(const std::string& folder, const disk_hooks& disk) {
    store opened(folder, segment_bytes, disk);
    const storage::result<recovered_store> recovered = opened.open();
    REQUIRE(recovered);
    auto found = recovered.value().groups.find(group);
    return {recovered.value().disk,
            found == recovered.value().groups.end() ? 0 : found->second.snapshot->index()};
}

} // namespace

// Guards against a snapshot or an identity that a restarted keeper uses and that a loss of power
// takes away.
TEST_CASE("the identity and the snapshot that a keeper reads after a kill are durable",
          "[store][power-loss]") {
    const int calls = GENERATE(range(1, 30));
    const unsynced fate = GENERATE(unsynced::lost, unsynced::names_kept);
    CAPTURE(calls, static_cast<int>(fate));
    temporary_folder folder;
    power_loss_disk disk(folder.path());
    {
        store killed(folder.path(), segment_bytes, disk.process(calls));
        bool lives = killed.open().has_value();
        for (std::uint64_t index = 1; lives; ++index)
            lives = killed.write_snapshot(snapshot_at(index)).has_value();
    }
    const recovered_folder before = open_store(folder.path(), disk.process());
    disk.lose_power(fate);
    const recovered_folder after = open_store(folder.path(), disk.process());
    CHECK(after.disk == before.disk);
    CHECK(after.index == before.index);
}

// Guards against a folder whose own name a loss of power takes away with all that was synced in it.
TEST_CASE("the folder of a keeper is durable from its first start on", "[store][power-loss]") {
    temporary_folder parent;
    const std::string folder = parent.path() + "/a/b";
    std::vector<std::uint64_t> synced;
    disk_hooks hooks = system_disk();
    hooks.sync = [&synced](int file) {
        struct stat status {};
        REQUIRE(::fstat(file, &status) == 0);
        synced.push_back(status.st_ino);
        return 0;
    };
    open_store(folder, hooks);
    for (const std::string& path : {parent.path(), parent.path() + "/a", folder}) {
        struct stat status {};
        REQUIRE(::stat(path.c_str(), &status) == 0);
        CHECK(std::find(synced.begin(), synced.end(), status.st_ino) != synced.end());
    }
    std::filesystem::remove_all(parent.path() + "/a");
}
