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

class strike_list {
public:
    explicit strike_list(milliseconds memory) : memory_(memory) {}

    /// \returns whether the strike was new.
    bool add(const strike& one);
    /// The requests that an endpoint's death is blamed on: the suspect among them if there is just
    /// one, else all.
    std::vector<fingerprint> blame(const std::vector<fingerprint>& running, instant now) const;

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
