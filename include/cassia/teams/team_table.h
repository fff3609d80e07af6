/// Teams with their keys and quotas, as one version of the configuration has them. Immutable.
#pragma once

#include "cassia/base/ids.h"
#include "cassia/teams/error.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace cassia::teams {

/// SHA-256 of a key, in lower-case hexadecimal. Keys themselves are kept nowhere.
using key_digest = string_id<struct key_digest_tag>;

struct request_rate {
    double per_second = 0;

    friend bool operator==(const request_rate&, const request_rate&) = default;
};

/// A number of requests; parts of one add up.
struct request_count {
    double value = 0;

    friend bool operator==(const request_count&, const request_count&) = default;
};

struct quota {
    request_rate rate;   ///< 0: no limit
    request_count burst; ///< above the rate at once

    bool is_limited() const { return rate.per_second > 0; }
    friend bool operator==(const quota&, const quota&) = default;
};

struct team {
    team_id id;
    std::vector<key_digest> keys;
    std::optional<std::uint32_t> priority; ///< goes before the route's; 0 is the highest
    quota limit;
};

key_digest digest_of(std::string_view key);
/// Enough of a digest to tell keys apart in a log.
std::string digest_prefix(const key_digest& digest);

class team_table {
public:
    team_table() = default;
    /// Every fault of a list of teams.
    static std::vector<error> validate(const std::vector<team>& teams);
    /// Refuses a list with a fault.
    static result<team_table> create(std::vector<team> teams);

    /// Null for an unknown key. Its duration tells nothing about known keys.
    const team* find_by_key(std::string_view key) const;
    const team* find(const team_id& id) const;
    const std::vector<team>& all() const { return teams_; }

private:
    std::vector<team> teams_;
    std::map<team_id, std::size_t> by_id_;
    /// By a keyed hash of the digest, so that no caller can choose where its key is looked for.
    std::unordered_map<std::string, std::size_t> by_key_;
};

} // namespace cassia::teams
