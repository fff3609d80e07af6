#include "cassia/membership/version_history.h"

namespace cassia::membership {

namespace {
const milliseconds retention = endpoint_directory_settings().forget_after;
} // namespace

void version_history::observe(const std::map<endpoint_id, endpoint_state>& endpoints, instant now) {
    for (const std::pair<const endpoint_id, endpoint_state>& one : endpoints) {
        const schema::endpoint_record& record = one.second.record;
        last_seen_[service_id(record.service())][software_version(record.software_version())] = now;
    }
    for (std::pair<const service_id, std::map<software_version, instant>>& service : last_seen_)
        std::erase_if(service.second,
                      [now](const auto& version) { return now - version.second > retention; });
}

std::optional<software_version> version_history::only_version(const service_id& service,
                                                              instant now) const {
    auto found = last_seen_.find(service);
    if (found == last_seen_.end())
        return std::nullopt;
    std::optional<software_version> only;
    for (const std::pair<const software_version, instant>& version : found->second) {
        if (now - version.second > retention)
            continue;
        if (only || version.first.empty())
            return std::nullopt;
        only = version.first;
    }
    return only;
}

} // namespace cassia::membership
