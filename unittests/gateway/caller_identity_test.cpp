// Who may call, and what endpoints are told of it.

#include "cassia/gateway/caller_identity.h"

#include <catch2/catch.hpp>

#include <string>

using namespace cassia;
using namespace cassia::gateway;

namespace {

schema::route_table sample() {
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

std::string caller_of(const schema::route_table& source, const std::string& path,
                      const net::http_fields& fields) {
    const std::shared_ptr<const routes::table> table = routes::table::compile(source).value();
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

TEST_CASE("a key that no team has opens no route, but those that need none", "[gateway]") {
    CHECK(caller_of(sample(), "/keyed/x", with_key("k1")) == "a");
    CHECK(caller_of(sample(), "/keyed/x", with_key("k2")) == "rejected");
    CHECK(caller_of(sample(), "/keyed/x", with_key("")) == "rejected");
    CHECK(caller_of(sample(), "/keyed/x", {}) == "rejected");
    CHECK(caller_of(sample(), "/free/x", with_key("k2")) == "anybody");
    CHECK(caller_of(sample(), "/free/x", {}) == "anybody");
}

TEST_CASE("a key that a version takes away is refused by it", "[gateway]") {
    schema::route_table table = sample();
    table.mutable_teams(0)->clear_key_digests();
    CHECK(caller_of(table, "/keyed/x", with_key("k1")) == "rejected");
}

TEST_CASE("without teams anybody may call, with an empty list of teams nobody", "[gateway]") {
    schema::route_table table = sample();
    table.clear_teams();
    CHECK(caller_of(table, "/keyed/x", with_key("k1")) == "rejected");
    table.set_needs_keys(false);
    CHECK(caller_of(table, "/keyed/x", {}) == "anybody");
}

TEST_CASE("a request with two keys is of no team", "[gateway]") {
    net::http_fields fields = with_key("k1");
    fields.add("Cassia-Key", "k1");
    CHECK(caller_of(sample(), "/keyed/x", fields) == "rejected");
}

TEST_CASE("endpoints get the team's name from the gateway and the key from nobody", "[gateway]") {
    net::http_fields fields = with_key("k1");
    fields.add("CASSIA-TEAM", "forged");
    fields.add("Cassia-Team", "forged too");
    fields.add("Other", "kept");
    write_team(fields, header_names(), "a");
    CHECK(fields.find("Cassia-Team") == "a");
    CHECK_FALSE(fields.has("Cassia-Key"));
    CHECK(fields.find("Other") == "kept");
    CHECK(fields.all().size() == 2);
    write_team(fields, header_names(), "");
    CHECK_FALSE(fields.has("Cassia-Team"));
}

TEST_CASE("a log tells keys apart and doesn't tell them", "[gateway]") {
    CHECK(key_label(with_key("k1"), header_names()).size() == 8);
    CHECK(key_label(with_key("k1"), header_names()) != key_label(with_key("k2"), header_names()));
    CHECK(key_label({}, header_names()).empty());
}
