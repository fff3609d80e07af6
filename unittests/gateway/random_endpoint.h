/// Endpoints that run, reject, break off, stall and hand over requests at random.
#pragma once

#include "cassia/base/ids.h"
#include "cassia/net/task.h"
#include "cassia/net/tcp_connections.h"

#include "dispatcher_fixture.h"

#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace cassia::gateway {

/// A run of an item, and the event that it was asked to go on behind.
struct begun_run {
    std::string item;
    int last_event = 0;
    std::string endpoint;
};

/// What the endpoints of one fleet did, counted.
struct fleet_record {
    std::map<std::string, int> runs; ///< by request id; a copy that goes on twice counts as another
    std::map<std::string, int> done; ///< by what was done
    std::map<std::string, std::string> copies; ///< request ids by the handles of stopped runs
    std::set<std::string> used_copies;         ///< handles of runs that go on
    std::vector<begun_run> item_runs;          ///< each event of an item names its run by index
    std::map<std::string, std::map<int, int>> sent_statuses; ///< by item and status, no copies
};

struct parsed_request {
    std::string id;
    std::string target;
    std::string copy; ///< handle of the run to go on with, if any
    int last_event = 0;
};

class random_endpoint {
public:
    random_endpoint(net::task& owner, int number, std::uint64_t seed, fleet_record& record);
    random_endpoint(const random_endpoint&) = delete;
    random_endpoint& operator=(const random_endpoint&) = delete;
    ~random_endpoint();

    bool streams = false;
    /// Runs batch items: those whose id begins with "bad" end with 422, with "fails" with 500.
    bool runs_items = false;
    double rejected_share = 0.3; ///< of its requests

private:
    /// A stream that is being written.
    struct active_run {
        std::string request;
        int next_event = 1;
        std::size_t number = 0; ///< in fleet_record::item_runs
        std::string written;    ///< of an item's response
    };
    struct connection {
        std::string unread;
        std::vector<std::string> sent; ///< whole rejections and responses, as written
        std::unique_ptr<active_run> run;
    };

    bool chance(double share) {
        return std::uniform_real_distribution<double>(0, 1)(random_) < share;
    }
    int number(int most) { return std::uniform_int_distribution<int>(0, most)(random_); }
    void count(const std::string& what) { ++record_.done[what]; }
    void on_bytes(net::connection_id id, std::string_view bytes);
    void respond(net::connection_id id, const parsed_request& request);
    void reject(net::connection_id id, const parsed_request& request);
    void run(net::connection_id id, const parsed_request& request);
    void run_call(net::connection_id id, const parsed_request& request);
    void run_stream(net::connection_id id, const parsed_request& request);
    void run_item(net::connection_id id, const parsed_request& request);
    /// Does the work of a request without a response.
    void note_run(const parsed_request& request);
    void next_event(net::connection_id id, const std::string& request);
    /// Answers the order to hand a run over.
    void hand_over(net::connection_id id, const std::string& request);
    bool stop_run(const std::string& request);
    /// Writes copies of earlier responses of the connection, or one without an id.
    void write_late_copies(net::connection_id id, const parsed_request& request);
    void write_response(net::connection_id id, const std::string& bytes, bool keep);
    /// At once, or in two parts.
    void write_parts(net::connection_id id, const std::string& bytes);
    void break_off(net::connection_id id);
    void freeze();
    void later(milliseconds most, std::function<void()> action);

    net::task& owner_;
    std::mt19937_64 random_;
    fleet_record& record_;
    std::string name_;
    std::unique_ptr<net::tcp_connections> sockets_;
    std::map<net::connection_id, connection> connections_;
    bool frozen_ = false;
    std::shared_ptr<bool> is_alive_ = std::make_shared<bool>(true);
};

/// \param extra fields, each ended by a line break.
std::string make_response(const std::string& status, const std::string& request,
                          const std::string& extra, const std::string& body);
inline bool moves_run(std::string_view target) {
    return target.substr(0, 6) == "/move/";
}

} // namespace cassia::gateway
