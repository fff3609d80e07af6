// How the leader of a work group deals with the holders of its items.

#include "cassia/keeper/work_leader.h"
#include "cassia/schema/messages.pb.h"

#include <catch2/catch.hpp>

#include <map>
#include <string>
#include <vector>

using namespace cassia;
using namespace cassia::keeper;

namespace {

const instant start = instant(std::chrono::seconds(1000));
constexpr std::uint64_t command_time = 1000;

/// A work group with a job of two items, and its leader.
class work_group_fixture {
public:
    work_group_fixture()
        : leader(state, milliseconds(5000),
                 {[this](const schema::work_command& command,
                         const work_leader_hooks::reply_callback& reply) {
                      schema::keeper_reply response;
                      *response.mutable_work() = apply(command);
                      reply(response);
                  },
                  [](const storage::position&) -> storage::result<std::string> {
                      return std::string();
                  }}) {
        schema::work_command begin;
        begin.mutable_begin()->set_job("job");
        begin.mutable_begin()->set_team("team");
        begin.mutable_begin()->set_total(2);
        begin.mutable_begin()->set_at(command_time);
        apply(begin);
        schema::work_command items;
        items.mutable_items()->set_job("job");
        for (const char* id : {"a", "b"}) {
            schema::item_body* item = items.mutable_items()->add_items();
            item->set_custom_id(id);
            item->set_service("model");
            item->set_repeatable(true);
        }
        apply(items);
        schema::work_command commit;
        commit.mutable_commit()->set_job("job");
        commit.mutable_commit()->set_at(command_time);
        apply(commit);
        leader.set_leading(true, start);
    }
    void lease(const std::string& holder, std::uint32_t ordinal) {
        schema::work_command command;
        command.mutable_lease()->set_job("job");
        command.mutable_lease()->set_holder(holder);
        command.mutable_lease()->add_ordinals(ordinal);
        apply(command);
    }
    void release(const std::string& holder) {
        schema::work_command command;
        command.mutable_lost()->set_holder(holder);
        command.mutable_lost()->set_at(command_time);
        apply(command);
    }
    schema::stale_items report_held(const std::string& holder, std::uint32_t ordinal,
                                    std::uint32_t attempt) {
        schema::held_items held;
        held.set_holder(holder);
        schema::held_job* job = held.add_jobs();
        job->set_job("job");
        job->add_ordinals(ordinal);
        if (attempt > 0)
            job->add_attempts(attempt);
        return leader.reconcile(held, start);
    }

    state::work_state state;
    work_leader leader;

private:
    schema::work_reply apply(const schema::work_command& command) {
        return state.apply(command, storage::position{1, ++position_});
    }

    std::uint64_t position_ = 0;
};

} // namespace

// Guards against items that run after their job's cancellation was confirmed: a gateway that was
// unresponsive for a while lost its lease, a second gateway got the item, and only the second was
// told that the job ended. The item reached an engine five seconds after the confirmation.
TEST_CASE("a holder is told which of its items are no longer leased to it", "[work_leader]") {
    work_group_fixture group;
    group.lease("g1/1", 0);
    CHECK(group.report_held("g1/1", 0, 1).jobs_size() == 0);
    group.release("g1/1");
    group.lease("g2/1", 0);
    const schema::stale_items stale = group.report_held("g1/1", 0, 1);
    REQUIRE(stale.jobs_size() == 1);
    CHECK(stale.jobs(0).job() == "job");
    CHECK(stale.jobs(0).ordinals(0) == 0);
    CHECK(stale.jobs(0).attempts(0) == 1);
    CHECK(group.report_held("g2/1", 0, 2).jobs_size() == 0);
}

// Guards against an item that runs on two gateways at once, and that goes on running after its job
// ended: a restarted gateway asked for items before its first heartbeat arrived, and the leader
// presumed that this holder, unknown to it, had been unresponsive since the leader's term began.
TEST_CASE("a lease request shows that its holder is alive", "[work_leader]") {
    work_group_fixture group;
    const instant later = start + milliseconds(20000);
    schema::lease_request request;
    request.set_holder("g1/2");
    request.add_wants()->set_service("model");
    request.mutable_wants(0)->set_limit(1);
    group.leader.lease(
        request, [](const schema::keeper_reply&) {}, later);
    REQUIRE(group.state.leases_of("g1/2").size() == 1);
    group.leader.tick(later + milliseconds(25), wall_time());
    CHECK(group.state.leases_of("g1/2").size() == 1);
    group.leader.tick(later + milliseconds(5100), wall_time());
    CHECK(group.state.leases_of("g1/2").empty());
}

// Guards against an item that waits five seconds although its gateway could run it: it was released
// and leased to the same gateway again, and the message that the first lease was lost stopped the
// second attempt.
TEST_CASE("only the attempt whose lease was lost is stale", "[work_leader]") {
    work_group_fixture group;
    group.lease("g1/1", 1);
    group.release("g1/1");
    group.lease("g1/1", 1);
    const schema::stale_items stale = group.report_held("g1/1", 1, 1);
    REQUIRE(stale.jobs_size() == 1);
    CHECK(stale.jobs(0).attempts(0) == 1);
    CHECK(group.report_held("g1/1", 1, 2).jobs_size() == 0);
    // Items reported without attempt numbers are not checked.
    CHECK(group.report_held("g3/1", 1, 0).jobs_size() == 0);
    // No lease exists for an unknown job.
    schema::held_items held;
    held.set_holder("g1/1");
    held.add_jobs()->set_job("gone");
    held.mutable_jobs(0)->add_ordinals(7);
    held.mutable_jobs(0)->add_attempts(1);
    CHECK(group.leader.reconcile(held, start).jobs_size() == 1);
}

// Guards against items that nobody leases, as no holder knows their route any more, and against
// holders that give up items of a route that they don't know yet.
TEST_CASE("items are leased without their route's name by holders of a newer table",
          "[work_leader]") {
    constexpr std::uint64_t accepted_by = 7;
    std::uint64_t position = 0;
    state::work_state state;
    std::map<storage::position, std::string> records;
    const auto apply = [&](const schema::work_command& command) {
        const storage::position at{1, ++position};
        records[at] = command.SerializeAsString();
        return state.apply(command, at);
    };
    schema::work_command submission;
    schema::job_submit* submit = submission.mutable_submit();
    submit->mutable_begin()->set_job("job");
    submit->mutable_begin()->set_team("team");
    submit->mutable_begin()->set_total(4);
    submit->mutable_begin()->set_route("removed");
    submit->mutable_begin()->set_route_prefix("/removed/");
    submit->mutable_begin()->set_routes_version(accepted_by);
    for (const char* id : {"a", "b", "c", "d"}) {
        schema::item_body* item = submit->mutable_items()->add_items();
        item->set_custom_id(id);
        item->set_service("removed");
    }
    submit->mutable_items()->set_job("job");
    apply(submission);
    state = state::work_state::load(state.save()).value();
    work_leader leader(
        state, milliseconds(5000),
        {[&](const schema::work_command& command, const work_leader_hooks::reply_callback& reply) {
             schema::keeper_reply response;
             *response.mutable_work() = apply(command);
             reply(response);
         },
         [&](const storage::position& at) -> storage::result<std::string> {
             return records.at(at);
         }});
    leader.set_leading(true, start);
    const auto lease = [&](const std::string& holder, std::uint64_t version,
                           const std::string& known) {
        schema::lease_request request;
        request.set_holder(holder);
        request.mutable_unrouted()->set_routes_version(version);
        request.mutable_unrouted()->add_known(known);
        request.mutable_unrouted()->set_limit(2);
        std::vector<std::string> items;
        leader.lease(
            request,
            [&items](const schema::keeper_reply& reply) {
                for (const schema::leased_item& one : reply.work().leased()) {
                    CHECK(one.route_prefix() == "/removed/");
                    items.push_back(one.item().custom_id());
                }
            },
            start);
        return items;
    };
    CHECK(lease("g1/1", accepted_by - 1, "other").empty());
    CHECK(lease("g1/1", accepted_by, "removed").empty());
    CHECK(lease("g1/1", accepted_by, "other") == std::vector<std::string>{"a", "b"});
    CHECK(lease("g2/1", accepted_by + 1, "other") == std::vector<std::string>{"c", "d"});
    CHECK(lease("g3/1", accepted_by + 1, "other").empty());
}
