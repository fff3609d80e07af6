/// Pace reports on their way between gateways: the youngest of each endpoint. Pure.
#pragma once

#include "cassia/policy/endpoint_pace.h"

#include <cstdint>
#include <map>

namespace cassia::policy {

class pace_reports {
public:
    /// Keeps those that are younger than what is known of their endpoint.
    /// \param from the gateway or zone that they came from.
    void add(const entry_id& from, const pace_report_map& reports, instant now);
    void expire(instant now);

    /// Increases with each report that is kept.
    std::uint64_t revision() const { return revision_; }
    /// Whether a pace has changed by enough after that revision to be worth a message of its own.
    bool changed_since(std::uint64_t revision, const entry_id& receiver, instant now) const;
    /// Reports kept after that revision and not expired, less those of the receiver itself.
    pace_report_map since(std::uint64_t revision, const entry_id& receiver, instant now) const;
    /// The same, of one sender only.
    pace_report_map since_from(std::uint64_t revision, const entry_id& from, instant now) const;
    bool changed_from(std::uint64_t revision, const entry_id& from, instant now) const;

private:
    struct entry {
        entry_id from;
        pace_report report;
        std::uint64_t revision = 0;
        std::uint32_t announced = usual_pace_percent; ///< at the latest change that mattered
        std::uint64_t changed = 0;                    ///< revision of that change
    };

    template <class Matches>
    pace_report_map select(std::uint64_t, instant, Matches) const;
    template <class Matches>
    bool any_changed(std::uint64_t, instant, Matches) const;

    std::map<endpoint_id, entry> entries_;
    std::uint64_t revision_ = 0;
};

} // namespace cassia::policy
