// Callers of requests with a part of their prompts that was quarantined, over real sockets.

#include "dispatcher_fixture.h"

#include <cstddef>
#include <memory>
#include <string>
#include <utility>
#include <vector>

using namespace cassia;
using namespace cassia::gateway;

namespace {

constexpr milliseconds target(200);
constexpr milliseconds run_time(600);
// In which a caller that can't be served knows that it isn't.
constexpr milliseconds at_once(150);
// After the end of a run, until it is known to be survived.
constexpr milliseconds survived_after(1500);
const prompt_part_id bad_part("bad");

struct reply {
    int status = -1; ///< -1 while there is none
    milliseconds after{0};
    double retry_after_s = 0;
};

/// An endpoint that answers each request after `run_time`, and callers whose prompts have one part.
class retry_fixture : public dispatcher_fixture {
public:
    retry_fixture()
        : dispatcher_fixture(schema::route::repeatable, 1, target),
          endpoint_(task_, net::raw_server_limits(),
                    {[this](exchange_id id, const net::raw_request& request) {
                         ++runs;
                         const std::string name(request.fields.find("Cassia-Request-Id"));
                         task_.after(run_time, [this, id, name] {
                             net::raw_head head;
                             head.status = 200;
                             head.fields.add("Cassia-Request-Id", name);
                             head.fields.add("Cassia-Stamp", "stamp");
                             endpoint_.respond(id, head, "done");
                         });
                     },
                     [](exchange_id) {}}) {
        REQUIRE(endpoint_.listen(http_address(address_of(1))));
        list({1});
        dispatcher_.set_prompt_parts_reader(
            [](const net::http_fields&) { return std::vector<prompt_part_id>{bad_part}; });
    }

    /// The part has crashed endpoints, and its quarantine ends now.
    void end_quarantine() {
        schema::poison_news news;
        schema::poison_record& record = *news.add_records();
        record.set_fingerprint(make_part_keys(service_id("web"), {bad_part})[0].str());
        record.set_is_part(true);
        record.set_version(1);
        record.set_verdict(static_cast<std::uint32_t>(policy::request_verdict::quarantined));
        record.set_log_odds(8);
        record.set_crashes(5);
        record.set_quarantines(1);
        record.set_crash_age_ms(5000);
        crashes_.receive(news);
    }

    /// A caller comes. \returns the position of its reply.
    std::size_t call() {
        const std::size_t position = replies.size();
        replies.emplace_back();
        const instant began = monotonic_now();
        net::raw_call call;
        call.to = http_address(address_of(9));
        call.request.method = "POST";
        call.request.target = "/" + std::to_string(position);
        call.request.fields.add("Host", "shop.example");
        call.request.fields.add("Cassia-Request-Id", "c" + std::to_string(position));
        net::raw_call_hooks hooks;
        hooks.on_head = [this, position](const net::raw_head& head) {
            const std::string retry_after(head.fields.find("Retry-After"));
            replies[position].retry_after_s = retry_after.empty() ? 0 : std::stod(retry_after);
            statuses_[position] = head.status;
        };
        hooks.on_piece = [](std::string_view) {};
        hooks.on_end = [this, position, began] {
            replies[position].status = statuses_[position];
            replies[position].after =
                std::chrono::duration_cast<milliseconds>(monotonic_now() - began);
        };
        hooks.on_failure = [this, position](const net::raw_failure&) {
            replies[position].status = 0;
        };
        caller_.start(std::move(call), std::move(hooks));
        return position;
    }

    int runs = 0;
    std::vector<reply> replies;

private:
    std::map<std::size_t, int> statuses_;
    net::raw_server endpoint_;
};

} // namespace

// Guards against callers that wait up to their deadlines for the run of another one.
TEST_CASE("callers are rejected at once while another one's request retries their part",
          "[retries]") {
    retry_fixture fixture;
    fixture.end_quarantine();
    const std::size_t retry = fixture.call();
    fixture.run_for(milliseconds(200));
    REQUIRE(fixture.runs == 1);
    const std::vector<std::size_t> others{fixture.call(), fixture.call()};
    fixture.run_for(milliseconds(1000));
    for (const std::size_t other : others) {
        const reply& rejected = fixture.replies[other];
        CAPTURE(other, rejected.after.count(), rejected.retry_after_s);
        CHECK(rejected.status == 503);
        CHECK(rejected.after < at_once);
        CHECK(rejected.retry_after_s > 0);
    }
    CHECK(fixture.runs == 1);
    CHECK(fixture.replies[retry].status == 200);
    fixture.run_for(survived_after);
    const std::size_t later = fixture.call();
    fixture.run_for(run_time + at_once);
    CHECK(fixture.replies[later].status == 200);
}

// Guards against the same where another gateway's request is the retry.
TEST_CASE("a caller whose request isn't granted the retry of its part is soon rejected",
          "[retries]") {
    retry_fixture fixture;
    fixture.grants_trials = false;
    fixture.end_quarantine();
    const std::size_t call = fixture.call();
    fixture.run_for(milliseconds(1600));
    const reply& rejected = fixture.replies[call];
    CAPTURE(rejected.after.count(), rejected.retry_after_s);
    CHECK(rejected.status == 503);
    CHECK(rejected.after < milliseconds(1200));
    CHECK(rejected.retry_after_s > 0);
    CHECK(fixture.runs == 0);
}

// Guards against a part that no further request retries since the one that was to do so left.
TEST_CASE("a caller's request retries a part whose earlier retry wasn't run", "[retries]") {
    retry_fixture fixture;
    fixture.grants_trials = false;
    fixture.end_quarantine();
    fixture.call();
    fixture.run_for(milliseconds(1300));
    fixture.grants_trials = true;
    const std::size_t next = fixture.call();
    fixture.run_for(run_time + milliseconds(300));
    CHECK(fixture.replies[next].status == 200);
}
