// How requests to keepers are retransmitted.

#include "cassia/entry/keeper_client.h"

#include <catch2/catch.hpp>

#include <deque>
#include <optional>
#include <string>
#include <utility>
#include <vector>

using namespace cassia;
using namespace cassia::entry;

namespace {

constexpr milliseconds step(10);

/// Clients of one keeper that replies to each message after a fixed delay, in virtual time.
class slow_keeper {
public:
    explicit slow_keeper(milliseconds reply_delay)
        : reply_delay_(reply_delay),
          client({{"k1", peer_address("k1:1")}},
                 [this](const peer_address&, schema::envelope& sent) {
                     ++transmissions;
                     schema::keeper_reply reply;
                     reply.set_id(sent.request().id());
                     replies_.emplace_back(now_ + reply_delay_, std::move(reply));
                 }) {}

    std::optional<schema::keeper_reply::outcome> request(milliseconds timeout) {
        std::optional<schema::keeper_reply::outcome> result;
        request_options options;
        options.timeout = timeout;
        schema::keeper_request sent;
        sent.set_group(1);
        client.send_request(
            sent, options,
            [&result](const schema::keeper_reply& reply) { result = reply.result(); }, now_);
        for (const instant end = now_ + timeout + step; !result && now_ < end; now_ += step) {
            while (!replies_.empty() && replies_.front().first <= now_) {
                client.handle_reply(std::move(replies_.front().second), now_);
                replies_.pop_front();
            }
            client.tick(now_);
        }
        return result;
    }

private:
    instant now_{std::chrono::seconds(1000)};
    milliseconds reply_delay_;
    std::deque<std::pair<instant, schema::keeper_reply>> replies_;

public:
    int transmissions = 0;
    keeper_client client;
};

} // namespace

// Guards against a keeper that takes longer than the resend interval and whose replies never count.
TEST_CASE("a reply to an earlier transmission completes the request", "[keeper_client]") {
    for (const milliseconds delay : {milliseconds(100), milliseconds(900), milliseconds(2500)}) {
        INFO("reply delay " << delay.count() << " ms");
        slow_keeper keeper(delay);
        CHECK(keeper.request(milliseconds(3000)) == schema::keeper_reply::done);
        CHECK(keeper.client.open_requests() == 0);
    }
}

// Guards against requests that go through all keepers while the leader is known.
TEST_CASE("a request goes to the leader that a rejection names", "[keeper_client]") {
    std::vector<std::string> asked;
    std::uint64_t last_id = 0;
    keeper_client client({{"k1", peer_address("k1:1")},
                          {"k2", peer_address("k2:1")},
                          {"k3", peer_address("k3:1")},
                          {"k4", peer_address("k4:1")}},
                         [&asked, &last_id](const peer_address& to, const schema::envelope& sent) {
                             asked.push_back(to.str());
                             last_id = sent.request().id();
                         });
    instant now(std::chrono::seconds(1000));
    schema::keeper_request request;
    request.set_group(1);
    for (const bool resend : {true, false}) {
        INFO("resend " << resend);
        client.set_leader(group_id(1), "k1");
        request_options options;
        options.resend = resend;
        client.send_request(
            request, options, [](const schema::keeper_reply&) {}, now);
        REQUIRE(asked.back() == "k1:1");
        schema::keeper_reply rejection;
        rejection.set_id(last_id);
        rejection.set_result(schema::keeper_reply::not_leader);
        rejection.set_leader("k4");
        client.handle_reply(rejection, now);
        now += milliseconds(100);
        client.tick(now);
        if (!resend)
            client.send_request(
                request, options, [](const schema::keeper_reply&) {}, now);
        CHECK(asked.back() == "k4:1");
    }
}

// Guards against a job that is refused, and runs: its refusal is believed while another
// transmission of it is under way, which finds room.
TEST_CASE("a refusal is final only when no other transmission can be granted", "[keeper_client]") {
    std::vector<std::uint64_t> sent;
    keeper_client client({{"k1", peer_address("k1:1")}},
                         [&sent](const peer_address&, const schema::envelope& message) {
                             sent.push_back(message.request().id());
                         });
    instant now(std::chrono::seconds(1000));
    const auto reply = [&](std::size_t transmission, schema::keeper_reply::outcome result,
                           schema::work_reply::outcome work) {
        schema::keeper_reply message;
        message.set_id(sent.at(transmission));
        message.set_result(result);
        message.mutable_work()->set_result(work);
        client.handle_reply(std::move(message), now);
    };
    using schema::keeper_reply;
    using schema::work_reply;
    std::optional<schema::keeper_reply> result;
    schema::keeper_request request;
    request.set_group(1);
    request_options options;
    options.timeout = milliseconds(3000);
    options.is_refusal = [](const schema::keeper_reply& one) {
        return one.work().result() == schema::work_reply::over_quota;
    };
    client.send_request(
        request, options, [&result](const schema::keeper_reply& one) { result = one; }, now);
    const auto is_refused = [&result] {
        return result && result->result() == keeper_reply::done &&
               result->work().result() == work_reply::over_quota;
    };
    SECTION("sent once") {
        reply(0, keeper_reply::done, work_reply::over_quota);
        CHECK(is_refused());
    }
    SECTION("sent twice") {
        now += milliseconds(800);
        client.tick(now);
        REQUIRE(sent.size() == 2);
        const std::size_t first = GENERATE(0, 1);
        reply(first, keeper_reply::done, work_reply::over_quota);
        CHECK_FALSE(result.has_value());
        SECTION("the other is granted") {
            reply(1 - first, keeper_reply::done, work_reply::done);
            REQUIRE(result.has_value());
            CHECK(result->work().result() == work_reply::done);
        }
        SECTION("the other is refused too") {
            reply(1 - first, keeper_reply::done, work_reply::over_quota);
            CHECK(is_refused());
        }
        SECTION("the other reached no leader") {
            reply(1 - first, keeper_reply::not_leader, work_reply::done);
            CHECK(is_refused());
        }
        SECTION("the other's leader lost its lead") {
            reply(1 - first, keeper_reply::unavailable, work_reply::done);
            REQUIRE(result.has_value());
            CHECK(result->result() == keeper_reply::unavailable);
        }
        SECTION("the other gets no reply") {
            now += milliseconds(2300);
            client.tick(now);
            REQUIRE(result.has_value());
            CHECK(result->result() == keeper_reply::unavailable);
        }
        CHECK(sent.size() == 2);
        CHECK(client.open_requests() == 0);
    }
    SECTION("a leader that lost its lead before") {
        reply(0, keeper_reply::unavailable, work_reply::done);
        now += milliseconds(100);
        client.tick(now);
        REQUIRE(sent.size() == 2);
        reply(1, keeper_reply::done, work_reply::over_quota);
        CHECK(is_refused());
    }
}
