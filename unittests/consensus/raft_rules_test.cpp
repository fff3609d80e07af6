// Single rules of the replication that a random run may not reach.

#include "cassia/consensus/raft_group.h"
#include "cassia/schema/messages.pb.h"

#include <catch2/catch.hpp>

#include <map>
#include <memory>
#include <vector>

using namespace cassia;
using namespace cassia::consensus;

namespace {

const instant start = instant(std::chrono::seconds(1000));

raft_group make_member(std::uint64_t disk, std::uint64_t voters, instant now) {
    member_list list;
    for (std::uint64_t i = 1; i <= voters; ++i)
        list.push_back({disk_id(i), "node-" + std::to_string(i), "", true});
    return raft_group(group_id(0), disk_id(disk), raft_settings(),
                      vote_state{term_number(1), disk_id()},
                      raft_log(log_base{1, term_number(1), list}), disk, now);
}

schema::raft_message request(schema::raft_message::message_kind kind, std::uint64_t from,
                             std::uint64_t to, std::uint64_t term) {
    schema::raft_message message;
    message.set_kind(kind);
    message.set_from(from);
    message.set_to(to);
    message.set_term(term);
    message.set_index(1);
    message.set_index_term(1);
    return message;
}

} // namespace

// Story: a leader serves a read by its lease while another member already leads. A member that
// had just restarted voted for the other at once, having forgotten that it heard from the leader.
TEST_CASE("a restarted member grants no vote before an election timeout has passed",
          "[consensus]") {
    raft_group group = make_member(1, 3, start);
    group.receive(request(schema::raft_message::vote, 2, 1, 2), start + milliseconds(100));
    CHECK(group.take_actions().messages_after_sync.empty());
    group.receive(request(schema::raft_message::vote, 2, 1, 2), start + milliseconds(800));
    const raft_actions actions = group.take_actions();
    REQUIRE(actions.messages_after_sync.size() == 1);
    CHECK_FALSE(actions.messages_after_sync[0].reject());
    CHECK(actions.vote.has_value());
}

// Story: two leaders in one term. A member voted twice because its first vote wasn't on disk when
// the answer left.
TEST_CASE("a vote is to be persisted, and its answer waits for that", "[consensus]") {
    raft_group group = make_member(1, 3, start);
    group.receive(request(schema::raft_message::vote, 2, 1, 2), start + milliseconds(800));
    raft_actions actions = group.take_actions();
    CHECK(actions.immediate_messages.empty());
    CHECK(actions.vote == vote_state{term_number(2), disk_id(2)});
    group.receive(request(schema::raft_message::vote, 3, 1, 2), start + milliseconds(900));
    actions = group.take_actions();
    REQUIRE(actions.messages_after_sync.size() == 1);
    CHECK(actions.messages_after_sync[0].reject());
}

// Story: a VM comes back under the name it had, with an empty disk, and the cluster elects a
// leader by its vote that has forgotten an acknowledged change. Messages name disks, not VMs.
TEST_CASE("a message for the disk that a member used to have is ignored", "[consensus]") {
    raft_group group = make_member(1, 3, start);
    group.receive(request(schema::raft_message::vote, 2, 77, 2), start + milliseconds(800));
    CHECK(group.take_actions().messages_after_sync.empty());
}

TEST_CASE("a disk that is no voter never campaigns", "[consensus]") {
    raft_group group = make_member(9, 3, start);
    for (int i = 0; i < 100; ++i)
        group.tick(start + milliseconds(100 * i));
    CHECK(group.role() == raft_role::learner);
    CHECK(group.take_actions().messages_after_sync.empty());
}

// Story: a control VM is cut off silently. Its entries go on trusting its word although the rest
// has elected another leader and accepted changes.
TEST_CASE("a leader that hears from no quorum stops reading and then leading", "[consensus]") {
    raft_group group = make_member(1, 1, start);
    group.tick(start + milliseconds(1500));
    REQUIRE(group.leads());
    raft_actions actions = group.take_actions();
    REQUIRE(actions.new_entries.size() == 1);
    group.persisted(2, term_number(actions.new_entries[0]->term()));
    REQUIRE(group.may_read(start + milliseconds(1500)));
    member_list more = group.log().members();
    more.push_back({disk_id(2), "node-2", "", false});
    more.push_back({disk_id(3), "node-3", "", false});
    REQUIRE(group.propose_members(more, start + milliseconds(1500)));
    group.persisted(3, group.term());
    for (consensus::member& one : more)
        one.voter = true;
    REQUIRE(group.propose_members(more, start + milliseconds(1500)));
    CHECK_FALSE(group.may_read(start + milliseconds(3000)));
    group.tick(start + milliseconds(4500));
    CHECK_FALSE(group.leads());
}

TEST_CASE("only one change of members is under way at a time", "[consensus]") {
    raft_group group = make_member(1, 1, start);
    group.tick(start + milliseconds(1500));
    const raft_actions actions = group.take_actions();
    member_list more = group.log().members();
    more.push_back({disk_id(2), "node-2", "", false});
    CHECK_FALSE(group.propose_members(more, start + milliseconds(1500)));
    group.persisted(2, term_number(actions.new_entries[0]->term()));
    CHECK(group.propose_members(more, start + milliseconds(1500)));
    CHECK_FALSE(group.propose_members(more, start + milliseconds(1500)));
}

// Story: a store runs out of memory and is killed just after a cut has healed. For the whole of the
// cut the leader's heartbeats waited in a queue; the member that was cut off gets them all at once
// and refuses each, since it lacks what went before. The leader answered each refusal with a
// megabyte of its log.
TEST_CASE("a burst of old refusals makes a leader send its log once", "[consensus]") {
    raft_group group = make_member(1, 1, start);
    const instant led = start + milliseconds(1500);
    group.tick(led);
    member_list more = group.log().members();
    more.push_back({disk_id(2), "node-2", "", false});
    group.persisted(group.log().last_index(), group.term());
    REQUIRE(group.propose_members(more, led));
    for (int i = 0; i < 100; ++i)
        REQUIRE(group.propose(std::string(20000, 'x'), led));
    group.persisted(group.log().last_index(), group.term());
    const instant healed = led + milliseconds(5000);
    group.tick(healed);
    group.take_actions();
    std::size_t bytes = 0;
    for (int i = 0; i < 100; ++i) {
        schema::raft_message refusal =
            request(schema::raft_message::append_reply, 2, 1, group.term().value());
        refusal.set_reject(true);
        refusal.set_sent_at_us(to_us(led + milliseconds(40 * i)));
        group.receive(refusal, healed);
        for (const schema::raft_message& message : group.take_actions().immediate_messages)
            bytes += message.ByteSizeLong();
    }
    CHECK(bytes < 2 * raft_settings().max_append_bytes);
}

namespace {

/// Members that reach each other at once, unless one is cut off.
class small_group {
public:
    void start_member(std::uint64_t disk, instant now) {
        members_.erase(disk);
        members_.emplace(disk, make_member(disk, 3, now));
    }
    void cut_off(std::uint64_t disk) { cut_off_ = disk; }
    void play(instant now) {
        for (auto& one : members_)
            one.second.tick(now);
        for (int round = 0; round < 8; ++round)
            deliver(now);
    }
    std::uint64_t leader() const {
        for (const auto& one : members_) {
            if (one.second.leads() && one.first != cut_off_)
                return one.first;
        }
        return 0;
    }

private:
    void deliver(instant now) {
        std::vector<schema::raft_message> sent;
        for (auto& one : members_) {
            const raft_actions actions = one.second.take_actions();
            sent.insert(sent.end(), actions.immediate_messages.begin(),
                        actions.immediate_messages.end());
            sent.insert(sent.end(), actions.messages_after_sync.begin(),
                        actions.messages_after_sync.end());
            if (!actions.new_entries.empty())
                one.second.persisted(one.second.log().last_index(), one.second.term());
        }
        for (const schema::raft_message& message : sent) {
            auto to = members_.find(message.to());
            const bool lost = message.from() == cut_off_ || message.to() == cut_off_;
            if (to != members_.end() && !lost)
                to->second.receive(message, now);
        }
    }

    std::map<std::uint64_t, raft_group> members_;
    std::uint64_t cut_off_ = 0;
};

} // namespace

// Story: all VMs lose power at once. They are back within a tenth of a second of each other, and
// callers get nothing for half a second more: each member waits for a leader that is gone.
TEST_CASE("members that all have just started elect a leader at once", "[consensus]") {
    small_group group;
    group.start_member(1, start);
    group.start_member(2, start + milliseconds(30));
    instant now = start + milliseconds(30);
    for (; now < start + milliseconds(100); now += milliseconds(25))
        group.play(now);
    // Two of three could elect one, but the third may be a leader that they can't reach.
    CHECK(group.leader() == 0);
    group.start_member(3, now);
    const instant last = now;
    while (group.leader() == 0 && now < last + milliseconds(700))
        group.play(now += milliseconds(25));
    CHECK(now - last <= milliseconds(125));
}

// Story: a leader that is cut off serves reads by its lease. The other two restart, agree that
// nobody leads, and acknowledge a change that the leader's readers don't see.
TEST_CASE("two restarted members elect nobody while a third may hold a lease", "[consensus]") {
    small_group group;
    for (const std::uint64_t disk : {1, 2, 3})
        group.start_member(disk, start);
    instant now = start;
    while (group.leader() == 0)
        group.play(now += milliseconds(25));
    const std::uint64_t old = group.leader();
    group.cut_off(old);
    for (const std::uint64_t disk : {1, 2, 3}) {
        if (disk != old)
            group.start_member(disk, now);
    }
    const instant restarted = now;
    while (now < restarted + milliseconds(675)) {
        group.play(now += milliseconds(25));
        CHECK(group.leader() == 0);
    }
}

// Guards against a leader that sends a whole term's log, some thousand entries, to a member that
// lacks the last few: a group stood still for 3.5 s after a loss of power.
TEST_CASE("a restarted member that lacks the last entries is sent only these", "[consensus]") {
    member_list list;
    for (std::uint64_t i = 1; i <= 3; ++i)
        list.push_back({disk_id(i), "node-" + std::to_string(i), "", true});
    raft_log log(log_base{1, term_number(1), list});
    constexpr std::uint64_t last = 1000;
    for (std::uint64_t index = 2; index <= last; ++index) {
        std::shared_ptr<schema::log_entry> entry = std::make_shared<schema::log_entry>();
        entry->set_index(index);
        entry->set_term(2);
        log.append(entry);
    }
    raft_group group(group_id(0), disk_id(1), raft_settings(),
                     vote_state{term_number(2), disk_id()}, std::move(log), 1, start);
    schema::raft_message append = request(schema::raft_message::append, 2, 1, 3);
    append.set_index(last + 3);
    append.set_index_term(2);
    group.receive(append, start + milliseconds(10));
    raft_actions actions = group.take_actions();
    REQUIRE(actions.messages_after_sync.size() == 1);
    CHECK(actions.messages_after_sync[0].reject());
    CHECK(actions.messages_after_sync[0].index() == last);
    // Where an entry of another term stands, the whole term may differ.
    append.set_index(last);
    append.set_index_term(3);
    group.receive(append, start + milliseconds(20));
    actions = group.take_actions();
    REQUIRE(actions.messages_after_sync.size() == 1);
    CHECK(actions.messages_after_sync[0].reject());
    CHECK(actions.messages_after_sync[0].index() == 1);
}
