// Commands about batch jobs.

#include "cassia/base/file.h"
#include "cassia/ctl/commands.h"
#include "cassia/settings/command_line.h"

#include <boost/json.hpp>

#include <chrono>
#include <cstdio>
#include <fstream>
#include <iostream>
#include <thread>

namespace cassia::ctl {

namespace {
constexpr int ok_status = 200;
constexpr int accepted_status = 202;
constexpr std::chrono::milliseconds watch_interval(500);
} // namespace

static question as_caller(const std::string& method, const std::string& path) {
    question asked;
    asked.method = method;
    asked.path = path;
    asked.as = identity::caller_key;
    return asked;
}

static std::int64_t count_of(const boost::json::value& job, const char* name) {
    return job.at("counts").at(name).to_number<std::int64_t>();
}

static void print_job(const boost::json::value& job) {
    std::printf("%s  %-10s  %lld of %lld completed, %lld failed, %lld unknown, %lld cancelled\n",
                std::string(job.at("id").as_string()).c_str(),
                std::string(job.at("status").as_string()).c_str(),
                static_cast<long long>(count_of(job, "completed")),
                static_cast<long long>(count_of(job, "total")),
                static_cast<long long>(count_of(job, "failed")),
                static_cast<long long>(count_of(job, "unknown")),
                static_cast<long long>(count_of(job, "cancelled")));
    std::fflush(stdout);
}

static int submit(client& to, arguments given) {
    question asked = as_caller("POST", "/v1/batches");
    const std::string key = take_option(given, "--key");
    const std::string deadline = take_option(given, "--deadline");
    if (given.size() != 1)
        return usage_error("batch submit: expected FILE");
    const outcome<std::string, file_error> content = read_text_file(given[0]);
    if (!content) {
        std::cerr << "cassiactl: " << content.error().text << '\n';
        return settings::exit_failed;
    }
    asked.body = content.value();
    if (!key.empty())
        asked.headers["Idempotency-Key"] = key;
    if (!deadline.empty())
        asked.path += "?deadline=" + deadline;
    const answer got = to.ask(asked);
    if (got.status != accepted_status)
        return failed(got);
    print_job(got.json());
    return settings::exit_fine;
}

static int list(client& to) {
    const answer got = to.ask(as_caller("GET", "/v1/batches"));
    if (got.status != ok_status)
        return failed(got);
    const boost::json::value body = got.json();
    for (const boost::json::value& job : body.at("data").as_array())
        print_job(job);
    return settings::exit_fine;
}

static int watch(client& to, const std::string& job) {
    std::string last;
    while (true) {
        const answer got = to.ask(as_caller("GET", "/v1/batches/" + job));
        if (got.status != ok_status)
            return failed(got);
        const boost::json::value body = got.json();
        if (got.text != last)
            print_job(body);
        last = got.text;
        const std::string status(body.at("status").as_string());
        if (status == "completed")
            return settings::exit_fine;
        if (status == "failed" || status == "cancelled")
            return settings::exit_failed;
        std::this_thread::sleep_for(watch_interval);
    }
}

static int fetch(client& to, const arguments& given) {
    const answer got = to.ask(as_caller("GET", "/v1/batches/" + given[0] + "/results"));
    if (got.status != ok_status)
        return failed(got);
    if (given.size() == 1) {
        std::cout << got.text;
        return settings::exit_fine;
    }
    std::ofstream file(given[1]);
    file << got.text;
    return file.good() ? settings::exit_fine : settings::exit_failed;
}

static int cancel(client& to, const std::string& job) {
    const answer got = to.ask(as_caller("POST", "/v1/batches/" + job + "/cancel"));
    if (got.status != ok_status)
        return failed(got);
    print_job(got.json());
    return settings::exit_fine;
}

int run_batch(client& to, const arguments& given) {
    if (given.empty())
        return usage_error("batch: expected submit, list, watch, fetch or cancel");
    const arguments rest(given.begin() + 1, given.end());
    if (given[0] == "submit")
        return submit(to, rest);
    if (given[0] == "list" && rest.empty())
        return list(to);
    if (given[0] == "watch" && rest.size() == 1)
        return watch(to, rest[0]);
    if (given[0] == "fetch" && (rest.size() == 1 || rest.size() == 2))
        return fetch(to, rest);
    if (given[0] == "cancel" && rest.size() == 1)
        return cancel(to, rest[0]);
    return usage_error("batch: expected submit FILE, list, watch JOB, fetch JOB or cancel JOB");
}

} // namespace cassia::ctl
