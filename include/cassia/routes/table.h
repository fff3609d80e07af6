/// The compiled route table that requests are matched against. Immutable and shared.
#pragma once

#include "cassia/base/ids.h"
#include "cassia/routes/error.h"
#include "cassia/schema/messages.pb.h"
#include "cassia/teams/team_table.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace cassia::routes {

class table {
public:
    /// Validates and compiles a table. A table with any invalid part is refused as a whole.
    static result<std::shared_ptr<const table>> compile(const schema::route_table& source);

    /// The route of the host with the longest prefix of `path`, or null.
    const schema::route* match(std::string_view host, std::string_view path) const;
    const schema::route* find(const std::string& name) const;
    /// The route of the host with exactly this prefix, or null.
    const schema::route* at_prefix(std::string_view host, const std::string& prefix) const;
    const schema::routed_service* service(const std::string& name) const;
    const google::protobuf::RepeatedPtrField<schema::routed_service>& services() const {
        return source_.services();
    }
    /// All routes of one kind.
    std::vector<const schema::route*> of_kind(schema::route::route_kind kind) const;
    std::uint64_t version() const { return source_.version(); }
    const schema::request_limits& limits() const { return source_.limits(); }
    const teams::team_table& teams() const { return teams_; }
    /// Whether requests need a team's key, except on routes that need none.
    bool needs_keys() const { return source_.needs_keys(); }

private:
    schema::route_table source_;
    teams::team_table teams_;
    /// By host in lower case, then by prefix.
    std::map<std::string, std::map<std::string, const schema::route*>, std::less<>> by_host_;
    std::map<std::string, const schema::route*> by_name_;
    std::map<std::string, const schema::routed_service*> services_;
};

/// Whether requests of the route may go to the service.
bool is_target(const schema::route& route, const std::string& service);

/// Selects the service for one request of the route.
/// \param random_fraction 0 to 1; distributes requests over the targets by their weights.
const std::string& choose_target(const schema::route& route, double random_fraction);

} // namespace cassia::routes
