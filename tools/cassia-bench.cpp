// Measures the durable parts on their own: commits by batch against a sync each, and the restart
// of a keeper with a long log.

#include "cassia/base/clock.h"
#include "cassia/keeper/disk_writer.h"
#include "cassia/keeper/group_replica.h"
#include "cassia/keeper/store.h"
#include "cassia/net/task.h"
#include "cassia/schema/messages.pb.h"
#include "cassia/settings/command_line.h"
#include "cassia/state/work_state.h"

#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <functional>
#include <iostream>
#include <memory>
#include <string>

using cassia::instant;
using cassia::monotonic_now;
using cassia::keeper::store;
namespace schema = cassia::schema;

namespace {
constexpr std::uint64_t segment_bytes = 64ULL << 20U;
constexpr std::size_t record_bytes = 200;
constexpr std::size_t submitters = 64;
constexpr cassia::milliseconds measured(2000);
constexpr std::uint64_t restart_records = 1000000;
constexpr std::uint64_t records_a_job = 1000;

/// Submitters that each wait for their record's sync before they send the next.
class batched_commits {
public:
    explicit batched_commits(store& disk)
        : disk_(disk), writer_(task_, [](const cassia::storage::error& problem) {
              std::fprintf(stderr, "%s\n", problem.text.c_str());
              std::exit(1);
          }) {}

    double per_second() {
        writer_.start();
        task_.post([this] {
            waiting_ = submitters;
            flush();
        });
        task_.after(measured, [this] { task_.quit(); });
        const instant started = monotonic_now();
        task_.run();
        return static_cast<double>(commits_) * 1e6 /
               static_cast<double>((monotonic_now() - started).count());
    }

private:
    void flush() {
        if (busy_ || waiting_ == 0)
            return;
        busy_ = true;
        const std::size_t count = std::exchange(waiting_, 0);
        for (std::size_t i = 0; i < count; ++i)
            disk_.log().append(std::string(record_bytes, 'x'));
        std::shared_ptr<cassia::storage::log_batch> batch =
            std::make_shared<cassia::storage::log_batch>(disk_.log().take_batch());
        writer_.submit([this, batch] { return disk_.log().write(*batch); },
                       [this, count] {
                           busy_ = false;
                           commits_ += count;
                           waiting_ += count;
                           flush();
                       });
    }

    store& disk_;
    cassia::net::task task_{"bench"};
    cassia::keeper::disk_writer writer_;
    std::size_t waiting_ = 0;
    std::size_t commits_ = 0;
    bool busy_ = false;
};
} // namespace

static double single_commits_per_second(store& disk) {
    const instant started = monotonic_now();
    std::size_t commits = 0;
    while (monotonic_now() - started < measured) {
        disk.log().append(std::string(record_bytes, 'x'));
        if (!disk.log().write(disk.log().take_batch()))
            std::exit(1);
        ++commits;
    }
    return static_cast<double>(commits) * 1e6 /
           static_cast<double>((monotonic_now() - started).count());
}

static std::unique_ptr<store> open_store(const std::string& folder) {
    std::unique_ptr<store> made =
        std::make_unique<store>(folder, segment_bytes, cassia::storage::system_disk());
    return made->open() ? std::move(made) : nullptr;
}

static int measure_commits(const std::string& folder) {
    const std::unique_ptr<store> one = open_store(folder + "/single");
    const std::unique_ptr<store> other = open_store(folder + "/batched");
    if (!one || !other)
        return cassia::settings::exit_failed;
    const double single = single_commits_per_second(*one);
    const double batched = batched_commits(*other).per_second();
    std::printf("commits a second: one sync each %.0f, batched with %zu submitters %.0f, ratio "
                "%.1f\n",
                single, submitters, batched, batched / single);
    return cassia::settings::exit_fine;
}

static void append_entry(store& disk, std::uint64_t index, const schema::work_command& command) {
    schema::wal_record record;
    record.set_group(1);
    record.mutable_entry()->set_index(index);
    record.mutable_entry()->set_term(1);
    record.mutable_entry()->set_payload(command.SerializeAsString());
    disk.log().append(record.SerializeAsString());
}

// Claims and ends of keys: small records, as online calls with a key leave them.
static void write_log(store& disk) {
    schema::group_snapshot base;
    base.set_group(1);
    base.set_index(1);
    base.set_term(1);
    base.set_replay_segment(1);
    base.set_oldest_segment(1);
    if (!disk.write_snapshot(base))
        std::exit(1);
    for (std::uint64_t i = 0; i < restart_records; ++i) {
        schema::work_command command;
        schema::key_claim* claim = command.mutable_claim();
        claim->set_team("team-" + std::to_string(i % records_a_job));
        claim->set_key("key-" + std::to_string(i / 2));
        claim->set_fingerprint(std::string(64, 'f'));
        claim->set_holder("entry/1");
        append_entry(disk, i + 2, command);
        if (i % records_a_job == 0 && !disk.log().write(disk.log().take_batch()))
            std::exit(1);
    }
    if (!disk.log().write(disk.log().take_batch()))
        std::exit(1);
}

static int measure_restart(const std::string& folder) {
    {
        const std::unique_ptr<store> disk = open_store(folder);
        if (!disk)
            return cassia::settings::exit_failed;
        write_log(*disk);
    }
    const instant started = monotonic_now();
    store disk(folder, segment_bytes, cassia::storage::system_disk());
    cassia::storage::result<cassia::keeper::recovered_store> found = disk.open();
    if (!found)
        return cassia::settings::exit_failed;
    const instant read = monotonic_now();
    cassia::state::work_state state;
    const cassia::keeper::recovered_group& group = found.value().groups.at(cassia::group_id(1));
    for (std::size_t i = 0; i < group.entries.size(); ++i) {
        schema::work_command command;
        command.ParseFromString(group.entries[i]->payload());
        state.apply(command, group.positions[i]);
    }
    const instant applied = monotonic_now();
    std::printf("restart with %zu records: read %.2f s, applied %.2f s, together %.2f s\n",
                group.entries.size(), static_cast<double>((read - started).count()) / 1e6,
                static_cast<double>((applied - read).count()) / 1e6,
                static_cast<double>((applied - started).count()) / 1e6);
    return cassia::settings::exit_fine;
}

int main(int argc, char** argv) {
    const std::string what = argc == 3 ? argv[1] : "";
    if (what != "commits" && what != "restart") {
        std::cerr << "usage: cassia-bench commits|restart FOLDER\n";
        return cassia::settings::exit_usage;
    }
    const std::string folder = argv[2];
    std::filesystem::remove_all(folder);
    std::filesystem::create_directories(folder);
    const int code = what == "commits" ? measure_commits(folder) : measure_restart(folder);
    std::filesystem::remove_all(folder);
    return code;
}
