#include "cassia/entry/fleet_view.h"

#include <algorithm>

namespace cassia::entry {

const policy::endpoint_info* find_endpoint(const cluster_view& view, const endpoint_id& id) {
    auto found =
        std::find_if(view.endpoints.begin(), view.endpoints.end(),
                     [&id](const policy::endpoint_info& endpoint) { return endpoint.id == id; });
    return found == view.endpoints.end() ? nullptr : &*found;
}

} // namespace cassia::entry
