/// The processes of a scenario: their settings, and what is done to them from outside.
#pragma once

#include "relay.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <sys/types.h>
#include <vector>

namespace cassia::scenario {

struct fleet_shape {
    int keepers = 3;
    int entries = 3;
    int engines = 2;
    int services = 1;
    int zones = 3;
    int software_versions = 0;    ///< engines have one of these in turn; none if 0
    bool relayed_engines = false; ///< a dead engine then looks like a broken connection
    bool relayed_services = false;
    std::map<std::string, std::string> keeper_sets; ///< settings over the scenario's own
    std::map<std::string, std::string> entry_sets;
    std::map<std::string, std::string> engine_sets;
};

struct process {
    std::string name;
    std::string program;
    std::vector<std::string> arguments;
    std::string ip;      ///< where it really listens
    std::string address; ///< HTTP, as others reach it
    std::string data_dir;
    std::string synced_dir; ///< what a loss of power would leave; empty if syncs aren't tracked
    int sync_delay_us = 0;
    pid_t pid = 0;
};

class fleet {
public:
    fleet(std::string bin, std::string state, int block);
    ~fleet();

    void make(const fleet_shape& shape);
    /// Adds a process that isn't one of the product's own.
    void add(const std::string& name, const std::string& program, const std::string& ip,
             std::vector<std::string> arguments);
    /// An IP number of this block.
    std::string ip_of(int kind, int number) const;
    /// \param most_file_bytes a write that makes a file larger fails, as on a full disk; 0: no
    /// limit
    void start(const std::string& name, std::uint64_t most_file_bytes = 0);
    void signal(const std::string& name, int number);
    /// Waits until the process has ended. \returns its exit code, or 128 and its signal's number.
    int wait(const std::string& name);
    bool is_running(const std::string& name);
    void wipe_disk(const std::string& name);
    /// Tracks the syncs of the process from its next start on, and makes each take longer.
    void track_syncs(const std::string& name, int delay_us);
    const process& find(const std::string& name) const;
    std::vector<std::string> names() const;
    relay& links() { return relay_; }
    const std::string& state() const { return state_; }

private:
    std::string write_file(const std::string& name, const std::string& text);
    void add(const std::string& name, const std::string& program, const std::string& config,
             const std::string& ip, const std::map<std::string, std::string>& sets);

    std::string bin_;
    std::string state_;
    int block_;
    relay relay_;
    std::map<std::string, process> processes_;
    std::vector<std::string> order_;
};

} // namespace cassia::scenario
