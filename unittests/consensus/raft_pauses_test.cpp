// Members whose processes all stand still again and again, in turn.

#include "cassia/consensus/raft_group.h"
#include "cassia/schema/messages.pb.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <utility>
#include <vector>

using namespace cassia;
using namespace cassia::consensus;

namespace {

const instant start = instant(std::chrono::seconds(1000));
constexpr milliseconds run_time(50);
constexpr milliseconds tick_interval(25);

/// Three members, each of which stands still and runs in turn. Messages wait in its sockets while
/// it stands still. Its timers are due when it resumes, so it ticks before it reads them.
class pausing_group {
public:
    pausing_group() {
        member_list list;
        for (std::uint64_t i = 1; i <= count; ++i)
            list.push_back({disk_id(i), "node-" + std::to_string(i), "", true});
        const raft_settings settings{milliseconds(50), milliseconds(250)};
        for (std::uint64_t i = 1; i <= count; ++i)
            members_.emplace(i, raft_group(group_id(1), disk_id(i), settings,
                                           vote_state{term_number(1), disk_id()},
                                           raft_log(log_base{1, term_number(1), list}), i, start));
    }

    /// \param pause 0: members run all the time.
    void step(milliseconds pause) {
        now += milliseconds(1);
        for (std::pair<const std::uint64_t, raft_group>& member : members_) {
            if (cut_off != member.first && !runs(member.first, pause))
                continue;
            instant& next_tick = next_ticks_[member.first];
            if (now >= next_tick) {
                member.second.tick(now);
                next_tick = now + tick_every;
            } else {
                for (const schema::raft_message& message :
                     std::exchange(inboxes_[member.first], {}))
                    member.second.receive(message, now);
            }
            for (int i = 0; i < 2; ++i)
                perform_actions(member.second);
        }
    }

    raft_group* leader() {
        raft_group* found = nullptr;
        for (std::pair<const std::uint64_t, raft_group>& member : members_) {
            if (member.second.leads() && (found == nullptr || member.second.term() > found->term()))
                found = &member.second;
        }
        return found;
    }

    bool runs(std::uint64_t member, milliseconds pause) const {
        if (pause == milliseconds(0))
            return true;
        const milliseconds span = pause + run_time;
        const milliseconds offset = span * static_cast<int>(member - 1) / static_cast<int>(count);
        return (now - start + offset) % span < run_time;
    }

    raft_group& member(std::uint64_t disk) { return members_.at(disk); }

    milliseconds tick_every = tick_interval;
    instant now = start;
    std::uint64_t cut_off = 0; ///< runs all the time, and receives and sends nothing

private:
    void perform_actions(raft_group& member) {
        raft_actions actions = member.take_actions();
        for (const log_entry_ptr& entry : actions.committed_entries)
            member.entries_applied(entry->index());
        for (const log_entry_ptr& entry : actions.new_entries)
            member.persisted(entry->index(), term_number(entry->term()));
        for (auto* messages : {&actions.immediate_messages, &actions.messages_after_sync}) {
            for (schema::raft_message& message : *messages) {
                if (message.from() != cut_off && message.to() != cut_off)
                    inboxes_[message.to()].push_back(std::move(message));
            }
        }
    }

    static constexpr std::uint64_t count = 3;
    std::map<std::uint64_t, raft_group> members_;
    std::map<std::uint64_t, std::vector<schema::raft_message>> inboxes_;
    std::map<std::uint64_t, instant> next_ticks_;
};

} // namespace

// Guards against a group that elects leaders all the time, or none, because members take their own
// standstill for a failure of the others.
TEST_CASE("members that stand still in turn keep their leader and commit", "[consensus][pauses]") {
    const milliseconds pause(GENERATE(117, 200, 283, 350, 450));
    CAPTURE(pause.count());
    pausing_group group;
    while (group.now < start + milliseconds(2000))
        group.step(milliseconds(0));
    REQUIRE(group.leader() != nullptr);
    const term_number term = group.leader()->term();
    std::uint64_t proposed = 0;
    std::uint64_t committed = 0;
    instant proposed_at{};
    microseconds longest{0};
    while (group.now < start + milliseconds(42000)) {
        group.step(pause);
        raft_group* leader = group.leader();
        if (leader == nullptr)
            continue;
        const bool runs = group.runs(leader->self().value(), pause);
        if (proposed != 0 && leader->applied_index() >= proposed) {
            longest = std::max(longest, group.now - proposed_at);
            ++committed;
            proposed = 0;
        }
        if (proposed == 0 && runs && leader->is_ready()) {
            proposed = leader->propose("command", group.now).value_or(0);
            proposed_at = group.now;
        }
    }
    REQUIRE(group.leader() != nullptr);
    CHECK(group.leader()->term() == term);
    const auto spans = milliseconds(40000) / (pause + run_time);
    CHECK(committed >= static_cast<std::uint64_t>(spans) / 3);
    CHECK(longest <= 3 * (pause + run_time));
}

// Guards against a group that serves nothing although a quorum replies: the replies arrive when the
// lease, which starts at the time of sending, has ended.
TEST_CASE("a leader whose quorum replies later than its lease lasts serves reads",
          "[consensus][pauses]") {
    const milliseconds pause(GENERATE(200, 283, 450));
    CAPTURE(pause.count());
    pausing_group group;
    while (group.now < start + milliseconds(2000))
        group.step(milliseconds(0));
    instant arrived{};
    int served = 0;
    while (group.now < start + milliseconds(23000)) {
        group.step(pause);
        raft_group* leader = group.leader();
        if (leader == nullptr || !group.runs(leader->self().value(), pause))
            continue;
        // The lease from before the first pause has ended by then.
        if (group.now < start + milliseconds(3000))
            continue;
        if (arrived != instant() && leader->may_read_since(arrived)) {
            CHECK(group.now - arrived <= 3 * (pause + run_time));
            ++served;
            arrived = instant();
        }
        if (arrived == instant()) {
            arrived = group.now;
            group.step(pause);
            leader->confirm_leadership(group.now);
        }
    }
    CHECK(served >= milliseconds(20000) / (pause + run_time) / 3);
}

// Guards against reads that lack what the next leader has accepted.
TEST_CASE("a leader that is cut off is confirmed for no read that arrives later",
          "[consensus][pauses]") {
    pausing_group group;
    while (group.now < start + milliseconds(2000))
        group.step(milliseconds(0));
    REQUIRE(group.leader() != nullptr);
    const std::uint64_t old_leader = group.leader()->self().value();
    group.cut_off = old_leader;
    const instant arrived = group.now;
    bool was_replaced = false;
    while (group.now < start + milliseconds(4000)) {
        group.step(milliseconds(0));
        group.member(old_leader).confirm_leadership(group.now);
        CHECK_FALSE(group.member(old_leader).may_read_since(arrived));
        was_replaced = was_replaced ||
                       (group.leader() != nullptr && group.leader()->self().value() != old_leader);
    }
    CHECK(was_replaced);
    CHECK_FALSE(group.member(old_leader).leads());
}

// Guards against a group without a leader on VMs whose ticks are all late.
TEST_CASE("members whose ticks are all late elect a leader, and one that is cut off steps down",
          "[consensus][pauses]") {
    pausing_group group;
    group.tick_every = milliseconds(GENERATE(60, 120));
    CAPTURE(group.tick_every.count());
    while (group.now < start + milliseconds(6000))
        group.step(milliseconds(0));
    REQUIRE(group.leader() != nullptr);
    const std::uint64_t old_leader = group.leader()->self().value();
    group.cut_off = old_leader;
    while (group.now < start + milliseconds(12000))
        group.step(milliseconds(0));
    CHECK_FALSE(group.member(old_leader).leads());
    REQUIRE(group.leader() != nullptr);
    CHECK(group.leader()->self().value() != old_leader);
}
