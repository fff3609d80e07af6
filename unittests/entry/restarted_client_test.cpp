// Replies of keepers that were meant for an earlier process at the same address.

#include "cassia/entry/keeper_client.h"
#include "cassia/net/peer_hub.h"
#include "cassia/net/task.h"

#include <catch2/catch.hpp>
#include <unistd.h>

#include <memory>
#include <optional>
#include <string>
#include <vector>

using namespace cassia;
using namespace cassia::entry;

namespace {

std::string address_of(int number) {
    const int process = static_cast<int>(getpid());
    return "127." + std::to_string(190 + process / 250 % 20) + "." + std::to_string(process % 250) +
           "." + std::to_string(number) + ":7341";
}

/// A process that submits jobs to the keeper, and stores the reply to the last one.
class submitting_process {
public:
    submitting_process(net::task& owner, const std::string& secret)
        : hub_(owner, {"gateway", peer_address(address_of(1)), peer_address(), secret},
               [this](schema::envelope& message) {
                   client_.handle_reply(message.reply(), monotonic_now());
               }),
          client_({{"k1", peer_address(address_of(2))}},
                  [this](const peer_address& to, schema::envelope& sent) { hub_.send(to, sent); }) {
        REQUIRE(hub_.open());
        schema::envelope hello;
        hello.mutable_hello()->set_entry("gateway");
        hub_.send(peer_address(address_of(2)), hello);
    }

    void submit(const std::string& job) {
        schema::keeper_request request;
        request.set_group(1);
        request.mutable_work()->mutable_submit()->mutable_begin()->set_job(job);
        request_options options;
        options.is_refusal = [](const schema::keeper_reply& one) {
            return one.work().result() == schema::work_reply::over_quota;
        };
        client_.send_request(
            request, options, [this](const schema::keeper_reply& one) { reply = one; },
            monotonic_now());
    }

    std::optional<schema::keeper_reply> reply;

private:
    net::peer_hub hub_;
    keeper_client client_;
};

/// A keeper that refuses the job "earlier" and takes all others.
class refusing_keeper {
public:
    refusing_keeper(net::task& owner, const std::string& secret)
        : hub_(owner, {"k1", peer_address(address_of(2)), peer_address(), secret},
               [this](schema::envelope& message) { on_message(message); }) {
        REQUIRE(hub_.open());
    }

    std::vector<std::string> handled;

private:
    void on_message(const schema::envelope& message) {
        const std::string job = message.request().work().submit().begin().job();
        handled.push_back(message.has_hello() ? "hello" : job);
        schema::envelope envelope;
        envelope.mutable_reply()->set_id(message.request().id());
        envelope.mutable_reply()->mutable_work()->set_result(
            job == "earlier" ? schema::work_reply::over_quota : schema::work_reply::done);
        hub_.send(peer_address(message.reply_to()), envelope);
    }

    net::peer_hub hub_;
};

void run_for(net::task& owner, milliseconds time) {
    owner.after(time, [&owner] { owner.quit(); });
    owner.run();
}

} // namespace

// Guards against a job that is refused, and runs: a keeper that stood still replies to a process
// that has ended since, and the next one at its address takes the reply for one to its own request.
TEST_CASE("a reply to an earlier process says nothing of a request", "[restarted_client]") {
    // The keeper stands still while its task doesn't run: its messages wait.
    net::task owner("test");
    net::task keeper_owner("keeper");
    const std::string secret = net::make_cluster_secret();
    refusing_keeper keeper(keeper_owner, secret);
    std::unique_ptr<submitting_process> process =
        std::make_unique<submitting_process>(owner, secret);
    for (int i = 0; i < 200 && keeper.handled.empty(); ++i)
        run_for(keeper_owner, milliseconds(10));
    REQUIRE(keeper.handled == std::vector<std::string>{"hello"});
    process->submit("earlier");
    run_for(owner, milliseconds(300));
    process.reset();
    process = std::make_unique<submitting_process>(owner, secret);
    process->submit("later");
    run_for(owner, milliseconds(300));
    REQUIRE_FALSE(process->reply.has_value());
    for (int i = 0; i < 200 && !process->reply; ++i) {
        run_for(keeper_owner, milliseconds(10));
        run_for(owner, milliseconds(10));
    }
    REQUIRE(keeper.handled.size() > 1);
    CHECK(keeper.handled[1] == "earlier");
    CHECK(keeper.handled.back() == "later");
    REQUIRE(process->reply.has_value());
    CHECK(process->reply->work().result() == schema::work_reply::done);
}
