/// Detects endpoint crashes and records strikes against the requests that most likely caused them.
/// Every task that sends requests to endpoints has its own tracker.
#pragma once

#include "cassia/entry/control_task.h"
#include "cassia/net/http_client.h"
#include "cassia/net/task.h"
#include "cassia/policy/strikes.h"

#include <functional>
#include <map>
#include <vector>

namespace cassia::entry {

class crash_tracker {
public:
    /// \param client sends the probes; it must belong to the same task.
    /// \param on_strike is called for each strike that this task records; may be empty.
    crash_tracker(net::task& task, net::http_client& client, control_task& control,
                  std::function<void(const policy::strike&)> on_strike);

    /// Checks whether the endpoint has crashed. A lost connection may mean that the endpoint
    /// crashed, possibly because of that very request, or only that the connection broke. A crashed
    /// endpoint refuses a new connection.
    void probe(const http_address& address, std::function<void(bool crashed)> on_result);

    /// Records that the endpoint crashed while these requests were running. Several reports of the
    /// same crash count once. \returns whether this was the first report.
    bool record_crash(const endpoint_id& endpoint,
                      const std::vector<policy::running_request>& running);

    /// Adds strikes recorded by other tasks and entries.
    void merge_strikes(const std::vector<policy::strike>& strikes);

    bool is_suspect(const fingerprint& request) const;
    bool is_quarantined(const fingerprint& request) const;

private:
    void send_probe(const http_address& address, std::function<void(bool crashed)> on_result,
                    int probes_left);
    void add_strikes(const std::vector<fingerprint>& requests, const endpoint_id& endpoint,
                     instant time);

    net::task& task_;
    net::http_client& client_;
    control_task& control_;
    std::function<void(const policy::strike&)> on_strike_;
    policy::strike_list strikes_;
    std::map<endpoint_id, instant> last_crashes_; ///< crashes already attributed to requests
};

} // namespace cassia::entry
