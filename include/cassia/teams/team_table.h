/// Teams with their keys and quotas, from one version of the configuration. Immutable.
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

/// SHA-256 of a key, in lower-case hexadecimal. The keys themselves are not stored.
using key_digest = string_id<struct key_digest_tag>;

struct request_rate {
    double per_second = 0;

    friend bool operator==(const request_rate&, const request_rate&) = default;
};

/// A number of requests, possibly fractional.
struct request_count {
    double value = 0;

    friend bool operator==(const request_count&, const request_count&) = default;
};

struct quota {
    request_rate rate;   ///< 0: no limit
    request_count burst; ///< requests admitted at once

    bool is_limited() const { return rate.per_second > 0; }
    friend bool operator==(const quota&, const quota&) = default;
};

struct team {
    team_id id;
    std::vector<key_digest> keys;
    std::optional<std::uint32_t> priority; ///< overrides the route's; 0 is the highest
    quota limit;
};

key_digest digest_of(std::string_view key);
/// First digits of a digest, to tell keys apart in logs.
std::string digest_prefix(const key_digest& digest);

class team_table {
public:
    team_table() = default;
    /// Returns all errors in a list of teams.
    static std::vector<error> validate(const std::vector<team>& teams);
    /// Fails with the first error of an invalid list.
    static result<team_table> create(std::vector<team> teams);

    /// Null for an unknown key. The lookup time reveals nothing about known keys.
    const team* find_by_key(std::string_view key) const;
    const team* find_by_digest(const key_digest& digest) const;
    const team* find(const team_id& id) const;
    const std::vector<team>& all() const { return teams_; }

private:
    std::vector<team> teams_;
    std::map<team_id, std::size_t> by_id_;
    /// By a keyed hash of the digest, so that callers can't choose the bucket that is searched.
    std::unordered_map<std::string, std::size_t> by_key_;
};

} // namespace cassia::teams
