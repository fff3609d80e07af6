#include "cassia/gateway/usage_link.h"

#include "cassia/base/log.h"

#include <map>
#include <utility>

namespace cassia::gateway {

using policy::slot_usage_map;
using policy::usage_message;

template <class Message>
static void write_uses(const slot_usage_map& uses, Message& message) {
    for (const std::pair<const endpoint_id, policy::slot_usage>& one : uses) {
        schema::endpoint_use* use = message.add_uses();
        use->set_endpoint(one.first.str());
        use->set_online(one.second.online);
        use->set_batch(one.second.batch);
        use->set_suspects(one.second.suspected_by);
    }
}

template <class Message>
static slot_usage_map read_uses(const Message& message) {
    slot_usage_map uses;
    for (const schema::endpoint_use& use : message.uses())
        uses[endpoint_id(use.endpoint())] = {use.online(), use.batch(), use.suspects()};
    return uses;
}

usage_link::usage_link(entry_id self, zone_id zone, usage_hooks hooks)
    : self_(std::move(self)), zone_(std::move(zone)), hooks_(std::move(hooks)),
      exchange_(self_, zone_) {}

void usage_link::set_gateways(std::vector<policy::fleet_gateway> others) {
    exchange_.set_gateways(std::move(others));
}

void usage_link::share(const slot_usage_map& uses) {
    for (const usage_message& message : exchange_.poll(uses, monotonic_now()))
        send(message);
    const entry_id relay = exchange_.relay().value_or(entry_id());
    if (relay == logged_relay_)
        return;
    logged_relay_ = relay;
    log_info("usage_relay_chosen").with("relay", relay.str()).with("zone", zone_.str());
}

void usage_link::send(const usage_message& message) {
    if (message.to == self_) {
        for (const policy::zone_usage_map::value_type& one : message.zones)
            hooks_.on_uses(policy::usage_exchange::zone_key(one.first), *one.second);
        return;
    }
    schema::envelope envelope;
    if (message.kind == usage_message::content::own_use) {
        envelope.mutable_rumor()->set_entry(self_.str());
        write_uses(message.own, *envelope.mutable_rumor());
    } else if (message.kind == usage_message::content::report) {
        envelope.mutable_usage()->set_entry(self_.str());
        write_uses(message.own, *envelope.mutable_usage());
    } else {
        schema::usage_sums* sums = envelope.mutable_sums();
        sums->set_entry(self_.str());
        sums->set_zone(zone_.str());
        for (const policy::zone_usage_map::value_type& one : message.zones) {
            schema::zone_usage* zone = sums->add_zones();
            zone->set_zone(one.first.str());
            write_uses(*one.second, *zone);
        }
    }
    hooks_.send(message.to, envelope);
}

void usage_link::receive(const schema::envelope& message) {
    switch (message.body_case()) {
    case schema::envelope::kRumor:
        hooks_.on_uses(entry_id(message.rumor().entry()), read_uses(message.rumor()));
        break;
    case schema::envelope::kUsage:
        exchange_.receive_report(entry_id(message.usage().entry()), read_uses(message.usage()),
                                 monotonic_now());
        break;
    case schema::envelope::kSums:
        on_sums(message.sums());
        break;
    case schema::envelope::kYield:
        on_yield(message.yield());
        break;
    default:
        break;
    }
}

void usage_link::on_sums(const schema::usage_sums& sums) {
    policy::zone_usage_map zones;
    for (const schema::zone_usage& one : sums.zones())
        zones[zone_id(one.zone())] = std::make_shared<slot_usage_map>(read_uses(one));
    if (!exchange_.receive_sums(entry_id(sums.entry()), zone_id(sums.zone()), zones,
                                monotonic_now()))
        return;
    for (const policy::zone_usage_map::value_type& one : zones)
        hooks_.on_uses(policy::usage_exchange::zone_key(one.first), *one.second);
}

void usage_link::ask_to_yield(const entry_id& holder, const endpoint_id& endpoint,
                              std::uint32_t slots) {
    schema::envelope envelope;
    schema::yield_request* request = envelope.mutable_yield();
    request->set_endpoint(endpoint.str());
    request->set_slots(slots);
    if (hooks_.send(holder, envelope))
        return;
    request->set_any_gateway(true);
    if (const std::optional<entry_id> relay = exchange_.relay())
        hooks_.send(*relay, envelope);
    else
        relay_yield(*request);
}

void usage_link::on_yield(const schema::yield_request& request) {
    if (request.any_gateway())
        relay_yield(request);
    else
        hooks_.on_yield(endpoint_id(request.endpoint()), request.slots());
}

// Each slot is asked of the gateway that has most batch items there.
void usage_link::relay_yield(const schema::yield_request& request) {
    for (std::uint32_t i = 0; i < request.slots(); ++i) {
        const std::optional<policy::yield_target> target =
            exchange_.choose_yield_target(endpoint_id(request.endpoint()), request.relayed());
        if (!target)
            return;
        if (target->gateway == self_) {
            hooks_.on_yield(endpoint_id(request.endpoint()), 1);
            continue;
        }
        schema::envelope envelope;
        envelope.mutable_yield()->set_endpoint(request.endpoint());
        envelope.mutable_yield()->set_slots(1);
        envelope.mutable_yield()->set_any_gateway(!target->holds_item);
        envelope.mutable_yield()->set_relayed(!target->holds_item);
        hooks_.send(target->gateway, envelope);
    }
}

} // namespace cassia::gateway
