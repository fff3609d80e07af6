// Whole events out of bytes that come in any pieces.

#include "cassia/gateway/sse_parser.h"

#include <catch2/catch.hpp>

#include <string>
#include <vector>

using namespace cassia::gateway;

namespace {

const std::string sample = "id: 7\ndata: one\ndata: two\n\n"
                           "x-weights: 3\nid:8\ndata:\n\n"
                           "id: 9\r\ndata: last\r\n\r\n";

std::vector<stream_event> feed_in_pieces(const std::string& text, std::size_t size) {
    event_splitter splitter;
    std::vector<stream_event> all;
    for (std::size_t i = 0; i < text.size(); i += size) {
        for (stream_event& one : splitter.feed(text.substr(i, size)))
            all.push_back(std::move(one));
    }
    CHECK(!splitter.has_rest());
    return all;
}

} // namespace

TEST_CASE("events come out whole and unchanged, however their bytes come in", "[events]") {
    for (std::size_t size = 1; size <= sample.size(); ++size) {
        const std::vector<stream_event> events = feed_in_pieces(sample, size);
        REQUIRE(events.size() == 3);
        CHECK(events[0].id == 7);
        CHECK(events[0].data == "one\ntwo");
        CHECK(events[1].id == 8);
        CHECK(events[1].data.empty());
        CHECK(events[1].has_data);
        CHECK(events[2].id == 9);
        CHECK(events[2].data == "last");
        CHECK(events[0].bytes + events[1].bytes + events[2].bytes == sample);
    }
}

// A caller would see an event twice, or the joint of two halves: an endpoint crashes in the middle
// of an event and another one goes on behind the last whole one. The half must be forgotten.
TEST_CASE("half an event is kept back and can be forgotten", "[events]") {
    event_splitter splitter;
    CHECK(splitter.feed("id: 1\ndata: a\n\nid: 2\nda").size() == 1);
    CHECK(splitter.has_rest());
    splitter.reset();
    const std::vector<stream_event> events = splitter.feed("id: 2\ndata: b\n\n");
    REQUIRE(events.size() == 1);
    CHECK(events[0].bytes == "id: 2\ndata: b\n\n");
}
