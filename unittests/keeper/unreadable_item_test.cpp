// What an item whose log record can't be read does to the other items of a work group.

#include "cassia/keeper/work_leader.h"
#include "cassia/schema/messages.pb.h"

#include <catch2/catch.hpp>

#include <cstdint>
#include <map>
#include <string>

using namespace cassia;
using namespace cassia::keeper;

namespace {

const instant start = instant(std::chrono::seconds(1000));
// An accepted item that isn't listed runs within this time wherever an endpoint has room.
constexpr milliseconds max_idle_time(5000);
constexpr milliseconds report_interval(1000);
constexpr milliseconds request_interval(100);
constexpr std::uint32_t max_items_per_request = 2;
constexpr const char* holder = "g1/1";

/// A leader with a job of items in records of their own, and a holder that requests items and
/// reports what it has.
class work_group_fixture {
public:
    explicit work_group_fixture(std::uint32_t items)
        : leader_(state_, milliseconds(5000),
                  {[this](const schema::work_command& command,
                          const work_leader_hooks::reply_callback& reply) {
                       schema::keeper_reply response;
                       *response.mutable_work() = apply(command);
                       if (command.has_lease())
                           leader_.on_lease_applied(response, now_);
                       reply(response);
                   },
                   [this](const storage::position& at) { return read(at); }}) {
        schema::work_command begin;
        begin.mutable_begin()->set_job("job");
        begin.mutable_begin()->set_team("team");
        begin.mutable_begin()->set_total(items);
        apply(begin);
        for (std::uint32_t i = 0; i < items; ++i) {
            schema::work_command loaded;
            loaded.mutable_items()->set_job("job");
            loaded.mutable_items()->set_first(i);
            schema::item_body* item = loaded.mutable_items()->add_items();
            item->set_custom_id("item-" + std::to_string(i));
            item->set_service("model");
            item->set_repeatable(true);
            apply(loaded);
            bodies_[i] = position_;
        }
        schema::work_command commit;
        commit.mutable_commit()->set_job("job");
        REQUIRE(apply(commit).result() == schema::work_reply::done);
        leader_.set_leading(true, start);
    }

    void lose_body(std::uint32_t ordinal) { records_.erase(bodies_.at(ordinal)); }
    std::uint32_t attempts(std::uint32_t ordinal) const {
        return state_.jobs().at(job_id("job")).items[ordinal].attempts;
    }

    void run(milliseconds duration) {
        for (const instant end = now_ + duration; now_ < end; now_ += request_interval) {
            if ((now_ - start) % report_interval == microseconds(0))
                report();
            request();
        }
    }

    std::map<std::uint32_t, std::uint32_t> held; ///< attempts of the items received, by ordinal

private:
    void request() {
        schema::lease_request request;
        request.set_holder(holder);
        request.set_number(++requests_);
        request.add_wants()->set_service("model");
        request.mutable_wants(0)->set_limit(max_items_per_request);
        leader_.lease(
            request,
            [this](const schema::keeper_reply& reply) {
                if (reply.result() != schema::keeper_reply::done)
                    return;
                for (const schema::leased_item& item : reply.work().leased())
                    held[item.ordinal()] = item.attempt();
            },
            now_);
    }

    void report() {
        schema::held_items report;
        report.set_holder(holder);
        report.set_keeper_clock_us(to_us(now_));
        report.set_closed_requests(requests_);
        schema::held_job& job = *report.add_jobs();
        job.set_job("job");
        for (const std::pair<const std::uint32_t, std::uint32_t>& item : held) {
            job.add_ordinals(item.first);
            job.add_attempts(item.second);
        }
        leader_.mark_holder_alive(holder, now_);
        leader_.reconcile(report, now_);
    }

    schema::work_reply apply(const schema::work_command& command) {
        const storage::position at{1, ++position_};
        records_[position_] = command.SerializeAsString();
        return state_.apply(command, at);
    }

    storage::result<std::string> read(const storage::position& at) const {
        auto record = records_.find(at.offset);
        if (record == records_.end())
            return failure(storage::error{storage::errc::corrupt, "checksum mismatch"});
        return record->second;
    }

    state::work_state state_;
    work_leader leader_;
    instant now_ = start;
    std::uint64_t position_ = 0;
    std::uint64_t requests_ = 0;
    std::map<std::uint64_t, std::string> records_;  ///< by position
    std::map<std::uint32_t, std::uint64_t> bodies_; ///< positions by ordinal
};

} // namespace

// Guards against sound items that aren't delivered since one of their grant can't be read.
TEST_CASE("an unreadable item holds back no other item", "[.][unreadable]") {
    constexpr std::uint32_t items = 4;
    const std::uint32_t unreadable = GENERATE(0U, 1U, 2U, 3U);
    CAPTURE(unreadable);
    work_group_fixture group(items);
    group.lose_body(unreadable);
    group.run(max_idle_time);
    CHECK(group.held.size() == items - 1);
    CHECK(group.held.count(unreadable) == 0);
}

// Guards against an unreadable item that is leased, at the cost of commits, without end.
TEST_CASE("an unreadable item is leased no more often than it must run", "[.][unreadable]") {
    constexpr milliseconds duration(60000);
    work_group_fixture group(1);
    group.lose_body(0);
    group.run(duration);
    CHECK(group.attempts(0) <= duration / max_idle_time);
}
