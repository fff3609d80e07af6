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
struct crash_attribution {
    std::vector<fingerprint> immediate; ///< struck at once
    /// Struck after blame_delay, unless another entry has blamed the same death by then.
    std::vector<fingerprint> deferred;
};

inline constexpr milliseconds attribution_delay(500);

/// How long a strike counts.
inline constexpr milliseconds strike_retention(600000);

class strike_list {
public:
    explicit strike_list(milliseconds memory) : memory_(memory) {}

    /// \returns whether the strike was new.
    bool add(const strike& one);
    crash_attribution attribute_crash(const std::vector<running_request>& running,
                                      instant now) const;
    /// Whether anybody has blamed a death of the endpoint at or after this time.
    bool has_strike_since(const endpoint_id& endpoint, instant since) const;

    bool is_suspect(const fingerprint& request, instant now) const;
    bool is_quarantined(const fingerprint& request, instant now) const;
    /// Strikes that are still remembered, for spreading.
    std::vector<strike> active(instant now) const;
    void remove_expired(instant now);

private:
    std::size_t count(const fingerprint& request, instant now) const;

    milliseconds memory_;
    std::map<fingerprint, std::map<endpoint_id, instant>> strikes_;
};

} // namespace cassia::policy
