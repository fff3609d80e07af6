#include "cassia/gateway/usage_coordinator.h"

#include "cassia/base/log.h"
#include "cassia/gateway/usage_codec.h"

#include <google/protobuf/arena.h>

#include <map>
#include <utility>

namespace cassia::gateway {

using policy::pace_report_map;
using policy::slot_usage_map;
using policy::usage_message;

static pace_report_map received_paces(const endpoint_uses& uses) {
    pace_report_map paces;
    decode_paces(uses, monotonic_now(), paces);
    return paces;
}

usage_coordinator::usage_coordinator(entry_id self, zone_id zone, usage_hooks hooks)
    : self_(std::move(self)), zone_(std::move(zone)), hooks_(std::move(hooks)),
      exchange_(self_, zone_) {}

void usage_coordinator::set_gateways(std::vector<policy::fleet_gateway> others) {
    exchange_.set_gateways(std::move(others));
}

void usage_coordinator::share(const slot_usage_map& usage, const pace_report_map& paces) {
    for (const usage_message& message : exchange_.poll(usage, monotonic_now(), paces))
        send(message);
    const entry_id relay = exchange_.relay().value_or(entry_id());
    if (relay == last_logged_relay_)
        return;
    last_logged_relay_ = relay;
    log_info("usage_relay_chosen").with("relay", relay.str()).with("zone", zone_.str());
}

void usage_coordinator::send(const usage_message& message) {
    // A relay passes the sum of its own zone to its own slot table.
    if (message.to == self_) {
        for (const policy::zone_usage_map::value_type& zone_use : message.zones)
            hooks_.on_usage(policy::usage_exchange::zone_key(zone_use.first), *zone_use.second);
        use_paces(message.paces);
        return;
    }
    // A relay sends the use of each endpoint to each gateway of its zone several times a second; on
    // an arena these parts need no allocation of their own.
    google::protobuf::Arena arena;
    schema::envelope& envelope = *google::protobuf::Arena::CreateMessage<schema::envelope>(&arena);
    encode_usage(message, self_, zone_, monotonic_now(), envelope);
    hooks_.send(message.to, envelope);
}

void usage_coordinator::receive(const schema::envelope& message) {
    switch (message.body_case()) {
    case schema::envelope::kRumor:
        hooks_.on_usage(entry_id(message.rumor().entry()), decode_usage(message.rumor().uses()));
        use_paces(received_paces(message.rumor().uses()));
        break;
    case schema::envelope::kUsage:
        exchange_.receive_report(entry_id(message.usage().entry()),
                                 decode_usage(message.usage().uses()), monotonic_now(),
                                 received_paces(message.usage().uses()));
        break;
    case schema::envelope::kSums:
        on_zone_sums(message.sums());
        break;
    case schema::envelope::kYield:
        handle_yield_request(message.yield());
        break;
    default:
        break;
    }
}

void usage_coordinator::use_paces(const pace_report_map& paces) {
    if (!paces.empty())
        hooks_.on_paces(paces);
}

void usage_coordinator::on_zone_sums(const schema::usage_sums& sums) {
    const entry_id relay(sums.entry());
    const zone_id sender_zone(sums.zone());
    pace_report_map paces;
    for (const schema::zone_usage& zone : sums.zones())
        decode_paces(zone.uses(), monotonic_now(), paces);
    if (sender_zone == zone_) {
        if (!exchange_.receive_sums(relay, sender_zone, {}, monotonic_now()))
            return;
        for (const schema::zone_usage& zone : sums.zones())
            hooks_.on_usage(policy::usage_exchange::zone_key(zone_id(zone.zone())),
                            decode_usage(zone.uses()));
        use_paces(paces);
        return;
    }
    policy::zone_usage_map zones;
    for (const schema::zone_usage& zone : sums.zones())
        zones[zone_id(zone.zone())] = std::make_shared<slot_usage_map>(decode_usage(zone.uses()));
    if (!exchange_.receive_sums(relay, sender_zone, zones, monotonic_now(), paces))
        return;
    use_paces(paces);
    for (const policy::zone_usage_map::value_type& zone : zones)
        hooks_.on_usage(policy::usage_exchange::zone_key(zone.first), *zone.second);
}

void usage_coordinator::request_yield(const entry_id& holder, const endpoint_id& endpoint,
                                      std::uint32_t slots) {
    schema::envelope envelope;
    schema::yield_request* request = envelope.mutable_yield();
    request->set_endpoint(endpoint.str());
    request->set_slots(slots);
    if (hooks_.send(holder, envelope))
        return;
    // The holder is a zone, or a gateway that is no longer listed: a relay chooses the gateway.
    request->set_any_gateway(true);
    if (const std::optional<entry_id> relay = exchange_.relay())
        hooks_.send(*relay, envelope);
    else
        forward_yield_request(*request);
}

void usage_coordinator::handle_yield_request(const schema::yield_request& request) {
    if (request.any_gateway())
        forward_yield_request(request);
    else
        hooks_.on_yield_request(endpoint_id(request.endpoint()), request.slots());
}

// Requests each slot from the gateway of this zone that reported the most batch items at the
// endpoint, or, if none has any there, from the relay of another zone.
void usage_coordinator::forward_yield_request(const schema::yield_request& request) {
    for (std::uint32_t i = 0; i < request.slots(); ++i) {
        const std::optional<policy::yield_target> target =
            exchange_.choose_yield_target(endpoint_id(request.endpoint()), request.relayed());
        if (!target)
            return;
        if (target->gateway == self_) {
            hooks_.on_yield_request(endpoint_id(request.endpoint()), 1);
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
