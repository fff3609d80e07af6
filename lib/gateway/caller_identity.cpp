#include "cassia/gateway/caller_identity.h"

#include <algorithm>

namespace cassia::gateway {

// A request with several keys is of no team: which one another program would go by isn't certain.
static std::string_view only_key(const net::http_fields& fields, const field_names& names) {
    const auto keys = std::count_if(fields.all().begin(), fields.all().end(),
                                    [&names](const net::http_field& one) {
                                        return net::equal_ignoring_case(one.name, names.key);
                                    });
    return keys == 1 ? fields.find(names.key) : std::string_view();
}

caller_identity identify_caller(const routes::table& table, const schema::route* route,
                                const net::http_fields& fields, const field_names& names) {
    if (!table.needs_keys() || (route != nullptr && route->needs_no_key()))
        return {true, nullptr};
    const std::string_view key = only_key(fields, names);
    const teams::team* team = key.empty() ? nullptr : table.teams().find_by_key(key);
    return {team != nullptr, team};
}

void write_team(net::http_fields& fields, const field_names& names, const std::string& team) {
    fields.erase(names.key);
    fields.erase(names.team);
    if (!team.empty())
        fields.add(names.team, team);
}

std::string key_label(const net::http_fields& fields, const field_names& names) {
    const std::string_view key = only_key(fields, names);
    return key.empty() ? "" : teams::digest_prefix(teams::digest_of(key));
}

} // namespace cassia::gateway
