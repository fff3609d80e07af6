#include "cassia/gateway/lease_requests.h"

#include <algorithm>

namespace cassia::gateway {

std::uint64_t lease_requests::open(const group_id& group) {
    open_[++last_] = group;
    return last_;
}

std::uint64_t lease_requests::closed(const group_id& group) const {
    const auto first = std::find_if(open_.begin(), open_.end(), [&group](const auto& request) {
        return request.second == group;
    });
    return first == open_.end() ? last_ : first->first - 1;
}

} // namespace cassia::gateway
