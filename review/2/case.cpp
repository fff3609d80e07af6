// A server's second copy of a rejection comes late, where the answer to the next request is
// expected.
#include "../support/harness.h"

using namespace review;

int main(int, char** argv) {
    record.open(std::string(argv[2]) + "/record.txt");
    fleet machines(argv[1]);
    machines.start_all(3, 3);
    std::vector<std::unique_ptr<runner>> runners;
    for (int i = 1; i <= 4; ++i) {
        runner_settings settings;
        settings.id = "r" + std::to_string(i);
        settings.service = "app";
        settings.address = machines.net() + std::to_string(40 + i) + ":8080";
        settings.zone = "z" + std::to_string((i - 1) % 3 + 1);
        settings.slots = 6;
        settings.queue = 2;
        settings.work_ms = 30;
        runners.push_back(std::make_unique<runner>(settings, machines.control()));
        if (!runners.back()->open())
            machines.finish(2);
    }
    const std::string first = configuration(
        1,
        {route_json("pay", "/pay/", "unsafe", "app",
                    ",\"timeoutMs\":3000,\"sloMs\":300,\"priority\":0,\"maxAttempts\":1")},
        {service_json("app")});
    const bool started = machines.put(first) && machines.wait_ready(3) &&
                         wait_for([&] { return runners.back()->acknowledged() > 1; }, 10000);
    if (!started)
        machines.finish(2);
    sleep_ms(2000);

    // The disruption: two of four servers, 5 s, at most 3 in 100 of each server's answers.
    std::atomic<bool> troubled{false};
    for (std::size_t i = 0; has_trouble() && i < 2; ++i) {
        runner* one = runners[i].get();
        one->repeats_rejection = [one, &troubled] {
            return troubled && one->repeated_rejections() + 1 <= 0.03 * one->answers_since_mark();
        };
    }
    std::mutex mutex;
    std::map<std::string, int> answers;
    std::atomic<int> number{0};
    const std::int64_t began = steady_ms();
    const auto client = [&](int seed) {
        std::mt19937 random(static_cast<unsigned>(seed));
        while (steady_ms() - began < 16000) {
            const std::string id = "q" + std::to_string(++number);
            const std::string front = machines.front(1 + static_cast<int>(random() % 3));
            const message got = call(front, "POST", "/pay/order",
                                     {{"Host", "shop.example"},
                                      {"X-Cassiarouter-Request-Id", id},
                                      {"X-Cassiarouter-Deadline-Ms", "3000"},
                                      {"Connection", "close"}},
                                     "order " + id, 3500);
            record.write("client: %s answered %d %s", id.c_str(), got.status,
                         got.how_ended.c_str());
            {
                std::lock_guard<std::mutex> lock(mutex);
                answers[id] = got.status;
            }
            sleep_ms(static_cast<std::int64_t>(random() % 30));
        }
    };
    std::vector<std::thread> clients;
    for (int i = 0; i < 40; ++i)
        clients.emplace_back(client, i);
    sleep_ms(5000);
    for (auto& one : runners)
        one->mark();
    troubled = true;
    record.write("servers r1 and r2: second answers begin");
    sleep_ms(5000);
    troubled = false;
    record.write("servers r1 and r2: second answers end");
    for (std::thread& one : clients)
        one.join();
    sleep_ms(1000);

    std::map<std::string, int> runs;
    int rejections = 0;
    int repeated = 0;
    for (auto& one : runners) {
        for (const auto& run : one->runs())
            runs[run.first] += run.second;
        rejections += one->rejections();
        repeated += one->repeated_rejections();
    }
    int twice = 0;
    int refused_but_run = 0;
    for (const auto& run : runs) {
        const int status = answers.count(run.first) > 0 ? answers[run.first] : 0;
        if (run.second > 1) {
            ++twice;
            record.write("TWICE: %s ran %d times, answered %d", run.first.c_str(), run.second,
                         status);
        }
        if (status == 429 || status == 503 || status == 408 || status == 421) {
            ++refused_but_run;
            record.write("REFUSED: %s ran and was answered %d", run.first.c_str(), status);
        }
    }
    int served = 0;
    for (const auto& one : answers)
        served += one.second == 200 ? 1 : 0;
    record.write("sum: %zu requests, %d served, %d rejections by servers, %d of them repeated, "
                 "%d ran twice, %d refused though run",
                 answers.size(), served, rejections, repeated, twice, refused_but_run);
    if (served < 100 || rejections < 100)
        machines.finish(2);
    machines.finish(twice > 0 || refused_but_run > 0 ? 1 : 0);
}
