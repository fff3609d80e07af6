// Placement of requests at endpoints with free slots.

#include "cassia/policy/slot_table.h"

#include "weighted_draw.h"

#include <algorithm>
#include <cmath>

namespace cassia::policy {

namespace {
// Batch leaves 1/divisor of a service's slots free. An online request that finds no free slot waits
// about a round trip until a batch item has yielded one; with an eighth kept free, the requests of
// the first 0.1 s of a wave find one at once.
constexpr std::uint32_t reserve_divisor = 8;
// A single gateway may be the only one that can't reach an endpoint; if two can't, the endpoint is
// at fault. Otherwise each gateway would lose requests of its own to an unreachable endpoint.
constexpr std::uint32_t min_suspecting_gateways = 2;
// The time that an endpoint needs counts by this power: with 4, one that takes 2.5 times as long
// gets a fortieth of the requests of its peers.
constexpr double pace_exponent = 4;
// Batch items that aren't urgent prefer slow endpoints by this power.
constexpr double batch_pace_exponent = 2;
// Another zone is used if its fastest endpoint is faster than those of the own zone by this factor.
constexpr double max_zone_slowdown = 1.3;

double pace_weight(double factor, bool slow_first) {
    // Most endpoints are at the usual pace, and each placement weighs all of them.
    if (factor == 1)
        return 1;
    return std::pow(factor, slow_first ? batch_pace_exponent : -pace_exponent);
}
} // namespace

std::vector<slot_table::candidate> slot_table::candidates(const service_id& service,
                                                          const software_version& version,
                                                          const std::set<endpoint_id>& excluded,
                                                          instant now,
                                                          const memory_need& need) const {
    std::vector<candidate> found;
    const memory_check memory = make_memory_check(service, need);
    for (const std::pair<const endpoint_id, endpoint_state>& one : endpoints_) {
        const bool fits = one.second.info.service == service &&
                          (version.empty() || one.second.info.version == version);
        const bool usable = fits && excluded.count(one.first) == 0 &&
                            now >= one.second.suspended_until &&
                            has_memory(one.second, memory, now);
        if (!usable)
            continue;
        const slot_usage use = total_use(one.first);
        const std::int64_t slots = one.second.info.slots;
        candidate found_candidate{&one.second, slots - use.online - use.batch, slots - use.online,
                                  false};
        found_candidate.pace = pace_.factor(one.first, now);
        found_candidate.rejecting = counts_as_full(one.second, now);
        if (found_candidate.rejecting)
            found_candidate.free = found_candidate.free_or_batch = 0;
        found_candidate.on_trial =
            one.second.failures > 0 || remote_suspicions(one.first) >= min_suspecting_gateways;
        // An endpoint on trial gets one request of this gateway at a time.
        auto own = own_.find(one.first);
        const bool probe_running = found_candidate.on_trial && own != own_.end();
        if (!probe_running)
            found.push_back(found_candidate);
    }
    return found;
}

// If gateways always chose the best candidate, all would choose the same one until they have
// received each other's usage.
const slot_table::candidate* slot_table::pick_free(const std::vector<candidate>& all,
                                                   const draw_group& group,
                                                   double random_fraction) const {
    const auto fits = [this, &group](const candidate& one) {
        return !one.rejecting && one.on_trial == group.on_trial &&
               (!group.failed_here || one.endpoint->failures > 0) &&
               (group.all_zones || (one.endpoint->info.zone == own_zone_) == group.own_zone);
    };
    slot_weights weights(group.unreported_sends);
    for (const candidate& one : all) {
        if (fits(one))
            weights.add(one.free, one.endpoint->info.slots);
    }
    const auto weight = [&weights, &fits, &group](const candidate& one) {
        return fits(one) ? weights.weight(one.free, one.endpoint->info.slots) *
                               pace_weight(one.pace, group.slow_first)
                         : 0.0;
    };
    return draw_by_weight(all, weight, random_fraction);
}

const slot_table::candidate* slot_table::pick_in_faster_zone(const std::vector<candidate>& all,
                                                             double unreported_sends,
                                                             double random_fraction) const {
    std::optional<double> own;
    std::optional<double> other;
    for (const candidate& one : all) {
        if (one.on_trial || one.rejecting || one.free <= 0)
            continue;
        std::optional<double>& least = one.endpoint->info.zone == own_zone_ ? own : other;
        least = std::min(least.value_or(one.pace), one.pace);
    }
    if (!own || !other || *own <= *other * max_zone_slowdown)
        return nullptr;
    draw_group group;
    group.all_zones = true;
    group.unreported_sends = unreported_sends;
    return pick_free(all, group, random_fraction);
}

// Each gateway has at most one request at an endpoint on trial, so the forecast doesn't apply.
double slot_table::unreported_sends(bool own_zone, bool on_trial) const {
    return on_trial ? 0 : forecast_.unreported_sends(own_zone ? own_zone_peers_ : all_peers_);
}

placement slot_table::placed_at(const candidate& chosen) {
    const slot_endpoint& info = chosen.endpoint->info;
    return {info.id,     info.incarnation, info.address, std::nullopt,
            chosen.free, chosen.on_trial,  info.version};
}

const slot_table::candidate* slot_table::pick_yielding(const std::vector<candidate>& all,
                                                       bool own_zone, bool on_trial,
                                                       double random_fraction) const {
    const auto weight = [this, own_zone, on_trial](const candidate& one) {
        const bool fits = one.free_or_batch > 0 && one.on_trial == on_trial &&
                          (one.endpoint->info.zone == own_zone_) == own_zone &&
                          total_use(one.endpoint->info.id).batch > 0;
        return fits ? static_cast<double>(one.free_or_batch * one.free_or_batch) *
                          pace_weight(one.pace, false)
                    : 0.0;
    };
    return draw_by_weight(all, weight, random_fraction);
}

std::optional<placement> slot_table::place_online(const service_id& service,
                                                  const std::set<endpoint_id>& excluded,
                                                  instant now, double random_fraction,
                                                  const software_version& version,
                                                  std::uint64_t tokens) const {
    const std::vector<candidate> all =
        candidates(service, version, excluded, now, {tokens, work_kind::online});
    if (const candidate* faster =
            pick_in_faster_zone(all, unreported_sends(false, false), random_fraction))
        return placed_at(*faster);
    for (const bool on_trial : {false, true}) {
        for (const bool own_zone : {true, false}) {
            const draw_group group{own_zone, on_trial, false, false,
                                   unreported_sends(own_zone, on_trial)};
            if (const candidate* free = pick_free(all, group, random_fraction))
                return placed_at(*free);
        }
        for (const bool own_zone : {true, false}) {
            if (const candidate* yielding =
                    pick_yielding(all, own_zone, on_trial, random_fraction)) {
                placement place = placed_at(*yielding);
                place.yielding_gateway = batch_holder(place.endpoint);
                return place;
            }
        }
    }
    return std::nullopt;
}

std::optional<placement> slot_table::place_stalled(const service_id& service,
                                                   const std::set<endpoint_id>& excluded,
                                                   instant now, double random_fraction,
                                                   const software_version& version,
                                                   std::uint64_t tokens) const {
    const std::vector<candidate> all = candidates(service, version, excluded, now, {tokens});
    if (const candidate* faster = pick_in_faster_zone(all, 0, random_fraction))
        return placed_at(*faster);
    for (const bool own_zone : {true, false}) {
        draw_group group;
        group.own_zone = own_zone;
        if (const candidate* free = pick_free(all, group, random_fraction))
            return placed_at(*free);
    }
    return std::nullopt;
}

std::optional<placement> slot_table::place_alone(const service_id& service,
                                                 const std::set<endpoint_id>& excluded, instant now,
                                                 const software_version& version,
                                                 std::uint64_t tokens) const {
    const candidate* best = nullptr;
    std::int64_t fewest = 0;
    const std::vector<candidate> all = candidates(service, version, excluded, now, {tokens});
    for (const candidate& one : all) {
        if (one.free <= 0)
            continue;
        const std::int64_t running = one.endpoint->info.slots - one.free;
        if (best == nullptr || running < fewest) {
            best = &one;
            fewest = running;
        }
    }
    return best == nullptr ? std::nullopt : std::optional<placement>(placed_at(*best));
}

std::optional<placement> slot_table::place_at(const service_id& service,
                                              const endpoint_id& endpoint, instant now,
                                              const software_version& version, std::uint64_t tokens,
                                              bool has_place) const {
    for (const candidate& one : candidates(service, version, {}, now, {tokens})) {
        const bool may_start = one.free > 0 || (has_place && !one.rejecting);
        if (one.endpoint->info.id == endpoint && may_start)
            return placed_at(one);
    }
    return std::nullopt;
}

std::size_t slot_table::count_endpoints(const service_id& service) const {
    return static_cast<std::size_t>(
        std::count_if(endpoints_.begin(), endpoints_.end(),
                      [&service](const auto& one) { return one.second.info.service == service; }));
}

bool slot_table::serves(const service_id& service, const software_version& version) const {
    return !version.empty() &&
           std::any_of(endpoints_.begin(), endpoints_.end(), [&](const auto& one) {
               return one.second.info.service == service && one.second.info.version == version;
           });
}

bool slot_table::all_suspended(const service_id& service, const software_version& version,
                               instant now) const {
    return std::none_of(endpoints_.begin(), endpoints_.end(), [&](const auto& one) {
        return one.second.info.service == service && one.second.info.version == version &&
               now >= one.second.suspended_until;
    });
}

// Batch items go to endpoints on trial first: an item that fails is retried elsewhere in time. In a
// large fleet only the gateways at which the endpoint failed try it: items of all would fill it.
std::optional<placement> slot_table::place_batch(const service_id& service,
                                                 const std::set<endpoint_id>& excluded, instant now,
                                                 double random_fraction, bool urgent,
                                                 const software_version& version,
                                                 std::uint64_t tokens) const {
    if (!urgent && batch_capacity(service, now) == 0)
        return std::nullopt;
    const std::vector<candidate> all =
        candidates(service, version, excluded, now, {tokens, work_kind::batch});
    for (const bool on_trial : {true, false}) {
        for (const bool own_zone : {true, false}) {
            draw_group group{own_zone, on_trial, false, !urgent,
                             unreported_sends(own_zone, on_trial)};
            group.failed_here = on_trial && is_large_fleet();
            if (const candidate* free = pick_free(all, group, random_fraction))
                return placed_at(*free);
        }
    }
    return std::nullopt;
}

std::uint32_t slot_table::batch_capacity(const service_id& service, instant now) const {
    double free = 0;
    double slots = 0;
    for (const candidate& one : candidates(service, {}, {}, now)) {
        const double pace = std::max(one.pace, 1.0);
        free += static_cast<double>(std::max<std::int64_t>(one.free, 0)) / pace;
        slots += one.endpoint->info.slots / pace;
    }
    return static_cast<std::uint32_t>(std::max(free - std::floor(slots / reserve_divisor), 0.0));
}

std::uint32_t slot_table::total_slots(const service_id& service, instant now) const {
    std::uint32_t slots = 0;
    for (const candidate& one : candidates(service, {}, {}, now))
        slots += one.endpoint->info.slots;
    return slots;
}

std::uint32_t slot_table::capacity() const {
    std::uint32_t slots = 0;
    for (const std::pair<const endpoint_id, endpoint_state>& one : endpoints_)
        slots += one.second.info.slots;
    return slots;
}

// An endpoint that has just rejected a request counts with the slots that are known to be in use:
// it is full for some ten milliseconds only.
fleet_slots slot_table::fleet_load(const service_id& service, const software_version& version,
                                   instant now) const {
    fleet_slots load;
    load.gateways = all_peers_.gateways + 1;
    for (const std::pair<const endpoint_id, endpoint_state>& one : endpoints_) {
        const bool fits = one.second.info.service == service &&
                          (version.empty() || one.second.info.version == version);
        if (!fits || now < one.second.suspended_until)
            continue;
        const slot_usage use = total_use(one.first);
        const std::uint32_t slots = one.second.info.slots;
        load.slots += slots;
        load.busy += std::min(use.online, slots);
        load.batch += std::min(use.batch, slots);
    }
    return load;
}

} // namespace cassia::policy
