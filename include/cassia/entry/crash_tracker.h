/// Finds out whether an endpoint died, and strikes the requests that its death is blamed on. One
/// for each task that runs requests.
#pragma once

#include "cassia/entry/control_task.h"
#include "cassia/net/http_client.h"
#include "cassia/net/task.h"
#include "cassia/policy/strikes.h"

#include <functional>
#include <map>
#include <vector>

namespace cassia::entry {

class crash_blame {
public:
    /// \param client makes the probes; it belongs to the same task.
    /// \param on_strike is told of each strike that this task makes; may be empty.
    crash_blame(net::task& task, net::http_client& client, control_task& control,
                std::function<void(const policy::strike&)> on_strike);

    /// Asks whether the endpoint is dead. A lost connection may mean that it died, perhaps of the
    /// very request, or only that the connection broke; a dead endpoint refuses a second one.
    void probe(const http_address& address, std::function<void(bool dead)> done);

    /// The endpoint died with these requests under way. Told several times of one death, it counts
    /// the first. \returns whether this was the first.
    bool died(const endpoint_id& endpoint, const std::vector<policy::running_request>& running);

    /// Strikes that other tasks and entries made.
    void learn(const std::vector<policy::strike>& strikes);

    bool is_suspect(const fingerprint& request) const;
    bool is_quarantined(const fingerprint& request) const;

private:
    void probe_again(const http_address& address, std::function<void(bool dead)> done, int probes);
    void strike(const std::vector<fingerprint>& requests, const endpoint_id& endpoint, instant at);

    net::task& task_;
    net::http_client& client_;
    control_task& control_;
    std::function<void(const policy::strike&)> on_strike_;
    policy::strike_list strikes_;
    std::map<endpoint_id, instant> deaths_; ///< deaths that have been blamed already
};

} // namespace cassia::entry
