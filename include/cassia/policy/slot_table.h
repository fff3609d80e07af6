/// Tracks the slots of endpoints that this gateway and the others use, and places requests. Pure.
#pragma once

#include "cassia/base/clock.h"
#include "cassia/base/ids.h"
#include "cassia/policy/send_forecast.h"
#include "cassia/policy/slot_forecast.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace cassia::policy {

enum class work_kind : std::uint8_t { online, batch };

/// What endpoints run. Only endpoints of the same software go on with what it began.
struct software {
    service_id service;
    software_version version;

    friend auto operator<=>(const software&, const software&) = default;
};

/// An endpoint that may be given requests.
struct slot_endpoint {
    endpoint_id id;
    std::uint64_t incarnation = 0;
    http_address address;
    zone_id zone;
    service_id service;
    std::uint32_t slots = 1; ///< requests that it runs concurrently
    software_version version;

    friend bool operator==(const slot_endpoint&, const slot_endpoint&) = default;
};

/// Requests in flight at an endpoint, of one gateway or summed over several.
struct slot_usage {
    std::uint32_t online = 0;
    std::uint32_t batch = 0;
    std::uint32_t suspected_by = 0; ///< gateways whose latest requests there failed

    friend bool operator==(const slot_usage&, const slot_usage&) = default;
};

using slot_usage_map = std::map<endpoint_id, slot_usage>;

struct placement {
    endpoint_id endpoint;
    std::uint64_t incarnation = 0;
    http_address address;
    /// Set if a batch item must yield its slot: the gateway that runs it, empty for this one.
    std::optional<entry_id> yielding_gateway;
    std::int64_t free = 0;    ///< slots that were free there, by this gateway's view
    bool on_trial = false;    ///< its latest requests failed
    software_version version; ///< of the endpoint
};

/// Adds usage to a sum, endpoint by endpoint. A sum has no entries for unused endpoints.
void add_usage(slot_usage_map& sum, const slot_usage_map& usage);
/// Subtracts usage that was added before.
void subtract_usage(slot_usage_map& sum, const slot_usage_map& usage);

class slot_table {
public:
    explicit slot_table(zone_id own_zone) : own_zone_(std::move(own_zone)) {}

    /// Replaces the endpoints. Usage is kept, as are the failures of endpoints that still run the
    /// same process.
    void set_endpoints(const std::vector<slot_endpoint>& endpoints);
    /// Sets the gateways that use the same endpoints: those of this zone and those of all zones.
    void set_peers(peer_group own_zone, peer_group all_zones) {
        own_zone_peers_ = own_zone;
        all_peers_ = all_zones;
    }
    /// Replaces the usage reported by another gateway, or by a relay for a whole zone.
    void set_remote_usage(const entry_id& gateway, slot_usage_map usage, instant now);
    /// Drops the usage of gateways that have been silent: their requests have ended with them.
    void expire_remote_usage(instant now);

    void acquire(const endpoint_id& endpoint, work_kind kind);
    void release(const endpoint_id& endpoint, work_kind kind);
    /// Usage of this gateway, and the endpoints that it suspects, to be sent to the others.
    slot_usage_map own_usage() const;

    /// A request failed there. The endpoint is suspended, for longer with each failure, and then on
    /// trial until a request succeeds. \returns the length of the suspension.
    milliseconds record_failure(const endpoint_id& endpoint, instant now);
    /// The process of the endpoint crashed: nothing is placed there for some seconds, or until
    /// another process runs there.
    void record_crash(const endpoint_id& endpoint, std::uint64_t incarnation, instant now);
    /// A request was rejected there without having run. The endpoint counts as full, for longer
    /// with each rejection in a row. This isn't a failure, and isn't reported to peers.
    void record_rejection(const endpoint_id& endpoint, instant now);
    /// A request succeeded there: ends suspension and trial, and the row of rejections.
    void record_success(const endpoint_id& endpoint);
    /// A stream from there stalled. A single stall may be a lost packet; a second one, with nothing
    /// received from the endpoint in between, counts as a failure. \returns the length of the
    /// suspension, 0 if there is none.
    milliseconds record_stall(const endpoint_id& endpoint, instant now);
    /// Stream data was received from there.
    void record_progress(const endpoint_id& endpoint);

    /// In all of these `version` limits the endpoints to those of one software version; an empty
    /// one allows all.
    /// Places an online request: at a free slot in this zone, in another zone, or at a slot held by
    /// batch. Nothing if no usable slot is left. Where peers will have taken the free slots of a
    /// zone, it may be an endpoint whose slots are in use.
    /// \param random_fraction 0 to 1; selects among the candidates.
    std::optional<placement> place_online(const service_id& service,
                                          const std::set<endpoint_id>& excluded, instant now,
                                          double random_fraction,
                                          const software_version& version = {}) const;
    /// Places a stalled stream at a free slot; never on trial and never at the cost of a batch
    /// item.
    std::optional<placement> place_stalled(const service_id& service,
                                           const std::set<endpoint_id>& excluded, instant now,
                                           double random_fraction,
                                           const software_version& version = {}) const;
    /// Places a batch item in the same way, but at no other item's cost, if more than the online
    /// reserve is free or if it is urgent.
    std::optional<placement> place_batch(const service_id& service,
                                         const std::set<endpoint_id>& excluded, instant now,
                                         double random_fraction, bool urgent = false,
                                         const software_version& version = {}) const;
    /// Places a request that may crash its endpoint: where the fewest others run.
    std::optional<placement> place_alone(const service_id& service,
                                         const std::set<endpoint_id>& excluded, instant now,
                                         const software_version& version = {}) const;
    /// The same at this endpoint.
    std::optional<placement> place_at(const service_id& service, const endpoint_id& endpoint,
                                      instant now, const software_version& version = {}) const;
    /// Endpoints of a service.
    std::size_t count_endpoints(const service_id& service) const;
    /// Whether any endpoint of the service has this version, however busy it is.
    bool serves(const service_id& service, const software_version& version) const;
    /// Whether all endpoints of the service with this version have just failed.
    bool all_suspended(const service_id& service, const software_version& version,
                       instant now) const;
    /// Takes the slots that are free at an endpoint, so that no other request is placed there.
    /// \returns how many; each is to be released as an online one.
    std::uint32_t reserve_free_slots(const endpoint_id& endpoint);
    /// Whether all slots are in use, as far as is known; true for an unknown endpoint.
    bool is_full(const endpoint_id& endpoint) const;
    /// A gateway that runs batch items there: this one (empty) if it does, else any other.
    std::optional<entry_id> batch_holder(const endpoint_id& endpoint) const;
    /// The same if all slots are in use; nothing while some are free.
    std::optional<entry_id> batch_holder_if_full(const endpoint_id& endpoint) const;
    /// Free slots of a service above the online reserve.
    std::uint32_t batch_capacity(const service_id& service, instant now) const;
    std::uint32_t total_slots(const service_id& service, instant now) const;
    /// Slots of all endpoints.
    std::uint32_t capacity() const;
    /// Slots of the service's endpoints of this version that aren't suspended, for a forecast.
    fleet_slots fleet_load(const service_id& service, const software_version& version,
                           instant now) const;
    bool contains(const endpoint_id& endpoint) const { return endpoints_.count(endpoint) > 0; }

private:
    struct endpoint_state {
        slot_endpoint info;
        instant suspended_until{};
        std::uint32_t failures = 0; ///< consecutive
        bool stalled = false;       ///< a stream stalled, and nothing was received since
        instant rejected_at{};
        milliseconds full_time{0};    ///< after `rejected_at`, counts as full
        std::uint32_t rejections = 0; ///< consecutive
    };
    struct remote_usage {
        slot_usage_map usage;
        instant received_at{};
    };
    struct candidate {
        const endpoint_state* endpoint = nullptr;
        std::int64_t free = 0;          ///< unused slots
        std::int64_t free_or_batch = 0; ///< slots that run no online request
        bool on_trial = false;          ///< online uses it only as a last resort
        bool rejecting = false;         ///< rejected a request just now
    };

    static bool counts_as_full(const endpoint_state& endpoint, instant now);
    slot_usage total_use(const endpoint_id& endpoint) const;
    std::uint32_t remote_suspicions(const endpoint_id& endpoint) const;
    std::vector<candidate> candidates(const service_id& service, const software_version& version,
                                      const std::set<endpoint_id>& excluded, instant now) const;
    static placement placed_at(const candidate& chosen);
    const candidate* pick_free(const std::vector<candidate>& all, bool own_zone, bool on_trial,
                               double unreported_sends, double random_fraction) const;
    double unreported_sends(bool own_zone, bool on_trial) const;
    const candidate* pick_yielding(const std::vector<candidate>& all, bool own_zone, bool on_trial,
                                   double random_fraction) const;

    zone_id own_zone_;
    peer_group own_zone_peers_;
    peer_group all_peers_;
    send_forecast forecast_;
    std::map<endpoint_id, endpoint_state> endpoints_;
    slot_usage_map own_;
    std::map<entry_id, remote_usage> remote_;
    /// Sum of `remote_`, kept up to date because with 64 gateways each placement would otherwise
    /// add up some thousand counts.
    slot_usage_map remote_total_;
};

} // namespace cassia::policy
