/// Numbers the lease requests of this process and tracks which of them are closed.
#pragma once

#include "cassia/base/ids.h"

#include <cstdint>
#include <map>

namespace cassia::gateway {

class lease_requests {
public:
    /// \returns the number of a new request to the group.
    std::uint64_t open(const group_id& group);
    /// Its reply was accepted, or won't be any more.
    void close(std::uint64_t number) { open_.erase(number); }
    /// All requests to the group up to this number are closed.
    std::uint64_t closed(const group_id& group) const;
    bool all_closed() const { return open_.empty(); }

private:
    std::uint64_t last_ = 0;
    std::map<std::uint64_t, group_id> open_;
};

} // namespace cassia::gateway
