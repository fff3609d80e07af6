// Tests of the incremental parser for server-sent events.

#include "cassia/gateway/sse_parser.h"

#include <catch2/catch.hpp>

#include <string>
#include <vector>

using namespace cassia::gateway;

namespace {

const std::string sample = "id: 7\ndata: one\ndata: two\n\n"
                           "x-weights: 3\nid:8\ndata:\n\n"
                           "id: 9\r\ndata: last\r\n\r\n";

std::vector<sse_event> feed_in_chunks(const std::string& text, std::size_t size) {
    sse_parser parser;
    std::vector<sse_event> all;
    for (std::size_t i = 0; i < text.size(); i += size) {
        for (sse_event& event : parser.feed(text.substr(i, size)))
            all.push_back(std::move(event));
    }
    CHECK(!parser.has_partial_event());
    return all;
}

} // namespace

TEST_CASE("the SSE parser returns the same events for chunks of any size", "[events]") {
    for (std::size_t size = 1; size <= sample.size(); ++size) {
        const std::vector<sse_event> events = feed_in_chunks(sample, size);
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

// When an endpoint crashes within an event, another one resumes the stream after the last complete
// event. If the parser kept the partial event, the caller would receive it joined to the next one.
TEST_CASE("the SSE parser holds back a partial event and discards it when reset", "[events]") {
    sse_parser parser;
    CHECK(parser.feed("id: 1\ndata: a\n\nid: 2\nda").size() == 1);
    CHECK(parser.has_partial_event());
    parser.reset();
    const std::vector<sse_event> events = parser.feed("id: 2\ndata: b\n\n");
    REQUIRE(events.size() == 1);
    CHECK(events[0].bytes == "id: 2\ndata: b\n\n");
}
