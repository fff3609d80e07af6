// Lease requests of a whole fleet at one leader, in virtual time.

#include "cassia/keeper/work_leader.h"
#include "cassia/schema/messages.pb.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

using namespace cassia;
using namespace cassia::keeper;

namespace {

const instant start = instant(std::chrono::seconds(1000));
// How long a gateway waits for the reply to a lease request, and when it asks for more items.
constexpr milliseconds lease_timeout(2500);
constexpr milliseconds lease_interval(100);
constexpr milliseconds tick_interval(25);
constexpr std::uint32_t items_per_request = 2;
constexpr std::uint32_t items_per_job = 10;
constexpr std::uint64_t command_time = 1000;

schema::work_command make_submission(const std::string& job) {
    schema::work_command submission;
    schema::job_submit* submit = submission.mutable_submit();
    submit->mutable_begin()->set_job(job);
    submit->mutable_begin()->set_team("team");
    submit->mutable_begin()->set_total(items_per_job);
    submit->mutable_begin()->set_at(command_time);
    submit->mutable_items()->set_job(job);
    for (std::uint32_t i = 0; i < items_per_job; ++i) {
        schema::item_body* item = submit->mutable_items()->add_items();
        item->set_custom_id(std::to_string(i));
        item->set_service("model");
        item->set_repeatable(true);
    }
    return submission;
}

/// A leader whose commands are committed after a fixed time, and holders that request items.
class loaded_group {
public:
    loaded_group(std::uint32_t holders, std::uint32_t items, milliseconds commit_time)
        : leader_(state_, milliseconds(5000),
                  {[this, commit_time](const schema::work_command& command,
                                       const work_leader_hooks::reply_callback& reply) {
                       at(now_ + commit_time, [this, command, reply] {
                           schema::keeper_reply response;
                           *response.mutable_work() = apply(command);
                           reply(response);
                       });
                   },
                   [this](const storage::position& at) -> storage::result<std::string> {
                       return submitted_.at(at);
                   }}) {
        for (std::uint32_t i = 0; i < items / items_per_job; ++i)
            submit("job" + std::to_string(i));
        leader_.set_leading(true, start);
        tick();
        for (std::uint32_t i = 0; i < holders; ++i)
            at(start + milliseconds(i % lease_interval.count()),
               [this, i] { request("g" + std::to_string(i) + "/1"); });
    }

    void run(milliseconds duration) {
        const instant end = start + duration;
        while (!events_.empty() && events_.begin()->first < end) {
            now_ = events_.begin()->first;
            const std::function<void()> event = std::move(events_.begin()->second);
            events_.erase(events_.begin());
            event();
        }
    }

    std::uint32_t items_delivered = 0; ///< in replies that the holder still waited for
    std::uint32_t items_wasted = 0;    ///< leased to holders that had stopped waiting

private:
    void submit(const std::string& job) {
        const schema::work_command submission = make_submission(job);
        apply(submission);
        submitted_[{1, position_}] = submission.SerializeAsString();
    }

    void at(instant when, std::function<void()> event) { events_.emplace(when, std::move(event)); }

    void tick() {
        leader_.tick(now_, wall_time());
        at(now_ + tick_interval, [this] { tick(); });
    }

    void request(const std::string& holder) {
        const std::uint64_t number = ++requests_;
        waiting_[holder] = number;
        schema::lease_request request;
        request.set_holder(holder);
        request.add_wants()->set_service("model");
        request.mutable_wants(0)->set_limit(items_per_request);
        leader_.lease(
            request,
            [this, holder, number](const schema::keeper_reply& reply) {
                const std::uint32_t items = static_cast<std::uint32_t>(reply.work().leased_size());
                if (waiting_[holder] != number) {
                    items_wasted += items;
                    return;
                }
                items_delivered += items;
                ask_later(holder, number, lease_interval);
            },
            now_);
        ask_later(holder, number, lease_timeout);
    }

    void ask_later(const std::string& holder, std::uint64_t number, milliseconds delay) {
        at(now_ + delay, [this, holder, number] {
            if (waiting_[holder] == number)
                request(holder);
        });
    }

    schema::work_reply apply(const schema::work_command& command) {
        return state_.apply(command, storage::position{1, ++position_});
    }

    std::multimap<instant, std::function<void()>> events_;
    instant now_ = start;
    std::map<storage::position, std::string> submitted_; ///< log records of the jobs
    state::work_state state_;
    work_leader leader_;
    std::map<std::string, std::uint64_t> waiting_; ///< request that each holder waits for
    std::uint64_t requests_ = 0;
    std::uint64_t position_ = 0;
};

} // namespace

// Guards against items leased to gateways that no longer wait for the reply, and so never run.
TEST_CASE("lease requests of many gateways are granted while these wait", "[work_leader]") {
    constexpr std::uint32_t items = 6000;
    constexpr milliseconds duration(20000);
    for (const milliseconds commit_time : {milliseconds(10), milliseconds(40), milliseconds(200)}) {
        for (const std::uint32_t holders : {30U, 250U, 1000U}) {
            INFO(holders << " gateways, " << commit_time.count() << " ms for a commit");
            loaded_group group(holders, items, commit_time);
            group.run(duration);
            // A request waits at most for the commit in progress and for its own.
            const milliseconds turnaround = lease_interval + 2 * commit_time;
            const std::int64_t rounds = duration / turnaround;
            CHECK(group.items_wasted == 0);
            CHECK(group.items_delivered >=
                  std::min<std::int64_t>(items, holders * items_per_request * rounds));
        }
    }
}

// Guards against items that are wasted while commits take nearly as long as gateways wait.
TEST_CASE("slow commits waste no leases", "[work_leader]") {
    constexpr std::uint32_t items = 6000;
    constexpr std::uint32_t holders = 250;
    const milliseconds commit_time(GENERATE(500, 1000, 1300, 1700, 2200));
    CAPTURE(commit_time.count());
    loaded_group group(holders, items, commit_time);
    group.run(milliseconds(20000));
    CHECK(group.items_wasted == 0);
    CHECK(group.items_delivered > 0);
}

// Guards against gateways that wait for a leader which has stepped down.
TEST_CASE("queued lease requests are rejected when the leader changes", "[work_leader]") {
    state::work_state state;
    std::vector<work_leader_hooks::reply_callback> uncommitted;
    work_leader leader(
        state, milliseconds(5000),
        {[&uncommitted](const schema::work_command&, work_leader_hooks::reply_callback reply) {
             uncommitted.push_back(std::move(reply));
         },
         [](const storage::position&) -> storage::result<std::string> { return std::string(); }});
    schema::work_command submission = make_submission("job");
    state.apply(submission, storage::position{1, 1});
    leader.set_leading(true, start);
    int granted = 0;
    int rejected = 0;
    for (const char* holder : {"g1/1", "g2/1", "g3/1"}) {
        schema::lease_request request;
        request.set_holder(holder);
        request.add_wants()->set_service("model");
        request.mutable_wants(0)->set_limit(items_per_request);
        leader.lease(
            request,
            [&granted, &rejected](const schema::keeper_reply& reply) {
                ++(reply.result() == schema::keeper_reply::done ? granted : rejected);
            },
            start);
    }
    REQUIRE(uncommitted.size() == 1);
    leader.set_leading(false, start);
    CHECK(rejected == 2);
    schema::keeper_reply failure;
    failure.set_result(schema::keeper_reply::unavailable);
    uncommitted.front()(failure);
    CHECK(rejected == 3);
    CHECK(granted == 0);
}
