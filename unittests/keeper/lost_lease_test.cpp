// How soon items whose lease never reached its holder can be leased again.

#include "cassia/keeper/work_leader.h"
#include "cassia/schema/messages.pb.h"

#include <catch2/catch.hpp>

#include <map>
#include <set>
#include <string>

using namespace cassia;
using namespace cassia::keeper;

namespace {

const instant start = instant(std::chrono::seconds(1000));
// An accepted item that isn't listed runs within this time wherever an endpoint has room.
constexpr milliseconds max_idle_time(5000);
constexpr milliseconds report_interval(1000);
constexpr milliseconds heartbeat_interval(1000);
constexpr milliseconds holder_patience(2500); ///< a holder accepts no later reply
constexpr std::uint32_t items = 3;

/// A work group with a job of some items, and its leader.
class work_group_fixture {
public:
    work_group_fixture()
        : leader(state, milliseconds(5000),
                 {[this](const schema::work_command& command,
                         const work_leader_hooks::reply_callback& reply) { reply(apply(command)); },
                  [this](const storage::position& at) { return read(at); }}) {
        submit_job("job");
        leader.set_leading(true, start);
    }
    void submit_job(const std::string& id) {
        schema::work_command command;
        schema::job_submit& submit = *command.mutable_submit();
        submit.mutable_begin()->set_job(id);
        submit.mutable_begin()->set_team("team");
        submit.mutable_begin()->set_total(items);
        submit.mutable_items()->set_job(id);
        for (std::uint32_t i = 0; i < items; ++i) {
            schema::item_body* item = submit.mutable_items()->add_items();
            item->set_custom_id("item-" + std::to_string(i));
            item->set_service("model");
            item->set_repeatable(true);
        }
        apply(command);
    }
    /// The log record of the latest command is damaged.
    void damage_last_record() { damaged_ = storage::position{1, position_}; }
    /// The leader takes the state from a snapshot, in which another holder has the lease.
    void restore_with_lease(const std::string& holder, std::uint64_t request,
                            std::uint32_t ordinal) {
        schema::work_command command;
        command.mutable_lease()->set_job("job");
        command.mutable_lease()->add_ordinals(ordinal);
        command.mutable_lease()->set_holder(holder);
        command.mutable_lease()->set_request(request);
        state.apply(command, {1, ++position_});
    }
    /// \returns the ordinals that the reply brings.
    std::set<std::uint32_t> lease(const std::string& holder, std::uint64_t number,
                                  std::uint32_t limit, instant now) {
        schema::lease_request request;
        request.set_holder(holder);
        request.set_number(number);
        request.add_wants()->set_service("model");
        request.mutable_wants(0)->set_limit(limit);
        now_ = now;
        std::set<std::uint32_t> ordinals;
        leader.lease(
            request,
            [&ordinals](const schema::keeper_reply& reply) {
                for (const schema::leased_item& item : reply.work().leased())
                    ordinals.insert(item.ordinal());
            },
            now);
        return ordinals;
    }
    /// A holder that has no item reports that; its latest heartbeat is as old as it may be.
    void report_nothing_held(const std::string& holder, std::uint64_t closed_requests,
                             instant now) {
        schema::held_items held;
        held.set_holder(holder);
        held.set_keeper_clock_us(to_us(now - heartbeat_interval));
        held.set_closed_requests(closed_requests);
        now_ = now;
        leader.reconcile(held, now);
    }

    state::work_state state;
    work_leader leader;

private:
    schema::keeper_reply apply(const schema::work_command& command) {
        const storage::position at{1, ++position_};
        records_[at] = command.SerializeAsString();
        schema::keeper_reply reply;
        *reply.mutable_work() = state.apply(command, at);
        if (command.has_lease())
            leader.on_lease_applied(reply, now_);
        return reply;
    }
    storage::result<std::string> read(const storage::position& at) const {
        return at == damaged_ ? std::string() : records_.at(at);
    }

    std::map<storage::position, std::string> records_;
    std::uint64_t position_ = 0;
    storage::position damaged_;
    instant now_ = start;
};

} // namespace

// Guards against an item that is left lying since the reply that granted its lease was lost.
TEST_CASE("items whose lease was lost are leased again in time", "[.][leases]") {
    work_group_fixture group;
    REQUIRE(group.lease("g1/1", 1, items, start).size() == items);
    // The reply is lost.
    const milliseconds first_report = GENERATE(milliseconds(0), milliseconds(500));
    for (milliseconds time = first_report; time < max_idle_time; time += report_interval)
        group.report_nothing_held("g1/1", time < holder_patience ? 0 : 1, start + time);
    CHECK(group.lease("g2/1", 1, items, start + max_idle_time).size() == items);
}

TEST_CASE("a lease whose reply may still arrive isn't taken back", "[.][leases]") {
    work_group_fixture group;
    REQUIRE(group.lease("g1/1", 1, 1, start).size() == 1);
    REQUIRE(group.lease("g1/1", 2, 1, start + milliseconds(100)).size() == 1);
    // The first reply was accepted, its item has ended; the second one is on its way.
    group.report_nothing_held("g1/1", 0, start + milliseconds(200));
    CHECK(group.state.leases_of("g1/1").size() == 2);
    group.report_nothing_held("g1/1", 1, start + milliseconds(300));
    CHECK(group.state.leases_of("g1/1").size() == 1);
    // A report from before the second request arrives late.
    group.report_nothing_held("g1/1", 1, start + milliseconds(2400));
    CHECK(group.state.leases_of("g1/1").size() == 1);
}

// Guards against items that never run as one that can't be read is granted together with them.
TEST_CASE("an item that can't be read holds back none of the same grant", "[.][leases]") {
    work_group_fixture group;
    group.submit_job("damaged");
    group.damage_last_record();
    CHECK(group.lease("g1/1", 1, 2 * items, start).size() == items);
}

// Guards against a lease that is taken back while its reply is in transit, as the leader knows an
// earlier one of another holder.
TEST_CASE("a lease known from a snapshot isn't mistaken for an earlier one", "[.][leases]") {
    work_group_fixture group;
    REQUIRE(group.lease("g1/1", 1, 1, start).size() == 1);
    group.report_nothing_held("g1/1", 1, start + milliseconds(100));
    REQUIRE(group.state.leases_of("g1/1").empty());
    group.restore_with_lease("g2/1", 8, 0);
    REQUIRE(group.state.leases_of("g2/1").size() == 1);
    group.report_nothing_held("g2/1", 7, start + milliseconds(200));
    CHECK(group.state.leases_of("g2/1").size() == 1);
}
