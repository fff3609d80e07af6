/// Tracks the slots of endpoints that this gateway and the others use, and places requests. Pure.
#pragma once

#include "cassia/base/clock.h"
#include "cassia/base/ids.h"
#include "cassia/policy/endpoint_memory.h"
#include "cassia/policy/endpoint_pace.h"
#include "cassia/policy/send_forecast.h"
#include "cassia/policy/slot_forecast.h"
#include "cassia/policy/work_kind.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace cassia::policy {

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
    std::uint64_t tokens = 0; ///< of these requests, and reserved; those that state none excluded

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
    /// same process. Those at another address than the process now has don't count.
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

    /// \param tokens of the request; 0 if unknown.
    void acquire(const endpoint_id& endpoint, work_kind kind, std::uint64_t tokens = 0);
    void release(const endpoint_id& endpoint, work_kind kind, std::uint64_t tokens = 0);
    /// Usage of this gateway, and the endpoints that it suspects, to be sent to the others.
    slot_usage_map own_usage() const;

    /// Memory of an endpoint of each service, in tokens; unknown for services that aren't listed.
    void set_memory_limits(std::map<service_id, std::uint64_t> limits) {
        memory_.set_limits(std::move(limits));
    }
    /// Distinguishes the choices of this gateway from those of others.
    void set_memory_seed(std::uint64_t seed) { memory_.set_seed(seed); }
    /// 0 if unknown.
    std::uint64_t memory_limit(const service_id& service) const { return memory_.limit(service); }
    /// Whether no endpoint of the service can hold the request, even without others.
    bool exceeds_memory(const service_id& service, std::uint64_t tokens) const {
        return memory_limit(service) > 0 && tokens > memory_limit(service);
    }
    /// Whether the request takes more than a slot's share of the memory, and so has to reserve it.
    bool needs_reservation(const service_id& service, std::uint64_t tokens) const;
    /// Reserves memory for such a request or renews its reservation; to be called before each
    /// attempt to place it. The request is placed there once other gateways know of it.
    /// \returns the endpoint if it is a new one.
    std::optional<endpoint_id> reserve_memory(const service_id& service, work_kind kind,
                                              std::uint64_t tokens,
                                              const std::set<endpoint_id>& excluded, instant now,
                                              double random_fraction,
                                              const software_version& version = {});
    /// Tokens that all gateways have or have reserved there, as far as is known.
    std::uint64_t tokens_in_use(const endpoint_id& endpoint) const;
    /// The highest of these, of all endpoints.
    std::uint64_t most_tokens_in_use() const;
    std::size_t memory_reservations() const { return memory_.reservations().size(); }

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
    /// one allows all. `tokens` leaves out endpoints whose memory the request would exceed; 0 if
    /// unknown.
    /// Places an online request: at a free slot in this zone, in another zone, or at a slot held by
    /// batch. Nothing if no usable slot is left. Where peers will have taken the free slots of a
    /// zone, it may be an endpoint whose slots are in use.
    /// \param random_fraction 0 to 1; selects among the candidates.
    std::optional<placement> place_online(const service_id& service,
                                          const std::set<endpoint_id>& excluded, instant now,
                                          double random_fraction,
                                          const software_version& version = {},
                                          std::uint64_t tokens = 0) const;
    /// Places a stalled stream at a free slot; never on trial and never at the cost of a batch
    /// item.
    std::optional<placement> place_stalled(const service_id& service,
                                           const std::set<endpoint_id>& excluded, instant now,
                                           double random_fraction,
                                           const software_version& version = {},
                                           std::uint64_t tokens = 0) const;
    /// Places a batch item in the same way, but at no other item's cost, if more than the online
    /// reserve is free or if it is urgent.
    std::optional<placement> place_batch(const service_id& service,
                                         const std::set<endpoint_id>& excluded, instant now,
                                         double random_fraction, bool urgent = false,
                                         const software_version& version = {},
                                         std::uint64_t tokens = 0) const;
    /// Places a request that may crash its endpoint: where the fewest others run.
    std::optional<placement> place_alone(const service_id& service,
                                         const std::set<endpoint_id>& excluded, instant now,
                                         const software_version& version = {},
                                         std::uint64_t tokens = 0) const;
    /// The same at this endpoint.
    /// \param has_place its free slots are kept for such requests.
    std::optional<placement> place_at(const service_id& service, const endpoint_id& endpoint,
                                      instant now, const software_version& version = {},
                                      std::uint64_t tokens = 0, bool has_place = false) const;
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
    /// Slots in use, as far as is known.
    std::uint32_t in_use(const endpoint_id& endpoint) const;
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
    /// How long work takes at the endpoints; placement prefers those where it takes less.
    endpoint_pace& pace() { return pace_; }
    const endpoint_pace& pace() const { return pace_; }

private:
    /// Failures and rejections of a process at one address.
    struct failure_record {
        instant suspended_until{};
        std::uint32_t failures = 0; ///< consecutive
        instant suspected_until{};  ///< reported as suspected to peers of a large fleet
        instant rejected_at{};
        milliseconds full_time{0};    ///< after `rejected_at`, counts as full
        std::uint32_t rejections = 0; ///< consecutive
    };
    struct endpoint_state : failure_record {
        slot_endpoint info;
        bool stalled = false;        ///< a stream stalled, and nothing was received since
        http_address former_address; ///< that the process had before this one; may be empty
        failure_record former_record;
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
        double pace = 1;                ///< its factor, see endpoint_pace.h
    };
    /// Endpoints that a request may be drawn from.
    struct draw_group {
        bool own_zone = true;
        bool on_trial = false;
        bool all_zones = false;  ///< overrides `own_zone`
        bool slow_first = false; ///< prefers slow endpoints to fast ones
        double unreported_sends = 0;
        bool failed_here = false; ///< only endpoints that failed a request of this gateway
    };

    /// Takes over what is known of the process of `before`.
    static void keep_failures(endpoint_state& next, const endpoint_state& before);
    /// Whether the gateways are too many for each to try an endpoint on trial at the same time.
    bool is_large_fleet() const;
    static bool counts_as_full(const endpoint_state& endpoint, instant now);
    slot_usage total_use(const endpoint_id& endpoint) const;
    std::uint32_t remote_suspicions(const endpoint_id& endpoint) const;
    std::vector<candidate> candidates(const service_id& service, const software_version& version,
                                      const std::set<endpoint_id>& excluded, instant now,
                                      const memory_need& need = {}) const;
    /// Limits and margins that hold for all endpoints of one service.
    struct memory_check {
        memory_need need;
        std::uint64_t limit = 0; ///< 0: nothing is to be checked
        slot_weights own_zone{0};
        slot_weights other_zones{0};
    };
    memory_check make_memory_check(const service_id& service, const memory_need& need) const;
    std::map<service_id, in_flight_count> count_in_flight() const;
    std::int64_t free_slots(const slot_endpoint& endpoint) const;
    bool has_memory(const endpoint_state& endpoint, const memory_check& check, instant now) const;
    /// Lower is better for a reservation there.
    int reservation_rank(const candidate& one, std::uint64_t limit, std::uint64_t tokens) const;
    int best_reservation_rank(const std::vector<candidate>& all, std::uint64_t limit,
                              std::uint64_t tokens) const;
    const candidate* choose_for_reservation(const std::vector<candidate>& all, std::uint64_t limit,
                                            std::uint64_t tokens, double random_fraction) const;
    bool keeps_reservation(const memory_reservation& held, const std::vector<candidate>& all,
                           instant now) const;
    static placement placed_at(const candidate& chosen);
    const candidate* pick_free(const std::vector<candidate>& all, const draw_group& group,
                               double random_fraction) const;
    /// The same among all zones if the endpoints of the own zone are slow. Nothing otherwise.
    const candidate* pick_in_faster_zone(const std::vector<candidate>& all, double unreported_sends,
                                         double random_fraction) const;
    double unreported_sends(bool own_zone, bool on_trial) const;
    const candidate* pick_yielding(const std::vector<candidate>& all, bool own_zone, bool on_trial,
                                   double random_fraction) const;

    zone_id own_zone_;
    peer_group own_zone_peers_;
    peer_group all_peers_;
    send_forecast forecast_;
    instant advanced_at_{}; ///< latest call of expire_remote_usage()
    endpoint_memory memory_;
    endpoint_pace pace_;
    std::map<endpoint_id, endpoint_state> endpoints_;
    slot_usage_map own_;
    std::map<entry_id, remote_usage> remote_;
    /// Sum of `remote_`, kept up to date because with 64 gateways each placement would otherwise
    /// add up some thousand counts.
    slot_usage_map remote_total_;
};

} // namespace cassia::policy
