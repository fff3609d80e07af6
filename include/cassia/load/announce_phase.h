/// Announces made-up endpoints, to measure what membership costs an entry.
#pragma once

#include "cassia/net/http_client.h"
#include "cassia/net/task.h"
#include "cassia/schema/settings.pb.h"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace cassia::load {

class announce_phase {
public:
    /// \param targets IP:PORT of entries; each endpoint announces to one of them each second.
    announce_phase(net::task& task, const schema::load_settings& settings,
                   std::vector<std::string> targets);

    void start(std::function<void()> done);
    std::uint64_t accepted() const { return accepted_; }
    std::uint64_t refused() const { return refused_; }

private:
    void announce(std::uint32_t endpoint);
    std::string body(std::uint32_t endpoint) const;

    net::task& task_;
    const schema::load_settings& settings_;
    std::vector<std::string> targets_;
    net::http_client client_;
    std::uint64_t incarnation_;
    std::uint64_t ticks_ = 0;
    std::uint64_t accepted_ = 0;
    std::uint64_t refused_ = 0;
    std::function<void()> done_;
};

} // namespace cassia::load
