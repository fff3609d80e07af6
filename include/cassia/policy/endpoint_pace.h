/// Estimates how long work currently takes at each endpoint, from the load that endpoints report
/// with their responses and from the runs of this gateway. Pure.
#pragma once

#include "cassia/base/clock.h"
#include "cassia/base/ids.h"
#include "cassia/policy/run_times.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>

namespace cassia::policy {

/// Load of an endpoint as it reports it.
struct load_report {
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t slots = 0;
    /// How long work takes, where 100 is the usual value; only from endpoints that share their VMs.
    std::optional<double> pace_percent;

    friend bool operator==(const load_report&, const load_report&) = default;
};

/// The usual value of a reported pace.
constexpr std::uint32_t usual_pace_percent = 100;
/// Older reports aren't passed on: slow spans last for about half of this.
constexpr milliseconds max_shared_pace_age(1000);

/// Pace that an endpoint reported, as gateways pass it on.
struct pace_report {
    std::uint32_t percent = 0;
    instant reported_at{}; ///< by the clock of this gateway

    friend bool operator==(const pace_report&, const pace_report&) = default;
};

using pace_report_map = std::map<endpoint_id, pace_report>;

enum class pace_source : std::uint8_t {
    none,    ///< all factors are 1
    reports, ///< endpoints that never report a pace have a factor of 1
    runs,    ///< these are estimated from the runs
};

/// The runs of an endpoint began or ceased to contradict its reports.
struct pace_contradiction {
    double reported = 1;
    double observed = 1;
    bool ignored = false; ///< reports are ignored from now on
};

class endpoint_pace {
public:
    void set_source(pace_source source) { source_ = source; }
    /// Replaces the endpoints. What is known of those that stay is kept.
    void set_endpoints(const std::map<endpoint_id, service_id>& endpoints);

    void record_report(const endpoint_id& endpoint, const load_report& report, instant now);
    /// Records what other gateways were reported. It says nothing of the load at the endpoints.
    void record_shared(const pace_report_map& reports);
    /// Reports on responses to this gateway that are to be passed on: young ones that the runs
    /// here don't contradict.
    pace_report_map own_reports(instant now) const;
    /// Records a complete run. What it is expected to take is known from the runs of the same shape
    /// at all endpoints of the service.
    std::optional<pace_contradiction> record_run(const endpoint_id& endpoint,
                                                 const run_shape& shape, microseconds actual,
                                                 instant now);
    /// \param expected of the run at an endpoint of the usual pace.
    std::optional<pace_contradiction> record_run(const endpoint_id& endpoint, microseconds expected,
                                                 microseconds actual, instant now);

    /// Time that work takes at the endpoint, relative to the usual: 2 means twice as long. Exactly
    /// 1 if the difference is too small to matter, or if nothing is known.
    double factor(const endpoint_id& endpoint, instant now) const;
    /// Requests running and waiting at the endpoint, as it reported last; nothing if it never did.
    std::optional<std::uint32_t> reported_load(const endpoint_id& endpoint) const;
    /// Whether an endpoint of the service has ever reported a pace.
    bool reports_pace(const service_id& service) const { return reporting_.count(service) > 0; }
    /// Endpoints whose factor is at least this.
    std::size_t count_slower(double factor, instant now) const;
    /// Endpoints whose reports are ignored.
    std::size_t count_contradicted() const;

private:
    /// A value that decays from its latest sample to its long-term mean.
    struct estimate {
        double sample = 1;
        double usual = 1;
        instant first_at{};
        instant sampled_at{};

        bool has_sample() const { return sampled_at != instant(); }
        void add(double value, instant now);
        double at(instant now, milliseconds decay_time) const;
    };
    struct endpoint_state {
        service_id service;
        std::optional<std::uint32_t> load; ///< running and waiting, as reported last
        estimate reported;
        pace_report own_report; ///< the latest on a response to this gateway
        estimate observed;
        double mismatch = 0; ///< mean logarithm of observed divided by reported factors
        std::uint32_t runs = 0;
        instant compared_since{};
        bool contradicted = false;
    };

    void add_report(endpoint_state& endpoint, double pace_percent, instant now);
    double factor(const endpoint_state& endpoint, instant now) const;
    static std::optional<pace_contradiction> compare(endpoint_state& endpoint, double observed,
                                                     instant now);

    pace_source source_ = pace_source::reports;
    std::map<endpoint_id, endpoint_state> endpoints_;
    std::map<service_id, run_times> run_times_;
    std::set<service_id> reporting_;
};

} // namespace cassia::policy
