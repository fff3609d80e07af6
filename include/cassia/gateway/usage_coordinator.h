/// Exchanges slot usage and yield requests with other gateways: sends and receives the messages of
/// policy::usage_exchange.
#pragma once

#include "cassia/base/ids.h"
#include "cassia/policy/usage_exchange.h"
#include "cassia/schema/messages.pb.h"

#include <cstdint>
#include <functional>
#include <vector>

namespace cassia::gateway {

struct usage_hooks {
    /// Sends to another gateway. \returns false if its address is unknown.
    std::function<bool(const entry_id& to, schema::envelope&)> send;
    /// Slots in use by another gateway or by a whole zone, under its key in the slot table.
    std::function<void(const entry_id& holder, policy::slot_usage_map)> on_usage;
    /// Pace reports of endpoints that other gateways received.
    std::function<void(const policy::pace_report_map&)> on_paces;
    /// Another gateway needs slots that batch items of this one hold.
    std::function<void(const endpoint_id&, std::uint32_t slots)> on_yield_request;
};

class usage_coordinator {
public:
    usage_coordinator(entry_id self, zone_id zone, usage_hooks hooks);

    void set_gateways(std::vector<policy::fleet_gateway> others);
    policy::peer_group peers(bool own_zone_only) const { return exchange_.peers(own_zone_only); }
    /// This gateway no longer acts as a relay.
    void leave() { exchange_.leave(); }
    /// Sends the slots in use here, and the pace reports received here, to other gateways when due.
    void share(const policy::slot_usage_map& usage, const policy::pace_report_map& paces);
    /// \param holder a gateway, or a zone by its key in the slot table.
    void request_yield(const entry_id& holder, const endpoint_id& endpoint, std::uint32_t slots);
    /// Handles a message of another gateway; ignores messages of other kinds.
    void receive(const schema::envelope& message);

private:
    void send(const policy::usage_message& message);
    void use_paces(const policy::pace_report_map& paces);
    void on_zone_sums(const schema::usage_sums& sums);
    void handle_yield_request(const schema::yield_request& request);
    void forward_yield_request(const schema::yield_request& request);

    entry_id self_;
    zone_id zone_;
    usage_hooks hooks_;
    policy::usage_exchange exchange_;
    entry_id last_logged_relay_;
};

} // namespace cassia::gateway
