// Jobs, items and keys under every order of commands.

#include "cassia/schema/messages.pb.h"
#include "cassia/state/work_state.h"

#include <catch2/catch.hpp>

#include <map>
#include <random>

using namespace cassia;
using namespace cassia::state;

namespace {

constexpr std::uint64_t at_time = 1000;

/// A state with a log of its commands, which bodies are read from.
class test_group {
public:
    schema::work_reply apply(const schema::work_command& command) {
        const storage::position at{1, ++last_};
        log_[at] = command.SerializeAsString();
        return state.apply(command, at);
    }
    work_state::record_reader reader() const {
        return [this](const storage::position& at) -> storage::result<std::string> {
            auto found = log_.find(at);
            if (found == log_.end())
                return failure(storage::error{storage::errc::missing, "no record"});
            return found->second;
        };
    }
    schema::work_reply begin(const std::string& job, std::uint32_t total,
                             const std::string& print = "print") {
        schema::work_command command;
        command.mutable_begin()->set_job(job);
        command.mutable_begin()->set_team("team");
        command.mutable_begin()->set_fingerprint(print);
        command.mutable_begin()->set_total(total);
        command.mutable_begin()->set_at(at_time);
        command.mutable_begin()->set_retention_ms(5000);
        return apply(command);
    }
    void add_items(const std::string& job, std::uint32_t first, std::uint32_t count,
                   bool repeatable = true) {
        schema::work_command command;
        command.mutable_items()->set_job(job);
        command.mutable_items()->set_first(first);
        for (std::uint32_t i = 0; i < count; ++i) {
            schema::item_body* item = command.mutable_items()->add_items();
            item->set_custom_id("c" + std::to_string(first + i));
            item->set_service("model");
            item->set_repeatable(repeatable);
            item->set_body("{}");
        }
        apply(command);
    }
    schema::work_reply commit(const std::string& job) {
        schema::work_command command;
        command.mutable_commit()->set_job(job);
        command.mutable_commit()->set_at(at_time);
        return apply(command);
    }
    void submit(const std::string& job, std::uint32_t total, bool repeatable = true) {
        begin(job, total);
        add_items(job, 0, total, repeatable);
        REQUIRE(commit(job).result() == schema::work_reply::done);
    }
    schema::work_reply lease(const std::string& job, const std::string& holder,
                             std::vector<std::uint32_t> ordinals) {
        schema::work_command command;
        command.mutable_lease()->set_job(job);
        command.mutable_lease()->set_holder(holder);
        for (const std::uint32_t ordinal : ordinals)
            command.mutable_lease()->add_ordinals(ordinal);
        return apply(command);
    }
    void end(const std::string& job, const std::string& holder, std::uint32_t ordinal,
             std::uint32_t attempt, schema::item_status status, const std::string& body,
             bool strike = false) {
        schema::work_command command;
        command.mutable_ends()->set_holder(holder);
        command.mutable_ends()->set_at(at_time + 1);
        schema::item_end* one = command.mutable_ends()->add_ends();
        one->set_job(job);
        one->set_ordinal(ordinal);
        one->set_attempt(attempt);
        one->set_status(status);
        one->set_http_status(200);
        one->set_body(body);
        one->set_strike(strike);
        apply(command);
    }
    void save_progress(const std::string& job, const std::string& holder, std::uint32_t ordinal,
                       std::uint32_t attempt, schema::item_status status, const std::string& body,
                       std::uint64_t events) {
        schema::work_command command;
        command.mutable_ends()->set_holder(holder);
        schema::item_end* one = command.mutable_ends()->add_ends();
        one->set_job(job);
        one->set_ordinal(ordinal);
        one->set_attempt(attempt);
        one->set_status(status);
        one->set_body(body);
        one->set_events(events);
        apply(command);
    }
    schema::leased_item lease_filled(const std::string& job, const std::string& holder) {
        schema::work_reply reply = lease(job, holder, {0});
        REQUIRE(state.fill_leased_items(reply, reader()));
        REQUIRE(reply.leased_size() == 1);
        return reply.leased(0);
    }
    void lose(const std::string& holder) {
        schema::work_command command;
        command.mutable_lost()->set_holder(holder);
        command.mutable_lost()->set_at(at_time + 2);
        apply(command);
    }
    schema::work_reply cancel(const std::string& job) {
        schema::work_command command;
        command.mutable_cancel()->set_job(job);
        command.mutable_cancel()->set_team("team");
        command.mutable_cancel()->set_at(at_time + 3);
        return apply(command);
    }
    schema::work_reply claim(const std::string& request, const std::string& print, bool repeatable,
                             const std::string& holder = "entry/1") {
        schema::work_command command;
        schema::key_claim* claimed = command.mutable_claim();
        claimed->set_team("team");
        claimed->set_key("key");
        claimed->set_fingerprint(print);
        claimed->set_request(request);
        claimed->set_holder(holder);
        claimed->set_repeatable(repeatable);
        return apply(command);
    }
    schema::work_reply finish(const std::string& request, const std::string& body,
                              bool release = false) {
        schema::work_command command;
        schema::key_finish* finished = command.mutable_finish();
        finished->set_team("team");
        finished->set_key("key");
        finished->set_holder("entry/1");
        finished->set_request(request);
        finished->set_release(release);
        finished->mutable_answer()->set_status(200);
        finished->mutable_answer()->set_body(body);
        return apply(command);
    }
    schema::work_reply results(const std::string& job) const {
        schema::work_query query;
        query.set_kind(schema::work_query::results);
        query.set_job(job);
        query.set_team("team");
        query.set_limit(100000);
        return state.query(query, reader());
    }
    const batch_job& job(const std::string& id) const { return state.jobs().at(job_id(id)); }

    work_state state;

private:
    std::map<storage::position, std::string> log_;
    std::uint64_t last_ = 0;
};

} // namespace

TEST_CASE("a job runs from submission to readable results", "[state]") {
    test_group group;
    group.submit("job", 3);
    const schema::work_reply leased = group.lease("job", "entry/1", {0, 1, 2});
    REQUIRE(leased.leased_size() == 3);
    for (std::uint32_t i = 0; i < 3; ++i)
        group.end("job", "entry/1", i, 1, schema::completed, "answer " + std::to_string(i));
    CHECK(group.job("job").status == job_status::completed);
    const schema::work_reply read = group.results("job");
    REQUIRE(read.results_size() == 3);
    CHECK(read.results(2).custom_id() == "c2");
    CHECK(read.results(2).body() == "answer 2");
}

// Story: a cohort is submitted, the answer is lost, the client resends it, and the cohort runs
// twice.
TEST_CASE("a resent submission is the same job", "[state]") {
    test_group group;
    group.submit("job", 2);
    CHECK(group.begin("job", 2).result() == schema::work_reply::replay);
    CHECK(group.begin("job", 2, "other").result() == schema::work_reply::key_reused);
    group.add_items("job", 0, 2);
    group.commit("job");
    CHECK(group.job("job").items.size() == 2);
    CHECK(group.job("job").pending[0].size() == 2);
}

TEST_CASE("a submission without all its items isn't accepted", "[state]") {
    test_group group;
    group.begin("job", 4);
    group.add_items("job", 0, 2);
    CHECK(group.commit("job").result() == schema::work_reply::missing);
    group.add_items("job", 3, 1);
    CHECK(group.commit("job").result() == schema::work_reply::missing);
    group.add_items("job", 2, 2);
    CHECK(group.commit("job").result() == schema::work_reply::done);
}

// Story: a reviewer reads a result, and later reads another one for the same item. The entry that
// was thought dead ended the item after the entry that took over.
TEST_CASE("the first end of an item counts, and only from its holder", "[state]") {
    test_group group;
    group.submit("job", 1);
    group.lease("job", "entry/1", {0});
    group.lose("entry/1");
    const schema::work_reply again = group.lease("job", "entry/2", {0});
    REQUIRE(again.leased_size() == 1);
    REQUIRE(again.leased(0).attempt() == 2);
    group.end("job", "entry/1", 0, 1, schema::completed, "late");
    CHECK(group.job("job").counts.completed == 0);
    group.end("job", "entry/2", 0, 2, schema::completed, "first");
    group.end("job", "entry/2", 0, 2, schema::completed, "second");
    CHECK(group.results("job").results(0).body() == "first");
    CHECK(group.job("job").counts.completed == 1);
}

// Story: all VMs lose power, and the summaries of a job that had nearly been done come long after
// the job was due. The entries kept what an item had made to themselves, so it began anew.
TEST_CASE("an item goes on at another entry behind what the last one saved", "[state]") {
    test_group group;
    group.submit("job", 1);
    CHECK(group.lease_filled("job", "entry/1").events() == 0);
    group.save_progress("job", "entry/1", 0, 1, schema::leased, "a", 1);
    group.save_progress("job", "entry/1", 0, 1, schema::leased, "a\nb", 2);
    CHECK(group.job("job").items[0].status == schema::leased);
    CHECK(group.results("job").results_size() == 0);
    group.lose("entry/1");
    group.save_progress("job", "entry/1", 0, 1, schema::leased, "stale", 3);
    const schema::leased_item second = group.lease_filled("job", "entry/2");
    CHECK(second.progress() == "a\nb");
    CHECK(second.events() == 2);

    group.save_progress("job", "entry/2", 0, 2, schema::pending, "a\nb\nc", 3);
    result<work_state> loaded = work_state::load(group.state.save());
    REQUIRE(loaded);
    group.state = std::move(loaded.value());
    CHECK(group.lease_filled("job", "entry/3").progress() == "a\nb\nc");
    group.end("job", "entry/3", 0, 3, schema::completed, "whole");
    CHECK(group.results("job").results(0).body() == "whole");
}

// Story: a caller that cancelled a job reads half an answer as the result of an item.
TEST_CASE("what a cancelled item had made is no result", "[state]") {
    test_group group;
    group.submit("job", 1);
    group.lease("job", "entry/1", {0});
    group.save_progress("job", "entry/1", 0, 1, schema::leased, "half", 1);
    group.cancel("job");
    group.save_progress("job", "entry/1", 0, 1, schema::pending, "half", 1);
    REQUIRE(group.results("job").results_size() == 1);
    CHECK(group.results("job").results(0).body().empty());
    CHECK(group.results("job").results(0).status() == schema::cancelled);
}

// Story: organisers get a digest twice. The entry that held the item died after it had sent it.
TEST_CASE("an item that must not run twice ends as unknown when its holder is lost", "[state]") {
    test_group group;
    group.submit("job", 1, false);
    group.lease("job", "entry/1", {0});
    group.lose("entry/1");
    CHECK(group.lease("job", "entry/2", {0}).leased_size() == 0);
    CHECK(group.job("job").counts.unknown == 1);
    CHECK(group.job("job").ended != 0);
}

// Story: a cancelled cohort goes on. An item that was given back after the cancellation waited
// again, and another entry took it.
TEST_CASE("nothing of a cancelled job is leased or kept", "[state]") {
    test_group group;
    group.submit("job", 3);
    group.lease("job", "entry/1", {0, 1});
    CHECK(group.cancel("job").job().status() == "cancelling");
    CHECK(group.lease("job", "entry/2", {2}).leased_size() == 0);
    group.end("job", "entry/1", 0, 1, schema::pending, "");
    CHECK(group.lease("job", "entry/2", {0}).leased_size() == 0);
    group.end("job", "entry/1", 1, 1, schema::completed, "too late");
    CHECK(group.job("job").status == job_status::cancelled);
    CHECK(group.job("job").counts.cancelled == 3);
    CHECK(group.job("job").counts.completed == 0);
    CHECK(group.cancel("job").result() == schema::work_reply::done);
}

TEST_CASE("an item that crashed two endpoints ends as failed", "[state]") {
    test_group group;
    group.submit("job", 1);
    group.lease("job", "entry/1", {0});
    group.end("job", "entry/1", 0, 1, schema::pending, "", true);
    CHECK(group.job("job").counts.failed == 0);
    group.lease("job", "entry/1", {0});
    group.end("job", "entry/1", 0, 2, schema::pending, "", true);
    CHECK(group.job("job").counts.failed == 1);
}

// Story: a digest is sent twice because its caller resent it, once through each of two entries.
TEST_CASE("a key lets one request run and replays its answer", "[state]") {
    test_group group;
    CHECK(group.claim("r-1", "print", false).result() == schema::work_reply::done);
    CHECK(group.claim("r-2", "print", false).result() == schema::work_reply::in_progress);
    CHECK(group.claim("r-3", "other", false).result() == schema::work_reply::key_reused);
    CHECK(group.claim("r-1", "print", false).result() == schema::work_reply::done);
    CHECK(group.finish("r-2", "wrong").result() == schema::work_reply::missing);
    CHECK(group.finish("r-1", "sent").result() == schema::work_reply::done);
    schema::work_reply replay = group.claim("r-4", "print", false);
    REQUIRE(replay.result() == schema::work_reply::replay);
    REQUIRE(group.state.fill_answer(replay, "team", "key", group.reader()));
    CHECK(replay.answer().body() == "sent");
}

TEST_CASE("a lost claim is free again only if the request may be repeated", "[state]") {
    const bool repeatable = GENERATE(true, false);
    test_group group;
    group.claim("r-1", "print", repeatable);
    group.lose("entry/1");
    CHECK(group.claim("r-2", "print", repeatable, "entry/2").result() ==
          (repeatable ? schema::work_reply::done : schema::work_reply::outcome_unknown));
}

TEST_CASE("ended jobs go when their retention is over, others stay", "[state]") {
    test_group group;
    group.submit("ended", 1);
    group.submit("open", 1);
    group.lease("ended", "entry/1", {0});
    group.end("ended", "entry/1", 0, 1, schema::completed, "answer");
    CHECK_FALSE(group.state.has_expired(at_time + 4000));
    REQUIRE(group.state.has_expired(at_time + 10000));
    schema::work_command command;
    command.mutable_expire()->set_at(at_time + 10000);
    group.apply(command);
    CHECK(group.state.jobs().size() == 1);
}

// Story: after a restart from a snapshot some items run twice or never, and a member that applied
// the log differs from one that got the snapshot.
TEST_CASE("random commands: each item ends once, and a restored state goes on alike", "[state]") {
    const int seed = GENERATE(range(1, 41));
    INFO("seed " << seed);
    std::mt19937 random(static_cast<unsigned>(seed));
    constexpr std::uint32_t items = 20;
    test_group group;
    group.submit("job", items);
    std::map<std::uint32_t, std::string> ended;
    for (int step = 0; step < 400; ++step) {
        const std::string holder = "entry/" + std::to_string(1 + random() % 3);
        const std::uint32_t ordinal = random() % items;
        const std::uint32_t attempt = 1 + random() % 4;
        switch (random() % 6) {
        case 0:
        case 1:
            group.lease("job", holder, {ordinal, (ordinal + 1) % items});
            break;
        case 2:
            group.lose(holder);
            break;
        case 3:
            group.end("job", holder, ordinal, attempt, schema::pending, "");
            break;
        default:
            group.end("job", holder, ordinal, attempt, schema::completed,
                      "answer " + std::to_string(step));
            break;
        }
        const schema::work_reply read = group.results("job");
        for (const schema::item_result& one : read.results()) {
            if (one.status() != schema::completed)
                continue;
            const std::string& first = ended.emplace(one.ordinal(), one.body()).first->second;
            REQUIRE(first == one.body());
        }
        REQUIRE(group.job("job").counts.completed == ended.size());
        if (step % 50 == 0) {
            const std::string image = group.state.save();
            result<work_state> loaded = work_state::load(image);
            REQUIRE(loaded);
            REQUIRE(loaded.value().save() == image);
            group.state = std::move(loaded.value());
        }
    }
}

// Story: a keeper crashes when it loads a snapshot whose bytes a disk has changed.
TEST_CASE("the image decoder takes any bytes", "[state][fuzz]") {
    constexpr int rounds = 3000;
    const unsigned seed = 4711;
    INFO("seed " << seed);
    std::mt19937 random(seed);
    test_group group;
    group.submit("job", 5);
    group.lease("job", "entry/1", {0, 1});
    const std::string image = group.state.save();
    for (int i = 0; i < rounds; ++i) {
        std::string bytes = image;
        for (int n = 0; n < 3; ++n)
            bytes[random() % bytes.size()] = static_cast<char>(random());
        const result<work_state> loaded = work_state::load(bytes);
        (void)loaded;
    }
}
