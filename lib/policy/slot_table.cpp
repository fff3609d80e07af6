#include "cassia/policy/slot_table.h"

#include <algorithm>
#include <utility>

namespace cassia::policy {

namespace {
// Entries tell each other what they have under way several times a second; one that was silent for
// this long is gone, and its requests with it.
constexpr milliseconds others_forgotten_after(1500);
// Share of a service's slots that batch leaves free. An online request that finds no free slot
// waits until a batch item has yielded one, about a round trip; with an eighth kept free, the
// requests of the first tenth of a second of a wave find one at once.
constexpr std::uint32_t reserve_divisor = 8;
// How long an endpoint that failed gets no requests: doubled with each failure in a row.
constexpr milliseconds first_suspension(250);
constexpr milliseconds longest_suspension(4000);
constexpr std::uint32_t most_doublings = 5;
// One entry may be the only one that can't reach an endpoint; if two can't, it is the endpoint.
// Without this each entry loses requests of its own to a dark endpoint before it keeps away.
constexpr std::uint32_t others_believed = 2;
} // namespace

void slot_table::set_endpoints(const std::vector<slot_endpoint>& endpoints) {
    std::map<endpoint_id, known_endpoint> next;
    for (const slot_endpoint& one : endpoints) {
        known_endpoint& known = next[one.id];
        known.facts = one;
        auto before = endpoints_.find(one.id);
        const bool same =
            before != endpoints_.end() && before->second.facts.incarnation == one.incarnation;
        if (same) {
            known.suspended_until = before->second.suspended_until;
            known.failures = before->second.failures;
        }
    }
    endpoints_ = std::move(next);
}

void add_usage(slot_usage_map& sum, const slot_usage_map& uses) {
    for (const std::pair<const endpoint_id, slot_usage>& one : uses) {
        slot_usage& total = sum[one.first];
        total.online += one.second.online;
        total.batch += one.second.batch;
        total.suspected_by += one.second.suspected_by;
    }
}

void slot_table::set_remote_usage(const entry_id& entry, slot_usage_map uses, instant now) {
    other_entry& other = others_[entry];
    take_from_others(other.uses);
    add_usage(others_total_, uses);
    other = {std::move(uses), now};
}

void slot_table::expire_remote_usage(instant now) {
    for (auto one = others_.begin(); one != others_.end();) {
        const bool silent = now - one->second.heard > others_forgotten_after;
        if (silent)
            take_from_others(one->second.uses);
        one = silent ? others_.erase(one) : std::next(one);
    }
}

void slot_table::take_from_others(const slot_usage_map& uses) {
    for (const std::pair<const endpoint_id, slot_usage>& one : uses) {
        auto found = others_total_.find(one.first);
        slot_usage& total = found->second;
        total.online -= one.second.online;
        total.batch -= one.second.batch;
        total.suspected_by -= one.second.suspected_by;
        if (total == slot_usage())
            others_total_.erase(found);
    }
}

static std::uint32_t& count_of(slot_usage& use, work_kind kind) {
    return kind == work_kind::online ? use.online : use.batch;
}

void slot_table::acquire(const endpoint_id& endpoint, work_kind kind) {
    ++count_of(own_[endpoint], kind);
}

void slot_table::release(const endpoint_id& endpoint, work_kind kind) {
    auto found = own_.find(endpoint);
    if (found == own_.end() || count_of(found->second, kind) == 0)
        return;
    --count_of(found->second, kind);
    if (found->second.online == 0 && found->second.batch == 0)
        own_.erase(found);
}

milliseconds slot_table::record_failure(const endpoint_id& endpoint, instant now) {
    auto found = endpoints_.find(endpoint);
    if (found == endpoints_.end())
        return milliseconds(0);
    known_endpoint& known = found->second;
    ++known.failures;
    const std::uint32_t doublings = std::min(known.failures - 1, most_doublings);
    const milliseconds pause = std::min(longest_suspension, first_suspension * (1U << doublings));
    known.suspended_until = std::max(known.suspended_until, now + pause);
    return pause;
}

void slot_table::record_success(const endpoint_id& endpoint) {
    auto found = endpoints_.find(endpoint);
    if (found == endpoints_.end())
        return;
    found->second.failures = 0;
    found->second.suspended_until = instant();
    found->second.stalled = false;
}

milliseconds slot_table::record_stall(const endpoint_id& endpoint, instant now) {
    auto found = endpoints_.find(endpoint);
    if (found == endpoints_.end())
        return milliseconds(0);
    if (std::exchange(found->second.stalled, true))
        return record_failure(endpoint, now);
    return milliseconds(0);
}

void slot_table::record_progress(const endpoint_id& endpoint) {
    auto found = endpoints_.find(endpoint);
    if (found != endpoints_.end())
        found->second.stalled = false;
}

slot_usage_map slot_table::own_usage() const {
    slot_usage_map uses = own_;
    for (const std::pair<const endpoint_id, known_endpoint>& one : endpoints_) {
        if (one.second.failures > 0)
            uses[one.first].suspected_by = 1;
    }
    return uses;
}

std::uint32_t slot_table::suspecting_others(const endpoint_id& endpoint) const {
    auto found = others_total_.find(endpoint);
    return found == others_total_.end() ? 0 : found->second.suspected_by;
}

slot_usage slot_table::total_use(const endpoint_id& endpoint) const {
    slot_usage total;
    auto own = own_.find(endpoint);
    if (own != own_.end())
        total = own->second;
    auto others = others_total_.find(endpoint);
    if (others != others_total_.end()) {
        total.online += others->second.online;
        total.batch += others->second.batch;
    }
    return total;
}

bool slot_table::is_full(const endpoint_id& endpoint) const {
    auto found = endpoints_.find(endpoint);
    const slot_usage use = total_use(endpoint);
    return found == endpoints_.end() || use.online + use.batch >= found->second.facts.slots;
}

std::vector<slot_table::candidate> slot_table::candidates(const service_id& service,
                                                          const std::set<endpoint_id>& avoid,
                                                          instant now) const {
    std::vector<candidate> found;
    for (const std::pair<const endpoint_id, known_endpoint>& one : endpoints_) {
        const bool usable = one.second.facts.service == service && avoid.count(one.first) == 0 &&
                            now >= one.second.suspended_until;
        if (!usable)
            continue;
        const slot_usage use = total_use(one.first);
        const std::int64_t slots = one.second.facts.slots;
        candidate fitting{&one.second, slots - use.online - use.batch, slots - use.online, false};
        fitting.on_trial =
            one.second.failures > 0 || suspecting_others(one.first) >= others_believed;
        // On trial it gets one request at a time from here, not all that look for a free slot.
        auto own = own_.find(one.first);
        const bool tried = fitting.on_trial && own != own_.end();
        if (!tried)
            found.push_back(fitting);
    }
    return found;
}

// Always the best one would be taken by all entries at once, for as long as they haven't heard of
// each other's choice.
template <class Candidate, class Weight>
static const Candidate* draw_by_weight(const std::vector<Candidate>& all, const Weight& weight,
                                       double draw) {
    double sum = 0;
    for (const Candidate& one : all)
        sum += weight(one);
    double left = draw * sum;
    const Candidate* last = nullptr;
    for (const Candidate& one : all) {
        if (weight(one) <= 0)
            continue;
        last = &one;
        left -= weight(one);
        if (left < 0)
            break;
    }
    return last;
}

// Drawn by the squares of the free slots: an even draw would fill the slowest as fast as the
// others.
const slot_table::candidate* slot_table::best(const std::vector<candidate>& all, bool own_zone,
                                              bool on_trial, double draw) const {
    const auto weight = [this, own_zone, on_trial](const candidate& one) {
        const bool fits = one.free > 0 && one.on_trial == on_trial &&
                          (one.endpoint->facts.zone == own_zone_) == own_zone;
        return fits ? static_cast<double>(one.free * one.free) : 0.0;
    };
    return draw_by_weight(all, weight, draw);
}

std::optional<entry_id> slot_table::batch_holder(const endpoint_id& endpoint) const {
    auto own = own_.find(endpoint);
    if (own != own_.end() && own->second.batch > 0)
        return entry_id();
    for (const std::pair<const entry_id, other_entry>& other : others_) {
        auto use = other.second.uses.find(endpoint);
        if (use != other.second.uses.end() && use->second.batch > 0)
            return other.first;
    }
    return std::nullopt;
}

std::optional<entry_id> slot_table::batch_holder_if_full(const endpoint_id& endpoint) const {
    return is_full(endpoint) ? batch_holder(endpoint) : std::nullopt;
}

placement slot_table::placed_at(const candidate& chosen) {
    const slot_endpoint& facts = chosen.endpoint->facts;
    return {facts.id, facts.address, std::nullopt, chosen.free, chosen.on_trial};
}

const slot_table::candidate* slot_table::best_yielding(const std::vector<candidate>& all,
                                                       bool own_zone, bool on_trial,
                                                       double draw) const {
    const auto weight = [this, own_zone, on_trial](const candidate& one) {
        const bool fits = one.free_of_online > 0 && one.on_trial == on_trial &&
                          (one.endpoint->facts.zone == own_zone_) == own_zone &&
                          total_use(one.endpoint->facts.id).batch > 0;
        return fits ? static_cast<double>(one.free_of_online * one.free_of_online) : 0.0;
    };
    return draw_by_weight(all, weight, draw);
}

std::optional<placement> slot_table::place_online(const service_id& service,
                                                  const std::set<endpoint_id>& avoid, instant now,
                                                  double draw) const {
    const std::vector<candidate> all = candidates(service, avoid, now);
    for (const bool on_trial : {false, true}) {
        for (const bool own_zone : {true, false}) {
            if (const candidate* free = best(all, own_zone, on_trial, draw))
                return placed_at(*free);
        }
        for (const bool own_zone : {true, false}) {
            if (const candidate* yielding = best_yielding(all, own_zone, on_trial, draw)) {
                placement place = placed_at(*yielding);
                place.yielding_gateway = batch_holder(place.endpoint);
                return place;
            }
        }
    }
    return std::nullopt;
}

std::optional<placement> slot_table::place_stalled(const service_id& service,
                                                   const std::set<endpoint_id>& avoid, instant now,
                                                   double draw) const {
    const std::vector<candidate> all = candidates(service, avoid, now);
    for (const bool own_zone : {true, false}) {
        if (const candidate* free = best(all, own_zone, false, draw))
            return placed_at(*free);
    }
    return std::nullopt;
}

// Batch tries endpoints that failed: an item that comes to nothing goes on elsewhere in time.
std::optional<placement> slot_table::place_batch(const service_id& service,
                                                 const std::set<endpoint_id>& avoid, instant now,
                                                 double draw, bool urgent) const {
    if (!urgent && batch_capacity(service, now) == 0)
        return std::nullopt;
    const std::vector<candidate> all = candidates(service, avoid, now);
    for (const bool on_trial : {true, false}) {
        for (const bool own_zone : {true, false}) {
            if (const candidate* free = best(all, own_zone, on_trial, draw))
                return placed_at(*free);
        }
    }
    return std::nullopt;
}

std::uint32_t slot_table::batch_capacity(const service_id& service, instant now) const {
    std::int64_t free = 0;
    std::int64_t slots = 0;
    for (const candidate& one : candidates(service, {}, now)) {
        free += std::max<std::int64_t>(one.free, 0);
        slots += one.endpoint->facts.slots;
    }
    return static_cast<std::uint32_t>(std::max<std::int64_t>(free - slots / reserve_divisor, 0));
}

std::uint32_t slot_table::total_slots(const service_id& service, instant now) const {
    std::uint32_t slots = 0;
    for (const candidate& one : candidates(service, {}, now))
        slots += one.endpoint->facts.slots;
    return slots;
}

} // namespace cassia::policy
