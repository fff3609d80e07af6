// Single Raft rules that the random test may not reach.

#include "cassia/consensus/raft_group.h"
#include "cassia/schema/messages.pb.h"

#include <catch2/catch.hpp>

#include <algorithm>
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

void apply_committed(raft_group& group) {
    for (const log_entry_ptr& entry : group.take_actions().committed_entries)
        group.entries_applied(entry->index());
}

} // namespace

// Guards against a leader that serves reads by its lease while another member already leads: a
// restarted member no longer knows the leader and votes for another one at once.
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

// Guards against two leaders in one term: a member votes twice because its first vote wasn't on
// disk when it sent the reply.
TEST_CASE("a vote must be synced before its reply is sent", "[consensus]") {
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

// Guards against a VM that returns under its old name with an empty disk: with its vote, a member
// that lacks an acknowledged change could be elected. Messages address disks, not VMs.
TEST_CASE("a message to a member's previous disk is ignored", "[consensus]") {
    raft_group group = make_member(1, 3, start);
    group.receive(request(schema::raft_message::vote, 2, 77, 2), start + milliseconds(800));
    CHECK(group.take_actions().messages_after_sync.empty());
}

TEST_CASE("a member that isn't a voter never starts an election", "[consensus]") {
    raft_group group = make_member(9, 3, start);
    for (int i = 0; i < 100; ++i)
        group.tick(start + milliseconds(100 * i));
    CHECK(group.role() == raft_role::learner);
    CHECK(group.take_actions().messages_after_sync.empty());
}

// Guards against a partitioned leader that still serves reads although the other members have
// elected another leader and accepted changes.
TEST_CASE("a leader without a quorum stops serving reads and then steps down", "[consensus]") {
    raft_group group = make_member(1, 1, start);
    group.tick(start + milliseconds(1500));
    REQUIRE(group.leads());
    raft_actions actions = group.take_actions();
    REQUIRE(actions.new_entries.size() == 1);
    group.persisted(2, term_number(actions.new_entries[0]->term()));
    // A committed entry is no part of the state until it is applied.
    REQUIRE_FALSE(group.may_read(start + milliseconds(1500)));
    apply_committed(group);
    REQUIRE(group.may_read(start + milliseconds(1500)));
    member_list extended = group.log().members();
    extended.push_back({disk_id(2), "node-2", "", false});
    extended.push_back({disk_id(3), "node-3", "", false});
    REQUIRE(group.propose_members(extended, start + milliseconds(1500)));
    group.persisted(3, group.term());
    for (consensus::member& member : extended)
        member.voter = true;
    REQUIRE(group.propose_members(extended, start + milliseconds(1500)));
    CHECK_FALSE(group.may_read(start + milliseconds(3000)));
    group.tick(start + milliseconds(4500));
    CHECK_FALSE(group.leads());
}

TEST_CASE("a membership change is rejected until the previous one is committed", "[consensus]") {
    raft_group group = make_member(1, 1, start);
    group.tick(start + milliseconds(1500));
    const raft_actions actions = group.take_actions();
    member_list extended = group.log().members();
    extended.push_back({disk_id(2), "node-2", "", false});
    CHECK_FALSE(group.propose_members(extended, start + milliseconds(1500)));
    group.persisted(2, term_number(actions.new_entries[0]->term()));
    CHECK(group.propose_members(extended, start + milliseconds(1500)));
    CHECK_FALSE(group.propose_members(extended, start + milliseconds(1500)));
}

// Guards against a leader that never gets rid of its leadership, so that its machine can't be taken
// away: under constant load no member ever has the whole log.
TEST_CASE("a leader under load hands over as soon as a voter has the whole log", "[consensus]") {
    raft_group group = make_member(1, 1, start);
    const instant now = start + milliseconds(1500);
    group.tick(now);
    group.persisted(2, group.term());
    member_list extended = group.log().members();
    extended.push_back({disk_id(2), "node-2", "", true});
    REQUIRE(group.propose_members(extended, now));
    group.persisted(3, group.term());
    REQUIRE(group.propose("command", now) == 4);
    const auto is_asked_to_take_over = [&group] {
        const raft_actions actions = group.take_actions();
        return std::any_of(actions.immediate_messages.begin(), actions.immediate_messages.end(),
                           [](const schema::raft_message& message) {
                               return message.kind() == schema::raft_message::timeout_now &&
                                      message.to() == 2;
                           });
    };
    const auto confirm = [&group](std::uint64_t index, instant at) {
        schema::raft_message reply =
            request(schema::raft_message::append_reply, 2, 1, group.term().value());
        reply.set_index(index);
        group.receive(reply, at);
    };
    group.transfer_leadership(now);
    CHECK_FALSE(is_asked_to_take_over());
    CHECK_FALSE(group.propose("command", now));
    CHECK_FALSE(group.propose_members(extended, now));
    confirm(3, now + milliseconds(10));
    CHECK_FALSE(is_asked_to_take_over());
    confirm(4, now + milliseconds(20));
    CHECK(is_asked_to_take_over());

    const instant given_up = now + milliseconds(360);
    CHECK(group.propose("command", given_up) == 5);
    group.transfer_leadership(given_up);
    CHECK(group.propose("command", given_up) == 6);
}

// Guards against a leader that exceeds its memory limit after a partition heals: the partitioned
// member gets all heartbeats queued during the partition at once and rejects each, because it lacks
// earlier entries. The leader must not send a megabyte of its log for each rejection.
TEST_CASE("a leader resends entries only once after a burst of old rejections", "[consensus]") {
    raft_group group = make_member(1, 1, start);
    const instant elected_at = start + milliseconds(1500);
    group.tick(elected_at);
    member_list extended = group.log().members();
    extended.push_back({disk_id(2), "node-2", "", false});
    group.persisted(group.log().last_index(), group.term());
    REQUIRE(group.propose_members(extended, elected_at));
    for (int i = 0; i < 100; ++i)
        REQUIRE(group.propose(std::string(20000, 'x'), elected_at));
    group.persisted(group.log().last_index(), group.term());
    const instant healed_at = elected_at + milliseconds(5000);
    group.tick(healed_at);
    group.take_actions();
    std::size_t bytes = 0;
    for (int i = 0; i < 100; ++i) {
        schema::raft_message rejection =
            request(schema::raft_message::append_reply, 2, 1, group.term().value());
        rejection.set_reject(true);
        rejection.set_sent_at_us(to_us(elected_at + milliseconds(40 * i)));
        group.receive(rejection, healed_at);
        for (const schema::raft_message& message : group.take_actions().immediate_messages)
            bytes += message.ByteSizeLong();
    }
    CHECK(bytes < 2 * raft_settings().max_append_bytes);
}

namespace {

/// Three members whose messages are delivered immediately, except to and from a partitioned one.
class small_group {
public:
    void start_member(std::uint64_t disk, instant now) {
        members_.erase(disk);
        members_.emplace(disk, make_member(disk, 3, now));
    }
    void partition(std::uint64_t disk) { partitioned_disk_ = disk; }
    void step(instant now) {
        for (auto& member : members_)
            member.second.tick(now);
        for (int round = 0; round < 8; ++round)
            deliver(now);
    }
    std::uint64_t leader() const {
        for (const auto& member : members_) {
            if (member.second.leads() && member.first != partitioned_disk_)
                return member.first;
        }
        return 0;
    }

private:
    void deliver(instant now) {
        std::vector<schema::raft_message> sent;
        for (auto& member : members_) {
            const raft_actions actions = member.second.take_actions();
            for (const log_entry_ptr& entry : actions.committed_entries)
                member.second.entries_applied(entry->index());
            sent.insert(sent.end(), actions.immediate_messages.begin(),
                        actions.immediate_messages.end());
            sent.insert(sent.end(), actions.messages_after_sync.begin(),
                        actions.messages_after_sync.end());
            if (!actions.new_entries.empty())
                member.second.persisted(member.second.log().last_index(), member.second.term());
        }
        for (const schema::raft_message& message : sent) {
            auto receiver = members_.find(message.to());
            const bool lost =
                message.from() == partitioned_disk_ || message.to() == partitioned_disk_;
            if (receiver != members_.end() && !lost)
                receiver->second.receive(message, now);
        }
    }

    std::map<std::uint64_t, raft_group> members_;
    std::uint64_t partitioned_disk_ = 0;
};

} // namespace

// Guards against another half a second without service after all VMs lost power: the members are
// back within 100 ms of each other, but each waits for a leader that no longer exists.
TEST_CASE("members that have all just started elect a leader immediately", "[consensus]") {
    small_group group;
    group.start_member(1, start);
    group.start_member(2, start + milliseconds(30));
    instant now = start + milliseconds(30);
    for (; now < start + milliseconds(100); now += milliseconds(25))
        group.step(now);
    // Two of three are a quorum, but the third may be a leader that they can't reach.
    CHECK(group.leader() == 0);
    group.start_member(3, now);
    const instant last_start = now;
    while (group.leader() == 0 && now < last_start + milliseconds(700))
        group.step(now += milliseconds(25));
    CHECK(now - last_start <= milliseconds(125));
}

// Guards against elections that take an election timeout on busy VMs: the replies of all voters
// don't arrive within one round.
TEST_CASE("pre-votes of all restarted members may arrive in several rounds", "[consensus]") {
    raft_group group = make_member(3, 3, start);
    const auto reply = [&group](std::uint64_t from, instant at) {
        schema::raft_message message = request(schema::raft_message::pre_vote_reply, from, 3, 2);
        message.set_restart(true);
        group.receive(message, at);
    };
    group.tick(start + milliseconds(25));
    reply(1, start + milliseconds(40));
    group.tick(start + milliseconds(75));
    reply(2, start + milliseconds(90));
    const raft_actions actions = group.take_actions();
    CHECK(std::any_of(actions.messages_after_sync.begin(), actions.messages_after_sync.end(),
                      [](const auto& sent) { return sent.kind() == schema::raft_message::vote; }));
}

// Guards against stale reads from a partitioned leader with a valid lease: the other two members
// restart, elect a leader and acknowledge a change that the partitioned one's readers don't see.
TEST_CASE("two restarted members elect no leader while a third may hold a lease", "[consensus]") {
    small_group group;
    for (const std::uint64_t disk : {1, 2, 3})
        group.start_member(disk, start);
    instant now = start;
    while (group.leader() == 0)
        group.step(now += milliseconds(25));
    const std::uint64_t old_leader = group.leader();
    group.partition(old_leader);
    for (const std::uint64_t disk : {1, 2, 3}) {
        if (disk != old_leader)
            group.start_member(disk, now);
    }
    const instant restarted_at = now;
    while (now < restarted_at + milliseconds(675)) {
        group.step(now += milliseconds(25));
        CHECK(group.leader() == 0);
    }
}

// Guards against a leader that sends the log of a whole term, about a thousand entries, to a member
// that lacks only the last few: after a power loss, that blocked a group for 3.5 s.
TEST_CASE("a restarted member that lacks the last entries gets only these", "[consensus]") {
    member_list list;
    for (std::uint64_t i = 1; i <= 3; ++i)
        list.push_back({disk_id(i), "node-" + std::to_string(i), "", true});
    raft_log log(log_base{1, term_number(1), list});
    constexpr std::uint64_t last_index = 1000;
    for (std::uint64_t index = 2; index <= last_index; ++index) {
        std::shared_ptr<schema::log_entry> entry = std::make_shared<schema::log_entry>();
        entry->set_index(index);
        entry->set_term(2);
        log.append(entry);
    }
    raft_group group(group_id(0), disk_id(1), raft_settings(),
                     vote_state{term_number(2), disk_id()}, std::move(log), 1, start);
    schema::raft_message append = request(schema::raft_message::append, 2, 1, 3);
    append.set_index(last_index + 3);
    append.set_index_term(2);
    group.receive(append, start + milliseconds(10));
    raft_actions actions = group.take_actions();
    REQUIRE(actions.messages_after_sync.size() == 1);
    CHECK(actions.messages_after_sync[0].reject());
    CHECK(actions.messages_after_sync[0].index() == last_index);
    // If the entry there has another term, all entries of that term may differ.
    append.set_index(last_index);
    append.set_index_term(3);
    group.receive(append, start + milliseconds(20));
    actions = group.take_actions();
    REQUIRE(actions.messages_after_sync.size() == 1);
    CHECK(actions.messages_after_sync[0].reject());
    CHECK(actions.messages_after_sync[0].index() == 1);
}

// Guards against reads that lack what the next leader has accepted: it is elected without waiting
// for the lease of the one that asked it to take over.
TEST_CASE("a leader that is cut off while it hands over serves no reads", "[consensus]") {
    std::map<std::uint64_t, raft_group> members;
    for (std::uint64_t disk = 1; disk <= 3; ++disk)
        members.emplace(disk, make_member(disk, 3, start));
    std::uint64_t cut_off = 0;
    const auto exchange_messages = [&members, &cut_off](instant now) {
        std::vector<schema::raft_message> sent;
        for (std::pair<const std::uint64_t, raft_group>& member : members) {
            raft_actions actions = member.second.take_actions();
            for (const log_entry_ptr& entry : actions.committed_entries)
                member.second.entries_applied(entry->index());
            for (const log_entry_ptr& entry : actions.new_entries)
                member.second.persisted(entry->index(), term_number(entry->term()));
            sent.insert(sent.end(), actions.immediate_messages.begin(),
                        actions.immediate_messages.end());
            sent.insert(sent.end(), actions.messages_after_sync.begin(),
                        actions.messages_after_sync.end());
        }
        for (const schema::raft_message& message : sent) {
            const bool lost = (message.from() == cut_off || message.to() == cut_off) &&
                              message.kind() != schema::raft_message::timeout_now;
            if (!lost)
                members.at(message.to()).receive(message, now);
        }
    };
    const auto find_reader = [&members](instant now, std::uint64_t other_than) {
        for (const std::pair<const std::uint64_t, raft_group>& member : members) {
            if (member.first != other_than && member.second.may_read(now))
                return member.first;
        }
        return std::uint64_t(0);
    };
    instant now = start;
    const auto pass_time = [&members, &exchange_messages, &now] {
        constexpr milliseconds step(10);
        constexpr int exchanges = 12;
        now += step;
        for (std::pair<const std::uint64_t, raft_group>& member : members)
            member.second.tick(now);
        for (int i = 0; i < exchanges; ++i)
            exchange_messages(now);
    };
    while (find_reader(now, 0) == 0 && now < start + std::chrono::seconds(10))
        pass_time();
    const std::uint64_t old_leader = find_reader(now, 0);
    REQUIRE(old_leader != 0);
    cut_off = old_leader;
    members.at(old_leader).transfer_leadership(now);
    bool was_replaced = false;
    for (int i = 0; i < 100; ++i) {
        pass_time();
        const bool has_successor = find_reader(now, old_leader) != 0;
        was_replaced = was_replaced || has_successor;
        INFO("step " << i);
        CHECK_FALSE((has_successor && members.at(old_leader).may_read(now)));
    }
    CHECK(was_replaced);
}
