#include "cassia/policy/usage_exchange.h"

#include <algorithm>
#include <utility>

namespace cassia::policy {

namespace {
// Usage is polled, and sent if it has changed, this often.
constexpr milliseconds report_interval(50);
// Unchanged usage is repeated this often, so that silence indicates a failure.
constexpr milliseconds repeat_interval(500);
constexpr milliseconds sums_repeat_interval(250);
// Two missed repetitions of a sum.
constexpr milliseconds relay_timeout(600);
// Within this time a failed gateway has been removed from the list of live gateways.
constexpr milliseconds failed_relay_backoff(5000);
constexpr milliseconds reporter_timeout(1500);
// Minimum interval between two publications of a relay, per reporting gateway: bounds its load.
constexpr milliseconds publish_time_per_reporter(1);
// Sums go to other zones less often, as these use them only while they have no free slot.
constexpr milliseconds zones_interval(200);
} // namespace

usage_exchange::usage_exchange(entry_id self, zone_id zone)
    : self_(std::move(self)), zone_(std::move(zone)) {
    rank_relays();
}

entry_id usage_exchange::zone_key(const zone_id& zone) {
    return entry_id("zone " + zone.str());
}

bool usage_exchange::uses_relays() const {
    return others_.size() > max_mesh_peers;
}

peer_group usage_exchange::peers(bool own_zone_only) const {
    const std::size_t in_zone = static_cast<std::size_t>(
        std::count_if(others_.begin(), others_.end(),
                      [this](const fleet_gateway& one) { return one.zone == zone_; }));
    peer_group group{static_cast<std::uint32_t>(own_zone_only ? in_zone : others_.size()),
                     report_interval};
    if (uses_relays()) {
        group.usage_age += std::max(report_interval,
                                    publish_time_per_reporter * static_cast<std::int64_t>(in_zone));
        group.usage_age += own_zone_only ? milliseconds(0) : zones_interval;
    }
    return group;
}

std::optional<entry_id> usage_exchange::relay() const {
    if (!uses_relays() || relay_.empty() || relay_ == self_)
        return std::nullopt;
    return relay_;
}

void usage_exchange::set_gateways(std::vector<fleet_gateway> others) {
    if (others == others_)
        return;
    others_ = std::move(others);
    rank_relays();
}

void usage_exchange::leave() {
    leaving_ = true;
    rank_relays();
}

void usage_exchange::rank_relays() {
    std::vector<fleet_gateway> all = others_;
    all.push_back({self_, zone_, leaving_});
    ranked_ = rank_by_zone(all);
    ranked_[zone_]; // choose_relay() needs the own zone also if none of its gateways can be a relay
}

void usage_exchange::receive_report(const entry_id& from, slot_usage_map usage, instant now,
                                    const pace_report_map& paces) {
    own_zone_paces_.add(from, paces, now);
    report& reporter = reports_[from];
    reporter.usage = std::move(usage);
    reporter.received_at = now;
}

bool usage_exchange::receive_sums(const entry_id& relay, const zone_id& zone,
                                  const zone_usage_map& zones, instant now,
                                  const pace_report_map& paces) {
    if (zone == zone_) {
        if (relay != relay_)
            return false;
        relay_received_at_ = now;
        return true;
    }
    auto found = zones.find(zone);
    if (found == zones.end())
        return false;
    zones_[zone] = {found->second, relay, now};
    other_zone_paces_.add(relay, paces, now);
    return true;
}

void usage_exchange::expire_silent(instant now) {
    own_zone_paces_.expire(now);
    other_zone_paces_.expire(now);
    std::erase_if(reports_, [now](const std::pair<const entry_id, report>& one) {
        return now - one.second.received_at > reporter_timeout;
    });
    std::erase_if(zones_, [now](const std::pair<const zone_id, zone_sum>& one) {
        return now - one.second.received_at > reporter_timeout;
    });
    std::erase_if(avoided_until_, [now](const std::pair<const entry_id, instant>& one) {
        return now >= one.second;
    });
}

// A silent relay is avoided for a time. So is this gateway itself if it ranks first but receives no
// reports: the others have seen it fail, or don't have it in their list yet.
void usage_exchange::choose_relay(instant now) {
    const std::vector<entry_id>& ranked = ranked_.at(zone_);
    const bool is_silent = relay_ == self_ ? reports_.empty() && ranked.size() > 1
                                           : now - relay_received_at_ > relay_timeout;
    if (!relay_.empty() && is_silent && now - relay_since_ > relay_timeout)
        avoided_until_[relay_] = now + failed_relay_backoff;
    const auto chosen = std::find_if(ranked.begin(), ranked.end(), [this](const entry_id& one) {
        return avoided_until_.count(one) == 0;
    });
    const entry_id next = chosen == ranked.end() ? self_ : *chosen;
    if (next == relay_)
        return;
    relay_ = next;
    relay_since_ = now;
    sent_to_relay_ = sent_usage();
}

std::vector<usage_message> usage_exchange::poll(const slot_usage_map& own, instant now,
                                                const pace_report_map& own_paces) {
    std::vector<usage_message> out;
    own_ = own;
    expire_silent(now);
    own_zone_paces_.add(self_, own_paces, now);
    if (!uses_relays()) {
        send_to_all(own, now, out);
        return out;
    }
    choose_relay(now);
    if (relay_ != self_)
        report_to_relay(own, now, out);
    // A gateway that receives reports publishes even if it isn't the relay by its own view: the
    // reporters may have detected the relay's failure first.
    if (relay_ == self_ || !reports_.empty())
        publish(own, now, out);
    return out;
}

bool usage_exchange::is_due(const sent_usage& sent, const slot_usage_map& own, instant now) const {
    return sent.usage != own || now - sent.at >= repeat_interval ||
           own_zone_paces_.changed_from(sent.paces, self_, now);
}

void usage_exchange::send_to_all(const slot_usage_map& own, instant now,
                                 std::vector<usage_message>& out) {
    for (const fleet_gateway& one : others_) {
        sent_usage& sent = sent_to_all_[one.id];
        if (!is_due(sent, own, now))
            continue;
        out.push_back({one.id,
                       usage_message::content::own_use,
                       own,
                       {},
                       own_zone_paces_.since_from(sent.paces, self_, now)});
        sent = {own, now, own_zone_paces_.revision()};
    }
}

void usage_exchange::report_to_relay(const slot_usage_map& own, instant now,
                                     std::vector<usage_message>& out) {
    if (!is_due(sent_to_relay_, own, now))
        return;
    out.push_back({relay_,
                   usage_message::content::report,
                   own,
                   {},
                   own_zone_paces_.since_from(sent_to_relay_.paces, self_, now)});
    sent_to_relay_ = {own, now, own_zone_paces_.revision()};
}

void usage_exchange::add_paces(report& reporter, usage_message& message, instant now) const {
    message.paces = own_zone_paces_.since(reporter.sent_own_paces, message.to, now);
    for (const auto& one : other_zone_paces_.since(reporter.sent_other_paces, message.to, now)) {
        pace_report& youngest = message.paces[one.first];
        if (one.second.reported_at > youngest.reported_at)
            youngest = one.second;
    }
    reporter.sent_own_paces = own_zone_paces_.revision();
    reporter.sent_other_paces = other_zone_paces_.revision();
}

// Another zone's sum is sent only when a new one was received; that zone's relay repeats it.
std::optional<usage_message> usage_exchange::sums_for(const entry_id& to, report& reporter,
                                                      const slot_usage_map& all,
                                                      instant now) const {
    usage_message message{to, usage_message::content::sums, {}, {}, {}};
    for (const std::pair<const zone_id, zone_sum>& zone : zones_) {
        std::shared_ptr<const slot_usage_map>& sent = reporter.sent_zones[zone.first];
        if (sent == zone.second.usage)
            continue;
        sent = zone.second.usage;
        message.zones[zone.first] = sent;
    }
    slot_usage_map own_zone = all;
    subtract_usage(own_zone, reporter.usage);
    const bool paces_changed = own_zone_paces_.changed_since(reporter.sent_own_paces, to, now) ||
                               other_zone_paces_.changed_since(reporter.sent_other_paces, to, now);
    if (own_zone != reporter.sent_own_zone || paces_changed ||
        now - reporter.sent_at >= sums_repeat_interval) {
        add_paces(reporter, message, now);
        reporter.sent_own_zone = own_zone;
        reporter.sent_at = now;
        message.zones[zone_] = std::make_shared<slot_usage_map>(std::move(own_zone));
    }
    if (message.zones.empty())
        return std::nullopt;
    return message;
}

void usage_exchange::publish(const slot_usage_map& own, instant now,
                             std::vector<usage_message>& out) {
    const milliseconds spread =
        publish_time_per_reporter * static_cast<std::int64_t>(reports_.size());
    if (now - published_at_ < spread)
        return;
    published_at_ = now;
    slot_usage_map others;
    for (const std::pair<const entry_id, report>& one : reports_)
        add_usage(others, one.second.usage);
    slot_usage_map all = others;
    add_usage(all, own);
    for (std::pair<const entry_id, report>& one : reports_) {
        if (std::optional<usage_message> message = sums_for(one.first, one.second, all, now))
            out.push_back(std::move(*message));
    }
    if (relay_ != self_)
        return;
    usage_message to_self{self_,
                          usage_message::content::sums,
                          {},
                          {},
                          own_zone_paces_.since(used_paces_, self_, now)};
    used_paces_ = own_zone_paces_.revision();
    to_self.zones[zone_] = std::make_shared<slot_usage_map>(std::move(others));
    out.push_back(std::move(to_self));
    send_to_other_zones(all, now, out);
}

void usage_exchange::send_to_other_zones(const slot_usage_map& own_zone, instant now,
                                         std::vector<usage_message>& out) {
    const milliseconds interval =
        own_zone == sent_to_zones_.usage &&
                !own_zone_paces_.changed_since(sent_to_zones_.paces, {}, now)
            ? repeat_interval
            : zones_interval;
    if (now - sent_to_zones_.at < interval)
        return;
    const pace_report_map paces = own_zone_paces_.since(sent_to_zones_.paces, {}, now);
    sent_to_zones_ = {own_zone, now, own_zone_paces_.revision()};
    const std::shared_ptr<const slot_usage_map> shared = std::make_shared<slot_usage_map>(own_zone);
    for (const std::pair<const zone_id, std::vector<entry_id>>& zone : ranked_) {
        if (zone.first == zone_)
            continue;
        const std::size_t count = std::min(relays_per_zone, zone.second.size());
        for (std::size_t i = 0; i < count; ++i)
            out.push_back(
                {zone.second[i], usage_message::content::sums, {}, {{zone_, shared}}, paces});
    }
}

std::optional<yield_target> usage_exchange::choose_yield_target(const endpoint_id& endpoint,
                                                                bool own_zone_only) {
    const auto batch_items_at = [&endpoint](const slot_usage_map& usage) -> std::uint32_t {
        auto found = usage.find(endpoint);
        return found == usage.end() ? 0 : found->second.batch;
    };
    auto most = std::max_element(
        reports_.begin(), reports_.end(), [&batch_items_at](const auto& a, const auto& b) {
            return batch_items_at(a.second.usage) < batch_items_at(b.second.usage);
        });
    const std::uint32_t reported = most == reports_.end() ? 0 : batch_items_at(most->second.usage);
    if (batch_items_at(own_) > reported)
        return yield_target{self_, true};
    if (reported > 0) {
        --most->second.usage[endpoint].batch;
        return yield_target{most->first, true};
    }
    if (own_zone_only)
        return std::nullopt;
    for (const std::pair<const zone_id, zone_sum>& one : zones_) {
        if (batch_items_at(*one.second.usage) > 0)
            return yield_target{one.second.relay, false};
    }
    return std::nullopt;
}

} // namespace cassia::policy
