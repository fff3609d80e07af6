/// Distributes the slot usage of each gateway to the others. In a small fleet each sends it to all
/// others; in a larger one each reports to a relay of its availability zone, and relays send sums.
/// Pace reports of endpoints go with these messages, each to each gateway once.
/// Pure.
#pragma once

#include "cassia/base/clock.h"
#include "cassia/base/ids.h"
#include "cassia/policy/gossip_topology.h"
#include "cassia/policy/pace_reports.h"
#include "cassia/policy/slot_table.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace cassia::policy {

/// Usage of whole zones; shared pointers, as one sum goes to many gateways.
using zone_usage_map = std::map<zone_id, std::shared_ptr<const slot_usage_map>>;

/// A message to another gateway.
struct usage_message {
    enum class content : std::uint8_t {
        own_use, ///< usage of the sender, to be kept under the sender's name
        report,  ///< usage of the sender, to its relay
        sums,    ///< usage of whole zones, less what the receiver reported
    };
    entry_id to; ///< if this gateway itself: for its own slot table
    content kind = content::own_use;
    slot_usage_map own;    ///< for `own_use` and `report`
    zone_usage_map zones;  ///< for `sums`: those that have changed or are repeated
    pace_report_map paces; ///< with `sums`, only if these include the own zone of the sender
};

/// Next hop of a request that a batch item yields its slot.
struct yield_target {
    entry_id gateway;
    bool holds_item = false; ///< false: a relay, which selects a gateway of its zone
};

class usage_exchange {
public:
    usage_exchange(entry_id self, zone_id zone);

    /// Replaces the list of other live gateways.
    void set_gateways(std::vector<fleet_gateway> others);
    /// Stops being a relay before shutdown.
    void leave();
    /// Advances time. \returns the messages due now. \param own usage of this gateway.
    /// \param own_paces pace reports on responses to this gateway.
    std::vector<usage_message> poll(const slot_usage_map& own, instant now,
                                    const pace_report_map& own_paces = {});
    void receive_report(const entry_id& from, slot_usage_map usage, instant now,
                        const pace_report_map& paces = {});
    /// \returns whether the sums are to be used: sums for the own zone only from the current relay.
    bool receive_sums(const entry_id& relay, const zone_id& zone, const zone_usage_map& zones,
                      instant now, const pace_report_map& paces = {});

    /// Whether the fleet is too large for each gateway to send to all others.
    bool uses_relays() const;
    /// The other gateways of this zone, or of all zones, and the age that their usage gets.
    peer_group peers(bool own_zone_only) const;
    /// The relay that this gateway reports to; nothing if it is the relay or none is used.
    std::optional<entry_id> relay() const;
    /// Chooses a gateway whose batch item at the endpoint is to yield. The item no longer counts
    /// until that gateway's next report. \param own_zone_only excludes the relays of other zones.
    std::optional<yield_target> choose_yield_target(const endpoint_id& endpoint,
                                                    bool own_zone_only);

    /// The name under which a slot table keeps the usage of a zone.
    static entry_id zone_key(const zone_id& zone);

private:
    struct report {
        slot_usage_map usage;
        instant received_at{};
        slot_usage_map sent_own_zone;       ///< sum last sent to it
        zone_usage_map sent_zones;          ///< the same for other zones
        instant sent_at{};                  ///< when the own zone's sum was sent
        std::uint64_t sent_own_paces = 0;   ///< revision of these reports when they were sent
        std::uint64_t sent_other_paces = 0; ///< the same for other zones
    };
    struct zone_sum {
        std::shared_ptr<const slot_usage_map> usage;
        entry_id relay;
        instant received_at{};
    };
    struct sent_usage {
        slot_usage_map usage;
        instant at{};
        std::uint64_t paces = 0; ///< revision of the own zone's reports
    };

    void rank_relays();
    void send_to_all(const slot_usage_map& own, instant now, std::vector<usage_message>& out);
    void report_to_relay(const slot_usage_map& own, instant now, std::vector<usage_message>& out);
    std::optional<usage_message> sums_for(const entry_id& to, report& reporter,
                                          const slot_usage_map& all, instant now) const;
    void publish(const slot_usage_map& own, instant now, std::vector<usage_message>& out);
    void send_to_other_zones(const slot_usage_map& own_zone, instant now,
                             std::vector<usage_message>& out);
    /// Whether the usage of this gateway is to be sent again.
    bool is_due(const sent_usage& sent, const slot_usage_map& own, instant now) const;
    /// Adds the paces that the reporter hasn't been sent.
    void add_paces(report& reporter, usage_message& message, instant now) const;
    void choose_relay(instant now);
    void expire_silent(instant now);

    entry_id self_;
    zone_id zone_;
    std::vector<fleet_gateway> others_;
    bool leaving_ = false;
    /// Gateways of each zone in order of preference as relay, including this gateway.
    std::map<zone_id, std::vector<entry_id>> ranked_;
    entry_id relay_;
    instant relay_since_{};
    instant relay_received_at_{};
    std::map<entry_id, instant> avoided_until_; ///< relays that were silent
    std::map<entry_id, report> reports_;
    std::map<zone_id, zone_sum> zones_; ///< other zones
    /// Reports of other zones go to gateways of this zone only, so that none returns to where it
    /// came from: the time on the network isn't known, so it would seem younger than it is.
    pace_reports own_zone_paces_;
    pace_reports other_zone_paces_;
    std::uint64_t used_paces_ = 0; ///< revision when this relay passed them to itself
    slot_usage_map own_;
    std::map<entry_id, sent_usage> sent_to_all_;
    sent_usage sent_to_relay_;
    sent_usage sent_to_zones_;
    instant published_at_{};
};

} // namespace cassia::policy
