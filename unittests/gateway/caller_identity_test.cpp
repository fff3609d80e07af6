// Tests of the identification of callers, and of the headers that endpoints get.

#include "cassia/gateway/caller_identity.h"

#include <catch2/catch.hpp>

#include <string>

using namespace cassia;
using namespace cassia::gateway;

namespace {

schema::route_table sample_table() {
    schema::route_table table;
    table.set_version(1);
    table.set_needs_keys(true);
    table.add_services()->set_name("model");
    for (const char* prefix : {"/keyed/", "/free/"}) {
        schema::route& route = *table.add_routes();
        route.set_name(prefix);
        route.set_host("shop.example");
        route.set_path_prefix(prefix);
        route.set_timeout_ms(1000);
        route.add_targets()->set_service("model");
        route.mutable_targets(0)->set_weight(1);
        route.set_needs_no_key(route.path_prefix() == "/free/");
    }
    schema::team& team = *table.add_teams();
    team.set_name("a");
    team.add_key_digests(teams::digest_of("k1").str());
    return table;
}

std::string identified_team(const schema::route_table& definition, const std::string& path,
                            const net::http_fields& fields) {
    const std::shared_ptr<const routes::table> table = routes::table::compile(definition).value();
    const caller_identity caller =
        identify_caller(*table, table->match("shop.example", path), fields, header_names());
    if (!caller.accepted)
        return "rejected";
    return caller.team == nullptr ? "anybody" : caller.team->id.str();
}

net::http_fields with_key(const std::string& key) {
    net::http_fields fields;
    fields.add("cassia-key", key);
    return fields;
}

} // namespace

TEST_CASE("requests without a known key are accepted only on routes that need no key",
          "[gateway]") {
    CHECK(identified_team(sample_table(), "/keyed/x", with_key("k1")) == "a");
    CHECK(identified_team(sample_table(), "/keyed/x", with_key("k2")) == "rejected");
    CHECK(identified_team(sample_table(), "/keyed/x", with_key("")) == "rejected");
    CHECK(identified_team(sample_table(), "/keyed/x", {}) == "rejected");
    CHECK(identified_team(sample_table(), "/free/x", with_key("k2")) == "anybody");
    CHECK(identified_team(sample_table(), "/free/x", {}) == "anybody");
}

TEST_CASE("a key is rejected once a new version of the table has removed it", "[gateway]") {
    schema::route_table table = sample_table();
    table.mutable_teams(0)->clear_key_digests();
    CHECK(identified_team(table, "/keyed/x", with_key("k1")) == "rejected");
}

TEST_CASE("a table that needs no keys accepts anybody, one that needs keys but has no teams nobody",
          "[gateway]") {
    schema::route_table table = sample_table();
    table.clear_teams();
    CHECK(identified_team(table, "/keyed/x", with_key("k1")) == "rejected");
    table.set_needs_keys(false);
    CHECK(identified_team(table, "/keyed/x", {}) == "anybody");
}

TEST_CASE("a request with two keys is rejected even if a team has both", "[gateway]") {
    net::http_fields fields = with_key("k1");
    fields.add("Cassia-Key", "k1");
    CHECK(identified_team(sample_table(), "/keyed/x", fields) == "rejected");
}

TEST_CASE("endpoints get the team set by the gateway, never a forged one and never the key",
          "[gateway]") {
    net::http_fields fields = with_key("k1");
    fields.add("CASSIA-TEAM", "forged");
    fields.add("Cassia-Team", "forged too");
    fields.add("Other", "kept");
    set_team_header(fields, header_names(), "a");
    CHECK(fields.find("Cassia-Team") == "a");
    CHECK_FALSE(fields.has("Cassia-Key"));
    CHECK(fields.find("Other") == "kept");
    CHECK(fields.all().size() == 2);
    set_team_header(fields, header_names(), "");
    CHECK_FALSE(fields.has("Cassia-Team"));
}

TEST_CASE("the short key digest in logs differs between keys and is empty without a key",
          "[gateway]") {
    CHECK(short_key_digest(with_key("k1"), header_names()).size() == 8);
    CHECK(short_key_digest(with_key("k1"), header_names()) !=
          short_key_digest(with_key("k2"), header_names()));
    CHECK(short_key_digest({}, header_names()).empty());
}
