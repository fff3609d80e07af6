#include "cassia/policy/endpoint.h"

namespace cassia::policy {

bool serves(const endpoint_info& endpoint, const service_demand& demand) {
    if (demand.software && *demand.software != endpoint.software)
        return false;
    if (!endpoint.engine)
        return endpoint.service == demand.service;
    auto model = endpoint.models.find(demand.service);
    if (model == endpoint.models.end())
        return false;
    const bool version = demand.version.empty() || model->second.versions.count(demand.version) > 0;
    const bool adapter = demand.adapter.empty() || model->second.adapters.count(demand.adapter) > 0;
    return version && adapter;
}

} // namespace cassia::policy
