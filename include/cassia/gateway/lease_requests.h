/// Numbers the lease requests of this process, tracks which of them are closed, and distributes
/// them over the work groups.
#pragma once

#include "cassia/base/ids.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>

namespace cassia::gateway {

class lease_requests {
public:
    /// \returns the number of a new request.
    std::uint64_t open();
    /// \returns the group that the next request of a route goes to: all of them in turn.
    group_id next_group(const std::string& route, std::uint32_t groups);
    /// Its reply was accepted, or won't be any more.
    void close(std::uint64_t number) { open_.erase(number); }
    /// All requests up to this number are closed.
    std::uint64_t closed() const;
    bool all_closed() const { return open_.empty(); }

private:
    std::uint64_t last_ = 0;
    std::set<std::uint64_t> open_;
    std::map<std::string, std::uint32_t> requests_of_; ///< by route
};

} // namespace cassia::gateway
