/// Software versions that the endpoints of each service had lately. Does no I/O; the time is passed
/// in.
#pragma once

#include "cassia/base/clock.h"
#include "cassia/base/ids.h"
#include "cassia/membership/endpoint_directory.h"

#include <map>
#include <optional>

namespace cassia::membership {

class version_history {
public:
    /// Notes the versions of all endpoints in a directory, also of those that left it a while ago
    /// and are still known.
    void observe(const std::map<endpoint_id, endpoint_state>& endpoints, instant now);
    /// The version of all endpoints that the service had within the time for which a directory
    /// remembers them; nothing if there were several, or one isn't known.
    std::optional<software_version> only_version(const service_id& service, instant now) const;

private:
    std::map<service_id, std::map<software_version, instant>> last_seen_;
};

} // namespace cassia::membership
