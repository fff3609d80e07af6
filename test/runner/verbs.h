/// The verbs of the scenario language.
#pragma once

#include "fleet.h"

#include "cassia/net/http_client.h"
#include "cassia/net/raw_client.h"
#include "cassia/net/task.h"

#include <condition_variable>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>

struct lua_State;

namespace cassia::scenario {

/// HTTP calls of a scenario: begun on one thread, awaited on another.
class asker {
public:
    struct result {
        int status = 0; ///< 0: no answer
        net::http_head head;
        std::string body;
        std::string problem;
        bool whole = false; ///< the answer came to its end
    };

    asker();
    ~asker();

    std::uint64_t begin(const net::http_call& call);
    /// Never sends the request again by itself, and leaves it once the timeout is over.
    std::uint64_t begin_once(const net::http_call& call);
    result wait(std::uint64_t id);
    bool is_done(std::uint64_t id);
    /// Closes the connection of a call that is under way.
    void abandon(std::uint64_t id);

private:
    struct pending {
        result got;
        call_id call;
        bool is_once = false;
        bool done = false;
    };

    net::task task_;
    std::unique_ptr<net::http_client> client_;
    std::unique_ptr<net::raw_client> once_client_;
    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::uint64_t, pending> calls_;
    std::uint64_t last_ = 0;
};

struct scenario_context {
    fleet processes;
    asker calls;
};

void register_verbs(lua_State* lua, scenario_context& context);

} // namespace cassia::scenario
