// Members whose disks take long to sync.

#include "cassia/consensus/raft_group.h"
#include "cassia/schema/messages.pb.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <iterator>
#include <map>
#include <utility>
#include <vector>

using namespace cassia;
using namespace cassia::consensus;

namespace {

const instant start = instant(std::chrono::seconds(1000));
constexpr milliseconds tick_interval(25);
constexpr milliseconds recovery_time(12000);

/// Three members that have just started. Each disk syncs one batch at a time; what is written
/// meanwhile is in the next one.
class slow_disk_group {
public:
    slow_disk_group(milliseconds sync_time, std::uint64_t seed) : sync_time_(sync_time) {
        member_list list;
        for (std::uint64_t i = 1; i <= count; ++i)
            list.push_back({disk_id(i), "node-" + std::to_string(i), "", true});
        const raft_settings settings{milliseconds(50), milliseconds(250)};
        for (std::uint64_t i = 1; i <= count; ++i)
            members_.emplace(
                i, member{raft_group(group_id(1), disk_id(i), settings,
                                     vote_state{term_number(1), disk_id()},
                                     raft_log(log_base{1, term_number(1), list}), seed + i, start),
                          {},
                          {},
                          {},
                          {}});
    }

    void step() {
        now += milliseconds(1);
        for (std::pair<const std::uint64_t, member>& one : members_) {
            if ((now - start) % tick_interval == microseconds(0))
                one.second.raft.tick(now);
            for (const schema::raft_message& message : std::exchange(one.second.inbox, {}))
                one.second.raft.receive(message, now);
        }
        for (std::pair<const std::uint64_t, member>& one : members_)
            perform_actions(one.second);
    }

    const raft_group* leader() const {
        for (const std::pair<const std::uint64_t, member>& one : members_) {
            if (one.second.raft.is_ready())
                return &one.second.raft;
        }
        return nullptr;
    }

    instant now = start;

private:
    struct batch {
        std::vector<log_entry_ptr> entries;
        std::vector<schema::raft_message> messages;
        bool empty() const { return entries.empty() && messages.empty(); }
    };
    struct member {
        raft_group raft;
        std::vector<schema::raft_message> inbox;
        batch written;
        batch in_sync;
        instant synced_at{};
    };

    void deliver(std::vector<schema::raft_message>& messages) {
        for (schema::raft_message& message : messages)
            members_.at(message.to()).inbox.push_back(std::move(message));
    }

    void perform_actions(member& one) {
        raft_actions actions = one.raft.take_actions();
        for (const log_entry_ptr& entry : actions.committed_entries)
            one.raft.entries_applied(entry->index());
        deliver(actions.immediate_messages);
        std::copy(actions.new_entries.begin(), actions.new_entries.end(),
                  std::back_inserter(one.written.entries));
        std::move(actions.messages_after_sync.begin(), actions.messages_after_sync.end(),
                  std::back_inserter(one.written.messages));
        if (!one.in_sync.empty() && now >= one.synced_at) {
            batch done = std::exchange(one.in_sync, {});
            deliver(done.messages);
            for (const log_entry_ptr& entry : done.entries)
                one.raft.persisted(entry->index(), term_number(entry->term()));
        }
        if (one.in_sync.empty() && !one.written.empty()) {
            one.in_sync = std::exchange(one.written, {});
            one.synced_at = now + sync_time_;
        }
    }

    static constexpr std::uint64_t count = 3;
    milliseconds sync_time_;
    std::map<std::uint64_t, member> members_;
};

} // namespace

// Guards against candidates that give up before their votes are synced, so that none is elected.
TEST_CASE("members whose votes take long to sync elect a leader", "[consensus][slow-disks]") {
    const milliseconds sync_time(GENERATE(1, 20, 100, 200, 250, 300));
    const std::uint64_t seed = GENERATE(range(0, 200, 10));
    CAPTURE(sync_time.count(), seed);
    slow_disk_group group(sync_time, seed);
    while (group.leader() == nullptr && group.now < start + recovery_time)
        group.step();
    REQUIRE(group.leader() != nullptr);
    const disk_id elected = group.leader()->self();
    for (const instant until = group.now + milliseconds(5000); group.now < until;)
        group.step();
    REQUIRE(group.leader() != nullptr);
    CHECK(group.leader()->self() == elected);
}
