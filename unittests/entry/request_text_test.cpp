// Tests of request text parsing and of the keeper client.

#include "cassia/entry/keeper_client.h"
#include "cassia/entry/request_text.h"

#include <catch2/catch.hpp>

#include <random>

using namespace cassia;
using namespace cassia::entry;

TEST_CASE("the canonical form of JSON ignores member order and white space", "[entry]") {
    CHECK(canonical_body("{\"a\":1, \"b\":[1,2]}") == canonical_body(" {\"b\":[1,2],\"a\":1}"));
    CHECK(canonical_body("{\"b\":[2,1]}") != canonical_body("{\"b\":[1,2]}"));
    CHECK(canonical_body("no json") == "no json");
}

TEST_CASE("parse_json rejects deeply nested JSON", "[entry]") {
    CHECK_FALSE(parse_json(std::string(100000, '[')).value);
}

TEST_CASE("event_splitter returns whole events wherever the stream is divided", "[entry]") {
    const std::string stream = "data: one\n\ndata: two\n\ndata: [DONE]\n\n";
    for (std::size_t boundary = 0; boundary <= stream.size(); ++boundary) {
        event_splitter splitter;
        std::vector<std::string> events;
        const auto collect = [&] {
            while (std::optional<std::string> event = splitter.next())
                events.emplace_back(event_data(*event));
        };
        splitter.add(stream.substr(0, boundary));
        collect();
        splitter.add(stream.substr(boundary));
        collect();
        REQUIRE(events == std::vector<std::string>{"one", "two", "[DONE]"});
    }
}

TEST_CASE("RFC 3339 times are parsed and formatted", "[entry]") {
    REQUIRE(parse_rfc3339_time("2026-12-03T10:00:00Z"));
    CHECK(format_rfc3339_time(*parse_rfc3339_time("2026-12-03T12:00:00+02:00")) ==
          "2026-12-03T10:00:00Z");
    CHECK_FALSE(parse_rfc3339_time("tomorrow"));
}

TEST_CASE("parse_json returns either a value or an error for any input", "[entry][fuzz]") {
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

const instant start_time = instant(std::chrono::seconds(1000));

struct sent_request {
    std::string to;
    schema::keeper_request request;
};

} // namespace

// Guards against requests that fail in a healthy cluster: a request that reached a keeper which had
// just lost the leadership must be sent again to the new leader. A reply to an earlier transmission
// must be ignored, and the callback run only once.
TEST_CASE("a request is redirected to the new leader and resent when its reply is lost",
          "[entry]") {
    std::vector<sent_request> sent;
    keeper_client client({{"k1", peer_address("1")}, {"k2", peer_address("2")}},
                         [&sent](const peer_address& to, schema::envelope& message) {
                             sent.push_back({to.str(), message.request()});
                         });
    int replies = 0;
    schema::keeper_reply last_reply;
    client.set_leader(group_id(1), "k1");
    schema::keeper_request request;
    request.set_group(1);
    client.send_request(
        request, request_options(),
        [&](const schema::keeper_reply& reply) {
            ++replies;
            last_reply = reply;
        },
        start_time);
    REQUIRE(sent.back().to == "1");
    schema::keeper_reply not_leader_reply;
    not_leader_reply.set_id(sent.back().request.id());
    not_leader_reply.set_result(schema::keeper_reply::not_leader);
    not_leader_reply.set_leader("k2");
    client.handle_reply(not_leader_reply, start_time);
    client.set_leader(group_id(1), "k2");
    client.tick(start_time + milliseconds(100));
    const std::uint64_t first_id = sent.front().request.id();
    CHECK(sent.back().request.id() != first_id);
    client.tick(start_time + milliseconds(900));
    REQUIRE(sent.size() == 3);
    schema::keeper_reply final_reply;
    final_reply.set_id(first_id);
    client.handle_reply(final_reply, start_time + milliseconds(950));
    CHECK(replies == 0);
    final_reply.set_id(sent.back().request.id());
    client.handle_reply(final_reply, start_time + milliseconds(950));
    CHECK(replies == 1);
    CHECK(last_reply.result() == schema::keeper_reply::done);
    client.tick(start_time + milliseconds(9000));
    CHECK(replies == 1);
}

TEST_CASE("a request without a reply fails when its timeout expires", "[entry]") {
    keeper_client client({{"k1", peer_address("1")}},
                         [](const peer_address&, schema::envelope&) {});
    schema::keeper_reply last_reply;
    client.send_request(
        schema::keeper_request(), request_options{milliseconds(1000), true},
        [&last_reply](const schema::keeper_reply& reply) { last_reply = reply; }, start_time);
    client.tick(start_time + milliseconds(1000));
    CHECK(last_reply.result() == schema::keeper_reply::unavailable);
    CHECK(client.open_requests() == 0);
}
