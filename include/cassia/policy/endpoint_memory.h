/// Decides whether an endpoint has memory for a request, in tokens of prompts and longest
/// responses. Requests within one slot's share of the memory keep a margin for what other gateways
/// have sent and not yet reported. Larger ones reserve memory first: a reservation is reported like
/// tokens in use, and the request is sent once all gateways have received it. Pure.
#pragma once

#include "cassia/base/clock.h"
#include "cassia/base/ids.h"
#include "cassia/policy/send_forecast.h"
#include "cassia/policy/work_kind.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <utility>

namespace cassia::policy {

/// Memory at an endpoint that a large request of this gateway waits for.
struct memory_reservation {
    endpoint_id endpoint;
    std::uint64_t tokens = 0;
    instant since{};
    instant move_at{};    ///< from then on it moves to an endpoint with room, if there is one
    instant give_up_at{}; ///< it moves in any case
    instant wanted_at{};  ///< when its request last asked for it
};

/// What a request needs of an endpoint.
struct memory_need {
    std::uint64_t tokens = 0; ///< 0 if unknown: the request is placed without regard to memory
    /// Kind of the reservation that a large request uses; without it, none is needed.
    std::optional<work_kind> reserved_as{};
};

/// Memory of an endpoint as this gateway knows it.
struct memory_state {
    std::uint64_t limit = 0; ///< 0 if unknown
    std::uint64_t used = 0;  ///< by all gateways, reservations included
    std::uint32_t slots = 1;
    double share = 0; ///< of the small requests that other gateways send
};

/// Requests at the endpoints of a service.
struct in_flight_count {
    std::uint32_t own = 0;
    std::uint32_t others = 0; ///< of other gateways
};

class endpoint_memory {
public:
    /// Memory of an endpoint of each service; 0 if unknown.
    void set_limits(std::map<service_id, std::uint64_t> limits) { limits_ = std::move(limits); }
    const std::map<service_id, std::uint64_t>& limits() const { return limits_; }
    /// 0 if unknown.
    std::uint64_t limit(const service_id& service) const;
    /// Whether the request takes more than one slot's share of the memory.
    static bool is_large(std::uint64_t limit, std::uint32_t slots, std::uint64_t tokens);

    void record_send(const service_id& service, std::uint64_t tokens);
    /// Advances time; to be called several times a second.
    /// \param in_flight requests at endpoints, of services whose memory is known.
    void advance(const std::map<service_id, in_flight_count>& in_flight, instant now);
    /// Distinguishes this gateway's choices from those of others.
    void set_seed(std::uint64_t seed) { seed_ = seed; }
    /// Whether a request may be sent to the endpoint now.
    bool admits(const service_id& service, const endpoint_id& endpoint, const memory_need& need,
                const memory_state& state, const peer_group& group, instant now) const;

    const memory_reservation* find(const service_id& service, work_kind kind) const;
    /// Renews the reservation of a request. \returns whether the request is within its tokens.
    bool renew(const service_id& service, work_kind kind, std::uint64_t tokens, instant now);
    /// Replaces the reservation. \param random_fraction 0 to 1; after which time it moves.
    void reserve(const service_id& service, work_kind kind, const endpoint_id& endpoint,
                 std::uint64_t tokens, const peer_group& group, instant now,
                 double random_fraction);
    /// A request of this kind was sent there: it has what was reserved for it.
    void take(const service_id& service, work_kind kind, const endpoint_id& endpoint);
    std::uint64_t reserved_at(const endpoint_id& endpoint) const;
    const std::map<std::pair<service_id, work_kind>, memory_reservation>& reservations() const {
        return reservations_;
    }

private:
    /// Small requests to a service, decaying averages.
    struct send_record {
        std::uint32_t sends = 0; ///< of this gateway, since the averages were updated
        double tokens = 0;       ///< of those
        double squares = 0;      ///< of those
        double sends_per_s = 0;
        double tokens_per_s = 0;
        double squares_per_s = 0;
        double largest = 0;
        double in_flight = 0;         ///< of this gateway
        std::uint32_t others_now = 0; ///< in flight of the other gateways, the latest count
    };

    /// Small requests that other gateways have sent in this time, and their tokens' margin.
    double unknown_sends(const send_record& record, milliseconds age, double share) const;
    static double margin(const send_record& record, double unknown);
    bool admits_small(const service_id& service, const endpoint_id& endpoint, std::uint64_t tokens,
                      const memory_state& state, const peer_group& group, instant now) const;
    bool admits_large(const memory_reservation& own, std::uint64_t tokens,
                      const memory_state& state, const service_id& service, const peer_group& group,
                      instant now) const;

    std::uint64_t seed_ = 0;
    std::map<service_id, std::uint64_t> limits_;
    std::map<service_id, send_record> sends_;
    instant counted_from_{};
    std::map<std::pair<service_id, work_kind>, memory_reservation> reservations_;
};

} // namespace cassia::policy
