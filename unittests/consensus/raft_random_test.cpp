// Raft's safety under random events: whichever messages are lost, delayed or duplicated and
// whichever members restart, no term has two leaders, all members apply the same entries, and each
// read sees what was acknowledged before it.

#include "cassia/consensus/raft_group.h"
#include "cassia/schema/messages.pb.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <random>

using namespace cassia;
using namespace cassia::consensus;

namespace {

/// A member and its disk, which keeps what was synced and loses the rest in a crash.
struct test_member {
    disk_id disk;
    log_base base;
    vote_state synced_vote;
    std::vector<log_entry_ptr> synced_log; ///< entries after the base
    std::unique_ptr<raft_group> raft;
    std::vector<std::string> applied;
    std::uint64_t applied_index = 1;
    bool up = true;

    std::vector<raft_actions> unsynced; ///< written but not synced yet

    instant read_arrived{}; ///< of the read that waits for a confirmation; none if 0
    std::uint64_t acknowledged_before_read = 0;
};

class cluster {
public:
    cluster(std::size_t members, std::uint64_t seed) : random_(seed) {
        member_list list;
        for (std::size_t i = 0; i < members; ++i)
            list.push_back({disk_id(i + 1), "node-" + std::to_string(i + 1), "", true});
        for (const member& founder : list) {
            test_member& added = members_[founder.disk];
            added.disk = founder.disk;
            added.base = {1, term_number(1), list};
            added.synced_vote = {term_number(1), disk_id()};
            start(added);
        }
    }

    void step() {
        now_ += milliseconds(random_between(1, 30));
        for (std::pair<const disk_id, test_member>& member : members_) {
            if (member.second.up)
                member.second.raft->tick(now_);
        }
        random_fault();
        if (random_between(0, 2) == 0)
            propose();
        deliver_pending();
        for (std::pair<const disk_id, test_member>& member : members_)
            perform_actions(member.second);
        check_safety();
    }

    void stop_faults() {
        drop_percent_ = 0;
        partitioned_disk_ = disk_id();
        for (std::pair<const disk_id, test_member>& member : members_) {
            if (!member.second.up)
                start(member.second);
        }
    }

    std::uint64_t reads_served() const { return reads_served_; }

    std::uint64_t max_applied_index() const {
        std::uint64_t max = 0;
        for (const std::pair<const disk_id, test_member>& member : members_)
            max = std::max(max, member.second.applied_index);
        return max;
    }

    bool all_applied(std::uint64_t index) const {
        return std::all_of(members_.begin(), members_.end(), [index](const auto& member) {
            return member.second.applied_index >= index;
        });
    }

private:
    std::uint64_t random_between(std::uint64_t from, std::uint64_t to) {
        return std::uniform_int_distribution<std::uint64_t>(from, to)(random_);
    }

    void start(test_member& member) {
        raft_log log(member.base);
        for (const log_entry_ptr& entry : member.synced_log)
            log.append(entry);
        member.raft = std::make_unique<raft_group>(group_id(0), member.disk, raft_settings(),
                                                   member.synced_vote, std::move(log),
                                                   random_between(0, 1U << 30U), now_);
        member.applied.clear();
        member.applied_index = 1;
        member.unsynced.clear();
        member.read_arrived = instant();
        member.up = true;
    }

    void random_fault() {
        if (drop_percent_ == 0)
            return;
        const std::uint64_t roll = random_between(0, 400);
        test_member& victim = members_.at(disk_id(random_between(1, members_.size())));
        if (roll < 2 && victim.up)
            victim.up = false; // What wasn't synced is lost.
        else if (roll < 12 && !victim.up)
            start(victim);
        else if (roll < 14)
            partitioned_disk_ = partitioned_disk_ == victim.disk ? disk_id() : victim.disk;
    }

    void propose() {
        for (std::pair<const disk_id, test_member>& member : members_) {
            if (member.second.up && member.second.raft->leads())
                member.second.raft->propose("command-" + std::to_string(++proposals_), now_);
        }
    }

    void send(std::vector<schema::raft_message>& messages) {
        for (schema::raft_message& message : messages) {
            const bool partitioned =
                partitioned_disk_ != disk_id() && (disk_id(message.from()) == partitioned_disk_ ||
                                                   disk_id(message.to()) == partitioned_disk_);
            if (partitioned || random_between(0, 99) < drop_percent_)
                continue;
            if (drop_percent_ > 0 && random_between(0, 99) < 3)
                network_.push_back(message);
            network_.push_back(std::move(message));
        }
        messages.clear();
    }

    void deliver_pending() {
        std::size_t count = network_.size();
        while (count-- > 0) {
            if (drop_percent_ > 0 && network_.size() > 1 && random_between(0, 9) == 0)
                std::swap(network_.front(), network_[random_between(0, network_.size() - 1)]);
            const schema::raft_message message = std::move(network_.front());
            network_.pop_front();
            test_member& receiver = members_.at(disk_id(message.to()));
            if (receiver.up)
                receiver.raft->receive(message, now_);
            // A request may be served before the actions that the message caused.
            if (receiver.up)
                read(receiver);
        }
    }

    void read(test_member& member) {
        if (member.raft->may_read(now_)) {
            ++reads_served_;
            REQUIRE(member.applied_index >= acknowledged_);
        }
        if (member.read_arrived == instant()) {
            member.read_arrived = now_;
            member.acknowledged_before_read = acknowledged_;
        } else if (member.raft->may_read_since(member.read_arrived)) {
            ++reads_served_;
            REQUIRE(member.applied_index >= member.acknowledged_before_read);
            member.read_arrived = instant();
        }
    }

    void perform_actions(test_member& member) {
        if (!member.up)
            return;
        raft_actions actions = member.raft->take_actions();
        send(actions.immediate_messages);
        for (const log_entry_ptr& entry : actions.committed_entries) {
            member.applied_index = entry->index();
            member.raft->entries_applied(entry->index());
            member.applied.push_back(std::to_string(entry->term()) + ":" + entry->payload());
            if (member.raft->leads() && entry->term() == member.raft->term().value())
                acknowledged_ = std::max(acknowledged_, entry->index());
        }
        actions.committed_entries.clear();
        member.unsynced.push_back(std::move(actions));
        // Simulates a slow disk: the sync is sometimes delayed to a later step.
        if (drop_percent_ > 0 && random_between(0, 3) == 0)
            return;
        std::vector<raft_actions> batch = std::move(member.unsynced);
        member.unsynced.clear();
        for (raft_actions& written : batch)
            sync(member, written);
    }

    void sync(test_member& member, raft_actions& written) {
        if (written.vote)
            member.synced_vote = *written.vote;
        if (written.truncate_after) {
            while (member.base.index + member.synced_log.size() > *written.truncate_after)
                member.synced_log.pop_back();
        }
        for (const log_entry_ptr& entry : written.new_entries) {
            REQUIRE(entry->index() == member.base.index + member.synced_log.size() + 1);
            member.synced_log.push_back(entry);
        }
        if (!written.new_entries.empty())
            member.raft->persisted(written.new_entries.back()->index(),
                                   term_number(written.new_entries.back()->term()));
        send(written.messages_after_sync);
    }

    void check_safety() {
        for (const std::pair<const disk_id, test_member>& member : members_) {
            if (member.second.up && member.second.raft->leads()) {
                const term_number term = member.second.raft->term();
                const disk_id leader = leaders_.emplace(term, member.first).first->second;
                REQUIRE(leader == member.first);
            }
            for (std::size_t i = 0; i < member.second.applied.size(); ++i) {
                if (i < history_.size())
                    REQUIRE(history_[i] == member.second.applied[i]);
                else
                    history_.push_back(member.second.applied[i]);
            }
        }
    }

    std::mt19937_64 random_;
    std::map<disk_id, test_member> members_;
    std::deque<schema::raft_message> network_;
    std::map<term_number, disk_id> leaders_;
    std::vector<std::string> history_; ///< entries applied by any member, in order
    instant now_{std::chrono::seconds(1000)};
    disk_id partitioned_disk_;
    std::uint64_t drop_percent_ = 8;
    std::uint64_t proposals_ = 0;
    std::uint64_t acknowledged_ = 1; ///< highest index acknowledged to its proposer
    std::uint64_t reads_served_ = 0;
};

constexpr int seeds = 60;
constexpr int faulty_steps = 3000;
constexpr int faultless_steps = 1500;

} // namespace

// Guards against an acknowledged change that is lost, and against members that hold different
// states: after a crash, a lost message or an unsynced write, a later leader lacks an entry that an
// earlier one committed. Likewise against a read that is served before the entries of earlier
// leaders are applied.
TEST_CASE("members apply the same entries under faults and make progress after them",
          "[consensus]") {
    const int seed = GENERATE(range(1, seeds + 1));
    const std::size_t members = seed % 3 == 0 ? 5 : 3;
    INFO("seed " << seed << ", members " << members);
    cluster group(members, static_cast<std::uint64_t>(seed));
    for (int i = 0; i < faulty_steps; ++i)
        group.step();
    group.stop_faults();
    const std::uint64_t applied_under_faults = group.max_applied_index();
    for (int i = 0; i < faultless_steps; ++i)
        group.step();
    CHECK(group.max_applied_index() > applied_under_faults);
    CHECK(group.all_applied(applied_under_faults));
    CHECK(group.reads_served() > 0);
}
