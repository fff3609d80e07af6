/// How gateways tell each other which slots they use. In a small fleet each tells all others; in a
/// larger one each reports to a relay of its availability zone, and relays pass on sums. Pure.
#pragma once

#include "cassia/base/clock.h"
#include "cassia/base/ids.h"
#include "cassia/policy/slot_table.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace cassia::policy {

/// Another gateway that lives.
struct fleet_gateway {
    entry_id id;
    zone_id zone;
    bool leaving = false; ///< serves what it has, and is no relay

    friend bool operator==(const fleet_gateway&, const fleet_gateway&) = default;
};

/// What whole zones have under way; the same sum goes to many gateways.
using zone_usage_map = std::map<zone_id, std::shared_ptr<const slot_usage_map>>;

/// What is to be sent to another gateway.
struct usage_message {
    enum class content : std::uint8_t {
        own_use, ///< what the sender has under way, to a gateway that keeps it by its sender
        report,  ///< the same, to the sender's relay
        sums,    ///< what whole zones have under way, without what the receiver reported
    };
    entry_id to; ///< this gateway itself: for its own slot table
    content kind = content::own_use;
    slot_usage_map own;   ///< with `own_use` and `report`
    zone_usage_map zones; ///< with `sums`: those that the receiver wasn't told yet
};

/// Where a request for a slot that a batch item holds goes next.
struct yield_target {
    entry_id gateway;
    bool holds_item = false; ///< false: a relay, which chooses among the gateways of its zone
};

class usage_exchange {
public:
    usage_exchange(entry_id self, zone_id zone);

    /// Replaces the other gateways that live.
    void set_gateways(std::vector<fleet_gateway> others);
    /// This gateway is no relay any more.
    void leave();
    /// What is due now. \param own what this gateway has under way.
    std::vector<usage_message> poll(const slot_usage_map& own, instant now);
    void receive_report(const entry_id& from, slot_usage_map uses, instant now);
    /// \returns whether they count: those of the own zone come from the relay chosen.
    bool receive_sums(const entry_id& relay, const zone_id& zone, const zone_usage_map& zones,
                      instant now);

    /// Whether the fleet is too large for each gateway to tell all others.
    bool uses_relays() const;
    /// The relay that this gateway reports to; nothing if it relays itself.
    std::optional<entry_id> relay() const;
    /// A gateway that may give up a slot there, as far as this relay knows; counted as given up
    /// until the gateway reports anew. \param own_zone_only not to ask the relays of other zones.
    std::optional<yield_target> choose_yield_target(const endpoint_id& endpoint,
                                                    bool own_zone_only);

    /// The name under which a slot table keeps what a zone has under way.
    static entry_id zone_key(const zone_id& zone);

private:
    struct report {
        slot_usage_map uses;
        instant heard{};
        slot_usage_map told_own_zone; ///< sum that it was sent last
        zone_usage_map told_zones;    ///< the same of the other zones
        instant told_at{};            ///< the own zone's sum
    };
    struct zone_sum {
        std::shared_ptr<const slot_usage_map> uses;
        entry_id relay;
        instant heard{};
    };
    struct told_use {
        slot_usage_map uses;
        instant at{};
    };

    void rank();
    void tell_all(const slot_usage_map& own, instant now, std::vector<usage_message>& out);
    void tell_relay(const slot_usage_map& own, instant now, std::vector<usage_message>& out);
    std::optional<usage_message> sums_for(const entry_id& to, report& one,
                                          const slot_usage_map& all, instant now) const;
    void publish(const slot_usage_map& own, instant now, std::vector<usage_message>& out);
    void tell_other_zones(const slot_usage_map& own_zone, instant now,
                          std::vector<usage_message>& out);
    void choose_relay(instant now);
    void forget_silent(instant now);

    entry_id self_;
    zone_id zone_;
    std::vector<fleet_gateway> others_;
    bool leaving_ = false;
    std::map<zone_id, std::vector<entry_id>> ranked_; ///< best relay first, this gateway included
    entry_id relay_;
    instant relay_since_{};
    instant relay_heard_{};
    std::map<entry_id, instant> avoided_until_; ///< relays that failed
    std::map<entry_id, report> reports_;
    std::map<zone_id, zone_sum> zones_; ///< of the other zones
    slot_usage_map own_;
    std::map<entry_id, told_use> told_all_;
    told_use told_relay_;
    told_use told_zones_;
    instant published_at_{};
};

} // namespace cassia::policy
