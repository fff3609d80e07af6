// Memory of endpoints: what all gateways have there, and reservations of large requests.

#include "cassia/policy/slot_table.h"

#include "weighted_draw.h"

#include <algorithm>
#include <climits>

namespace cassia::policy {

std::uint64_t slot_table::tokens_in_use(const endpoint_id& endpoint) const {
    const auto tokens_of = [&endpoint](const slot_usage_map& usage) {
        auto found = usage.find(endpoint);
        return found == usage.end() ? 0 : found->second.tokens;
    };
    return tokens_of(own_) + tokens_of(remote_total_) + memory_.reserved_at(endpoint);
}

std::uint64_t slot_table::most_tokens_in_use() const {
    std::uint64_t most = 0;
    for (const std::pair<const endpoint_id, endpoint_state>& one : endpoints_)
        most = std::max(most, tokens_in_use(one.first));
    return most;
}

bool slot_table::needs_reservation(const service_id& service, std::uint64_t tokens) const {
    const std::uint64_t limit = memory_limit(service);
    if (limit == 0 || tokens == 0)
        return false;
    return std::any_of(endpoints_.begin(), endpoints_.end(), [&](const auto& one) {
        const slot_endpoint& info = one.second.info;
        return info.service == service && endpoint_memory::is_large(limit, info.slots, tokens);
    });
}

std::int64_t slot_table::free_slots(const slot_endpoint& endpoint) const {
    const slot_usage use = total_use(endpoint.id);
    return std::int64_t{endpoint.slots} - use.online - use.batch;
}

std::map<service_id, in_flight_count> slot_table::count_in_flight() const {
    std::map<service_id, in_flight_count> counts;
    for (const std::pair<const endpoint_id, endpoint_state>& one : endpoints_) {
        if (memory_limit(one.second.info.service) == 0)
            continue;
        in_flight_count& count = counts[one.second.info.service];
        auto own = own_.find(one.first);
        const std::uint32_t ours = own == own_.end() ? 0 : own->second.online + own->second.batch;
        const slot_usage all = total_use(one.first);
        count.own += ours;
        count.others += all.online + all.batch - ours;
    }
    return counts;
}

// Other gateways draw endpoints by the same weights.
slot_table::memory_check slot_table::make_memory_check(const service_id& service,
                                                       const memory_need& need) const {
    memory_check check{need, need.tokens == 0 ? 0 : memory_limit(service)};
    if (check.limit == 0)
        return check;
    check.own_zone = slot_weights(unreported_sends(true, false));
    check.other_zones = slot_weights(unreported_sends(false, false));
    for (const std::pair<const endpoint_id, endpoint_state>& one : endpoints_) {
        const slot_endpoint& info = one.second.info;
        const bool fits =
            info.service == service && tokens_in_use(info.id) + need.tokens <= check.limit;
        if (fits)
            (info.zone == own_zone_ ? check.own_zone : check.other_zones)
                .add(free_slots(info), info.slots);
    }
    return check;
}

bool slot_table::has_memory(const endpoint_state& endpoint, const memory_check& check,
                            instant now) const {
    if (check.limit == 0)
        return true;
    const slot_endpoint& info = endpoint.info;
    const bool own_zone = info.zone == own_zone_;
    const slot_weights& weights = own_zone ? check.own_zone : check.other_zones;
    return memory_.admits(info.service, info.id, check.need,
                          {check.limit, tokens_in_use(info.id), info.slots,
                           weights.weight(free_slots(info), info.slots)},
                          own_zone ? own_zone_peers_ : all_peers_, now);
}

int slot_table::reservation_rank(const candidate& one, std::uint64_t limit,
                                 std::uint64_t tokens) const {
    const slot_endpoint& info = one.endpoint->info;
    const bool has_room = one.free > 0 && tokens_in_use(info.id) + tokens <= limit;
    return (one.on_trial ? 4 : 0) + (has_room ? 0 : 2) + (info.zone == own_zone_ ? 0 : 1);
}

// Endpoints with room come first, then those of this zone, whose gateways learn of the reservation
// first. If none has room, what runs there has to end first. Drawn by free memory.
const slot_table::candidate* slot_table::choose_for_reservation(const std::vector<candidate>& all,
                                                                std::uint64_t limit,
                                                                std::uint64_t tokens,
                                                                double random_fraction) const {
    const int best = best_reservation_rank(all, limit, tokens);
    const auto weight = [&](const candidate& one) {
        const std::uint64_t used = std::min(limit, tokens_in_use(one.endpoint->info.id));
        return reservation_rank(one, limit, tokens) == best ? 1 + static_cast<double>(limit - used)
                                                            : 0.0;
    };
    return draw_by_weight(all, weight, random_fraction);
}

int slot_table::best_reservation_rank(const std::vector<candidate>& all, std::uint64_t limit,
                                      std::uint64_t tokens) const {
    int best = INT_MAX;
    for (const candidate& one : all)
        best = std::min(best, reservation_rank(one, limit, tokens));
    return best;
}

// A reservation stays while it is the best that can be had. Otherwise it moves, at a random time,
// as two that wait for each other at one endpoint must not both move.
bool slot_table::keeps_reservation(const memory_reservation& held,
                                   const std::vector<candidate>& all, instant now) const {
    const auto there = std::find_if(all.begin(), all.end(), [&held](const candidate& one) {
        return one.endpoint->info.id == held.endpoint;
    });
    if (there == all.end() || now >= held.give_up_at)
        return false;
    const std::uint64_t limit = memory_limit(there->endpoint->info.service);
    return now < held.move_at ||
           reservation_rank(*there, limit, 0) <= best_reservation_rank(all, limit, held.tokens);
}

std::optional<endpoint_id> slot_table::reserve_memory(const service_id& service, work_kind kind,
                                                      std::uint64_t tokens,
                                                      const std::set<endpoint_id>& excluded,
                                                      instant now, double random_fraction,
                                                      const software_version& version) {
    if (!needs_reservation(service, tokens) || exceeds_memory(service, tokens))
        return std::nullopt;
    const std::vector<candidate> all = candidates(service, version, excluded, now);
    const bool is_held = memory_.renew(service, kind, tokens, now);
    if (is_held && keeps_reservation(*memory_.find(service, kind), all, now))
        return std::nullopt;
    const candidate* chosen =
        choose_for_reservation(all, memory_limit(service), tokens, random_fraction);
    if (chosen == nullptr)
        return std::nullopt;
    const slot_endpoint& info = chosen->endpoint->info;
    memory_.reserve(service, kind, info.id, tokens,
                    info.zone == own_zone_ ? own_zone_peers_ : all_peers_, now, random_fraction);
    return info.id;
}

} // namespace cassia::policy
