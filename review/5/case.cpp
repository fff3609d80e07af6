// The operator adds a route with a longer prefix while items of an accepted job wait.
#include "../support/harness.h"

using namespace review;

int main(int, char** argv) {
    record.open(std::string(argv[2]) + "/record.txt");
    fleet machines(argv[1]);
    machines.start_all(3, 3);
    std::vector<std::unique_ptr<runner>> runners;
    const auto add = [&](int number, const std::string& service) {
        runner_settings settings;
        settings.id = "r" + std::to_string(number);
        settings.service = service;
        settings.address = machines.net() + std::to_string(40 + number) + ":8080";
        settings.zone = "z" + std::to_string((number - 1) % 3 + 1);
        settings.slots = 4;
        settings.queue = 12;
        settings.events = 20;
        settings.event_ms = 50;
        runners.push_back(std::make_unique<runner>(settings, machines.control()));
        if (service == "llm")
            runners.back()->is_stream = [](const message&) { return true; };
        return runners.back()->open();
    };
    if (!add(1, "llm") || !add(2, "llm") || !add(3, "llm") || !add(4, "app"))
        machines.finish(2);
    const std::string batch =
        route_json("summary", "/summary/", "batch", "llm",
                   ",\"timeoutMs\":15000,\"sloMs\":400,\"priority\":2,\"maxAttempts\":3,"
                   "\"resultDueMs\":18000,\"maxWaitS\":60,\"maxQueued\":1900000");
    const std::vector<std::string> services = {service_json("llm"), service_json("app")};
    const bool started = machines.put(configuration(1, {batch}, services)) &&
                         machines.wait_ready(3) &&
                         wait_for([&] { return runners.back()->acknowledged() > 1; }, 10000);
    if (!started)
        machines.finish(2);
    sleep_ms(2000);

    const int items = 40;
    const std::string job = "job0";
    message got;
    for (int turn = 0; turn < 10 && got.status != 202; ++turn) {
        got = call(machines.front(1 + turn % 3), "POST", "/summary/" + job,
                   {{"Host", "shop.example"},
                    {"X-Cassiarouter-Request-Id", job},
                    {"Content-Type", "application/json"}},
                   job_body(job, "/summary/", items), 4000);
        record.write("client: job %s of %d items answered %d", job.c_str(), items, got.status);
    }
    if (got.status != 202)
        machines.finish(2);
    sleep_ms(1000);
    const std::string prefix = has_trouble() ? "/summary/3/" : "/pay/";
    const std::string added =
        route_json("pay", prefix, "unsafe", "app",
                   ",\"timeoutMs\":3000,\"sloMs\":300,\"priority\":0,\"maxAttempts\":1");
    if (!machines.put(configuration(2, {batch, added}, services)))
        machines.finish(2);
    sleep_ms(20000);

    const std::map<std::string, int> at_app = runners[3]->runs();
    int runs = 0;
    for (const auto& one : at_app) {
        runs += one.second;
        record.write("ROUTE: item %s ran %d times at a server of app", one.first.c_str(),
                     one.second);
    }
    const job_results read = read_job(machines.front(1), "shop.example", job);
    record.write("sum: %zu items ran at app, %d times together; the job is read with %d, %zu of "
                 "%ld items are listed",
                 at_app.size(), runs, read.status, read.ids.size(), read.total);
    machines.finish(at_app.empty() ? 0 : 1);
}
