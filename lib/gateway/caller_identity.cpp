#include "cassia/gateway/caller_identity.h"

#include <algorithm>

namespace cassia::gateway {

// A request with several keys counts as one without a key: another program might pick a different
// one of them.
static std::string_view unique_key(const net::http_fields& fields, const header_names& names) {
    const auto key_count = std::count_if(fields.all().begin(), fields.all().end(),
                                         [&names](const net::http_field& field) {
                                             return net::equal_ignoring_case(field.name, names.key);
                                         });
    return key_count == 1 ? fields.find(names.key) : std::string_view();
}

caller_identity identify_caller(const routes::table& table, const schema::route* route,
                                const net::http_fields& fields, const header_names& names) {
    if (!table.needs_keys() || (route != nullptr && route->needs_no_key()))
        return {true, nullptr};
    const std::string_view key = unique_key(fields, names);
    const teams::team* team = key.empty() ? nullptr : table.teams().find_by_key(key);
    return {team != nullptr, team};
}

void set_team_header(net::http_fields& fields, const header_names& names, const std::string& team) {
    fields.erase(names.key);
    fields.erase(names.team);
    if (!team.empty())
        fields.add(names.team, team);
}

teams::key_digest caller_key_digest(const net::http_fields& fields, const header_names& names) {
    const std::string_view key = unique_key(fields, names);
    return key.empty() ? teams::key_digest() : teams::digest_of(key);
}

std::string short_key_digest(const net::http_fields& fields, const header_names& names) {
    return teams::digest_prefix(caller_key_digest(fields, names));
}

} // namespace cassia::gateway
