// Endpoints that a keeper finds on its disk after the loss of all processes.

#include "cassia/keeper/endpoint_file.h"

#include <catch2/catch.hpp>

#include <set>

using namespace cassia;
using namespace cassia::keeper;

namespace {

const instant start(std::chrono::seconds(100));

schema::endpoint_record endpoint(const std::string& id, std::uint64_t sequence,
                                 bool leaving = false) {
    schema::endpoint_record record;
    record.set_id(id);
    record.set_incarnation(7);
    record.set_address("10.0.0.1:" + id);
    record.set_service("model");
    record.set_sequence(sequence);
    record.set_leaving(leaving);
    return record;
}

std::set<std::string> serving(const membership::endpoint_directory& known, instant now) {
    std::set<std::string> ids;
    for (const membership::endpoint_state* one : known.serving(now))
        ids.insert(one->record.id());
    return ids;
}

} // namespace

TEST_CASE("endpoints known before the loss of all processes serve at once", "[keeper]") {
    membership::endpoint_directory before({});
    before.merge_announcement(endpoint("1", 5), start);
    before.merge_announcement(endpoint("2", 5), start);
    before.merge_announcement(endpoint("3", 5, true), start);
    const std::string content = encode_endpoints(before, start);
    membership::endpoint_directory after({});
    CHECK(decode_endpoints(after, content, start) == 3);
    CHECK(serving(after, start) == std::set<std::string>{"1", "2"});
    SECTION("and not for long, if they are heard no more") {
        after.merge_announcement(endpoint("1", 6), start + milliseconds(900));
        CHECK(serving(after, start + milliseconds(2100)) == std::set<std::string>{"1"});
    }
    SECTION("and not once they leave") {
        after.merge_announcement(endpoint("2", 6, true), start + milliseconds(100));
        CHECK(serving(after, start + milliseconds(200)) == std::set<std::string>{"1"});
    }
    SECTION("an announcement from before the loss brings none back") {
        after.merge_announcement(endpoint("3", 4), start + milliseconds(100));
        CHECK(serving(after, start + milliseconds(200)) == std::set<std::string>{"1", "2"});
    }
    SECTION("another process at the address of one ends it") {
        schema::endpoint_record other = endpoint("9", 1);
        other.set_address("10.0.0.1:1");
        other.set_incarnation(8);
        after.merge_announcement(other, start + milliseconds(100));
        CHECK(serving(after, start + milliseconds(200)) == std::set<std::string>{"2", "9"});
    }
}

TEST_CASE("a file of endpoints that is damaged restores none", "[keeper]") {
    membership::endpoint_directory after({});
    CHECK(decode_endpoints(after, "\xff\xff", start) == 0);
    CHECK(serving(after, start).empty());
}
