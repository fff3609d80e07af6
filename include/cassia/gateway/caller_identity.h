/// Which team sends a request, by its key.
#pragma once

#include "cassia/gateway/header_names.h"
#include "cassia/net/raw_http.h"
#include "cassia/routes/table.h"
#include "cassia/teams/team_table.h"

#include <string>

namespace cassia::gateway {

struct caller_identity {
    bool accepted = false;             ///< false: the request needs a key that a team has
    const teams::team* team = nullptr; ///< belongs to the table; none where no key is needed
};

/// The caller of a request. \p route may be null: then the request is for no one route.
caller_identity identify_caller(const routes::table& table, const schema::route* route,
                                const net::http_fields& fields, const header_names& names);

/// Replaces what the fields say of the caller by the team's name, for endpoints.
/// \param team empty for none.
void write_team(net::http_fields& fields, const header_names& names, const std::string& team);

/// Enough of the key's digest to tell it from others in a log; empty without a key.
std::string key_label(const net::http_fields& fields, const header_names& names);

} // namespace cassia::gateway
