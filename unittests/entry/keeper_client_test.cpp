// How requests to keepers are retransmitted.

#include "cassia/entry/keeper_client.h"

#include <catch2/catch.hpp>

#include <deque>
#include <optional>
#include <utility>

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
