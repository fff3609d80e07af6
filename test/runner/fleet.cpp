#include "fleet.h"

#include "cassia/base/digest.h"
#include "cassia/net/peer_hub.h"

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>

namespace cassia::scenario {

namespace {
constexpr int keeper_kind = 1;
constexpr int entry_kind = 2;
constexpr int engine_kind = 3;
constexpr int service_kind = 4;
constexpr int relay_kind = 100; ///< added to a kind: the relay's address for it
constexpr int first_block = 100;
constexpr const char* endpoint_token = "scenario-endpoint-token";
constexpr const char* operator_token = "scenario-operator-token";
} // namespace

fleet::fleet(std::string bin, std::string state, int block)
    : bin_(std::move(bin)), state_(std::move(state)), block_(block) {
    std::filesystem::remove_all(state_);
    std::filesystem::create_directories(state_ + "/data");
}

fleet::~fleet() {
    for (const std::pair<const std::string, process>& one : processes_) {
        if (one.second.pid > 0) {
            kill(one.second.pid, SIGCONT);
            kill(one.second.pid, SIGKILL);
            waitpid(one.second.pid, nullptr, 0);
        }
    }
}

std::string fleet::ip_of(int kind, int number) const {
    return "127." + std::to_string(first_block + block_) + "." + std::to_string(kind) + "." +
           std::to_string(number);
}

std::string fleet::write_file(const std::string& name, const std::string& text) {
    const std::string path = state_ + "/" + name;
    std::ofstream file(path);
    file << text;
    return path;
}

void fleet::add(const std::string& name, const std::string& program, const std::string& config,
                const std::string& ip, const std::map<std::string, std::string>& sets) {
    process one;
    one.name = name;
    one.program = program;
    one.ip = ip;
    one.data_dir = state_ + "/data/" + name;
    one.arguments = {bin_ + "/" + program, "--config", config, "--set", "name=" + name};
    for (const std::pair<const std::string, std::string>& set : sets) {
        one.arguments.emplace_back("--set");
        one.arguments.push_back(set.first + "=" + set.second);
        if (set.first == "http_address" || set.first == "address")
            one.address = set.second;
    }
    processes_[name] = one;
    order_.push_back(name);
}

void fleet::add(const std::string& name, const std::string& program, const std::string& ip,
                std::vector<std::string> arguments) {
    process one;
    one.name = name;
    one.program = program;
    one.ip = ip;
    one.data_dir = state_ + "/data/" + name;
    one.arguments = std::move(arguments);
    one.arguments.insert(one.arguments.begin(), bin_ + "/" + program);
    processes_[name] = one;
    order_.push_back(name);
}

void fleet::make(const fleet_shape& shape) {
    std::ostringstream cluster;
    cluster << "[cluster]\nsecret = \"" << net::make_cluster_secret() << "\"\nwork_groups = 2\n";
    for (int i = 1; i <= shape.keepers; ++i)
        cluster << "[[cluster.keeper]]\nname = \"keeper-" << i << "\"\naddress = \""
                << ip_of(relay_kind + keeper_kind, i) << ":7000\"\n";
    const std::string keeper = write_file("keeper.toml", cluster.str());
    const std::string entry =
        write_file("entry.toml", "endpoint_token_sha256 = \"" + sha256_hex(endpoint_token) +
                                     "\"\noperator_token_sha256 = \"" + sha256_hex(operator_token) +
                                     "\"\n" + cluster.str());
    std::string entries;
    for (int i = 1; i <= shape.entries; ++i)
        entries += (i > 1 ? ", \"" : "\"") + ip_of(entry_kind, i) + ":8080\"";
    const std::string endpoint =
        "entry = [" + entries + "]\nendpoint_token = \"" + endpoint_token + "\"\n";
    const std::string engine = write_file(
        "engine.toml", "kind = \"engine\"\nservice = \"model\"\nversion = [\"v1\"]\n" + endpoint);
    const std::string service =
        write_file("service.toml", "kind = \"service\"\nservice = \"records\"\n" + endpoint);
    const auto zone = [&shape](int number) {
        return std::string("zone-") + static_cast<char>('a' + (number - 1) % shape.zones);
    };
    const auto with = [](std::map<std::string, std::string> own,
                         const std::map<std::string, std::string>& over) {
        for (const std::pair<const std::string, std::string>& one : over)
            own[one.first] = one.second;
        return own;
    };
    for (int i = 1; i <= shape.keepers; ++i) {
        const std::string name = "keeper-" + std::to_string(i);
        const std::string ip = ip_of(keeper_kind, i);
        const std::string reached = ip_of(relay_kind + keeper_kind, i) + ":7000";
        relay_.add_route(reached, ip + ":7000");
        add(name, "cassia-keeper", keeper, ip,
            with({{"zone", zone(i)},
                  {"peer_address", reached},
                  {"peer_bind", ip + ":7000"},
                  {"http_address", ip + ":7001"},
                  {"data_dir", state_ + "/data/" + name}},
                 shape.keeper_sets));
    }
    for (int i = 1; i <= shape.entries; ++i) {
        const std::string ip = ip_of(entry_kind, i);
        const std::string reached = ip_of(relay_kind + entry_kind, i) + ":7000";
        relay_.add_route(reached, ip + ":7000");
        add("entry-" + std::to_string(i), "cassia-entry", entry, ip,
            with({{"zone", zone(i)},
                  {"peer_address", reached},
                  {"peer_bind", ip + ":7000"},
                  {"http_address", ip + ":8080"}},
                 shape.entry_sets));
    }
    for (int i = 1; i <= shape.engines; ++i) {
        const std::string ip = ip_of(engine_kind, i);
        const std::string reached = ip_of(relay_kind + engine_kind, i) + ":9000";
        std::map<std::string, std::string> sets{{"zone", zone(i)}, {"address", ip + ":9000"}};
        if (shape.software_versions > 0)
            sets["software_version"] = "s" + std::to_string(i % shape.software_versions);
        if (shape.relayed_engines) {
            relay_.add_route(reached, ip + ":9000");
            sets["address"] = reached;
            sets["bind"] = ip + ":9000";
        }
        add("engine-" + std::to_string(i), "cassia-standin", engine, ip,
            with(sets, shape.engine_sets));
        processes_.at("engine-" + std::to_string(i)).address = ip + ":9000";
    }
    for (int i = 1; i <= shape.services; ++i) {
        const std::string ip = ip_of(service_kind, i);
        const std::string reached = ip_of(relay_kind + service_kind, i) + ":9000";
        std::map<std::string, std::string> sets{{"zone", zone(i)}, {"address", ip + ":9000"}};
        if (shape.relayed_services) {
            relay_.add_route(reached, ip + ":9000");
            sets["address"] = reached;
            sets["bind"] = ip + ":9000";
        }
        add("service-" + std::to_string(i), "cassia-standin", service, ip, sets);
        processes_.at("service-" + std::to_string(i)).address = ip + ":9000";
    }
    relay_.start();
}

void fleet::start(const std::string& name, std::uint64_t most_file_bytes) {
    process& one = processes_.at(name);
    std::vector<char*> arguments;
    for (std::string& argument : one.arguments)
        arguments.push_back(argument.data());
    arguments.push_back(nullptr);
    const std::string log = state_ + "/" + name + ".log";
    const std::string tracker =
        std::filesystem::read_symlink("/proc/self/exe").parent_path() / "libcassia-sync-tracker.so";
    const pid_t parent = getpid();
    one.pid = fork();
    if (one.pid != 0)
        return;
    // A runner that dies, killed by its time limit perhaps, must not leave a fleet behind.
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (getppid() != parent)
        _exit(1);
    if (most_file_bytes > 0) {
        ::signal(SIGXFSZ, SIG_IGN);
        const rlimit limit{most_file_bytes, most_file_bytes};
        setrlimit(RLIMIT_FSIZE, &limit);
    }
    if (!one.synced_dir.empty()) {
        setenv("CASSIA_TRACKED_FOLDER", one.data_dir.c_str(), 1);
        setenv("CASSIA_SYNCED_FOLDER", one.synced_dir.c_str(), 1);
        setenv("CASSIA_SYNC_DELAY_US", std::to_string(one.sync_delay_us).c_str(), 1);
        setenv("LD_PRELOAD", tracker.c_str(), 1);
    }
    const int file = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
    dup2(file, STDOUT_FILENO);
    dup2(file, STDERR_FILENO);
    execv(arguments[0], arguments.data());
    _exit(127);
}

void fleet::signal(const std::string& name, int number) {
    const process& one = processes_.at(name);
    if (one.pid > 0)
        kill(one.pid, number);
}

int fleet::wait(const std::string& name) {
    process& one = processes_.at(name);
    if (one.pid <= 0)
        return 0;
    int status = 0;
    waitpid(one.pid, &status, 0);
    one.pid = 0;
    return WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
}

bool fleet::is_running(const std::string& name) {
    process& one = processes_.at(name);
    if (one.pid <= 0)
        return false;
    int status = 0;
    if (waitpid(one.pid, &status, WNOHANG) == one.pid) {
        one.pid = 0;
        return false;
    }
    return true;
}

void fleet::wipe_disk(const std::string& name) {
    const process& one = processes_.at(name);
    std::filesystem::remove_all(one.data_dir);
    if (one.synced_dir.empty())
        return;
    std::filesystem::remove_all(one.synced_dir);
    track_syncs(name, one.sync_delay_us);
}

// The folder of the disk exists before the process does.
void fleet::track_syncs(const std::string& name, int delay_us) {
    process& one = processes_.at(name);
    one.sync_delay_us = delay_us;
    one.synced_dir = std::filesystem::absolute(state_ + "/synced/" + name);
    one.data_dir = std::filesystem::absolute(one.data_dir);
    std::filesystem::create_directories(one.synced_dir);
    std::filesystem::create_directories(one.data_dir);
}

const process& fleet::find(const std::string& name) const {
    auto found = processes_.find(name);
    if (found == processes_.end()) {
        std::fprintf(stderr, "no process '%s'\n", name.c_str());
        std::exit(1);
    }
    return found->second;
}

std::vector<std::string> fleet::names() const {
    return order_;
}

} // namespace cassia::scenario
