/// Announces a stand-in to the entries, as endpoints do.
#pragma once

#include "cassia/net/http_client.h"
#include "cassia/net/task.h"
#include "cassia/schema/settings.pb.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <string>
#include <vector>

namespace cassia::standin {

struct reported_load {
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint64_t kv_used = 0;
    std::uint64_t kv_total = 0;
};

class announcer {
public:
    announcer(net::task& task, const schema::standin_settings& settings,
              std::function<reported_load()> load);

    void start();
    /// Announces at once that the endpoint leaves, and goes on saying so.
    void leave();
    bool leaving() const { return leaving_; }

private:
    void announce();
    std::string body();
    void on_answer(const std::string& text);

    net::task& task_;
    const schema::standin_settings& settings_;
    std::function<reported_load()> load_;
    net::http_client client_;
    std::uint64_t incarnation_;
    std::vector<std::string> entries_;
    std::size_t current_ = 0;
    std::deque<std::pair<instant, reported_load>> loads_; ///< reported with a lag
    bool leaving_ = false;
};

} // namespace cassia::standin
