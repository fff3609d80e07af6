/// Sends and takes the messages by which gateways tell each other which slots they use, and ask
/// each other to give one up.
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
    /// What another gateway or a zone has under way, for the slot table.
    std::function<void(const entry_id& holder, policy::slot_usage_map)> on_uses;
    /// Another gateway needs slots that batch items of this one hold.
    std::function<void(const endpoint_id&, std::uint32_t slots)> on_yield;
};

class usage_link {
public:
    usage_link(entry_id self, zone_id zone, usage_hooks hooks);

    void set_gateways(std::vector<policy::fleet_gateway> others);
    void leave() { exchange_.leave(); }
    /// Sends what is due of what this gateway has under way.
    void share(const policy::slot_usage_map& uses);
    /// \param holder a gateway, or a zone by its key in the slot table.
    void ask_to_yield(const entry_id& holder, const endpoint_id& endpoint, std::uint32_t slots);
    /// Takes a message of another gateway; others are ignored.
    void receive(const schema::envelope& message);

private:
    void send(const policy::usage_message& message);
    void on_sums(const schema::usage_sums& sums);
    void on_yield(const schema::yield_request& request);
    void relay_yield(const schema::yield_request& request);

    entry_id self_;
    zone_id zone_;
    usage_hooks hooks_;
    policy::usage_exchange exchange_;
    entry_id logged_relay_;
};

} // namespace cassia::gateway
