#include "cassia/gateway/lease_requests.h"

namespace cassia::gateway {

std::uint64_t lease_requests::open() {
    open_.insert(++last_);
    return last_;
}

// Routes that are asked for in turn would reach only a part of the groups by one common counter.
group_id lease_requests::next_group(const std::string& route, std::uint32_t groups) {
    return group_id(1 + requests_of_[route]++ % groups);
}

std::uint64_t lease_requests::closed() const {
    return open_.empty() ? last_ : *open_.begin() - 1;
}

} // namespace cassia::gateway
