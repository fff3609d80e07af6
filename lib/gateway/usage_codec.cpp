#include "cassia/gateway/usage_codec.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace cassia::gateway {

using policy::pace_report_map;
using policy::slot_usage_map;
using policy::usage_message;

namespace {
// What endpoints may report.
constexpr std::uint32_t max_pace_percent = 10000;
} // namespace

// The age is rounded up, so that a report never becomes younger on its way.
static void encode_pace(const policy::pace_report& report, instant now, schema::endpoint_use& use) {
    const milliseconds age = std::chrono::ceil<milliseconds>(now - report.reported_at);
    use.set_pace_percent(report.percent);
    use.set_pace_age_ms(static_cast<std::uint32_t>(std::max(milliseconds(0), age).count()));
}

// Both maps are in the order of endpoints, and so are the uses.
static void encode_uses(const slot_usage_map& usage, const pace_report_map& paces, instant now,
                        endpoint_uses& uses) {
    auto pace = paces.begin();
    const auto add_idle_before = [&](const endpoint_id* endpoint) {
        for (; pace != paces.end() && (endpoint == nullptr || pace->first < *endpoint); ++pace) {
            schema::endpoint_use* use = uses.Add();
            use->set_endpoint(pace->first.str());
            encode_pace(pace->second, now, *use);
        }
    };
    for (const std::pair<const endpoint_id, policy::slot_usage>& endpoint_usage : usage) {
        add_idle_before(&endpoint_usage.first);
        schema::endpoint_use* use = uses.Add();
        use->set_endpoint(endpoint_usage.first.str());
        use->set_online(endpoint_usage.second.online);
        use->set_batch(endpoint_usage.second.batch);
        use->set_suspects(endpoint_usage.second.suspected_by);
        use->set_tokens(endpoint_usage.second.tokens);
        if (pace != paces.end() && pace->first == endpoint_usage.first)
            encode_pace(pace++->second, now, *use);
    }
    add_idle_before(nullptr);
}

void encode_usage(const usage_message& message, const entry_id& sender, const zone_id& zone,
                  instant now, schema::envelope& envelope) {
    if (message.kind == usage_message::content::own_use) {
        envelope.mutable_rumor()->set_entry(sender.str());
        encode_uses(message.own, message.paces, now, *envelope.mutable_rumor()->mutable_uses());
        return;
    }
    if (message.kind == usage_message::content::report) {
        envelope.mutable_usage()->set_entry(sender.str());
        encode_uses(message.own, message.paces, now, *envelope.mutable_usage()->mutable_uses());
        return;
    }
    schema::usage_sums* sums = envelope.mutable_sums();
    sums->set_entry(sender.str());
    sums->set_zone(zone.str());
    const pace_report_map none;
    for (const policy::zone_usage_map::value_type& zone_use : message.zones) {
        schema::zone_usage* encoded = sums->add_zones();
        encoded->set_zone(zone_use.first.str());
        encode_uses(*zone_use.second, zone_use.first == zone ? message.paces : none, now,
                    *encoded->mutable_uses());
    }
}

slot_usage_map decode_usage(const endpoint_uses& uses) {
    slot_usage_map usage;
    // Senders list the endpoints in the map's order. Those with a pace only are in no usage.
    for (const schema::endpoint_use& use : uses) {
        const policy::slot_usage used{use.online(), use.batch(), use.suspects(), use.tokens()};
        if (use.pace_percent() == 0 || used != policy::slot_usage())
            usage.insert_or_assign(usage.end(), endpoint_id(use.endpoint()), used);
    }
    return usage;
}

void decode_paces(const endpoint_uses& uses, instant now, pace_report_map& paces) {
    for (const schema::endpoint_use& use : uses) {
        if (use.pace_percent() == 0 || use.pace_percent() > max_pace_percent ||
            use.pace_age_ms() >= policy::max_shared_pace_age.count())
            continue;
        paces[endpoint_id(use.endpoint())] = {use.pace_percent(),
                                              now - milliseconds(use.pace_age_ms())};
    }
}

} // namespace cassia::gateway
