/// Requests that crash endpoints. When an endpoint dies, each request that ran there gets a strike,
/// known to all entries; with one it runs beside no other suspect, with two it is quarantined.
#pragma once

#include "cassia/base/clock.h"
#include "cassia/base/ids.h"

#include <map>
#include <vector>

namespace cassia::policy {

struct strike {
    fingerprint request;
    endpoint_id endpoint;
    instant at;
};

/// A request that ran at an endpoint when it died.
struct running_request {
    fingerprint request;
    bool has_output = false; ///< the endpoint had begun to answer it
};

/// Whom a death is blamed on.
struct death_blame {
    std::vector<fingerprint> certain; ///< struck at once
    /// Struck after blame_delay, unless another entry has blamed the same death by then.
    std::vector<fingerprint> likely;
};

inline constexpr milliseconds blame_delay(500);

/// How long a strike counts.
inline constexpr milliseconds strike_memory(600000);

class strike_list {
public:
    explicit strike_list(milliseconds memory) : memory_(memory) {}

    /// \returns whether the strike was new.
    bool add(const strike& one);
    death_blame blame(const std::vector<running_request>& running, instant now) const;
    /// Whether anybody has blamed a death of the endpoint at or after this time.
    bool knows_death(const endpoint_id& endpoint, instant since) const;

    bool is_suspect(const fingerprint& request, instant now) const;
    bool is_quarantined(const fingerprint& request, instant now) const;
    /// Strikes that are still remembered, for spreading.
    std::vector<strike> all(instant now) const;
    void forget_old(instant now);

private:
    std::size_t count(const fingerprint& request, instant now) const;

    milliseconds memory_;
    std::map<fingerprint, std::map<endpoint_id, instant>> strikes_;
};

} // namespace cassia::policy
