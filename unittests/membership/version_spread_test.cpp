// Which software versions a majority of the control keepers is known to have.

#include "cassia/membership/version_spread.h"

#include <catch2/catch.hpp>

using namespace cassia;
using namespace cassia::membership;

namespace {

constexpr std::size_t members = 3;

schema::endpoint_record record_of(const std::string& version) {
    schema::endpoint_record record;
    record.set_id("i-" + version);
    record.set_address("10.0.0.1:1");
    record.set_service("llm");
    record.set_software_version(version);
    return record;
}

} // namespace

// Guards against a version in use that only a minority of the control keepers knows.
TEST_CASE("a version is confirmed once a majority has it", "[version-spread]") {
    version_spread versions;
    CHECK(versions.note(record_of("v2"), 7, ""));
    CHECK_FALSE(versions.note(record_of("v2"), 8, ""));
    CHECK(versions.confirm({}, members).empty());
    CHECK(versions.confirm({{"b", 6}, {"c", 0}}, members).empty());
    CHECK_FALSE(versions.is_confirmed(record_of("v2")));
    const std::vector<service_version> confirmed = versions.confirm({{"b", 7}, {"c", 0}}, members);
    REQUIRE(confirmed.size() == 1);
    CHECK(confirmed.front().second == software_version("v2"));
    CHECK(versions.is_confirmed(record_of("v2")));
    CHECK_FALSE(versions.note(record_of("v2"), 9, ""));
    CHECK_FALSE(versions.waits());
}

// Guards against a wait for the reply of the keeper that reported the version itself.
TEST_CASE("a keeper that reports a version counts as having it", "[version-spread]") {
    version_spread versions;
    versions.note(record_of("v2"), 7, "b");
    CHECK(versions.confirm({{"b", 0}, {"c", 0}}, 5).empty());
    CHECK(versions.confirm({{"b", 0}, {"c", 0}}, members).size() == 1);
}

// Guards against endpoints that stay out of use where the control group has one member or none yet.
TEST_CASE("a version needs no reply in a group of one", "[version-spread]") {
    version_spread versions;
    const std::size_t size = GENERATE(0U, 1U);
    versions.note(record_of("v1"), 1, "");
    CHECK(versions.confirm({}, size).size() == 1);
}

// Guards against a version that counts as confirmed when it returns after others have forgotten it.
TEST_CASE("a version that no endpoint has is forgotten", "[version-spread]") {
    endpoint_directory directory{endpoint_directory_settings()};
    const instant start(std::chrono::seconds(100));
    directory.merge_announcement(record_of("v1"), start);
    version_spread versions;
    versions.restore(record_of("v1"));
    versions.restore(record_of("v2"));
    versions.note(record_of("v3"), 1, "");
    versions.forget_absent(directory.all());
    CHECK(versions.is_confirmed(record_of("v1")));
    CHECK_FALSE(versions.is_confirmed(record_of("v2")));
    CHECK_FALSE(versions.waits());
}
