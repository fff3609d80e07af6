// The sender of a job is kept with it, and queries return it to the gateway.

#include "cassia/schema/messages.pb.h"
#include "cassia/state/work_state.h"

#include <catch2/catch.hpp>

#include <string>

using namespace cassia;
using namespace cassia::state;

namespace {

storage::result<std::string> no_record(const storage::position&) {
    return failure(storage::error{storage::errc::missing, "no record"});
}

work_state with_job_of_public_route() {
    schema::work_command command;
    schema::job_begin* begin = command.mutable_submit()->mutable_begin();
    begin->set_job("job");
    begin->set_team("shop.example");
    begin->set_host("shop.example");
    begin->mutable_sender()->set_team("a");
    begin->mutable_sender()->set_key_digest("digest");
    begin->mutable_sender()->set_teams_known(true);
    command.mutable_submit()->mutable_items()->set_job("job");
    work_state state;
    REQUIRE(state.apply(command, storage::position()).result() == schema::work_reply::done);
    return state;
}

schema::work_reply read_as(const work_state& state, const std::string& team, bool any_owner) {
    schema::work_query query;
    query.set_kind(schema::work_query::one_job);
    query.set_job("job");
    query.set_team(team);
    query.set_any_owner(any_owner);
    return state.query(query, no_record);
}

} // namespace

TEST_CASE("the sender of a job outlasts a snapshot", "[state]") {
    const result<work_state> loaded = work_state::load(with_job_of_public_route().save());
    REQUIRE(loaded);
    const schema::job_owner owner = read_as(loaded.value(), "b", true).job().owner();
    CHECK(owner.team() == "shop.example");
    CHECK(owner.host() == "shop.example");
    CHECK_FALSE(owner.has_team());
    CHECK(owner.sender().team() == "a");
    CHECK(owner.sender().key_digest() == "digest");
    CHECK(owner.sender().teams_known());
}

TEST_CASE("a gateway that doesn't check owners itself sees the named owner's jobs only",
          "[state]") {
    const work_state state = with_job_of_public_route();
    CHECK(read_as(state, "shop.example", false).result() == schema::work_reply::done);
    CHECK(read_as(state, "b", false).result() == schema::work_reply::missing);
}
