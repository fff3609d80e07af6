#include "cassia/teams/team_table.h"

#include "cassia/base/digest.h"

#include <algorithm>
#include <cmath>
#include <set>
#include <utility>

namespace cassia::teams {

namespace {
constexpr std::size_t sha256_digits = 64;
constexpr std::size_t prefix_digits = 8;
} // namespace

key_digest digest_of(std::string_view key) {
    return key_digest(sha256_hex(key));
}

std::string digest_prefix(const key_digest& digest) {
    return digest.str().substr(0, prefix_digits);
}

// Keyed with a secret of this process, so that a digest's bucket can't be predicted from outside.
static std::string lookup_key(const key_digest& digest) {
    static const std::string secret = random_name("") + random_name("");
    return keyed_hash(secret, digest.str());
}

static bool is_digest(const key_digest& digest) {
    static const key_digest of_nothing = digest_of("");
    const std::string& text = digest.str();
    return digest != of_nothing && text.size() == sha256_digits &&
           std::all_of(text.begin(), text.end(),
                       [](char c) { return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f'); });
}

static bool is_valid_amount(double value) {
    return std::isfinite(value) && value >= 0;
}

std::vector<error> team_table::validate(const std::vector<team>& teams) {
    std::vector<error> errors;
    std::set<team_id> names;
    std::map<key_digest, std::size_t> owners;
    for (std::size_t index = 0; index < teams.size(); ++index) {
        const team& one = teams[index];
        const auto add_error = [&errors, &one, index](errc code, const std::string& text) {
            errors.push_back({code, "team '" + one.id.str() + "': expected " + text, index});
        };
        if (one.id.empty())
            add_error(errc::bad_name, "a name");
        else if (!names.insert(one.id).second)
            add_error(errc::duplicate_team, "a name used once");
        if (!is_valid_amount(one.limit.rate.per_second) || !is_valid_amount(one.limit.burst.value))
            add_error(errc::bad_quota, "a rate and a burst of 0 or more");
        for (const key_digest& digest : one.keys) {
            if (!is_digest(digest))
                add_error(errc::bad_key, "keys that aren't empty, each by its SHA-256");
            else if (owners.emplace(digest, index).first->second != index)
                add_error(errc::duplicate_key, "keys that no other team has");
        }
    }
    return errors;
}

result<team_table> team_table::create(std::vector<team> teams) {
    std::vector<error> errors = validate(teams);
    if (!errors.empty())
        return failure(std::move(errors.front()));
    team_table table;
    table.teams_ = std::move(teams);
    for (std::size_t index = 0; index < table.teams_.size(); ++index) {
        table.by_id_.emplace(table.teams_[index].id, index);
        for (const key_digest& digest : table.teams_[index].keys)
            table.by_key_.emplace(lookup_key(digest), index);
    }
    return table;
}

const team* team_table::find_by_key(std::string_view key) const {
    return find_by_digest(digest_of(key));
}

const team* team_table::find_by_digest(const key_digest& digest) const {
    auto found = by_key_.find(lookup_key(digest));
    return found == by_key_.end() ? nullptr : &teams_[found->second];
}

const team* team_table::find(const team_id& id) const {
    auto found = by_id_.find(id);
    return found == by_id_.end() ? nullptr : &teams_[found->second];
}

} // namespace cassia::teams
