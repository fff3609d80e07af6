/// Online calls in an open loop: each is due at a time drawn beforehand, and its latency counts
/// from then, whether or not it could be sent in time.
#pragma once

#include "cassia/base/metrics.h"
#include "cassia/net/http_client.h"
#include "cassia/net/task.h"
#include "cassia/schema/settings.pb.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace cassia::load {

struct online_result {
    std::uint64_t sent = 0;
    std::uint64_t answered = 0;
    std::uint64_t wrong = 0;   ///< answered, but not with the whole answer to that request
    std::uint64_t refused = 0; ///< refused at once by an entry
    std::uint64_t failed = 0;  ///< no answer
    std::map<std::string, std::uint64_t> refusals; ///< by code
    latency_histogram first_token;
    latency_histogram between_tokens;
    latency_histogram whole;
    double seconds = 0;
};

class online_phase {
public:
    /// \param targets IP:PORT of entries, picked at random.
    online_phase(net::task& task, const schema::load_settings& settings,
                 std::vector<std::string> targets, std::uint64_t seed);

    /// Sends for as long as the settings say, then calls `done`.
    void start(std::function<void()> done);
    online_result& result() { return result_; }

private:
    struct call {
        instant due{};
        std::string prompt;
        std::string text;
        std::string buffer;
        int status = 0;
        bool stream_done = false;
        instant last_token{};
        bool begun = false;
    };

    void plan_next(instant now);
    void send(instant due);
    void on_piece(std::uint64_t id, std::string_view piece);
    void on_event(call& one, std::string_view event);
    void on_end(std::uint64_t id);
    void finish_if_done();
    double rate_at(instant now) const;

    net::task& task_;
    const schema::load_settings& settings_;
    std::vector<std::string> targets_;
    std::mt19937_64 random_;
    net::http_client client_;
    online_result result_;
    std::map<std::uint64_t, call> calls_;
    std::uint64_t last_id_ = 0;
    instant started_{};
    instant next_due_{};
    bool sending_ = true;
    std::function<void()> done_;
};

} // namespace cassia::load
