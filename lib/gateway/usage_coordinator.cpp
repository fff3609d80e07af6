#include "cassia/gateway/usage_coordinator.h"

#include "cassia/base/log.h"

#include <google/protobuf/arena.h>

#include <map>
#include <optional>
#include <utility>

namespace cassia::gateway {

using policy::slot_usage_map;
using policy::usage_message;

// The relay's list of teams covers all gateways but the receiver.
static entry_id all_others() {
    return entry_id("all others");
}

template <class Message>
static void encode_usage(const slot_usage_map& usage, Message& message) {
    for (const std::pair<const endpoint_id, policy::slot_usage>& endpoint_usage : usage) {
        schema::endpoint_use* use = message.add_uses();
        use->set_endpoint(endpoint_usage.first.str());
        use->set_online(endpoint_usage.second.online);
        use->set_batch(endpoint_usage.second.batch);
        use->set_suspects(endpoint_usage.second.suspected_by);
        use->set_tokens(endpoint_usage.second.tokens);
    }
}

template <class Message>
static slot_usage_map decode_usage(const Message& message) {
    slot_usage_map usage;
    // Senders list the endpoints in the map's order.
    for (const schema::endpoint_use& use : message.uses())
        usage.insert_or_assign(
            usage.end(), endpoint_id(use.endpoint()),
            policy::slot_usage{use.online(), use.batch(), use.suspects(), use.tokens()});
    return usage;
}

template <class Message>
static void encode_teams(const std::optional<policy::team_use_map>& teams, Message& message) {
    if (!teams)
        return;
    for (const std::pair<const team_id, double>& team : *teams) {
        schema::team_use* use = message.add_teams();
        use->set_team(team.first.str());
        use->set_slot_ms(static_cast<std::uint64_t>(team.second));
    }
}

// A sender that had nothing to tell about teams keeps what it told before.
template <class Message>
static std::optional<policy::team_use_map> decode_teams(const Message& message) {
    if (message.teams().empty())
        return std::nullopt;
    policy::team_use_map teams;
    for (const schema::team_use& use : message.teams())
        teams[team_id(use.team())] += static_cast<double>(use.slot_ms());
    return teams;
}

usage_coordinator::usage_coordinator(entry_id self, zone_id zone, usage_hooks hooks)
    : self_(std::move(self)), zone_(std::move(zone)), hooks_(std::move(hooks)),
      exchange_(self_, zone_) {}

void usage_coordinator::set_gateways(std::vector<policy::fleet_gateway> others) {
    exchange_.set_gateways(std::move(others));
}

void usage_coordinator::share(const slot_usage_map& usage, const policy::team_use_map& teams) {
    for (const usage_message& message : exchange_.poll(usage, monotonic_now(), teams))
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
        if (message.teams)
            hooks_.on_team_use(all_others(), *message.teams);
        return;
    }
    // A relay sends the use of each endpoint to each gateway of its zone several times a second; on
    // an arena these parts need no allocation of their own.
    google::protobuf::Arena arena;
    schema::envelope& envelope = *google::protobuf::Arena::CreateMessage<schema::envelope>(&arena);
    if (message.kind == usage_message::content::own_use) {
        envelope.mutable_rumor()->set_entry(self_.str());
        encode_usage(message.own, *envelope.mutable_rumor());
        encode_teams(message.teams, *envelope.mutable_rumor());
    } else if (message.kind == usage_message::content::report) {
        envelope.mutable_usage()->set_entry(self_.str());
        encode_usage(message.own, *envelope.mutable_usage());
        encode_teams(message.teams, *envelope.mutable_usage());
    } else {
        schema::usage_sums* sums = envelope.mutable_sums();
        sums->set_entry(self_.str());
        sums->set_zone(zone_.str());
        for (const policy::zone_usage_map::value_type& zone_use : message.zones) {
            schema::zone_usage* zone = sums->add_zones();
            zone->set_zone(zone_use.first.str());
            encode_usage(*zone_use.second, *zone);
        }
        if (!message.zones.empty())
            encode_teams(message.teams, *sums->mutable_zones(0));
    }
    hooks_.send(message.to, envelope);
}

void usage_coordinator::receive(const schema::envelope& message) {
    switch (message.body_case()) {
    case schema::envelope::kRumor:
        hooks_.on_usage(entry_id(message.rumor().entry()), decode_usage(message.rumor()));
        if (std::optional<policy::team_use_map> teams = decode_teams(message.rumor()))
            hooks_.on_team_use(entry_id(message.rumor().entry()), std::move(*teams));
        break;
    case schema::envelope::kUsage:
        exchange_.receive_report(entry_id(message.usage().entry()), decode_usage(message.usage()),
                                 monotonic_now(), decode_teams(message.usage()));
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

void usage_coordinator::on_zone_sums(const schema::usage_sums& sums) {
    const entry_id relay(sums.entry());
    const zone_id sender_zone(sums.zone());
    std::optional<policy::team_use_map> teams;
    if (sums.zones_size() > 0)
        teams = decode_teams(sums.zones(0));
    if (sender_zone == zone_) {
        if (!exchange_.receive_sums(relay, sender_zone, {}, monotonic_now()))
            return;
        for (const schema::zone_usage& zone : sums.zones())
            hooks_.on_usage(policy::usage_exchange::zone_key(zone_id(zone.zone())),
                            decode_usage(zone));
        if (teams)
            hooks_.on_team_use(all_others(), std::move(*teams));
        return;
    }
    policy::zone_usage_map zones;
    for (const schema::zone_usage& zone : sums.zones())
        zones[zone_id(zone.zone())] = std::make_shared<slot_usage_map>(decode_usage(zone));
    if (!exchange_.receive_sums(relay, sender_zone, zones, monotonic_now(), std::move(teams)))
        return;
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
