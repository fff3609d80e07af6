/// Numbers the lease requests of this process and tells which of them are closed.
#pragma once

#include <cstdint>
#include <set>

namespace cassia::gateway {

class lease_requests {
public:
    /// \returns the number of a new request.
    std::uint64_t open();
    /// Its reply was accepted, or won't be any more.
    void close(std::uint64_t number) { open_.erase(number); }
    /// All requests up to this number are closed.
    std::uint64_t closed() const;
    bool all_closed() const { return open_.empty(); }

private:
    std::uint64_t last_ = 0;
    std::set<std::uint64_t> open_;
};

} // namespace cassia::gateway
