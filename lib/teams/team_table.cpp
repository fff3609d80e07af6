#include "cassia/teams/team_table.h"

#include "cassia/base/digest.h"

#include <algorithm>
#include <cmath>
#include <set>
#include <utility>

namespace cassia::teams {

namespace {
constexpr std::size_t sha256_digits = 64;
constexpr std::size_t shown_digits = 8;
} // namespace

key_digest digest_of(std::string_view key) {
    return key_digest(sha256_hex(key));
}

std::string digest_prefix(const key_digest& digest) {
    return digest.str().substr(0, shown_digits);
}

// A secret of this process: where a digest stands in the table can't be worked out outside.
static std::string place_of(const key_digest& digest) {
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

static bool is_amount(double value) {
    return std::isfinite(value) && value >= 0;
}

std::vector<error> team_table::validate(const std::vector<team>& teams) {
    std::vector<error> faults;
    std::set<team_id> names;
    std::map<key_digest, std::size_t> owners;
    for (std::size_t index = 0; index < teams.size(); ++index) {
        const team& one = teams[index];
        const auto add_fault = [&faults, &one, index](errc code, const std::string& text) {
            faults.push_back({code, "team '" + one.id.str() + "': expected " + text, index});
        };
        if (one.id.empty())
            add_fault(errc::bad_name, "a name");
        else if (!names.insert(one.id).second)
            add_fault(errc::duplicate_team, "a name used once");
        if (!is_amount(one.limit.rate.per_second) || !is_amount(one.limit.burst.value))
            add_fault(errc::bad_quota, "a rate and a burst of 0 or more");
        for (const key_digest& digest : one.keys) {
            if (!is_digest(digest))
                add_fault(errc::bad_key, "keys that aren't empty, each by its SHA-256");
            else if (owners.emplace(digest, index).first->second != index)
                add_fault(errc::duplicate_key, "keys that no other team has");
        }
    }
    return faults;
}

result<team_table> team_table::create(std::vector<team> teams) {
    std::vector<error> faults = validate(teams);
    if (!faults.empty())
        return failure(std::move(faults.front()));
    team_table made;
    made.teams_ = std::move(teams);
    for (std::size_t index = 0; index < made.teams_.size(); ++index) {
        made.by_id_.emplace(made.teams_[index].id, index);
        for (const key_digest& digest : made.teams_[index].keys)
            made.by_key_.emplace(place_of(digest), index);
    }
    return made;
}

const team* team_table::find_by_key(std::string_view key) const {
    auto found = by_key_.find(place_of(digest_of(key)));
    return found == by_key_.end() ? nullptr : &teams_[found->second];
}

const team* team_table::find(const team_id& id) const {
    auto found = by_id_.find(id);
    return found == by_id_.end() ? nullptr : &teams_[found->second];
}

} // namespace cassia::teams
