/// Which software began each stream, so that a caller that lost its gateway takes the stream up at
/// the same software. Each record is kept by the gateway that brought the first event and by a few
/// others, which every gateway computes from the stream's key. Pure.
#pragma once

#include "cassia/base/clock.h"
#include "cassia/base/ids.h"
#include "cassia/policy/gossip_topology.h"
#include "cassia/policy/slot_table.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace cassia::policy {

struct stream_origin {
    stream_key stream;
    software began_by;    ///< with an empty version if it isn't known
    microseconds left{0}; ///< how much longer the caller may take the stream up
};

/// Sent between gateways.
struct stream_origin_message {
    std::vector<stream_origin> origins; ///< to be kept by the receiver
    std::vector<std::pair<lookup_id, stream_key>> queries;
    std::vector<std::pair<lookup_id, std::optional<stream_origin>>> answers;
};

struct stream_origin_decision {
    lookup_id lookup;
    std::optional<software> began_by; ///< nothing if no gateway that was asked knows
};

class stream_origins {
public:
    static constexpr std::size_t max_records = 65536;
    static constexpr std::size_t max_lookups = 4096;
    /// Gateways that keep a record, beside the one that made it.
    static constexpr std::size_t holder_count = 4;

    explicit stream_origins(entry_id self, zone_id zone);

    /// Replaces the list of other live gateways.
    void set_gateways(const std::vector<fleet_gateway>& others);
    /// A stream's first event came from an endpoint of this software.
    void record(const stream_origin& origin, instant now);
    /// Whether this gateway itself knows.
    std::optional<software> find(const stream_key& stream, instant now) const;
    /// Asks the gateways that should know; a decision follows.
    lookup_id look_up(const stream_key& stream, instant now);
    void cancel(lookup_id lookup) { lookups_.erase(lookup); }
    void receive(const entry_id& from, const stream_origin_message& message, instant now);
    /// A message to this gateway could not be sent.
    void on_unreachable(const entry_id& gateway);

    /// Forgets records whose time is over, and gives up lookups that had no answer in time.
    void expire(instant now);
    /// Messages to be sent, by receiver.
    std::map<entry_id, stream_origin_message> take_messages();
    std::vector<stream_origin_decision> take_decisions();

    /// Gateways that keep a stream's record, by this gateway's list; it may be one itself.
    std::vector<entry_id> holders(const stream_key& stream) const;
    std::size_t records() const { return records_.size(); }
    std::size_t lookups() const { return lookups_.size(); }

private:
    struct kept_record {
        software began_by;
        instant expires_at{};
    };
    struct open_lookup {
        stream_key stream;
        std::set<entry_id> asked; ///< that have not answered
        instant expires_at{};
    };
    struct known_gateway {
        entry_id id;
        zone_id zone;
        std::uint64_t hash = 0;
    };

    void keep(const stream_origin& origin, instant now);
    void forget(const stream_key& stream);
    void on_negative_answer(lookup_id lookup, const entry_id& from);
    void decide(lookup_id lookup, const std::optional<software>& began_by);

    entry_id self_;
    zone_id zone_;
    std::vector<known_gateway> gateways_; ///< those that don't leave, with this one
    std::map<stream_key, kept_record> records_;
    std::set<std::pair<instant, stream_key>> by_expiry_;
    std::map<lookup_id, open_lookup> lookups_;
    std::uint64_t last_lookup_ = 0;
    std::map<entry_id, stream_origin_message> messages_;
    std::vector<stream_origin_decision> decisions_;
};

} // namespace cassia::policy
