// Membership of a work group under combined trouble: standbys start, a member is retired, another
// one loses its disk, most of the members restart, and messages are lost.

#include "cassia/consensus/raft_group.h"
#include "cassia/keeper/membership_planner.h"
#include "cassia/schema/messages.pb.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

using namespace cassia;
using namespace cassia::consensus;
using namespace cassia::keeper;

namespace {

constexpr std::size_t founder_count = 5;
constexpr std::size_t standby_count = 9;
constexpr milliseconds step_length(25);
constexpr milliseconds membership_check_interval(200);
constexpr milliseconds status_interval(300);
constexpr milliseconds transfer_retry_interval(1000);

/// A keeper and its disk, which keeps what was synced and loses the rest in a crash.
struct test_keeper {
    std::string node;
    disk_id disk;
    std::unique_ptr<raft_group> raft; ///< none while it is down
    membership_planner planner{{}};
    instant starts_at{};  ///< while it is down
    bool removed = false; ///< retired and taken away

    log_base base;
    vote_state vote;
    std::vector<log_entry_ptr> log; ///< entries after the base
    std::vector<raft_actions> unsynced;
};

/// A snapshot on its way to a member.
struct snapshot_transfer {
    disk_id from;
    term_number term;
    log_base base;
    instant next_attempt{};
};

class test_fleet {
public:
    explicit test_fleet(std::uint64_t seed) : random_(seed) {
        for (std::size_t i = 0; i < founder_count; ++i)
            founders_.push_back({disk_id(i + 1), name_of(i), "", true});
        for (const member& founder : founders_) {
            test_keeper& keeper = add_keeper(founder.node, founder.disk);
            keeper.base = {1, term_number(1), founders_};
            keeper.vote = {term_number(1), disk_id()};
        }
    }

    void run(milliseconds duration) {
        const instant end = now_ + duration;
        while (now_ < end)
            step();
    }

    void add_standbys() {
        for (std::size_t i = 0; i < standby_count; ++i)
            add_keeper(name_of(founder_count + i), next_disk());
    }

    void retire(std::size_t founder) {
        retiring_ = founders_[founder].disk;
        retiring_node_ = founders_[founder].node;
    }

    void wipe(std::size_t founder) {
        test_keeper& keeper = keepers_[founder];
        crash(keeper);
        keeper.disk = next_disk();
        keeper.base = {};
        keeper.vote = {};
        keeper.log.clear();
    }

    void restart(std::size_t founder) {
        if (!keepers_[founder].removed)
            crash(keepers_[founder]);
    }

    void set_loss_percent(std::uint64_t percent) { loss_percent_ = percent; }

    std::uint64_t random_between(std::uint64_t from, std::uint64_t to) {
        return std::uniform_int_distribution<std::uint64_t>(from, to)(random_);
    }

    /// Number of entries that any member has applied.
    std::size_t applied_count() const { return history_.size(); }

    const test_keeper* leader() const {
        const test_keeper* latest = nullptr;
        for (const test_keeper& keeper : keepers_) {
            if (leads(keeper) && (latest == nullptr || keeper.raft->term() > latest->raft->term()))
                latest = &keeper;
        }
        return latest;
    }

    /// Whether the group has as many voters as it was founded with, each one running and holding
    /// everything committed, and no other member.
    bool is_restored() const {
        const test_keeper* leading = leader();
        if (leading == nullptr || leading->raft->log().members().size() != founder_count)
            return false;
        const member_list& members = leading->raft->log().members();
        return std::all_of(members.begin(), members.end(), [this, leading](const member& m) {
            const bool caught_up = m.disk == leading->disk || leading->raft->caught_up(m.disk);
            return m.voter && m.node != retiring_node_ && caught_up;
        });
    }

    bool is_removed(std::size_t founder) const { return keepers_[founder].removed; }

    /// Voters of the leader's group that aren't to be taken away.
    std::size_t lasting_voters() const {
        const test_keeper* leading = leader();
        if (leading == nullptr)
            return 0;
        const member_list& members = leading->raft->log().members();
        return static_cast<std::size_t>(
            std::count_if(members.begin(), members.end(),
                          [this](const member& m) { return m.voter && m.node != retiring_node_; }));
    }

    std::string describe() const {
        const test_keeper* leading = leader();
        std::string text = leading == nullptr ? "no leader" : "leader " + leading->node + ":";
        for (const member& m : leading == nullptr ? member_list() : leading->raft->log().members())
            text += " " + m.node + "/" + std::to_string(m.disk.value()) + (m.voter ? "" : "+");
        return text;
    }

    instant now() const { return now_; }

private:
    static bool leads(const test_keeper& keeper) { return keeper.raft && keeper.raft->leads(); }
    static std::string name_of(std::size_t number) {
        return std::string("k") + static_cast<char>('a' + number);
    }
    disk_id next_disk() { return disk_id(++last_disk_); }

    test_keeper& add_keeper(const std::string& node, disk_id disk) {
        test_keeper& keeper = keepers_.emplace_back();
        keeper.node = node;
        keeper.disk = disk;
        keeper.planner.set_target_size(founder_count);
        return keeper;
    }

    void crash(test_keeper& keeper) {
        keeper.raft.reset();
        keeper.unsynced.clear();
        keeper.starts_at = now_ + milliseconds(random_between(200, 2500));
    }

    void start(test_keeper& keeper) {
        raft_log log(keeper.base);
        for (const log_entry_ptr& entry : keeper.log)
            log.append(entry);
        keeper.raft =
            std::make_unique<raft_group>(group_id(1), keeper.disk, raft_settings(), keeper.vote,
                                         std::move(log), random_between(0, 1U << 30U), now_);
    }

    void step() {
        now_ += step_length;
        for (test_keeper& keeper : keepers_) {
            if (!keeper.raft && !keeper.removed && now_ >= keeper.starts_at)
                start(keeper);
            if (keeper.raft)
                keeper.raft->tick(now_);
        }
        if (now_ - last_status_ >= status_interval)
            exchange_statuses();
        if (now_ - last_check_ >= membership_check_interval)
            check_memberships();
        propose();
        for (int round = 0; round < 3; ++round) {
            deliver();
            for (test_keeper& keeper : keepers_)
                perform_actions(keeper);
        }
        continue_transfers();
        check_leaders();
        remove_retired_keeper();
    }

    void exchange_statuses() {
        last_status_ = now_;
        for (const test_keeper& from : keepers_) {
            for (test_keeper& to : keepers_) {
                if (from.raft && to.raft && !is_lost())
                    to.planner.update({from.node, from.disk, "", false, now_});
            }
        }
    }

    void check_memberships() {
        last_check_ = now_;
        for (test_keeper& keeper : keepers_) {
            if (!leads(keeper))
                continue;
            if (retiring_ != disk_id())
                keeper.planner.set_retiring({retiring_}, {retiring_node_});
            if (keeper.planner.is_retiring(keeper.disk, keeper.node))
                keeper.raft->transfer_leadership(now_);
            if (std::optional<member_list> members = keeper.planner.next_change(*keeper.raft, now_))
                keeper.raft->propose_members(*members, now_);
        }
    }

    void propose() {
        for (test_keeper& keeper : keepers_) {
            if (leads(keeper))
                keeper.raft->propose("command " + std::to_string(++proposals_), now_);
        }
    }

    bool is_lost() { return random_between(0, 99) < loss_percent_; }

    void send(std::vector<schema::raft_message>& messages) {
        for (schema::raft_message& message : messages) {
            if (is_lost())
                continue;
            const std::uint64_t longest_delay =
                loss_percent_ > 0 && random_between(0, 9) == 0 ? 300 : 5;
            in_transit_.emplace(now_ + milliseconds(random_between(0, longest_delay)),
                                std::move(message));
        }
        messages.clear();
    }

    test_keeper* find(disk_id disk) {
        auto found = std::find_if(keepers_.begin(), keepers_.end(), [disk](const test_keeper& k) {
            return k.raft && k.disk == disk;
        });
        return found == keepers_.end() ? nullptr : &*found;
    }

    void deliver() {
        while (!in_transit_.empty() && in_transit_.begin()->first <= now_) {
            const schema::raft_message message = std::move(in_transit_.begin()->second);
            in_transit_.erase(in_transit_.begin());
            if (test_keeper* receiver = find(disk_id(message.to())))
                receiver->raft->receive(message, now_);
        }
    }

    void perform_actions(test_keeper& keeper) {
        if (!keeper.raft)
            return;
        raft_actions actions = keeper.raft->take_actions();
        send(actions.immediate_messages);
        for (const log_entry_ptr& entry : actions.committed_entries) {
            record_applied(*entry);
            keeper.raft->entries_applied(entry->index());
        }
        for (const disk_id member : actions.members_needing_snapshot) {
            const std::uint64_t index = keeper.raft->applied_index();
            transfers_[member] = {
                keeper.disk,
                keeper.raft->term(),
                {index, keeper.raft->log().term_at(index), keeper.raft->log().members_at(index)},
                now_ + milliseconds(random_between(50, 500))};
        }
        keeper.unsynced.push_back(std::move(actions));
        if (loss_percent_ > 0 && random_between(0, 3) == 0)
            return; // A slow disk.
        for (raft_actions& written : std::exchange(keeper.unsynced, {}))
            sync(keeper, written);
    }

    void sync(test_keeper& keeper, raft_actions& written) {
        if (written.vote)
            keeper.vote = *written.vote;
        if (written.truncate_after) {
            while (keeper.base.index + keeper.log.size() > *written.truncate_after)
                keeper.log.pop_back();
        }
        for (const log_entry_ptr& entry : written.new_entries) {
            REQUIRE(entry->index() == keeper.base.index + keeper.log.size() + 1);
            keeper.log.push_back(entry);
        }
        if (!written.new_entries.empty())
            keeper.raft->persisted(written.new_entries.back()->index(),
                                   term_number(written.new_entries.back()->term()));
        send(written.messages_after_sync);
    }

    void continue_transfers() {
        for (auto transfer = transfers_.begin(); transfer != transfers_.end();) {
            test_keeper* sender = find(transfer->second.from);
            if (sender == nullptr || !sender->raft->leads() ||
                sender->raft->term() != transfer->second.term) {
                transfer = transfers_.erase(transfer);
                continue;
            }
            test_keeper* receiver = find(transfer->first);
            if (now_ < transfer->second.next_attempt || receiver == nullptr || is_lost()) {
                ++transfer;
                continue;
            }
            const std::uint64_t index = transfer->second.base.index;
            if (index > receiver->raft->applied_index())
                install(*receiver, transfer->second.base);
            transfer->second.next_attempt = now_ + transfer_retry_interval;
            if (is_lost()) // The acknowledgement.
                continue;
            sender->raft->snapshot_delivered(transfer->first, index, now_);
            transfer = transfers_.erase(transfer);
        }
    }

    void install(test_keeper& keeper, const log_base& base) {
        for (raft_actions& written : std::exchange(keeper.unsynced, {}))
            sync(keeper, written);
        keeper.raft->snapshot_installed(base, now_);
        keeper.base = base;
        keeper.log.clear();
        keeper.vote = keeper.raft->vote();
    }

    void record_applied(const schema::log_entry& entry) {
        const std::string applied = std::to_string(entry.term()) + ":" + entry.payload();
        REQUIRE(history_.emplace(entry.index(), applied).first->second == applied);
    }

    void check_leaders() {
        for (const test_keeper& keeper : keepers_) {
            if (leads(keeper))
                REQUIRE(leaders_.emplace(keeper.raft->term(), keeper.disk).first->second ==
                        keeper.disk);
        }
    }

    // Its machine is taken away as soon as it is no member, and the leader knows that for certain.
    void remove_retired_keeper() {
        auto retired = std::find_if(keepers_.begin(), keepers_.end(), [this](const test_keeper& k) {
            return k.raft && k.node == retiring_node_;
        });
        const test_keeper* leading = leader();
        if (retired == keepers_.end() || leading == nullptr || leading == &*retired)
            return;
        const member_list counted = counted_members(*leading->raft);
        if (std::any_of(counted.begin(), counted.end(),
                        [this](const member& m) { return m.node == retiring_node_; }))
            return;
        retired->raft.reset();
        retired->removed = true;
    }

    std::mt19937_64 random_;
    member_list founders_;
    std::vector<test_keeper> keepers_;
    std::multimap<instant, schema::raft_message> in_transit_; ///< by arrival
    std::map<disk_id, snapshot_transfer> transfers_;          ///< by receiver
    std::map<term_number, disk_id> leaders_;
    std::map<std::uint64_t, std::string> history_; ///< entries applied by any member, by index
    instant now_{std::chrono::seconds(1000)};
    instant last_status_{};
    instant last_check_{};
    disk_id retiring_;
    std::string retiring_node_;
    std::uint64_t last_disk_ = 100;
    std::uint64_t loss_percent_ = 0;
    std::uint64_t proposals_ = 0;
};

constexpr std::uint64_t seeds = 300;
constexpr milliseconds longest_recovery(6000);

/// Elects a leader and adds standbys, from where on messages may be lost.
void start_with_standbys(test_fleet& fleet, std::uint64_t seed) {
    fleet.run(milliseconds(2500));
    REQUIRE(fleet.leader() != nullptr);
    fleet.set_loss_percent(seed % 4 * 5);
    fleet.add_standbys();
    fleet.run(milliseconds(fleet.random_between(0, 2000)));
}

} // namespace

// Guards against a group that makes no progress, loses accepted work or stays short of a voter
// after its members were replaced and restarted at the same time.
TEST_CASE("a group recovers its leader and its voters after combined trouble", "[keeper]") {
    for (std::uint64_t seed = 0; seed < seeds; ++seed) {
        CAPTURE(seed);
        test_fleet fleet(seed);
        start_with_standbys(fleet, seed);
        const std::uint64_t retired = fleet.random_between(0, founder_count - 1);
        const std::uint64_t wiped =
            (retired + fleet.random_between(1, founder_count - 1)) % founder_count;
        fleet.retire(retired);
        fleet.run(milliseconds(fleet.random_between(0, 1000)));
        fleet.wipe(wiped);
        fleet.run(milliseconds(fleet.random_between(0, 2000)));
        for (std::size_t i = 0; i < founder_count / 2 + 1; ++i)
            fleet.restart((wiped + 1 + i) % founder_count);
        fleet.run(milliseconds(3000));
        fleet.set_loss_percent(0);
        const std::size_t applied = fleet.applied_count();
        const instant ended = fleet.now();
        while (!fleet.is_restored() && fleet.now() - ended < longest_recovery)
            fleet.run(milliseconds(100));
        INFO(fleet.describe());
        CHECK(fleet.is_restored());
        fleet.run(milliseconds(500));
        CHECK(fleet.applied_count() > applied);
    }
}

// Guards against a member that loses its disk while it is being retired and counts again: it is
// taken away as one that is no member, and the next lost disk is one too many.
TEST_CASE("a retiring member that loses its disk is replaced by another one", "[keeper]") {
    constexpr milliseconds longest_retirement(10000);
    for (std::uint64_t seed = 0; seed < seeds; ++seed) {
        CAPTURE(seed);
        test_fleet fleet(seed);
        start_with_standbys(fleet, seed);
        const std::uint64_t retired = fleet.random_between(0, founder_count - 1);
        fleet.retire(retired);
        fleet.run(milliseconds(fleet.random_between(0, 600)));
        fleet.wipe(retired);
        if (seed % 3 == 0) {
            fleet.run(milliseconds(fleet.random_between(200, 1500)));
            if (!fleet.is_removed(retired))
                fleet.wipe(retired);
        }
        const instant began = fleet.now();
        while (!fleet.is_removed(retired) && fleet.now() - began < longest_retirement)
            fleet.run(milliseconds(25));
        INFO(fleet.describe());
        REQUIRE(fleet.is_removed(retired));
        CHECK(fleet.lasting_voters() == founder_count);
        for (std::uint64_t i = 1; i <= founder_count / 2; ++i)
            fleet.wipe((retired + i) % founder_count);
        fleet.set_loss_percent(0);
        const std::size_t applied = fleet.applied_count();
        const instant ended = fleet.now();
        while (!fleet.is_restored() && fleet.now() - ended < longest_recovery)
            fleet.run(milliseconds(100));
        CHECK(fleet.is_restored());
        fleet.run(milliseconds(500));
        CHECK(fleet.applied_count() > applied);
    }
}
