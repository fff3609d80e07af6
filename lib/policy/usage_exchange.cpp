#include "cassia/policy/usage_exchange.h"

#include "cassia/base/digest.h"

#include <algorithm>
#include <utility>

namespace cassia::policy {

namespace {
// With more others than this a gateway reports to a relay in place of telling each of them.
constexpr std::size_t most_told_directly = 20;
// What didn't change is repeated this often, so that silence shows a failure.
constexpr milliseconds repeat_interval(500);
constexpr milliseconds sums_repeat_interval(250);
// Two repeated sums that didn't come.
constexpr milliseconds relay_failed_after(600);
// A gateway that failed leaves the list of those that live within this time.
constexpr milliseconds failed_relay_avoided(5000);
constexpr milliseconds reporter_forgotten_after(1500);
// Time that a relay takes for each gateway that reports to it, at least, between two sums.
constexpr milliseconds publish_time_per_reporter(1);
// Other zones are used only while the own one has no free slot.
constexpr milliseconds zones_interval(200);
// Two, so that a zone whose relay has just failed still hears of the others.
constexpr std::size_t relays_told_in_each_zone = 2;
} // namespace

usage_exchange::usage_exchange(entry_id self, zone_id zone)
    : self_(std::move(self)), zone_(std::move(zone)) {
    rank();
}

entry_id usage_exchange::zone_key(const zone_id& zone) {
    return entry_id("zone " + zone.str());
}

bool usage_exchange::uses_relays() const {
    return others_.size() > most_told_directly;
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
    rank();
}

void usage_exchange::leave() {
    leaving_ = true;
    rank();
}

// Every gateway ranks by the same hashes, so those that know the same list agree on the relay, and
// one that joins or leaves moves the relay only if it is the first.
void usage_exchange::rank() {
    ranked_.clear();
    std::vector<entry_id>& own_zone = ranked_[zone_];
    if (!leaving_)
        own_zone.push_back(self_);
    for (const fleet_gateway& one : others_) {
        if (!one.leaving)
            ranked_[one.zone].push_back(one.id);
    }
    for (std::pair<const zone_id, std::vector<entry_id>>& zone : ranked_) {
        std::sort(zone.second.begin(), zone.second.end(), [](const entry_id& a, const entry_id& b) {
            return std::make_pair(stable_hash(a.str()), a) <
                   std::make_pair(stable_hash(b.str()), b);
        });
    }
}

void usage_exchange::receive_report(const entry_id& from, slot_usage_map uses, instant now) {
    report& one = reports_[from];
    one.uses = std::move(uses);
    one.heard = now;
}

bool usage_exchange::receive_sums(const entry_id& relay, const zone_id& zone,
                                  const zone_usage_map& zones, instant now) {
    if (zone == zone_) {
        if (relay != relay_)
            return false;
        relay_heard_ = now;
        return true;
    }
    auto found = zones.find(zone);
    if (found == zones.end())
        return false;
    zones_[zone] = {found->second, relay, now};
    return true;
}

void usage_exchange::forget_silent(instant now) {
    std::erase_if(reports_, [now](const std::pair<const entry_id, report>& one) {
        return now - one.second.heard > reporter_forgotten_after;
    });
    std::erase_if(zones_, [now](const std::pair<const zone_id, zone_sum>& one) {
        return now - one.second.heard > reporter_forgotten_after;
    });
    std::erase_if(avoided_until_, [now](const std::pair<const entry_id, instant>& one) {
        return now >= one.second;
    });
}

// A relay that falls silent is avoided. So is this gateway itself if it takes itself for the relay
// and nobody reports to it: the others have seen it fail, or don't know it yet.
void usage_exchange::choose_relay(instant now) {
    const std::vector<entry_id>& ranked = ranked_.at(zone_);
    const bool is_silent = relay_ == self_ ? reports_.empty() && ranked.size() > 1
                                           : now - relay_heard_ > relay_failed_after;
    if (!relay_.empty() && is_silent && now - relay_since_ > relay_failed_after)
        avoided_until_[relay_] = now + failed_relay_avoided;
    const auto chosen = std::find_if(ranked.begin(), ranked.end(), [this](const entry_id& one) {
        return avoided_until_.count(one) == 0;
    });
    const entry_id next = chosen == ranked.end() ? self_ : *chosen;
    if (next == relay_)
        return;
    relay_ = next;
    relay_since_ = now;
    told_relay_ = told_use();
}

std::vector<usage_message> usage_exchange::poll(const slot_usage_map& own, instant now) {
    std::vector<usage_message> out;
    own_ = own;
    forget_silent(now);
    if (!uses_relays()) {
        tell_all(own, now, out);
        return out;
    }
    choose_relay(now);
    if (relay_ != self_)
        tell_relay(own, now, out);
    // Whoever is reported to publishes: those that report may have seen a failure first.
    if (relay_ == self_ || !reports_.empty())
        publish(own, now, out);
    return out;
}

void usage_exchange::tell_all(const slot_usage_map& own, instant now,
                              std::vector<usage_message>& out) {
    for (const fleet_gateway& one : others_) {
        told_use& told = told_all_[one.id];
        if (told.uses == own && now - told.at < repeat_interval)
            continue;
        told = {own, now};
        out.push_back({one.id, usage_message::content::own_use, own, {}});
    }
}

void usage_exchange::tell_relay(const slot_usage_map& own, instant now,
                                std::vector<usage_message>& out) {
    if (told_relay_.uses == own && now - told_relay_.at < repeat_interval)
        return;
    told_relay_ = {own, now};
    out.push_back({relay_, usage_message::content::report, own, {}});
}

static slot_usage_map without(slot_usage_map sum, const slot_usage_map& part) {
    for (const std::pair<const endpoint_id, slot_usage>& one : part) {
        auto found = sum.find(one.first);
        found->second.online -= one.second.online;
        found->second.batch -= one.second.batch;
        found->second.suspected_by -= one.second.suspected_by;
        if (found->second == slot_usage())
            sum.erase(found);
    }
    return sum;
}

// Another zone's sum is sent once it was told anew; its relay repeats it.
std::optional<usage_message> usage_exchange::sums_for(const entry_id& to, report& one,
                                                      const slot_usage_map& all,
                                                      instant now) const {
    usage_message message{to, usage_message::content::sums, {}, {}};
    for (const std::pair<const zone_id, zone_sum>& zone : zones_) {
        std::shared_ptr<const slot_usage_map>& told = one.told_zones[zone.first];
        if (told == zone.second.uses)
            continue;
        told = zone.second.uses;
        message.zones[zone.first] = told;
    }
    slot_usage_map own_zone = without(all, one.uses);
    if (own_zone != one.told_own_zone || now - one.told_at >= sums_repeat_interval) {
        one.told_own_zone = own_zone;
        one.told_at = now;
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
        add_usage(others, one.second.uses);
    slot_usage_map all = others;
    add_usage(all, own);
    for (std::pair<const entry_id, report>& one : reports_) {
        if (std::optional<usage_message> message = sums_for(one.first, one.second, all, now))
            out.push_back(std::move(*message));
    }
    if (relay_ != self_)
        return;
    usage_message to_self{self_, usage_message::content::sums, {}, {}};
    to_self.zones[zone_] = std::make_shared<slot_usage_map>(std::move(others));
    out.push_back(std::move(to_self));
    tell_other_zones(all, now, out);
}

void usage_exchange::tell_other_zones(const slot_usage_map& own_zone, instant now,
                                      std::vector<usage_message>& out) {
    const milliseconds interval = own_zone == told_zones_.uses ? repeat_interval : zones_interval;
    if (now - told_zones_.at < interval)
        return;
    told_zones_ = {own_zone, now};
    const std::shared_ptr<const slot_usage_map> shared = std::make_shared<slot_usage_map>(own_zone);
    for (const std::pair<const zone_id, std::vector<entry_id>>& zone : ranked_) {
        if (zone.first == zone_)
            continue;
        const std::size_t count = std::min(relays_told_in_each_zone, zone.second.size());
        for (std::size_t i = 0; i < count; ++i)
            out.push_back({zone.second[i], usage_message::content::sums, {}, {{zone_, shared}}});
    }
}

std::optional<yield_target> usage_exchange::choose_yield_target(const endpoint_id& endpoint,
                                                                bool own_zone_only) {
    const auto batch_at = [&endpoint](const slot_usage_map& uses) -> std::uint32_t {
        auto found = uses.find(endpoint);
        return found == uses.end() ? 0 : found->second.batch;
    };
    auto most = std::max_element(reports_.begin(), reports_.end(),
                                 [&batch_at](const auto& a, const auto& b) {
                                     return batch_at(a.second.uses) < batch_at(b.second.uses);
                                 });
    const std::uint32_t reported = most == reports_.end() ? 0 : batch_at(most->second.uses);
    if (batch_at(own_) > reported)
        return yield_target{self_, true};
    if (reported > 0) {
        --most->second.uses[endpoint].batch;
        return yield_target{most->first, true};
    }
    if (own_zone_only)
        return std::nullopt;
    for (const std::pair<const zone_id, zone_sum>& one : zones_) {
        if (batch_at(*one.second.uses) > 0)
            return yield_target{one.second.relay, false};
    }
    return std::nullopt;
}

} // namespace cassia::policy
