// Lookup of teams by key, and validation of lists of teams.

#include "cassia/teams/team_table.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <limits>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

using namespace cassia;
using namespace cassia::teams;

namespace {

team make_team(const std::string& name, const std::vector<std::string>& keys) {
    team made;
    made.id = team_id(name);
    for (const std::string& key : keys)
        made.keys.push_back(digest_of(key));
    return made;
}

errc fault_of(std::vector<team> teams) {
    const result<team_table> made = team_table::create(std::move(teams));
    REQUIRE(!made);
    INFO(made.error().text);
    // The text must begin with the team, so that an operator can find it.
    CHECK(made.error().text.find("team") == 0);
    return made.error().code;
}

std::string name_of(const team* found) {
    return found == nullptr ? "none" : found->id.str();
}

} // namespace

TEST_CASE("a team is found by each of its keys and by no other text", "[teams]") {
    const team_table table = team_table::create({make_team("a", {"k1", "k2"}),
                                                 make_team("b", {"k3"}), make_team("c", {})})
                                 .value();
    CHECK(name_of(table.find_by_key("k1")) == "a");
    CHECK(name_of(table.find_by_key("k2")) == "a");
    CHECK(name_of(table.find_by_key("k3")) == "b");
    for (const std::string& text :
         std::vector<std::string>{"", "k", "K1", "k1 ", "a", digest_of("k1").str()})
        CHECK(name_of(table.find_by_key(text)) == "none");
    CHECK(name_of(table.find(team_id("c"))) == "c");
    CHECK(name_of(table.find(team_id("d"))) == "none");
}

TEST_CASE("a list with any invalid team is refused", "[teams]") {
    SECTION("two teams with one key") {
        CHECK(fault_of({make_team("a", {"k1"}), make_team("b", {"k2", "k1"})}) ==
              errc::duplicate_key);
    }
    SECTION("two teams with one name") {
        CHECK(fault_of({make_team("a", {"k1"}), make_team("a", {"k2"})}) == errc::duplicate_team);
    }
    SECTION("an empty name") {
        CHECK(fault_of({make_team("", {"k1"})}) == errc::bad_name);
    }
    SECTION("an empty key") {
        CHECK(fault_of({make_team("a", {""})}) == errc::bad_key);
    }
    SECTION("a key instead of its digest") {
        team one = make_team("a", {});
        one.keys.emplace_back("secret");
        CHECK(fault_of({one}) == errc::bad_key);
    }
    SECTION("a negative rate") {
        team one = make_team("a", {"k1"});
        one.limit.rate.per_second = -1;
        CHECK(fault_of({one}) == errc::bad_quota);
    }
    SECTION("a burst that is not a number") {
        team one = make_team("a", {"k1"});
        one.limit.burst.value = std::numeric_limits<double>::quiet_NaN();
        CHECK(fault_of({one}) == errc::bad_quota);
    }
}

TEST_CASE("a key listed twice by one team is accepted", "[teams]") {
    CHECK(team_table::create({make_team("a", {"k1", "k1"})}).has_value());
}

TEST_CASE("an error text contains no key and no digest", "[teams]") {
    const result<team_table> made =
        team_table::create({make_team("a", {"secret"}), make_team("b", {"secret"})});
    REQUIRE(!made);
    CHECK(made.error().text.find("secret") == std::string::npos);
    CHECK(made.error().text.find(digest_of("secret").str()) == std::string::npos);
}

TEST_CASE("random lists are refused, or each key finds its team", "[teams]") {
    std::mt19937 random(7);
    for (int round = 0; round < 300; ++round) {
        std::vector<team> list;
        std::map<std::string, std::set<std::string>> owners;
        const std::size_t count = random() % 5;
        for (std::size_t i = 0; i < count; ++i) {
            std::vector<std::string> keys;
            for (std::size_t k = random() % 3; k > 0; --k)
                keys.push_back("k" + std::to_string(random() % 12));
            const std::string name = "t" + std::to_string(random() % 8);
            for (const std::string& key : keys)
                owners[key].insert(name + "/" + std::to_string(i));
            list.push_back(make_team(name, keys));
        }
        const result<team_table> made = team_table::create(list);
        const bool shared = std::any_of(owners.begin(), owners.end(),
                                        [](const auto& one) { return one.second.size() > 1; });
        if (!made) {
            const errc code = made.error().code;
            CHECK((code == errc::duplicate_team || (shared && code == errc::duplicate_key)));
            continue;
        }
        CHECK_FALSE(shared);
        for (const auto& one : owners)
            CHECK(one.second.begin()->find(name_of(made.value().find_by_key(one.first))) == 0);
    }
}
