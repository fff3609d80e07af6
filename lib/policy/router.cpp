#include "cassia/policy/router.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace cassia::policy {

namespace {
constexpr double unknown_first_token_us = 20000;
constexpr double average_weight = 0.2;
// A known prefix saves most of the prompt's processing. The bonus is bounded, so that a popular
// prefix spreads over further endpoints once the first is busy.
constexpr double prefix_factor = 0.6;
// How much a full engine's first token is slower than an idle one's; it batches continuously.
constexpr double load_slope = 1.5;
constexpr double waiting_slope = 4.0;
constexpr milliseconds measurement_age(10000);
} // namespace

const char* pick_reason_name(pick_reason reason) {
    switch (reason) {
    case pick_reason::least_cost:
        return "least_cost";
    case pick_reason::prefix:
        return "prefix";
    case pick_reason::other_zone:
        return "other_zone";
    }
    return "least_cost";
}

router::router(router_settings settings, std::uint64_t seed)
    : settings_(std::move(settings)), random_(seed) {}

void router::set_endpoints(const std::vector<endpoint_info>& endpoints) {
    std::map<endpoint_id, tracked> next;
    for (const endpoint_info& facts : endpoints) {
        tracked one;
        auto known = endpoints_.find(facts.id);
        const bool same =
            known != endpoints_.end() && known->second.facts.incarnation == facts.incarnation;
        if (same)
            one = std::move(known->second);
        else if (known != endpoints_.end())
            one.own_online = known->second.own_online; // Their calls still report their end.
        one.facts = facts;
        next.emplace(facts.id, std::move(one));
    }
    // An endpoint that left keeps its record until its calls have ended.
    for (std::pair<const endpoint_id, tracked>& old : endpoints_) {
        const bool busy = old.second.own_online + old.second.own_batch > 0;
        if (next.count(old.first) > 0 || !busy)
            continue;
        old.second.facts.max_running = 0;
        next.emplace(old.first, std::move(old.second));
    }
    endpoints_ = std::move(next);
}

bool router::can_serve(const service_demand& demand) const {
    return std::any_of(endpoints_.begin(), endpoints_.end(),
                       [&demand](const std::pair<const endpoint_id, tracked>& one) {
                           return one.second.facts.max_running > 0 &&
                                  serves(one.second.facts, demand);
                       });
}

std::uint32_t router::running(const tracked& one) const {
    return one.own_online + one.own_batch + one.facts.remote_online + one.facts.remote_batch;
}

// Slots that batch items hold count as free: batch gives them back as soon as it is told.
std::uint32_t router::free_for_online(const tracked& one) const {
    const std::uint32_t online = one.own_online + one.facts.remote_online;
    return online >= one.facts.max_running ? 0 : one.facts.max_running - online;
}

bool router::is_open(const tracked& one, const pick_request& request, instant now) const {
    if (!serves(one.facts, request.demand) || request.excluded.count(one.facts.id) > 0)
        return false;
    if (one.ejected_until > now || free_for_online(one) == 0)
        return false;
    return !request.suspect || takes_suspect(one, request.demand);
}

// Entries learn of each other's suspects too late to keep two off the same endpoint, so each runs
// its own only where it is the steward. An entry that is nobody's steward has to go by what it
// heard.
bool router::takes_suspect(const tracked& one, const service_demand& demand) const {
    if (one.own_suspects + one.own_batch_suspects + one.facts.remote_suspects > 0)
        return false;
    if (one.facts.steward == settings_.self)
        return true;
    return std::none_of(endpoints_.begin(), endpoints_.end(),
                        [this, &demand](const std::pair<const endpoint_id, tracked>& other) {
                            return other.second.facts.steward == settings_.self &&
                                   serves(other.second.facts, demand);
                        });
}

double router::cost(const tracked& one, const pick_request& request, instant now) const {
    const bool fresh = one.first_token_us > 0 && now - one.measured_at < measurement_age;
    const double base = fresh ? one.first_token_us : unknown_first_token_us;
    const double slots = std::max(1U, one.facts.max_running);
    // The average was measured under the load of its time; what counts here is the load now.
    const double load = running(one) / slots;
    const double waiting = one.facts.reported_waiting / slots;
    const bool cached = request.prefix != 0 && one.prefixes.count(request.prefix) > 0;
    return base * (1 + load_slope * load * load + waiting_slope * waiting) *
           (cached ? prefix_factor : 1.0);
}

const router::tracked* router::better_of_two(const std::vector<const tracked*>& open,
                                             const pick_request& request, instant now) {
    std::uniform_int_distribution<std::size_t> any(0, open.size() - 1);
    const tracked* best = open[any(random_)];
    const tracked* other = open[any(random_)];
    if (cost(*other, request, now) < cost(*best, request, now))
        best = other;
    // Two random ones rarely include the endpoint that has the prefix, so it joins the choice.
    for (const tracked* one : open) {
        const bool cached = request.prefix != 0 && one->prefixes.count(request.prefix) > 0;
        if (cached && cost(*one, request, now) < cost(*best, request, now))
            best = one;
    }
    return best;
}

pick router::make_pick(const tracked& one, const pick_request& request, bool own_zone,
                       instant now) const {
    pick made;
    made.endpoint = one.facts.id;
    made.expected_first_token = microseconds(static_cast<std::int64_t>(cost(one, request, now)));
    if (!own_zone)
        made.reason = pick_reason::other_zone;
    else if (one.prefixes.count(request.prefix) > 0)
        made.reason = pick_reason::prefix;
    const std::uint32_t after = running(one) + 1;
    made.items_to_yield = after > one.facts.max_running ? after - one.facts.max_running : 0;
    return made;
}

std::optional<pick> router::choose(const pick_request& request, instant now) {
    std::vector<const tracked*> own;
    std::vector<const tracked*> others;
    for (const std::pair<const endpoint_id, tracked>& one : endpoints_) {
        if (!is_open(one.second, request, now))
            continue;
        const bool own_zone = one.second.facts.zone == settings_.own_zone;
        (own_zone ? own : others).push_back(&one.second);
    }
    // Links between zones are slow and costly: others help only while the own zone has no slot.
    if (!own.empty())
        return make_pick(*better_of_two(own, request, now), request, true, now);
    if (!others.empty())
        return make_pick(*better_of_two(others, request, now), request, false, now);
    return std::nullopt;
}

void router::record_start(const endpoint_id& endpoint, std::uint64_t prefix, bool suspect) {
    auto found = endpoints_.find(endpoint);
    if (found == endpoints_.end())
        return;
    tracked& one = found->second;
    ++one.own_online;
    one.own_suspects += suspect ? 1 : 0;
    if (prefix == 0)
        return;
    one.prefixes[prefix] = ++one.prefix_uses;
    if (one.prefixes.size() <= settings_.max_prefixes)
        return;
    auto oldest =
        std::min_element(one.prefixes.begin(), one.prefixes.end(),
                         [](const auto& a, const auto& b) { return a.second < b.second; });
    one.prefixes.erase(oldest);
}

void router::release_suspect(const endpoint_id& endpoint) {
    auto found = endpoints_.find(endpoint);
    if (found != endpoints_.end() && found->second.own_suspects > 0)
        --found->second.own_suspects;
}

void router::record_first_token(const endpoint_id& endpoint, microseconds after, instant now) {
    auto found = endpoints_.find(endpoint);
    if (found == endpoints_.end())
        return;
    tracked& one = found->second;
    const double measured = static_cast<double>(after.count());
    const double slots = std::max(1U, one.facts.max_running);
    const double load = running(one) / slots;
    const double idle = measured / (1 + load_slope * load * load);
    const bool fresh = one.first_token_us > 0 && now - one.measured_at < measurement_age;
    one.first_token_us =
        fresh ? one.first_token_us + average_weight * (idle - one.first_token_us) : idle;
    one.measured_at = now;
}

void router::record_end(const endpoint_id& endpoint, bool suspect, call_result result,
                        instant now) {
    auto found = endpoints_.find(endpoint);
    if (found == endpoints_.end())
        return;
    tracked& one = found->second;
    if (one.own_online > 0)
        --one.own_online;
    if (suspect)
        release_suspect(endpoint);
    if (result == call_result::cancelled)
        return;
    if (result == call_result::finished) {
        one.failures = 0;
        one.ejections = 0;
        return;
    }
    if (++one.failures >= settings_.consecutive_failures)
        eject(endpoint, now);
}

void router::eject(const endpoint_id& endpoint, instant now) {
    auto found = endpoints_.find(endpoint);
    if (found == endpoints_.end() || found->second.ejected_until > now)
        return;
    tracked& one = found->second;
    // Never more than half of those that serve the same: if most fail, the fault lies elsewhere,
    // and leaving them out would only press the load onto the rest.
    std::size_t alike = 0;
    std::size_t out = 0;
    for (const std::pair<const endpoint_id, tracked>& other : endpoints_) {
        const bool same = other.second.facts.engine == one.facts.engine &&
                          other.second.facts.service == one.facts.service;
        alike += same ? 1 : 0;
        out += same && other.second.ejected_until > now ? 1 : 0;
    }
    if (alike > 1 && (out + 1) * 2 > alike + 1)
        return;
    milliseconds pause = settings_.base_ejection;
    for (std::uint32_t i = 0; i < one.ejections && pause < settings_.max_ejection; ++i)
        pause *= 2;
    one.ejected_until = now + std::min(pause, settings_.max_ejection);
    ++one.ejections;
    one.failures = 0;
}

void router::set_own_batch(const endpoint_id& endpoint, std::uint32_t items,
                           std::uint32_t suspects) {
    auto found = endpoints_.find(endpoint);
    if (found != endpoints_.end())
        std::tie(found->second.own_batch, found->second.own_batch_suspects) =
            std::make_tuple(items, suspects);
}

std::uint32_t router::own_online(const endpoint_id& endpoint) const {
    auto found = endpoints_.find(endpoint);
    return found == endpoints_.end() ? 0 : found->second.own_online;
}

std::uint32_t router::own_suspects(const endpoint_id& endpoint) const {
    auto found = endpoints_.find(endpoint);
    return found == endpoints_.end() ? 0 : found->second.own_suspects;
}

std::uint32_t router::online(const endpoint_id& endpoint) const {
    auto found = endpoints_.find(endpoint);
    return found == endpoints_.end() ? 0
                                     : found->second.own_online + found->second.facts.remote_online;
}

std::vector<endpoint_id> router::ejected(instant now) const {
    std::vector<endpoint_id> out;
    for (const std::pair<const endpoint_id, tracked>& one : endpoints_) {
        if (one.second.ejected_until > now)
            out.push_back(one.first);
    }
    return out;
}

} // namespace cassia::policy
