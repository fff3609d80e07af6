/// Schedules the runs of suspects, requests that may crash their endpoints, for all gateways: one
/// run of a suspect at a time, and a part of a service's endpoints at most, a larger one for items
/// that have waited for long. A suspect has an endpoint to itself; items share one while it is
/// likelier than not that none of them crashes it. Pure.
#pragma once

#include "cassia/base/clock.h"
#include "cassia/base/ids.h"
#include "cassia/policy/quarantine_retries.h"
#include "cassia/policy/slot_table.h"

#include <algorithm>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace cassia::policy {

/// A crash may follow the end of the run that caused it by this time. An endpoint has survived a
/// run once it has passed.
inline constexpr milliseconds late_crash_time(1000);

/// Of a service's endpoints suspects may use half at once.
constexpr std::size_t max_trials(std::size_t endpoints) {
    return endpoints < 4 ? 1 : endpoints / 2;
}

/// The same for items of jobs that have waited for long: three quarters, or two endpoints.
constexpr std::size_t max_overdue_trials(std::size_t trials) {
    return trials + std::max<std::size_t>(trials / 2, 1);
}

/// An item that has waited for so long may use more endpoints, so that it isn't idle for 5 s.
inline constexpr milliseconds overdue_trial_time(2000);

/// Largest probability that one of the items that share an endpoint crashes it.
inline constexpr double max_shared_risk = 0.5;

/// A run that a gateway asks for.
struct trial_key {
    entry_id gateway;
    trial_id id; ///< unique at its gateway

    friend auto operator<=>(const trial_key&, const trial_key&) = default;
};

/// The upper half of a run's id names the item, for the schedule to tell its runs from those of
/// others. 0 if it isn't named.
constexpr std::uint64_t item_number(trial_id id) {
    return id.value() & ~std::uint64_t{0xffffffff};
}

constexpr trial_id make_trial_id(std::uint32_t item, std::uint32_t run) {
    return trial_id((std::uint64_t{item} << 32U) | run);
}

struct trial_request {
    trial_key key;
    fingerprint request;
    service_id service;
    software_version version; ///< of the endpoint; any if empty
    work_kind kind = work_kind::online;
    std::optional<retry_history> retry{}; ///< of an item with a quarantined part, the cause
};

enum class trial_outcome : std::uint8_t {
    unused,    ///< nothing was sent, or the endpoint didn't run it
    completed, ///< the response was complete, or the run was stopped while its endpoint worked
    crashed,   ///< the connection broke
    silent,    ///< the run was given up as the endpoint was silent, and may hang it
};

struct trial_grant {
    trial_key key;
    endpoint_id endpoint;
    fingerprint request;
    bool shared = false;           ///< others run there, and their gateways keep its free slots
    std::size_t retried_items = 0; ///< with the same quarantined part that were granted it at once
};

/// What a schedule has granted, and what waits.
struct trial_summary {
    std::size_t waiting = 0;
    std::size_t running = 0;
    std::size_t endpoints = 0;     ///< with a run, or held after one
    milliseconds longest_wait{0};  ///< of the runs that wait
    fingerprint longest_waiting{}; ///< what that one is suspected for
};

class trial_schedule {
public:
    /// An endpoint for a run, other than those excluded; nothing if there is none. `limit` is how
    /// many endpoints of the service suspects may use at once, `places` how many slots are free
    /// there.
    struct choice {
        std::optional<endpoint_id> endpoint;
        std::size_t limit = 1;
        std::size_t places = 1;
        /// Whether it is the same for each request of the service and version.
        bool for_any_cause = false;
    };
    using choose = std::function<choice(const trial_request&, const std::set<endpoint_id>&)>;
    using is_listed = std::function<bool(const endpoint_id&)>;
    /// Probability that a run crashes its endpoint, by its cause; 1 if only a run alone can tell.
    using risk_of = std::function<double(const fingerprint&)>;

    /// Asks for a run, or reports that it still waits or runs. One that isn't refreshed in time is
    /// dropped.
    void refresh(const trial_request& request, instant now);
    void end(const trial_key& key, trial_outcome outcome, instant now);
    /// Grants the runs that may begin now, those that wait longest first. Items whose runs were
    /// given up at several silent endpoints count as having waited for less.
    /// \param listed whether an endpoint still exists; if empty, all do.
    /// \param risk if empty, no endpoint is shared.
    std::vector<trial_grant> poll(instant now, const choose& choose_endpoint,
                                  const is_listed& listed = {}, const risk_of& risk = {});
    /// What was granted to a run; nothing while it waits.
    std::optional<trial_grant> granted(const trial_key& key) const;
    std::size_t size() const { return trials_.size(); }
    trial_summary summarize(instant now) const;

private:
    struct trial {
        trial_request asked;
        retried_item item;
        instant asked_at{};
        instant refreshed_at{};
        instant granted_at{};
        std::uint32_t kept = 0;              ///< times that it kept its turn
        std::optional<endpoint_id> endpoint; ///< while it runs
        std::size_t places = 1;              ///< there, for suspects
        bool shared = false;
    };
    /// What a run that has ended keeps for a time.
    struct hold {
        fingerprint request; ///< empty if it didn't run
        service_id service;
        endpoint_id endpoint;
        instant until{};
        instant until_for_batch{}; ///< an item may run again from then on
        bool is_silent = false;    ///< the run may still hang the endpoint
        bool is_complete = false;  ///< the run, which may crash the endpoint after its end
    };
    /// When an item began to wait whose run ended unused, and until when that is kept.
    struct kept_turn {
        instant asked_at{};
        instant until{};
        std::uint32_t count = 0;
    };
    /// Runs of a request that were given up at silent endpoints.
    struct silent_ends {
        std::uint32_t count = 0;
        instant last_at{};
    };
    /// Runs and holds by cause, endpoint and service, while one poll grants runs.
    class use_index;

    /// Which item a run is of. Gateways of an earlier version name none, which shows where runs of
    /// several items have one name.
    retried_item item_of(const trial_key& key) const;
    /// The request with what its gateway states of the item bounded.
    trial_request bound(const trial_request& asked, const retried_item& item, instant now) const;
    void expire(instant now);
    void keep_turn(const trial& unused, instant now);
    void take_kept_turn(trial& added);
    /// Whether it is an item whose runs were given up at several silent endpoints.
    bool is_put_back(const trial& one) const;
    /// Since when a run counts as waiting.
    instant waits_since(const trial& one) const;
    /// How many runs of a cause may be under way at once, with one for which an item has waited.
    static std::size_t max_runs(milliseconds waited);
    bool is_busy(const trial_request& asked, milliseconds waited, const use_index& uses) const;
    /// Whether an item may run beside others.
    bool may_share(const trial_request& asked, const risk_of& risk) const;
    /// Endpoints that retries of the cause use, but for those that have lasted for long.
    struct retry_state {
        retry_endpoints used;
        bool outlasted = false; ///< one has lasted for long

        bool is_running() const { return !used.running_since.empty() || !used.held_until.empty(); }
    };
    static retry_state retries_of(const fingerprint& cause, const use_index& uses, instant now);
    static std::vector<retry_history> histories_of(const std::vector<trial*>& candidates);
    std::vector<trial*> select_retries(const fingerprint& part,
                                       const std::vector<trial*>& candidates,
                                       const retry_state& state, instant now) const;
    /// Items that wait for a quarantined part.
    struct part_retries {
        fingerprint part;
        instant idle_since{}; ///< end of the earliest last run
        std::vector<trial*> waiting;
    };
    /// \returns those first whose items have been idle for longest.
    static std::vector<part_retries> group_by_part(const std::vector<trial*>& retries);
    /// Grants retries of items with a quarantined part.
    void grant_retries(const std::vector<trial*>& waiting, instant now,
                       const choose& choose_endpoint, use_index& uses,
                       std::vector<trial_grant>& grants);
    /// Grants runs of suspects.
    void grant_trials(const std::vector<trial*>& waiting, instant now,
                      const choose& choose_endpoint, const risk_of& risk, use_index& uses,
                      std::vector<trial_grant>& grants);
    /// An endpoint that no other suspect uses.
    /// \param shares it may follow runs that were completed there lately.
    std::optional<endpoint_id> find_own(trial& waiting, milliseconds waited, bool shares,
                                        const choose& choose_endpoint, use_index& uses) const;

    std::map<trial_key, trial> trials_;
    std::map<entry_id, std::size_t> asked_by_; ///< runs that each gateway asks for
    std::vector<hold> holds_;
    std::multimap<std::pair<entry_id, fingerprint>, kept_turn> kept_turns_; ///< of items
    std::map<fingerprint, instant> crashed_causes_; ///< when a run alone crashed an endpoint
    std::map<fingerprint, silent_ends> silent_ends_;
    quarantine_retries retries_;
};

} // namespace cassia::policy
