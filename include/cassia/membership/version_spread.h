/// Which software versions of services a majority of the control keepers knows.
///
/// A gateway finds out whether a service has a single version by asking a majority of the control
/// keepers, so no stream may begin at a version that fewer of them know. Does no I/O.
#pragma once

#include "cassia/base/ids.h"
#include "cassia/membership/endpoint_directory.h"
#include "cassia/schema/messages.pb.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace cassia::membership {

using service_version = std::pair<service_id, software_version>;

class version_spread {
public:
    /// A majority knew the version of this endpoint before this process started.
    void restore(const schema::endpoint_record& record);
    /// Notes an endpoint that this keeper's directory has at a revision.
    /// \param from the other keeper that reported it; empty if the endpoint announced itself here.
    /// \returns whether its version is new here.
    bool note(const schema::endpoint_record& record, std::uint64_t revision,
              const std::string& from);
    /// \param acknowledged the revision of this keeper's directory that each other keeper has.
    /// \param members of the control group.
    /// \returns the versions that a majority is known to have since the last call.
    std::vector<service_version> confirm(const std::map<std::string, std::uint64_t>& acknowledged,
                                         std::size_t members);
    bool is_confirmed(const schema::endpoint_record& record) const;
    bool waits() const { return !unconfirmed_.empty(); }
    /// Forgets versions that no endpoint in the directory has.
    void forget_absent(const std::map<endpoint_id, endpoint_state>& endpoints);

private:
    struct unconfirmed_version {
        std::uint64_t revision = 0;     ///< of the directory when it was first known
        std::set<std::string> known_by; ///< other keepers that reported it
    };

    std::set<service_version> confirmed_;
    std::map<service_version, unconfirmed_version> unconfirmed_;
};

} // namespace cassia::membership
