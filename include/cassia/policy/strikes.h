/// Tracks requests that crash endpoints. When an endpoint dies, requests that ran there get a
/// strike, which is shared with all entries. A request with one strike is a suspect, and no two
/// suspects run on one endpoint; with two strikes it is quarantined.
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
    bool has_output = false; ///< the endpoint had begun its answer
};

/// The requests that a crash is attributed to.
struct crash_attribution {
    std::vector<fingerprint> immediate; ///< get a strike at once
    /// Get a strike after attribution_delay, unless another entry has attributed the crash by then.
    std::vector<fingerprint> deferred;
};

inline constexpr milliseconds attribution_delay(500);

/// How long a strike counts.
inline constexpr milliseconds strike_retention(600000);

class strike_list {
public:
    explicit strike_list(milliseconds retention) : retention_(retention) {}

    /// \returns whether the strike was new.
    bool add(const strike& one);
    crash_attribution attribute_crash(const std::vector<running_request>& running,
                                      instant now) const;
    /// Whether a crash of the endpoint at or after this time has been attributed to any request.
    bool has_strike_since(const endpoint_id& endpoint, instant since) const;

    bool is_suspect(const fingerprint& request, instant now) const;
    bool is_quarantined(const fingerprint& request, instant now) const;
    /// Strikes within the retention, to be shared with other entries.
    std::vector<strike> active(instant now) const;
    void remove_expired(instant now);

private:
    std::size_t count(const fingerprint& request, instant now) const;

    milliseconds retention_;
    std::map<fingerprint, std::map<endpoint_id, instant>> strikes_;
};

} // namespace cassia::policy
