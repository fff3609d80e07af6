/// Runs of suspects and what ended ones hold, by cause, endpoint and service, so that a poll of the
/// schedule looks at each of them once.
#pragma once

#include "cassia/policy/trial_schedule.h"

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace cassia::policy {

class trial_schedule::use_index {
public:
    struct cause_use {
        std::vector<const trial*> runs;
        std::vector<const hold*> holds;
        std::size_t held_from_items = 0; ///< how many runs the holds count as, for items
        std::size_t held = 0;            ///< for other requests
    };

    use_index(const trial_schedule& schedule, instant now, const is_listed& listed,
              const risk_of& risk);
    /// Takes a run into account that was granted an endpoint.
    void add(const trial& granted);

    const cause_use* find_cause(const fingerprint& cause) const;
    /// Runs of the cause under way, or held as such.
    std::size_t count_runs(const trial_request& asked) const;
    /// Endpoints that count against what suspects may use of the service.
    const std::set<endpoint_id>& used_by_trials(const trial_request& asked);
    /// An endpoint that no suspect uses. \param shares those where runs of little risk were
    /// completed lately may be used.
    choice choose(const trial_request& asked, bool shares, const trial_schedule::choose& choose);
    /// An endpoint where items run that the asked one may run beside, the safest first.
    std::optional<endpoint_id> find_shared(const trial_request& asked) const;
    std::size_t places_at(const endpoint_id& endpoint) const;

private:
    struct endpoint_use {
        std::map<trial_key, double> innocent; ///< by run, probability that it doesn't crash it
        std::set<software_version> versions;  ///< that the runs there need
        std::vector<double> innocent_behind;  ///< of runs that were completed lately
        std::size_t places = 1;
        bool is_closed = false; ///< no other may run there
        bool is_listed = true;
    };
    struct service_use {
        std::set<endpoint_id> running;
        std::set<endpoint_id> barred;    ///< a suspect uses it, or it couldn't be used
        std::set<endpoint_id> completed; ///< a run was completed there lately
        std::set<endpoint_id> used_by_items;
        std::set<endpoint_id> used;
        /// By version and how many of the `completed` may be used.
        std::map<std::pair<software_version, std::size_t>, choice> choices;
    };

    /// Probability that a run that was completed there lately crashes the endpoint, or the asked
    /// one.
    static double risk_behind(const endpoint_use& endpoint, double innocent_asked);
    void add(const hold& one, instant now);
    endpoint_use& at(const endpoint_id& endpoint);

    const trial_schedule& schedule_;
    const is_listed& listed_;
    const risk_of& risk_;
    std::map<fingerprint, cause_use> causes_;
    std::map<endpoint_id, endpoint_use> endpoints_;
    std::map<service_id, service_use> services_;
};

} // namespace cassia::policy
