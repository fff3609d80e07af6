/// Selects which of the items that wait for a quarantined part of prompts run next. At intervals
/// one of them runs alone, to find out whether the part still crashes endpoints, each item less
/// often the more endpoints it crashed so. Those that have been idle for long share an endpoint, so
/// that one crash is a run of each. Pure.
#pragma once

#include "cassia/base/clock.h"
#include "cassia/base/ids.h"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

namespace cassia::policy {

/// From one run alone of an item with the part to the next. One that has lasted for so long will
/// probably be survived.
inline constexpr milliseconds retry_interval(3000);

/// What an item that waits for a quarantined part has behind it.
struct retry_history {
    instant idle_since{};      ///< end of its last run
    std::uint32_t crashes = 0; ///< runs alone that broke off, or were silent
    instant alone_until{};     ///< end of its last run alone
};

/// Identifies an item in the schedule.
struct retried_item {
    entry_id gateway; ///< empty if the number is the same at all gateways
    std::uint64_t number = 0;

    friend auto operator<=>(const retried_item&, const retried_item&) = default;
};

/// Endpoints at which retries of a part run, or ran a moment ago.
struct retry_endpoints {
    std::vector<instant> running_since;
    std::vector<instant> held_until;
    std::size_t places = 0; ///< slots for retries at one of them; 0 if none is known
};

enum class retry_pace : std::uint8_t {
    regular,
    hurried,   ///< at the regular pace an item would be idle for too long
    outlasted, ///< a retry of the part has run for longer than the interval, and still does
};

class quarantine_retries {
public:
    /// A retry of the item ended. `failed`: it broke off, or its endpoint was silent.
    void record_run(const retried_item& item, bool alone, bool failed, instant now);
    /// \returns what a gateway states of an item, bounded by the item's runs that were granted.
    retry_history bound(const retried_item& item, const retry_history& stated, instant now) const;
    /// Whether an item would be idle for too long if no further retry began until one of these
    /// endpoints is free, or until an item is due if there are none.
    bool is_late(const fingerprint& part, const std::vector<retry_history>& waiting,
                 const retry_endpoints& used, instant now) const;
    /// \param waiting items with the part.
    /// \param with_others none may run alone, as others with the part run.
    /// \returns indexes of the items that may run now at one endpoint, the first ones first; empty
    /// if none may.
    std::vector<std::size_t> select(const fingerprint& part,
                                    const std::vector<retry_history>& waiting, retry_pace pace,
                                    bool with_others, instant now) const;
    /// A retry of the part has used one of so many slots of its endpoint for so long.
    void record_time(const fingerprint& part, microseconds time, std::size_t places, instant now);
    /// As many items with the part were granted an endpoint.
    void record_grant(const fingerprint& part, std::size_t items, instant now);
    /// The item that was granted an endpoint alone at that time didn't run.
    void withdraw_grant(const fingerprint& part, instant granted_at);

private:
    struct granted_runs {
        instant last_end{};
        instant previous_end{};
        std::uint32_t crashes = 0; ///< of runs alone
        instant alone_until{};
    };

    struct run_times {
        microseconds latest{0};
        std::size_t places = 1;
        instant at{};
    };

    std::map<fingerprint, run_times> times_;
    std::map<fingerprint, instant> alone_at_; ///< when an item last began to run alone
    std::map<retried_item, granted_runs> runs_;
};

} // namespace cassia::policy
