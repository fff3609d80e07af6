// Whose jobs a caller may access; the configurations are played in
// platform/test/job_owner_test.cpp.

#include "cassia/gateway/job_access.h"

#include <catch2/catch.hpp>

using namespace cassia;
using namespace cassia::gateway;

namespace {

job_caller caller_of(bool is_public, const std::string& team) {
    schema::route_table table;
    table.set_version(1);
    table.set_needs_keys(true);
    table.add_services()->set_name("model");
    schema::route& route = *table.add_routes();
    route.set_name("jobs");
    route.set_kind(schema::route::batch);
    route.set_host("shop.example");
    route.set_path_prefix("/j/");
    route.set_timeout_ms(1000);
    route.add_targets()->set_service("model");
    route.mutable_targets(0)->set_weight(1);
    route.set_needs_no_key(is_public);
    for (const char* name : {"a", "b"}) {
        schema::team& one = *table.add_teams();
        one.set_name(name);
        one.add_key_digests(teams::digest_of(name).str());
    }
    return {routes::table::compile(table).value(), team_id(team), "Shop.example"};
}

/// As programs that keep no sender store it.
schema::job_owner without_sender(const std::string& team, bool has_team) {
    schema::job_owner owner;
    owner.set_team(team);
    owner.set_has_team(has_team);
    owner.set_host("shop.example");
    return owner;
}

} // namespace

TEST_CASE("jobs of an earlier version without a sender keep their owners", "[gateway]") {
    const schema::job_owner of_team = without_sender("a", true);
    CHECK(may_access_job(caller_of(false, "a"), of_team));
    CHECK_FALSE(may_access_job(caller_of(false, "b"), of_team));
    CHECK_FALSE(may_access_job(caller_of(true, ""), of_team));
    const schema::job_owner of_host = without_sender("shop.example", false);
    CHECK(may_access_job(caller_of(true, ""), of_host));
    CHECK(may_access_job(caller_of(false, "a"), of_host));
    job_caller elsewhere = caller_of(true, "");
    elsewhere.host = "other.example";
    CHECK_FALSE(may_access_job(elsewhere, of_host));
}

TEST_CASE("a key that moved to another team leads to a job only while its sender has no team",
          "[gateway]") {
    schema::job_owner owner = without_sender("removed", true);
    owner.mutable_sender()->set_team("removed");
    owner.mutable_sender()->set_key_digest(teams::digest_of("b").str());
    CHECK(may_access_job(caller_of(false, "b"), owner));
    owner.set_team("a");
    CHECK_FALSE(may_access_job(caller_of(false, "b"), owner));
    CHECK(may_access_job(caller_of(false, "a"), owner));
}
