/// The operators' two lists, checked and ready for look-ups.
#pragma once

#include "cassia/base/ids.h"
#include "cassia/settings/error.h"
#include "cassia/teams/team_table.h"

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace cassia::settings {

struct model_allowance {
    std::set<std::string> versions; ///< empty: any
    std::set<std::string> adapters; ///< empty: any
};

/// What plans may use. Many plans name the same, so they share it.
struct allowance {
    double share = 1; ///< largest part of the fleet
    std::map<service_id, model_allowance> models;
    std::set<service_id> services;
};

struct plan {
    team_id team;
    double weight = 1;
    teams::request_rate rate;   ///< of online requests; with 0 none may pass
    teams::request_count burst; ///< above the rate at once
    std::uint64_t retention_ms = 0;
    bool prefers_online_tail = false;
    std::shared_ptr<const allowance> allowed;
};

struct service_rules {
    std::set<std::string> repeatable_methods;
    std::set<std::string> unrepeatable_methods;
};

/// One accepted version of the two lists. Immutable; tasks share it by pointer.
class catalog {
public:
    std::uint64_t version() const { return version_; }
    /// The plan that names the key, or null.
    const plan* find_by_key(const std::string& key) const;
    const plan* find(const team_id& team) const;
    const std::map<team_id, plan>& plans() const { return plans_; }

    /// Whether, by weight, more plans prefer the online tail than throughput.
    bool prefers_online_tail() const { return prefers_online_tail_; }

    /// Whether a call of the method may be run twice, where the caller doesn't say.
    bool is_repeatable(const service_id& service, const std::string& method) const;

    /// Reads both lists and reports every fault in either.
    static result<std::shared_ptr<const catalog>>
    parse(std::uint64_t version, const std::string& plans_name, const std::string& plans,
          const std::string& allowances_name, const std::string& allowances);

private:
    std::uint64_t version_ = 0;
    bool prefers_online_tail_ = false;
    std::map<team_id, plan> plans_;
    teams::team_table teams_;
    std::map<service_id, service_rules> services_;
};

} // namespace cassia::settings
