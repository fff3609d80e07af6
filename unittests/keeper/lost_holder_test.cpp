// How soon items of a holder that failed can be leased again.

#include "cassia/keeper/work_leader.h"
#include "cassia/schema/messages.pb.h"
#include "cassia/schema/settings.pb.h"

#include <catch2/catch.hpp>

#include <optional>
#include <string>

using namespace cassia;
using namespace cassia::keeper;

namespace {

const instant start = instant(std::chrono::seconds(1000));
// An accepted item that isn't listed runs within this time wherever an endpoint has room.
constexpr milliseconds max_idle_time(5000);
constexpr milliseconds tick_interval(25);
constexpr milliseconds heartbeat_interval(1000);
const milliseconds holder_timeout(schema::keeper_settings().holder_timeout_ms());
constexpr milliseconds holder_lifetime(10000);
constexpr milliseconds max_wait(60000);

/// A work group with a job of one item, leased to a holder that sends heartbeats until it fails.
class work_group_fixture {
public:
    work_group_fixture()
        : first_leader_(state_, holder_timeout, make_hooks()),
          second_leader_(state_, holder_timeout, make_hooks()), leader_(&first_leader_) {
        schema::work_command command;
        schema::job_submit& submit = *command.mutable_submit();
        submit.mutable_begin()->set_job("job");
        submit.mutable_begin()->set_team("team");
        submit.mutable_begin()->set_total(1);
        submit.mutable_items()->set_job("job");
        schema::item_body* item = submit.mutable_items()->add_items();
        item->set_custom_id("item");
        item->set_service("model");
        item->set_repeatable(true);
        record_ = command.SerializeAsString();
        apply(command);
        first_leader_.set_leading(true, start);
        REQUIRE(lease("g1/1", start));
        for (milliseconds time(0); time <= holder_lifetime; time += heartbeat_interval) {
            // Each member of the group gets the heartbeats.
            first_leader_.mark_holder_alive("g1/1", start + time);
            second_leader_.mark_holder_alive("g1/1", start + time);
        }
    }

    /// \param leader_lost when the leader fails after the holder, if it does.
    /// \returns how long after the holder failed another one gets the item.
    milliseconds time_until_leased(std::optional<milliseconds> leader_lost) {
        for (milliseconds time(0);; time += tick_interval) {
            const instant now = start + holder_lifetime + time;
            if (leader_lost && time >= *leader_lost && leader_ == &first_leader_) {
                leader_ = &second_leader_;
                second_leader_.set_leading(true, now);
            }
            first_leader_.mark_holder_alive("g2/1", now);
            second_leader_.mark_holder_alive("g2/1", now);
            leader_->tick(now, wall_time());
            if (time >= max_wait || lease("g2/1", now))
                return time;
        }
    }

private:
    work_leader_hooks make_hooks() {
        return {
            [this](const schema::work_command& command,
                   const work_leader_hooks::reply_callback& reply) {
                schema::keeper_reply response;
                *response.mutable_work() = apply(command);
                reply(response);
            },
            [this](const storage::position&) -> storage::result<std::string> { return record_; }};
    }
    bool lease(const std::string& holder, instant now) {
        schema::lease_request request;
        request.set_holder(holder);
        request.add_wants()->set_service("model");
        request.mutable_wants(0)->set_limit(1);
        bool leased = false;
        leader_->lease(
            request,
            [&leased](const schema::keeper_reply& reply) {
                leased = reply.work().leased_size() > 0;
            },
            now);
        return leased;
    }
    schema::work_reply apply(const schema::work_command& command) {
        return state_.apply(command, storage::position{1, ++position_});
    }

    state::work_state state_;
    std::string record_;
    std::uint64_t position_ = 0;
    work_leader first_leader_;
    work_leader second_leader_;
    work_leader* leader_;
};

} // namespace

// Guards against an item that is left lying for as long as its holder may be silent.
TEST_CASE("items of a lost holder are leased again in time", "[.][lost_holder]") {
    work_group_fixture group;
    CHECK(group.time_until_leased(std::nullopt) < max_idle_time);
}

// Guards against a holder's silence that counts from zero after each change of the leader.
TEST_CASE("a new leader releases lost holders as early as the old one", "[.][lost_holder]") {
    const milliseconds leader_lost = GENERATE(milliseconds(1000), milliseconds(4000));
    CAPTURE(leader_lost.count());
    const milliseconds without_change = work_group_fixture().time_until_leased(std::nullopt);
    CHECK(work_group_fixture().time_until_leased(leader_lost) <= without_change);
}
