/// Identifies the team that sends a request by its API key.
#pragma once

#include "cassia/gateway/header_names.h"
#include "cassia/net/raw_http.h"
#include "cassia/routes/table.h"
#include "cassia/teams/team_table.h"

#include <string>

namespace cassia::gateway {

struct caller_identity {
    bool accepted = false;             ///< false: a key is required, and no team has the one sent
    const teams::team* team = nullptr; ///< owned by the routing table; null if rejected or
                                       ///< if no key is required
};

/// Identifies the caller of a request. \p route is null for requests that belong to no single
/// route; these require a key if the table requires any.
caller_identity identify_caller(const routes::table& table, const schema::route* route,
                                const net::http_fields& fields, const header_names& names);

/// The digest of the caller's key, whether or not a team has it; empty without exactly one key.
teams::key_digest caller_key_digest(const net::http_fields& fields, const header_names& names);

/// Replaces the caller's key, and any team header that the caller sent, by the team's name.
/// \param team no header is added if empty.
void set_team_header(net::http_fields& fields, const header_names& names, const std::string& team);

/// A prefix of the key's digest that tells keys apart in logs; empty without exactly one key.
std::string short_key_digest(const net::http_fields& fields, const header_names& names);

} // namespace cassia::gateway
