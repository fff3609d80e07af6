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
                                    std::optional<team_use_map> teams) {
    report& reporter = reports_[from];
    reporter.usage = std::move(usage);
    if (teams)
        reporter.teams = {std::move(*teams), now};
    reporter.received_at = now;
}

bool usage_exchange::receive_sums(const entry_id& relay, const zone_id& zone,
                                  const zone_usage_map& zones, instant now,
                                  std::optional<team_use_map> teams) {
    if (zone == zone_) {
        if (relay != relay_)
            return false;
        relay_received_at_ = now;
        return true;
    }
    auto found = zones.find(zone);
    if (found == zones.end())
        return false;
    zone_sum& sum = zones_[zone];
    sum.usage = found->second;
    sum.relay = relay;
    sum.received_at = now;
    if (teams)
        sum.teams = {std::move(*teams), now};
    return true;
}

void usage_exchange::expire_silent(instant now) {
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
                                                const team_use_map& own_teams) {
    std::vector<usage_message> out;
    own_ = own;
    own_teams_ = own_teams;
    expire_silent(now);
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

void usage_exchange::send_to_all(const slot_usage_map& own, instant now,
                                 std::vector<usage_message>& out) {
    for (const fleet_gateway& one : others_) {
        sent_usage& sent = sent_to_all_[one.id];
        if (sent.usage == own && now - sent.at < repeat_interval)
            continue;
        sent.usage = own;
        sent.at = now;
        out.push_back({one.id,
                       usage_message::content::own_use,
                       own,
                       {},
                       due_teams(own_teams_, sent.teams_at, now)});
    }
}

void usage_exchange::report_to_relay(const slot_usage_map& own, instant now,
                                     std::vector<usage_message>& out) {
    if (sent_to_relay_.usage == own && now - sent_to_relay_.at < repeat_interval)
        return;
    sent_to_relay_.usage = own;
    sent_to_relay_.at = now;
    out.push_back({relay_,
                   usage_message::content::report,
                   own,
                   {},
                   due_teams(own_teams_, sent_to_relay_.teams_at, now)});
}

team_use_map usage_exchange::sum_teams(instant now) const {
    team_use_map sum = own_teams_;
    for (const std::pair<const entry_id, report>& one : reports_)
        add_team_use(sum, one.second.teams.use, now - one.second.teams.received_at);
    return sum;
}

void usage_exchange::add_other_zones(team_use_map& sum, instant now) const {
    for (const std::pair<const zone_id, zone_sum>& zone : zones_)
        add_team_use(sum, zone.second.teams.use, now - zone.second.teams.received_at);
}

std::optional<team_use_map> usage_exchange::due_teams(const team_use_map& teams, instant& sent_at,
                                                      instant now) const {
    if (teams.empty() || now - sent_at < team_use_interval)
        return std::nullopt;
    sent_at = now;
    return largest_users(teams);
}

// Another zone's sum is sent only when a new one was received; that zone's relay repeats it.
std::optional<usage_message> usage_exchange::sums_for(const entry_id& to, report& reporter,
                                                      const slot_usage_map& all,
                                                      const team_use_map& teams,
                                                      instant now) const {
    usage_message message{to, usage_message::content::sums, {}, {}};
    for (const std::pair<const zone_id, zone_sum>& zone : zones_) {
        std::shared_ptr<const slot_usage_map>& sent = reporter.sent_zones[zone.first];
        if (sent == zone.second.usage)
            continue;
        sent = zone.second.usage;
        message.zones[zone.first] = sent;
    }
    slot_usage_map own_zone = all;
    subtract_usage(own_zone, reporter.usage);
    if (own_zone != reporter.sent_own_zone || now - reporter.sent_at >= sums_repeat_interval) {
        reporter.sent_own_zone = own_zone;
        reporter.sent_at = now;
        message.zones[zone_] = std::make_shared<slot_usage_map>(std::move(own_zone));
    }
    if (message.zones.empty())
        return std::nullopt;
    if (now - reporter.teams_sent_at >= team_use_interval) {
        team_use_map others = teams;
        subtract_team_use(others, reporter.teams.use, now - reporter.teams.received_at);
        message.teams = due_teams(others, reporter.teams_sent_at, now);
    }
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
    const team_use_map zone_teams = sum_teams(now);
    team_use_map teams = zone_teams;
    add_other_zones(teams, now);
    for (std::pair<const entry_id, report>& one : reports_) {
        if (std::optional<usage_message> message = sums_for(one.first, one.second, all, teams, now))
            out.push_back(std::move(*message));
    }
    if (relay_ != self_)
        return;
    usage_message to_self{self_, usage_message::content::sums, {}, {}};
    to_self.zones[zone_] = std::make_shared<slot_usage_map>(std::move(others));
    subtract_team_use(teams, own_teams_, microseconds(0));
    to_self.teams = std::move(teams);
    out.push_back(std::move(to_self));
    send_to_other_zones(all, zone_teams, now, out);
}

void usage_exchange::send_to_other_zones(const slot_usage_map& own_zone, const team_use_map& teams,
                                         instant now, std::vector<usage_message>& out) {
    const milliseconds interval =
        own_zone == sent_to_zones_.usage ? repeat_interval : zones_interval;
    if (now - sent_to_zones_.at < interval)
        return;
    sent_to_zones_.usage = own_zone;
    sent_to_zones_.at = now;
    const std::optional<team_use_map> due = due_teams(teams, sent_to_zones_.teams_at, now);
    const std::shared_ptr<const slot_usage_map> shared = std::make_shared<slot_usage_map>(own_zone);
    for (const std::pair<const zone_id, std::vector<entry_id>>& zone : ranked_) {
        if (zone.first == zone_)
            continue;
        const std::size_t count = std::min(relays_per_zone, zone.second.size());
        for (std::size_t i = 0; i < count; ++i)
            out.push_back(
                {zone.second[i], usage_message::content::sums, {}, {{zone_, shared}}, due});
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
