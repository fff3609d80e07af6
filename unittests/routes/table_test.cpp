// Route matching, table validation and weighted targets.

#include "cassia/routes/table.h"

#include <catch2/catch.hpp>

#include <map>

using namespace cassia;
using namespace cassia::routes;

namespace {

schema::route& add_route(schema::route_table& table, const std::string& name,
                         const std::string& prefix, const std::string& service) {
    schema::route& route = *table.add_routes();
    route.set_name(name);
    route.set_host("shop.example");
    route.set_path_prefix(prefix);
    route.set_timeout_ms(1000);
    route.add_targets()->set_service(service);
    route.mutable_targets(0)->set_weight(1);
    return route;
}

schema::route_table sample() {
    schema::route_table table;
    table.set_version(3);
    table.add_services()->set_name("model");
    table.add_services()->set_name("search");
    add_route(table, "root", "/", "model");
    add_route(table, "deep", "/a/b/", "search");
    return table;
}

std::string name_of(const schema::route* route) {
    return route == nullptr ? "none" : route->name();
}

errc refusal(const schema::route_table& table) {
    const result<std::shared_ptr<const routes::table>> compiled = routes::table::compile(table);
    REQUIRE(!compiled);
    return compiled.error().code;
}

} // namespace

TEST_CASE("the route with the longest prefix of the path matches", "[routes]") {
    const std::shared_ptr<const table> compiled = table::compile(sample()).value();
    CHECK(name_of(compiled->match("shop.example", "/a/b/c")) == "deep");
    CHECK(name_of(compiled->match("shop.example", "/a/b/")) == "deep");
    CHECK(name_of(compiled->match("shop.example", "/a/b")) == "root");
    CHECK(name_of(compiled->match("shop.example", "/a//b/c")) == "root");
    CHECK(name_of(compiled->match("shop.example", "/a/%62/c")) == "root");
    CHECK(name_of(compiled->match("SHOP.example:8080", "/a/b/c")) == "deep");
    CHECK(name_of(compiled->match("other.example", "/a/b/c")) == "none");
}

TEST_CASE("a table with any invalid route is refused", "[routes]") {
    schema::route_table table = sample();
    SECTION("a route refers to an unknown service") {
        table.mutable_routes(0)->mutable_targets(0)->set_service("nobody");
        CHECK(refusal(table) == errc::unknown_service);
    }
    SECTION("two routes have the same host and prefix, whatever the host's case") {
        add_route(table, "again", "/a/b/", "model").set_host("Shop.Example");
        CHECK(refusal(table) == errc::duplicate_route);
    }
    SECTION("weights add up to 0") {
        table.mutable_routes(1)->mutable_targets(0)->set_weight(0);
        CHECK(refusal(table) == errc::no_weight);
    }
    SECTION("a timeout of 0") {
        table.mutable_routes(1)->set_timeout_ms(0);
        CHECK(refusal(table) == errc::no_timeout);
    }
    SECTION("a prefix without a trailing slash") {
        table.mutable_routes(1)->set_path_prefix("/a/b");
        CHECK(refusal(table) == errc::bad_prefix);
    }
}

TEST_CASE("targets are selected in proportion to their weights, never with weight 0", "[routes]") {
    schema::route_table table = sample();
    schema::route& route = *table.mutable_routes(0);
    route.mutable_targets(0)->set_weight(90);
    route.add_targets()->set_service("search");
    route.mutable_targets(1)->set_weight(10);
    route.add_targets()->set_service("idle");
    std::map<std::string, int> drawn;
    constexpr int draws = 1000;
    for (int i = 0; i < draws; ++i)
        ++drawn[choose_target(route, static_cast<double>(i) / draws)];
    CHECK(drawn["model"] == 900);
    CHECK(drawn["search"] == 100);
    CHECK(drawn.count("idle") == 0);
}
