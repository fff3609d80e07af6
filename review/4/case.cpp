// A store machine that is being emptied loses its disk; it is reported as emptied while it is a
// member again, and taken away.
#include "../support/harness.h"

using namespace review;

namespace {
constexpr int items = 6;
constexpr std::size_t body_bytes = 300000;
} // namespace

int main(int, char** argv) {
    record.open(std::string(argv[2]) + "/record.txt");
    fleet machines(argv[1]);
    machines.start_all(3, 3);
    std::vector<std::unique_ptr<runner>> runners;
    for (int i = 1; i <= 3; ++i) {
        runner_settings settings;
        settings.id = "r" + std::to_string(i);
        settings.service = "llm";
        settings.address = machines.net() + std::to_string(40 + i) + ":8080";
        settings.zone = "z" + std::to_string(i);
        settings.slots = 4;
        settings.queue = 12;
        settings.events = 20;
        settings.event_ms = 200;
        runners.push_back(std::make_unique<runner>(settings, machines.control()));
        runners.back()->is_stream = [](const message&) { return true; };
        if (!runners.back()->open())
            machines.finish(2);
    }
    const std::string batch =
        route_json("summary", "/summary/", "batch", "llm",
                   ",\"timeoutMs\":15000,\"sloMs\":400,\"priority\":2,\"maxAttempts\":3,"
                   "\"resultDueMs\":18000,\"maxWaitS\":60,\"maxQueued\":1900000");
    const bool started = machines.put(configuration(1, {batch}, {service_json("llm")})) &&
                         machines.wait_ready(3) &&
                         wait_for([&] { return runners.back()->acknowledged() > 1; }, 10000);
    if (!started)
        machines.finish(2);
    // A store machine is added, in the second zone.
    machines.start("store-4", "z2", false);
    sleep_ms(6000);

    std::vector<std::string> jobs;
    for (int i = 0; i < 40; ++i) {
        const std::string job = "job" + std::to_string(i);
        for (int turn = 0; turn < 10; ++turn) {
            const message got = call(machines.front(1 + (i + turn) % 3), "POST", "/summary/" + job,
                                     {{"Host", "shop.example"},
                                      {"X-Cassiarouter-Request-Id", job},
                                      {"Content-Type", "application/json"}},
                                     job_body(job, "/summary/", items, body_bytes), 4000);
            record.write("client: job %s of %d items answered %d", job.c_str(), items, got.status);
            if (got.status == 202) {
                jobs.push_back(job);
                break;
            }
        }
    }
    if (jobs.empty())
        machines.finish(2);

    // What was accepted is on the disks by now; few items have ended.
    sleep_ms(3000);
    // The operator has store-1 emptied.
    message got = call_control(machines.control(), 0, "POST", "/cassiarouter/Retire.Start/store-1",
                               "{\"durationS\":10}", 2000);
    record.write("operator: Retire.Start of store-1 answered %d", got.status);
    if (got.status != 200)
        machines.finish(2);
    const std::int64_t asked = steady_ms();
    if (has_trouble()) {
        sleep_ms(100);
        machines.lose_disk("store-1", 300);
    }
    // It looks again when the time that it gave is over, and then each half second.
    sleep_ms(asked + 10000 - steady_ms());
    bool done = false;
    for (int turn = 0; turn < 40 && !done; ++turn) {
        got = call_control(machines.control(), 0, "GET", "/cassiarouter/Retire.Get/store-1", "",
                           2000);
        record.write("operator: Retire.Get of store-1 answered %d %s", got.status,
                     got.body.c_str());
        done = json_text(got.body, "state") == "done";
        if (!done)
            sleep_ms(500);
    }
    if (!done)
        machines.finish(2);
    // Another store machine loses its disk right after; the loss of one is to be borne.
    machines.signal("store-1", SIGKILL);
    sleep_ms(50);
    machines.signal("store-2", SIGKILL);
    machines.remove("store-1");
    machines.lose_disk("store-2", 1000);
    // The machine has had catchUpS (4.9 s) and recoverS (12 s); the jobs are asked for 12 s more.
    sleep_ms(17000);
    std::set<std::string> read_jobs;
    for (const std::int64_t until = steady_ms() + 12000; steady_ms() < until;) {
        for (std::size_t i = 0; i < jobs.size() && steady_ms() < until; ++i) {
            if (read_jobs.count(jobs[i]) > 0)
                continue;
            const std::string front = machines.front(1 + static_cast<int>(i % 3));
            const job_results read = read_job(front, "shop.example", jobs[i]);
            record.write("client: job %s read at %s with %d, %zu of %ld items are listed",
                         jobs[i].c_str(), front.c_str(), read.status, read.ids.size(), read.total);
            if (read.status == 200)
                read_jobs.insert(jobs[i]);
        }
        if (read_jobs.size() == jobs.size())
            break;
    }
    const std::size_t lost = jobs.size() - read_jobs.size();
    record.write("sum: %zu of %zu accepted jobs can't be read", lost, jobs.size());
    machines.finish(lost > 0 ? 1 : 0);
}
