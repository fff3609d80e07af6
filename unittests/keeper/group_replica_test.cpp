// Transfer of a snapshot between two members of a group, each with its own disk, while messages are
// lost and members restart.

#include "cassia/keeper/group_replica.h"
#include "cassia/schema/messages.pb.h"

#include <catch2/catch.hpp>
#include <stdlib.h>

#include <filesystem>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

using namespace cassia;
using namespace cassia::keeper;

namespace {

const group_id tested_group(1);
constexpr std::size_t command_count = 12;
constexpr std::size_t command_bytes = 300000;
constexpr std::uint32_t part_count = 3; // of a transfer, with four commands each

std::string make_command(std::size_t number) {
    return std::to_string(number) + std::string(command_bytes, 'x');
}

/// A member of the group: its disk, which survives a restart, and its replica. The state is the
/// list of the commands' positions in the log.
class test_keeper {
public:
    test_keeper() : owner_("test") {
        char name[] = "/tmp/cassia-test-XXXXXX";
        folder_ = mkdtemp(name);
        start(monotonic_now());
    }
    ~test_keeper() {
        stop();
        std::filesystem::remove_all(folder_);
    }
    test_keeper(const test_keeper&) = delete;
    test_keeper& operator=(const test_keeper&) = delete;

    disk_id disk() const { return disk_; }
    group_replica& replica() { return *replica_; }

    void restart(instant now) {
        stop();
        start(now);
    }

    void bootstrap(const consensus::member_list& members, instant now) {
        replica_->bootstrap(members, now);
        REQUIRE(store_->write_snapshot(replica_->make_snapshot()));
    }

    /// \returns the messages to send, once everything written before is on disk.
    std::vector<schema::raft_message> process(instant now) {
        std::vector<schema::raft_message> out = replica_->perform_actions(pending_, now);
        finish_writes();
        if (store_->log().has_batch()) {
            const storage::log_batch batch = store_->log().take_batch();
            REQUIRE(store_->log().write(batch));
        }
        pending_sync synced = std::exchange(pending_, pending_sync());
        for (const pending_sync::appended_entry& entry : synced.appended)
            replica_->on_persisted(entry.index, entry.term);
        std::move(synced.messages.begin(), synced.messages.end(), std::back_inserter(out));
        return out;
    }

    std::vector<std::string> commands() {
        std::vector<std::string> read;
        for (const storage::position& at : state_) {
            const storage::result<std::string> command = store_->read_command(at);
            REQUIRE(command);
            read.push_back(command.value());
        }
        return read;
    }

    std::uint64_t log_bytes() const { return store_->log().bytes_on_disk(); }

private:
    void start(instant now) {
        store_ = std::make_unique<store>(folder_, 64U << 20U, storage::system_disk());
        storage::result<recovered_store> recovered = store_->open();
        REQUIRE(recovered);
        disk_ = recovered.value().disk;
        const auto on_failure = [](const storage::error& error) { FAIL(error.text); };
        log_writer_ = std::make_unique<disk_writer>(owner_, on_failure);
        snapshot_writer_ = std::make_unique<disk_writer>(owner_, on_failure);
        log_writer_->start();
        snapshot_writer_->start();
        state_.clear();
        group_settings settings;
        settings.group = tested_group;
        settings.self = disk_;
        replica_ = std::make_unique<group_replica>(settings, make_state_machine(), *store_,
                                                   *log_writer_, *snapshot_writer_, [] {});
        auto group = recovered.value().groups.find(tested_group);
        if (group != recovered.value().groups.end())
            REQUIRE(replica_->recover(group->second, now));
    }

    void stop() {
        finish_writes();
        log_writer_.reset();
        snapshot_writer_.reset();
        replica_.reset();
        pending_ = pending_sync();
    }

    // What follows a write of the log may be written by the other writer.
    void finish_writes() {
        for (disk_writer* writer : {log_writer_.get(), snapshot_writer_.get()}) {
            bool done = false;
            writer->submit([] { return storage::result<void>(success()); },
                           [&done] { done = true; });
            while (!done)
                g_main_context_iteration(owner_.context(), TRUE);
        }
    }

    state_machine make_state_machine() {
        state_machine machine;
        machine.apply = [this](const std::string&, const storage::position& at) {
            state_.push_back(at);
            return schema::keeper_reply();
        };
        machine.save = [this] {
            schema::snapshot_part image;
            for (const storage::position& at : state_) {
                schema::body_copy* copy = image.add_bodies();
                copy->mutable_origin()->set_segment(at.segment);
                copy->mutable_origin()->set_offset(at.offset);
            }
            return image.SerializeAsString();
        };
        machine.load = [this](const std::string& saved, const position_map& relocations) {
            schema::snapshot_part image;
            if (!image.ParseFromString(saved))
                return false;
            state_.clear();
            for (const schema::body_copy& copy : image.bodies()) {
                const storage::position origin{copy.origin().segment(), copy.origin().offset()};
                auto relocated = relocations.find(origin);
                state_.push_back(relocated == relocations.end() ? origin : relocated->second);
            }
            return true;
        };
        machine.referenced_positions = [this] {
            return std::set<storage::position>(state_.begin(), state_.end());
        };
        return machine;
    }

    std::string folder_;
    net::task owner_;
    disk_id disk_;
    std::unique_ptr<store> store_;
    std::unique_ptr<disk_writer> log_writer_;
    std::unique_ptr<disk_writer> snapshot_writer_;
    std::unique_ptr<group_replica> replica_;
    std::vector<storage::position> state_;
    pending_sync pending_;
};

/// A leader that has applied all commands, and a learner with an empty disk.
class transfer_fixture {
public:
    /// Whether a message is lost on its way.
    using loss_function = std::function<bool(const schema::raft_message&)>;

    transfer_fixture() : now_(monotonic_now()) {
        members_ = {{leader.disk(), "k1", "", true}};
        leader.bootstrap(members_, now_);
        elect_leader();
        for (std::size_t i = 0; i < command_count; ++i)
            leader.replica().propose(
                make_command(i), [](const schema::keeper_reply&) {}, now_);
        run(milliseconds(200));
        members_.push_back({learner.disk(), "k2", "", false});
        leader.replica().change_members(members_, now_);
    }

    void elect_leader() {
        run(milliseconds(2000));
        REQUIRE(leader.replica().raft().leads());
    }

    void run(milliseconds duration, const loss_function& is_lost = {}) {
        const instant end = now_ + duration;
        while (now_ < end) {
            now_ += milliseconds(50);
            leader.replica().tick(now_);
            learner.replica().tick(now_);
            // Some rounds a step: a message is replied to at once.
            for (int round = 0; round < 4; ++round) {
                deliver(leader, learner, is_lost);
                deliver(learner, leader, is_lost);
            }
        }
    }

    void restart(test_keeper& keeper) { keeper.restart(now_); }

    bool is_caught_up() { return leader.replica().raft().caught_up(learner.disk()); }

    test_keeper leader;
    test_keeper learner;

private:
    void deliver(test_keeper& from, test_keeper& to, const loss_function& is_lost) {
        for (const schema::raft_message& message : from.process(now_)) {
            if (disk_id(message.to()) == to.disk() && !(is_lost && is_lost(message)))
                to.replica().receive(message, now_);
        }
    }

    instant now_;
    consensus::member_list members_;
};

bool is_acknowledgement(const schema::raft_message& message, std::uint32_t part) {
    return message.kind() == schema::raft_message::snapshot_reply && !message.reject() &&
           message.part().number() == part;
}

bool is_part(const schema::raft_message& message, std::uint32_t number) {
    return message.kind() == schema::raft_message::snapshot && message.part().number() == number;
}

void check_same_commands(transfer_fixture& group) {
    REQUIRE(group.is_caught_up());
    const std::vector<std::string> commands = group.learner.commands();
    REQUIRE(commands.size() == command_count);
    for (std::size_t i = 0; i < command_count; ++i)
        CHECK((commands[i] == make_command(i)));
}

} // namespace

// Guards against a learner that stays behind until the leader changes, because one acknowledgement
// was lost: no other member is added meanwhile.
TEST_CASE("a transfer goes on after a lost acknowledgement", "[keeper]") {
    for (std::uint32_t lost_part = 0; lost_part < part_count; ++lost_part) {
        CAPTURE(lost_part);
        transfer_fixture group;
        bool lost = false;
        group.run(milliseconds(6000), [&lost, lost_part](const schema::raft_message& message) {
            return is_acknowledgement(message, lost_part) && !std::exchange(lost, true);
        });
        REQUIRE(lost);
        check_same_commands(group);
        CHECK(group.learner.log_bytes() < (command_count + 1) * command_bytes);
    }
}

// Guards against a leader that waits forever for the acknowledgement of a part that the member
// can't use, since it lost the parts before with its memory.
TEST_CASE("a transfer restarts after its receiver has restarted", "[keeper]") {
    for (std::uint32_t missing_part = 1; missing_part < part_count; ++missing_part) {
        CAPTURE(missing_part);
        transfer_fixture group;
        group.run(milliseconds(1500), [missing_part](const schema::raft_message& message) {
            return is_part(message, missing_part);
        });
        REQUIRE_FALSE(group.learner.replica().is_bootstrapped());
        group.restart(group.learner);
        group.run(milliseconds(6000));
        check_same_commands(group);
    }
}

// Guards against parts of two transfers that are put together: the next leader's term and the first
// one's may have the same snapshot index.
TEST_CASE("a transfer restarts after the leader has restarted", "[keeper]") {
    for (std::uint32_t missing_part = 1; missing_part < part_count; ++missing_part) {
        CAPTURE(missing_part);
        transfer_fixture group;
        group.run(milliseconds(1500), [missing_part](const schema::raft_message& message) {
            return is_part(message, missing_part);
        });
        group.restart(group.leader);
        group.elect_leader();
        group.run(milliseconds(6000));
        check_same_commands(group);
    }
}
