// The endpoint directory as a keeper reads it from disk after a restart of the whole cluster.

#include "cassia/keeper/endpoint_file.h"

#include <catch2/catch.hpp>

#include <set>

using namespace cassia;
using namespace cassia::keeper;

namespace {

const instant start(std::chrono::seconds(100));

schema::endpoint_record make_endpoint(const std::string& id, std::uint64_t sequence,
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

std::set<std::string> serving_ids(const membership::endpoint_directory& directory, instant now) {
    std::set<std::string> ids;
    for (const membership::endpoint_state* endpoint : directory.serving(now))
        ids.insert(endpoint->record.id());
    return ids;
}

} // namespace

TEST_CASE("endpoints saved before a restart of the whole cluster serve at once", "[keeper]") {
    membership::endpoint_directory before({});
    before.merge_announcement(make_endpoint("1", 5), start);
    before.merge_announcement(make_endpoint("2", 5), start);
    before.merge_announcement(make_endpoint("3", 5, true), start);
    const std::string content = encode_endpoints(before, start);
    membership::endpoint_directory after({});
    CHECK(decode_endpoints(after, content, start) == 3);
    CHECK(serving_ids(after, start) == std::set<std::string>{"1", "2"});
    SECTION("until no announcement has arrived for the endpoint timeout") {
        after.merge_announcement(make_endpoint("1", 6), start + milliseconds(900));
        CHECK(serving_ids(after, start + milliseconds(2100)) == std::set<std::string>{"1"});
    }
    SECTION("until they announce that they leave") {
        after.merge_announcement(make_endpoint("2", 6, true), start + milliseconds(100));
        CHECK(serving_ids(after, start + milliseconds(200)) == std::set<std::string>{"1"});
    }
    SECTION("a delayed announcement doesn't revive a leaving endpoint") {
        after.merge_announcement(make_endpoint("3", 4), start + milliseconds(100));
        CHECK(serving_ids(after, start + milliseconds(200)) == std::set<std::string>{"1", "2"});
    }
    SECTION("a new process at the same address replaces the old one") {
        schema::endpoint_record successor = make_endpoint("9", 1);
        successor.set_address("10.0.0.1:1");
        successor.set_incarnation(8);
        after.merge_announcement(successor, start + milliseconds(100));
        CHECK(serving_ids(after, start + milliseconds(200)) == std::set<std::string>{"2", "9"});
    }
}

TEST_CASE("a damaged endpoint file restores no endpoints", "[keeper]") {
    membership::endpoint_directory after({});
    CHECK(decode_endpoints(after, "\xff\xff", start) == 0);
    CHECK(serving_ids(after, start).empty());
}

// Guards against a list that is lost as a whole, or restores an odd endpoint, for one record that
// was believed by earlier software or is damaged.
TEST_CASE("an odd record in the endpoint file restores the others", "[keeper][odd-record]") {
    schema::endpoint_record odd = make_endpoint("4", 5);
    SECTION("out of bounds") {
        odd.set_address("10.0.0.1:0");
    }
    SECTION("no UTF-8") {
        odd.set_id("\xff\xfe");
    }
    schema::endpoint_list list;
    *list.add_endpoints() = make_endpoint("1", 5);
    *list.add_endpoints() = odd;
    *list.add_endpoints() = make_endpoint("2", 5);
    std::string content = list.SerializeAsString();
    SECTION("damaged within") {
        // The length of its id exceeds the record.
        const std::string id("\x0a\x01\x34", 3);
        REQUIRE(content.find(id) != std::string::npos);
        content[content.find(id) + 1] = '\x7f';
    }
    membership::endpoint_directory after({});
    CHECK(decode_endpoints(after, content, start) == 2);
    CHECK(serving_ids(after, start) == std::set<std::string>{"1", "2"});
}

// Guards against a version that counts as known to a majority of the keepers after a restart.
TEST_CASE("versions that a majority knew are restored, others aren't", "[keeper]") {
    membership::endpoint_directory before({});
    membership::version_spread versions;
    for (const std::string number : {"1", "2"}) {
        schema::endpoint_record record = make_endpoint(number, 5);
        record.set_software_version("v" + number);
        before.merge_announcement(record, start);
        if (number == "1")
            versions.restore(record);
    }
    const std::string content = encode_endpoints(before, start, versions);
    membership::endpoint_directory after({});
    std::set<std::string> restored;
    const std::size_t count =
        decode_endpoints(after, content, start, [&restored](const schema::endpoint_record& record) {
            restored.insert(record.software_version());
        });
    CHECK(count == 2);
    CHECK(restored == std::set<std::string>{"v1"});
}
