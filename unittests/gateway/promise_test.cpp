// What callers are promised about requests, against endpoints that do anything in any order.

#include "random_endpoint.h"

#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

using namespace cassia;
using namespace cassia::gateway;

namespace {

constexpr int endpoints = 5;
constexpr int requests_each = 120;
constexpr milliseconds target(200);
constexpr milliseconds arrivals(800);
constexpr std::uint32_t max_attempts = 3;
// Longer than an endpoint is frozen: what it has not read by then is read.
constexpr milliseconds settle_time(700);

struct request_kind {
    std::string name;
    schema::route::route_kind kind = schema::route::at_most_once;
    fixture_options options;
    bool runs_once = true;
};

const std::vector<request_kind>& kinds() {
    static const std::vector<request_kind> all = {
        {"call", schema::route::at_most_once, {}, true},
        {"stream", schema::route::stream, {false, true}, true},
        {"resumable", schema::route::stream, {true, true}, false},
        {"hedged", schema::route::repeatable, {}, false}};
    return all;
}

migration_protocol move_protocol() {
    migration_protocol calls;
    calls.build_request = [](const std::string& request_id, const http_address&) {
        net::raw_request request;
        request.method = "POST";
        request.target = "/move/" + request_id;
        request.fields.add("Host", "endpoint");
        return request;
    };
    calls.read_handle = [](const std::string& body) {
        const std::string name = "handle=";
        return body.rfind(name, 0) == 0 ? std::optional<std::string>(body.substr(name.size()))
                                        : std::nullopt;
    };
    calls.resume_from_copy = [](net::raw_request& request, const kv_cache_copy& copy) {
        request.fields.set("Kv-From", copy.handle);
    };
    return calls;
}

/// Callers of one kind of request, and the endpoints.
class promise_fixture : public dispatcher_fixture {
public:
    promise_fixture(const request_kind& kind, std::uint64_t seed)
        : dispatcher_fixture(kind.kind, max_attempts, target, kind.options), random_(seed) {
        dispatcher_.set_migration_protocol(move_protocol());
        if (kind.kind == schema::route::repeatable)
            dispatcher_.set_hedge_percent(100);
        std::vector<int> numbers;
        for (int number = 1; number <= endpoints; ++number) {
            numbers.push_back(number);
            fleet_.push_back(std::make_unique<random_endpoint>(task_, number, seed, record));
            fleet_.back()->streams = kind.kind == schema::route::stream;
            // Where most are rejected some reach no endpoint that runs them.
            fleet_.back()->rejected_share = seed % 2 == 0 ? 0.8 : 0.3;
        }
        list(numbers);
    }

    /// Sends the requests, and looks again once nothing can be on its way any more.
    void play() {
        for (int i = 0; i < requests_each; ++i) {
            const int at = draw(static_cast<int>(arrivals.count()));
            task_.after(milliseconds(at), [this, i] { start("r" + std::to_string(i)); });
        }
        run_for(arrivals);
        for (int i = 0; i < 200 && statuses.size() < requests_each; ++i)
            run_for(milliseconds(50));
        run_for(settle_time);
    }

    fleet_record record;
    std::map<std::string, int> statuses; ///< 0: broken off; -1: the caller left

private:
    int draw(int most) { return std::uniform_int_distribution<int>(0, most)(random_); }

    void start(const std::string& request) {
        net::raw_call call;
        call.to = http_address(address_of(9));
        call.request.method = "POST";
        // Requests that break endpoints must differ, or they are held back as one.
        call.request.target = "/x?" + request;
        call.request.fields.add("Host", "shop.example");
        call.request.fields.add("Cassia-Request-Id", request);
        net::raw_call_hooks got;
        const std::shared_ptr<int> head_status = std::make_shared<int>(0);
        got.on_head = [head_status](const net::raw_head& head) { *head_status = head.status; };
        got.on_piece = [](std::string_view) {};
        got.on_end = [this, request, head_status] { statuses[request] = *head_status; };
        got.on_failure = [this, request](const net::raw_failure&) { statuses[request] = 0; };
        const call_id id = caller_.start(std::move(call), std::move(got));
        constexpr int one_in = 12;
        if (draw(one_in - 1) > 0)
            return;
        task_.after(milliseconds(draw(300)), [this, id, request] {
            caller_.cancel(id);
            statuses.emplace(request, -1);
        });
    }

    std::mt19937_64 random_;
    std::vector<std::unique_ptr<random_endpoint>> fleet_;
};

bool promises_not_run(int status) {
    return status == 408 || status == 421 || status == 429 || status == 503;
}

/// Broken promises, by request and what happened to it.
std::vector<std::string> broken_promises(const promise_fixture& fixture, const request_kind& kind) {
    std::vector<std::string> broken;
    for (const std::pair<const std::string, int>& one : fixture.record.runs) {
        const auto status = fixture.statuses.find(one.first);
        const int answered = status == fixture.statuses.end() ? -2 : status->second;
        const std::string text = one.first + " ran " + std::to_string(one.second) +
                                 " times, answered " + std::to_string(answered);
        if (kind.runs_once && one.second > 1)
            broken.push_back("twice: " + text);
        if (kind.runs_once && promises_not_run(answered))
            broken.push_back("refused: " + text);
        if (fixture.refunded.count(one.first) > 0)
            broken.push_back("refunded: " + text);
    }
    return broken;
}

/// Plays the seeds of a kind, adds up what was done, and counts the seeds that break a promise.
int play_seeds(const request_kind& kind, int seeds, std::map<std::string, int>& done) {
    int broken_seeds = 0;
    for (int seed = 1; seed <= seeds; ++seed) {
        promise_fixture fixture(kind, static_cast<std::uint64_t>(seed));
        fixture.play();
        for (const std::pair<const std::string, int>& one : fixture.record.done)
            done[one.first] += one.second;
        for (const std::pair<const std::string, int>& one : fixture.statuses)
            ++done["answered_" + std::to_string(one.second)];
        CAPTURE(kind.name, seed);
        CHECK(fixture.statuses.size() == requests_each);
        CHECK(fixture.record.done.count("foreign_copies") == 0);
        const std::vector<std::string> broken = broken_promises(fixture, kind);
        CHECK_THAT(broken, Catch::Matchers::Equals(std::vector<std::string>()));
        broken_seeds += broken.empty() ? 0 : 1;
    }
    return broken_seeds;
}

/// A test that does little of what it is for shows nothing.
void check_counts(const request_kind& kind, int seeds, std::map<std::string, int>& done) {
    std::string text;
    for (const std::pair<const std::string, int>& one : done)
        text += " " + one.first + "=" + std::to_string(one.second);
    WARN(kind.name << ", " << seeds << " seeds:" << text);
    CHECK(done["runs"] >= 30 * seeds);
    CHECK(done["rejected"] >= 10 * seeds);
    CHECK(done["copies"] >= 3 * seeds);
    CHECK(done["answered_200"] >= 20 * seeds);
    CHECK(done["answered_503"] > 0);
    if (kind.runs_once && kind.options.moves_runs) {
        CHECK(done["moves_copied"] > 0);
        CHECK(done["copies_continued"] > 0);
    }
}

void check_promises(int seeds) {
    for (const request_kind& kind : kinds()) {
        std::map<std::string, int> done;
        CHECK(play_seeds(kind, seeds, done) == 0);
        check_counts(kind, seeds, done);
    }
}

} // namespace

// Guards against a statement on one response or transmission that is taken for one on its request.
TEST_CASE("requests that may run once do, and never after a refusal", "[promise]") {
    check_promises(2);
}

TEST_CASE("the same with many seeds", "[.promise-seeds]") {
    check_promises(25);
}
