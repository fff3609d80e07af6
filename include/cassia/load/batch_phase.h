/// One batch job from its submission to the last checked result.
#pragma once

#include "cassia/net/http_client.h"
#include "cassia/net/task.h"
#include "cassia/schema/settings.pb.h"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace cassia::load {

struct batch_result {
    std::string job;
    std::string status; ///< last seen; empty if the submission failed
    std::uint64_t items = 0;
    std::uint64_t right = 0; ///< items with the whole answer to their own prompt, once
    double seconds = 0;      ///< from submission to the end
    double items_per_second = 0;
    std::string problem;
};

class batch_phase {
public:
    batch_phase(net::task& task, const schema::load_settings& settings,
                std::vector<std::string> targets, std::string name);

    void start(std::function<void()> done);
    /// Stops waiting for the end; the job is cancelled.
    void stop();
    const batch_result& result() const { return result_; }

private:
    std::string prompt_of(std::uint32_t item) const;
    std::string body() const;
    void call(const std::string& method, const std::string& path, const std::string& body,
              const std::function<void(int status, const std::string& body)>& done);
    void poll();
    void fetch_results();
    void check(const std::string& lines);
    void finish(const std::string& problem);

    net::task& task_;
    const schema::load_settings& settings_;
    std::vector<std::string> targets_;
    std::string name_;
    net::http_client client_;
    batch_result result_;
    instant started_{};
    std::size_t next_target_ = 0;
    std::function<void()> done_;
};

} // namespace cassia::load
