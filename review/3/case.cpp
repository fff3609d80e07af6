// The operator removes a batch route while items of an accepted job wait.
#include "../support/harness.h"

using namespace review;

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
        settings.event_ms = 50;
        runners.push_back(std::make_unique<runner>(settings, machines.control()));
        runners.back()->is_stream = [](const message&) { return true; };
        if (!runners.back()->open())
            machines.finish(2);
    }
    const std::string online =
        route_json("ask", "/ask/", "stream", "llm",
                   ",\"timeoutMs\":5000,\"sloMs\":300,\"priority\":0,\"maxAttempts\":2,"
                   "\"resumable\":true,\"gapSloMs\":400");
    const std::string batch =
        route_json("summary", "/summary/", "batch", "llm",
                   ",\"timeoutMs\":15000,\"sloMs\":400,\"priority\":2,\"maxAttempts\":3,"
                   "\"resultDueMs\":18000,\"maxWaitS\":60,\"maxQueued\":1900000");
    const bool started = machines.put(configuration(1, {online, batch}, {service_json("llm")})) &&
                         machines.wait_ready(3) &&
                         wait_for([&] { return runners.back()->acknowledged() > 1; }, 10000);
    if (!started)
        machines.finish(2);
    sleep_ms(2000);

    // Two jobs, as their senders do it: sent again, to another node, until a 202 comes.
    const int items = 40;
    std::vector<std::string> jobs;
    for (int i = 0; i < 2; ++i) {
        const std::string job = "job" + std::to_string(i);
        for (int turn = 0; turn < 10; ++turn) {
            const message got = call(machines.front(1 + (i + turn) % 3), "POST", "/summary/" + job,
                                     {{"Host", "shop.example"},
                                      {"X-Cassiarouter-Request-Id", job},
                                      {"Content-Type", "application/json"}},
                                     job_body(job, "/summary/", items), 4000);
            record.write("client: job %s of %d items answered %d", job.c_str(), items, got.status);
            if (got.status == 202) {
                jobs.push_back(job);
                break;
            }
        }
    }
    if (jobs.size() != 2)
        machines.finish(2);
    sleep_ms(1500);
    if (has_trouble() && !machines.put(configuration(2, {online}, {service_json("llm")})))
        machines.finish(2);

    // finishS (18 s) after the last traffic, and 6 s more.
    const std::int64_t until = steady_ms() + 24000;
    std::int64_t half_full_at = 0;
    std::int64_t had_item_at = 0;
    while (steady_ms() < until) {
        for (auto& one : runners) {
            if (2 * one->running() >= one->settings().slots)
                half_full_at = steady_ms();
            if (!one->at_work().empty())
                had_item_at = steady_ms();
        }
        sleep_ms(20);
    }
    std::int64_t finished_at = 0;
    for (auto& one : runners)
        finished_at = std::max(finished_at, one->last_end());
    const std::int64_t now = steady_ms();
    record.write("servers: half full %.1f s ago, an item at work %.1f s ago, the last one ended "
                 "%.1f s ago",
                 static_cast<double>(now - half_full_at) / 1000,
                 static_cast<double>(now - had_item_at) / 1000,
                 static_cast<double>(now - finished_at) / 1000);
    const bool excused =
        now - half_full_at < 5000 || now - had_item_at < 5000 || now - finished_at < 3000;

    int unlisted = 0;
    int unread = 0;
    for (const std::string& job : jobs) {
        job_results read;
        for (int turn = 0; turn < 30 && read.status != 200; ++turn) {
            read = read_job(machines.front(1 + turn % 3), "shop.example", job);
            record.write("client: job %s read with %d: %zu of %ld items are listed", job.c_str(),
                         read.status, read.ids.size(), read.total);
            if (read.status != 200)
                sleep_ms(500);
        }
        unread += read.status == 200 ? 0 : 1;
        const std::set<std::string> listed(read.ids.begin(), read.ids.end());
        int done = 0;
        for (const std::string& state : read.states)
            done += state == "done" ? 1 : 0;
        for (int i = 0; i < items; ++i) {
            if (listed.count(item_id(job, i)) > 0)
                continue;
            ++unlisted;
            const message body = call(machines.front(1), "GET",
                                      "/cassiarouter/items/" + job + "?id=" + item_id(job, i),
                                      {{"Host", "shop.example"}}, "", 2000);
            record.write("LOST: item %s is listed neither as done nor as dead_letter; its body is "
                         "answered %d",
                         item_id(job, i).c_str(), body.status);
        }
        record.write("sum: job %s, %zu listed, %d of them done", job.c_str(), listed.size(), done);
    }
    record.write("sum: %d items listed neither way, %d jobs not read", unlisted, unread);
    if (excused)
        machines.finish(2);
    machines.finish(unlisted + unread > 0 ? 1 : 0);
}
