// Request bodies and streams, as they arrive.

#include "cassia/entry/keeper_client.h"
#include "cassia/entry/request_text.h"

#include <catch2/catch.hpp>

#include <random>

using namespace cassia;
using namespace cassia::entry;

TEST_CASE("the canonical form ignores member order and white space", "[entry]") {
    CHECK(canonical_body("{\"a\":1, \"b\":[1,2]}") == canonical_body(" {\"b\":[1,2],\"a\":1}"));
    CHECK(canonical_body("{\"b\":[2,1]}") != canonical_body("{\"b\":[1,2]}"));
    CHECK(canonical_body("no json") == "no json");
}

TEST_CASE("deep nesting is refused, not followed", "[entry]") {
    CHECK_FALSE(parse_json(std::string(100000, '[')).value);
}

TEST_CASE("events come out whole, however they are cut", "[entry]") {
    const std::string stream = "data: one\n\ndata: two\n\ndata: [DONE]\n\n";
    for (std::size_t cut = 0; cut <= stream.size(); ++cut) {
        event_splitter splitter;
        std::vector<std::string> events;
        const auto collect = [&] {
            while (std::optional<std::string> event = splitter.next())
                events.emplace_back(event_data(*event));
        };
        splitter.add(stream.substr(0, cut));
        collect();
        splitter.add(stream.substr(cut));
        collect();
        REQUIRE(events == std::vector<std::string>{"one", "two", "[DONE]"});
    }
}

TEST_CASE("times are read and written", "[entry]") {
    REQUIRE(parse_time("2026-12-03T10:00:00Z"));
    CHECK(format_time(*parse_time("2026-12-03T12:00:00+02:00")) == "2026-12-03T10:00:00Z");
    CHECK_FALSE(parse_time("tomorrow"));
}

TEST_CASE("any bytes are JSON or a problem", "[entry][fuzz]") {
    const unsigned seed = 5;
    INFO("seed " << seed);
    std::mt19937 random(seed);
    const std::string valid = R"({"custom_id":"c1","url":"/v1/completions","body":{"x":[1,2.5]}})";
    for (int i = 0; i < 5000; ++i) {
        std::string text = valid;
        for (int n = 0; n < 3; ++n)
            text[random() % text.size()] = static_cast<char>(random());
        const json_parse_result parsed = parse_json(text);
        CHECK(parsed.value.has_value() == parsed.error.empty());
    }
}

namespace {

const instant start = instant(std::chrono::seconds(1000));

struct sent_request {
    std::string to;
    schema::keeper_request request;
};

} // namespace

// Story: a submission fails although the cluster is fine. Its request went to a keeper that had
// just lost the leadership, and nobody asked the new leader.
TEST_CASE("a request follows the leader and resends what got lost", "[entry]") {
    std::vector<sent_request> sent;
    keeper_client client({{"k1", peer_address("1")}, {"k2", peer_address("2")}},
                         [&sent](const peer_address& to, schema::envelope& message) {
                             sent.push_back({to.str(), message.request()});
                         });
    int answers = 0;
    schema::keeper_reply last;
    client.set_leader(group_id(1), "k1");
    schema::keeper_request request;
    request.set_group(1);
    client.send_request(
        request, request_options(),
        [&](const schema::keeper_reply& reply) {
            ++answers;
            last = reply;
        },
        start);
    REQUIRE(sent.back().to == "1");
    schema::keeper_reply moved;
    moved.set_id(sent.back().request.id());
    moved.set_result(schema::keeper_reply::not_leader);
    moved.set_leader("k2");
    client.handle_reply(moved, start);
    client.set_leader(group_id(1), "k2");
    client.tick(start + milliseconds(100));
    const std::uint64_t first_id = sent.front().request.id();
    CHECK(sent.back().request.id() != first_id);
    client.tick(start + milliseconds(900));
    REQUIRE(sent.size() == 3);
    schema::keeper_reply done;
    done.set_id(first_id);
    client.handle_reply(done, start + milliseconds(950));
    CHECK(answers == 0);
    done.set_id(sent.back().request.id());
    client.handle_reply(done, start + milliseconds(950));
    CHECK(answers == 1);
    CHECK(last.result() == schema::keeper_reply::done);
    client.tick(start + milliseconds(9000));
    CHECK(answers == 1);
}

TEST_CASE("patience ends with an answer", "[entry]") {
    keeper_client client({{"k1", peer_address("1")}},
                         [](const peer_address&, schema::envelope&) {});
    schema::keeper_reply last;
    client.send_request(
        schema::keeper_request(), request_options{milliseconds(1000), true},
        [&last](const schema::keeper_reply& reply) { last = reply; }, start);
    client.tick(start + milliseconds(1000));
    CHECK(last.result() == schema::keeper_reply::unavailable);
    CHECK(client.open_requests() == 0);
}
