#include "cassia/gateway/lease_requests.h"

namespace cassia::gateway {

std::uint64_t lease_requests::open() {
    open_.insert(++last_);
    return last_;
}

std::uint64_t lease_requests::closed() const {
    return open_.empty() ? last_ : *open_.begin() - 1;
}

} // namespace cassia::gateway
