// Sends load and measures: open-loop online calls, a batch, both side by side.

#include "cassia/base/digest.h"
#include "cassia/entry/request_text.h"
#include "cassia/load/announce_phase.h"
#include "cassia/load/batch_phase.h"
#include "cassia/load/online_phase.h"
#include "cassia/load/report.h"
#include "cassia/settings/command_line.h"
#include "cassia/settings/logging.h"

#include <boost/json.hpp>

#include <fstream>
#include <iostream>
#include <memory>

using cassia::load::batch_phase;
using cassia::load::online_phase;
using cassia::load::phase_report;

namespace {
constexpr unsigned connections = 4;
constexpr const char* usage =
    "[run | compare | announce]\n"
    "  run      online calls and, beside them, one batch if batch_items is above 0 (default)\n"
    "  compare  online calls alone, then the batch alone, then both together\n"
    "  announce made-up endpoints announce themselves, nothing else\n";

struct finished_phase {
    std::string name;
    std::unique_ptr<online_phase> online;
    std::unique_ptr<batch_phase> batch;
};
} // namespace

// Asks the entries which of them to use, as callers do.
static std::vector<std::string> find_entries(cassia::net::task& task,
                                             const cassia::schema::load_settings& settings) {
    cassia::net::http_client client(task, connections);
    std::vector<std::string> found;
    for (const std::string& address : settings.entry()) {
        cassia::net::http_call call;
        call.to = cassia::http_address(address);
        call.path = "/v1/entries";
        cassia::net::fetch(
            client, call,
            [&task, &found](const cassia::outcome<cassia::net::http_answer,
                                                  cassia::net::http_failure>& answer) {
                if (answer && answer.value().head.status == 200) {
                    const cassia::entry::json_parse_result parsed =
                        cassia::entry::parse_json(answer.value().body);
                    for (const boost::json::value& one : parsed.value->at("entries").as_array())
                        found.emplace_back(one.at("address").as_string());
                }
                task.quit();
            });
        task.run();
        if (!found.empty())
            break;
    }
    return found;
}

static finished_phase run_phase(cassia::net::task& task,
                                const cassia::schema::load_settings& settings,
                                const std::vector<std::string>& targets, const std::string& name,
                                bool online, bool batch) {
    finished_phase phase;
    phase.name = name;
    int open = 0;
    const std::function<void()> done = [&task, &open] {
        if (--open == 0)
            task.quit();
    };
    if (online) {
        ++open;
        phase.online = std::make_unique<online_phase>(task, settings, targets, settings.seed());
    }
    if (batch) {
        ++open;
        const std::string run =
            std::to_string(settings.seed()) + cassia::random_name("-") + " " + name;
        phase.batch = std::make_unique<batch_phase>(task, settings, targets, run);
    }
    if (phase.online)
        phase.online->start(done);
    if (phase.batch)
        phase.batch->start(done);
    if (open > 0)
        task.run();
    return phase;
}

static int run_announcements(cassia::net::task& task, const cassia::schema::load_settings& settings,
                             const std::vector<std::string>& targets) {
    cassia::load::announce_phase phase(task, settings, targets);
    phase.start([&task] { task.quit(); });
    task.run();
    std::cout << settings.endpoints() << " endpoints, " << phase.accepted() << " accepted, "
              << phase.refused() << " refused\n";
    return phase.refused() == 0 ? cassia::settings::exit_fine : cassia::settings::exit_failed;
}

static void write_text(const std::string& path, const std::string& text) {
    if (path.empty())
        return;
    std::ofstream file(path);
    file << text;
}

static bool is_clean(const std::vector<finished_phase>& phases) {
    for (const finished_phase& phase : phases) {
        if (phase.online && (phase.online->result().wrong > 0 || phase.online->result().failed > 0))
            return false;
        if (phase.batch && phase.batch->result().right != phase.batch->result().items)
            return false;
    }
    return true;
}

int main(int argc, char** argv) {
    cassia::schema::load_settings settings;
    const cassia::settings::program_info program{
        "cassia-load", "sends online calls and batches, and measures them", usage, ""};
    const cassia::settings::command_line line =
        cassia::settings::read_command_line(argc, argv, program, settings);
    if (line.exit)
        return *line.exit;
    if (!cassia::settings::start_logs("cassia-load", settings.log(),
                                      cassia::log_stream::standard_error))
        return cassia::settings::exit_failed;
    const std::string mode = line.arguments.empty() ? "run" : line.arguments.front();
    const bool known = mode == "run" || mode == "compare" || mode == "announce";
    if (!known || line.arguments.size() > 1) {
        std::cerr << "cassia-load: expected run, compare or announce; see --help\n";
        return cassia::settings::exit_usage;
    }
    cassia::net::task task("load");
    std::vector<std::string> targets = find_entries(task, settings);
    if (targets.empty()) {
        std::cerr << "cassia-load: no entry answers\n";
        return cassia::settings::exit_failed;
    }
    if (mode == "announce")
        return run_announcements(task, settings, targets);
    std::vector<finished_phase> phases;
    if (!settings.direct().empty())
        phases.push_back(
            run_phase(task, settings, {settings.direct()}, "straight to engine", true, false));
    if (mode == "compare") {
        phases.push_back(run_phase(task, settings, targets, "online alone", true, false));
        phases.push_back(run_phase(task, settings, targets, "batch alone", false, true));
        phases.push_back(run_phase(task, settings, targets, "both", true, true));
    } else {
        phases.push_back(run_phase(task, settings, targets, "run", settings.rate() > 0,
                                   settings.batch_items() > 0));
    }
    std::vector<phase_report> reports;
    reports.reserve(phases.size());
    for (const finished_phase& phase : phases)
        reports.push_back({phase.name, phase.online ? &phase.online->result() : nullptr,
                           phase.batch ? &phase.batch->result() : nullptr});
    std::cout << "seed " << settings.seed() << ", " << targets.size() << " entries\n"
              << cassia::load::to_table(reports);
    write_text(settings.csv(), cassia::load::to_csv(reports));
    write_text(settings.svg(), cassia::load::to_svg(reports));
    return is_clean(phases) ? cassia::settings::exit_fine : cassia::settings::exit_failed;
}
