#include "cassia/keeper/store.h"

#include "cassia/base/clock.h"
#include "cassia/base/digest.h"
#include "cassia/base/log.h"
#include "cassia/schema/messages.pb.h"
#include "cassia/storage/record.h"

#include <glib/gstdio.h>

#include <algorithm>
#include <cerrno>
#include <cstdlib>
#include <cstring>
#include <optional>
#include <utility>

namespace cassia::keeper {

namespace {
constexpr const char* identity_file = "identity";
constexpr const char* snapshot_prefix = "snapshot-";
constexpr int hexadecimal_base = 16;
} // namespace

store::store(std::string folder, std::uint64_t segment_bytes, storage::disk_hooks disk)
    : folder_(std::move(folder)), segment_bytes_(segment_bytes), disk_(std::move(disk)) {}

storage::result<recovered_store> store::open() {
    const storage::result<void> made = storage::make_folder(disk_, folder_);
    if (!made)
        return failure(made.error());
    storage::result<recovered_store> recovered = recover();
    if (recovered || recovered.error().code != storage::errc::corrupt)
        return recovered;
    log_error("disk_damaged").with("cause", recovered.error().text);
    const storage::result<void> moved = move_damaged_folder();
    if (!moved)
        return failure(moved.error());
    storage::result<recovered_store> empty = recover();
    if (empty)
        empty.value().reset = true;
    return empty;
}

storage::result<recovered_store> store::recover() {
    log_ = std::make_unique<storage::write_ahead_log>(folder_, segment_bytes_, disk_);
    recovered_store recovered;
    const storage::result<disk_id> identity = load_identity();
    if (!identity)
        return failure(identity.error());
    recovered.disk = identity.value();
    const storage::result<void> snapshots = load_snapshots(recovered);
    if (!snapshots)
        return failure(snapshots.error());

    std::uint32_t first_segment = recovered.groups.empty() ? 1 : UINT32_MAX;
    for (const std::pair<const group_id, recovered_group>& group : recovered.groups)
        first_segment = std::min(first_segment, group.second.snapshot->replay_segment());
    std::optional<storage::position> unreadable;
    const storage::result<void> replayed =
        log_->recover(first_segment, [&recovered, &unreadable](const storage::position& at,
                                                               std::string_view bytes) {
            schema::wal_record record;
            if (!record.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
                unreadable = at;
                return;
            }
            auto group = recovered.groups.find(group_id(record.group()));
            if (group == recovered.groups.end())
                return;
            recovered_group& target = group->second;
            if (record.has_state()) {
                const term_number term(record.state().term());
                if (term >= target.vote.term)
                    target.vote = {term, disk_id(record.state().voted_for())};
                return;
            }
            const std::uint64_t base = target.snapshot->index();
            const auto truncate_after = [&target, base](std::uint64_t index) {
                while (!target.entries.empty() && base + target.entries.size() > index) {
                    target.entries.pop_back();
                    target.positions.pop_back();
                }
            };
            if (record.record_case() == schema::wal_record::kCutAfter)
                truncate_after(record.cut_after());
            if (!record.has_entry() || record.entry().index() <= base)
                return;
            truncate_after(record.entry().index() - 1);
            if (record.entry().index() != base + target.entries.size() + 1)
                return;
            target.entries.push_back(
                std::make_shared<const schema::log_entry>(std::move(*record.mutable_entry())));
            target.positions.push_back(at);
        });
    if (!replayed)
        return failure(replayed.error());
    if (unreadable)
        return failure(storage::error{storage::errc::corrupt, "a log record can't be parsed"});
    return recovered;
}

storage::result<disk_id> store::load_identity() {
    const storage::result<std::string> content = storage::read_file(folder_ + "/" + identity_file);
    if (content) {
        const std::uint64_t number =
            std::strtoull(content.value().c_str(), nullptr, hexadecimal_base);
        if (number == 0)
            return failure(storage::error{storage::errc::corrupt,
                                          "identity file holds no hexadecimal disk id"});
        return disk_id(number);
    }
    if (content.error().code != storage::errc::missing)
        return failure(content.error());
    // The identity is written before anything else, so that every vote and acknowledgement that
    // relies on this disk is given under it. A folder that lost its identity file can't be taken
    // for the same disk.
    const std::string identity = random_name("");
    const storage::result<void> written =
        storage::write_file(disk_, folder_, identity_file, identity);
    if (!written)
        return failure(written.error());
    log_info("disk_identity_made").with("disk", identity);
    return disk_id(std::strtoull(identity.c_str(), nullptr, hexadecimal_base));
}

storage::result<void> store::load_snapshots(recovered_store& recovered) {
    for (const std::string& name : storage::list_files(folder_, snapshot_prefix)) {
        if (name.size() > 4 && name.substr(name.size() - 4) == ".tmp")
            continue;
        const storage::result<std::string> content = storage::read_file(folder_ + "/" + name);
        if (!content)
            return failure(content.error());
        const std::optional<storage::record_frame> frame = storage::read_frame(content.value());
        std::shared_ptr<schema::group_snapshot> snapshot =
            std::make_shared<schema::group_snapshot>();
        const bool readable =
            frame && snapshot->ParseFromArray(frame->payload.data(),
                                              static_cast<int>(frame->payload.size()));
        if (!readable)
            return failure(storage::error{storage::errc::corrupt, "damaged snapshot " + name});
        recovered_group& group = recovered.groups[group_id(snapshot->group())];
        group.vote = {term_number(snapshot->hard().term()), disk_id(snapshot->hard().voted_for())};
        group.snapshot = std::move(snapshot);
    }
    return success();
}

// The damaged files are kept for later analysis.
storage::result<void> store::move_damaged_folder() {
    log_.reset();
    const std::string damaged = folder_ + ".damaged-" + std::to_string(to_unix_ms(wall_now()));
    if (g_rename(folder_.c_str(), damaged.c_str()) != 0)
        return failure(
            storage::error{storage::errc::cannot_write, damaged + ": " + std::strerror(errno)});
    log_warning("disk_set_aside").with("folder", damaged);
    return storage::make_folder(disk_, folder_);
}

storage::result<void> store::write_snapshot(const schema::group_snapshot& snapshot) {
    std::string bytes;
    storage::append_frame(bytes, snapshot.SerializeAsString(), 1, true);
    return storage::write_file(disk_, folder_, snapshot_prefix + std::to_string(snapshot.group()),
                               bytes);
}

storage::result<std::string> store::read_command(const storage::position& at) {
    storage::result<std::string> bytes = log_->read(at);
    if (!bytes)
        return bytes;
    schema::wal_record record;
    if (!record.ParseFromString(bytes.value()))
        return failure(
            storage::error{storage::errc::corrupt, "the log record of a command can't be parsed"});
    if (record.has_entry())
        return std::move(*record.mutable_entry()->mutable_payload());
    if (record.record_case() == schema::wal_record::kBody)
        return std::move(*record.mutable_body());
    return failure(
        storage::error{storage::errc::missing, "the log record holds neither an entry nor a body"});
}

} // namespace cassia::keeper
