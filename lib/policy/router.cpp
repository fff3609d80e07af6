#include "cassia/policy/router.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace cassia::policy {

namespace {
constexpr double unknown_first_token_us = 20000;
constexpr double average_weight = 0.2;
// Cost factor of an endpoint that knows the prompt's prefix, which saves most of the processing.
// The bonus is bounded, so that a popular prefix spreads to further endpoints once the first is
// busy.
constexpr double prefix_factor = 0.6;
// A full engine's first token takes 1 + slope times that of an idle one (continuous batching).
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
    std::map<endpoint_id, endpoint_state> next;
    for (const endpoint_info& info : endpoints) {
        endpoint_state state;
        auto known = endpoints_.find(info.id);
        const bool same =
            known != endpoints_.end() && known->second.info.incarnation == info.incarnation;
        if (same)
            state = std::move(known->second);
        else if (known != endpoints_.end()) // Calls of the old process still report their end.
            state.own_online = known->second.own_online;
        state.info = info;
        next.emplace(info.id, std::move(state));
    }
    // An endpoint that left is kept without slots until its calls have ended.
    for (std::pair<const endpoint_id, endpoint_state>& old : endpoints_) {
        const bool busy = old.second.own_online + old.second.own_batch > 0;
        if (next.count(old.first) > 0 || !busy)
            continue;
        old.second.info.max_running = 0;
        next.emplace(old.first, std::move(old.second));
    }
    endpoints_ = std::move(next);
}

bool router::can_serve(const service_demand& demand) const {
    return std::any_of(endpoints_.begin(), endpoints_.end(),
                       [&demand](const std::pair<const endpoint_id, endpoint_state>& one) {
                           return one.second.info.max_running > 0 &&
                                  serves(one.second.info, demand);
                       });
}

std::uint32_t router::running(const endpoint_state& state) const {
    return state.own_online + state.own_batch + state.info.remote_online + state.info.remote_batch;
}

// Slots held by batch items count as free: batch yields them on request.
std::uint32_t router::free_for_online(const endpoint_state& state) const {
    const std::uint32_t online = state.own_online + state.info.remote_online;
    return online >= state.info.max_running ? 0 : state.info.max_running - online;
}

bool router::is_open(const endpoint_state& state, const pick_request& request, instant now) const {
    if (!serves(state.info, request.demand) || request.excluded.count(state.info.id) > 0)
        return false;
    if (state.ejected_until > now || free_for_online(state) == 0)
        return false;
    return !request.suspect || takes_suspect(state, request.demand);
}

// Entries learn of each other's suspects too late to keep two off one endpoint, so each runs its
// own only at endpoints that it is the steward of. An entry that is steward of no suitable endpoint
// relies on the counts reported by the others.
bool router::takes_suspect(const endpoint_state& state, const service_demand& demand) const {
    if (state.own_suspects + state.own_batch_suspects + state.info.remote_suspects > 0)
        return false;
    if (state.info.steward == settings_.self)
        return true;
    return std::none_of(endpoints_.begin(), endpoints_.end(),
                        [this, &demand](const std::pair<const endpoint_id, endpoint_state>& other) {
                            return other.second.info.steward == settings_.self &&
                                   serves(other.second.info, demand);
                        });
}

double router::cost(const endpoint_state& state, const pick_request& request, instant now) const {
    const bool is_fresh = state.first_token_us > 0 && now - state.measured_at < measurement_age;
    const double base = is_fresh ? state.first_token_us : unknown_first_token_us;
    const double slots = std::max(1U, state.info.max_running);
    // The average is normalised to an idle endpoint; scale it by the present load.
    const double load = running(state) / slots;
    const double waiting = state.info.reported_waiting / slots;
    const bool has_prefix = request.prefix != 0 && state.prefixes.count(request.prefix) > 0;
    return base * (1 + load_slope * load * load + waiting_slope * waiting) *
           (has_prefix ? prefix_factor : 1.0);
}

const router::endpoint_state* router::better_of_two(const std::vector<const endpoint_state*>& open,
                                                    const pick_request& request, instant now) {
    std::uniform_int_distribution<std::size_t> any(0, open.size() - 1);
    const endpoint_state* best = open[any(random_)];
    const endpoint_state* other = open[any(random_)];
    if (cost(*other, request, now) < cost(*best, request, now))
        best = other;
    // Two random choices rarely include an endpoint that has the prefix, so these are compared too.
    for (const endpoint_state* state : open) {
        const bool has_prefix = request.prefix != 0 && state->prefixes.count(request.prefix) > 0;
        if (has_prefix && cost(*state, request, now) < cost(*best, request, now))
            best = state;
    }
    return best;
}

pick router::make_pick(const endpoint_state& state, const pick_request& request, bool own_zone,
                       instant now) const {
    pick chosen;
    chosen.endpoint = state.info.id;
    chosen.expected_first_token =
        microseconds(static_cast<std::int64_t>(cost(state, request, now)));
    if (!own_zone)
        chosen.reason = pick_reason::other_zone;
    else if (state.prefixes.count(request.prefix) > 0)
        chosen.reason = pick_reason::prefix;
    const std::uint32_t after = running(state) + 1;
    chosen.items_to_yield = after > state.info.max_running ? after - state.info.max_running : 0;
    return chosen;
}

std::optional<pick> router::choose(const pick_request& request, instant now) {
    std::vector<const endpoint_state*> own;
    std::vector<const endpoint_state*> others;
    for (const std::pair<const endpoint_id, endpoint_state>& one : endpoints_) {
        if (!is_open(one.second, request, now))
            continue;
        const bool own_zone = one.second.info.zone == settings_.own_zone;
        (own_zone ? own : others).push_back(&one.second);
    }
    // Links between zones are slow and costly: other zones are used only while this one has no
    // slot.
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
    endpoint_state& state = found->second;
    ++state.own_online;
    state.own_suspects += suspect ? 1 : 0;
    if (prefix == 0)
        return;
    state.prefixes[prefix] = ++state.prefix_uses;
    if (state.prefixes.size() <= settings_.max_prefixes)
        return;
    auto oldest =
        std::min_element(state.prefixes.begin(), state.prefixes.end(),
                         [](const auto& a, const auto& b) { return a.second < b.second; });
    state.prefixes.erase(oldest);
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
    endpoint_state& state = found->second;
    const double measured = static_cast<double>(after.count());
    const double slots = std::max(1U, state.info.max_running);
    const double load = running(state) / slots;
    const double idle = measured / (1 + load_slope * load * load);
    const bool is_fresh = state.first_token_us > 0 && now - state.measured_at < measurement_age;
    state.first_token_us =
        is_fresh ? state.first_token_us + average_weight * (idle - state.first_token_us) : idle;
    state.measured_at = now;
}

void router::record_end(const endpoint_id& endpoint, bool suspect, call_result result,
                        instant now) {
    auto found = endpoints_.find(endpoint);
    if (found == endpoints_.end())
        return;
    endpoint_state& state = found->second;
    if (state.own_online > 0)
        --state.own_online;
    if (suspect)
        release_suspect(endpoint);
    if (result == call_result::cancelled)
        return;
    if (result == call_result::finished) {
        state.failures = 0;
        state.ejections = 0;
        return;
    }
    if (++state.failures >= settings_.consecutive_failures)
        eject(endpoint, now);
}

void router::eject(const endpoint_id& endpoint, instant now) {
    auto found = endpoints_.find(endpoint);
    if (found == endpoints_.end() || found->second.ejected_until > now)
        return;
    endpoint_state& state = found->second;
    // At most half of the endpoints of a service, rounded up, are ejected: if most fail, the cause
    // lies elsewhere, and ejecting them would only overload the rest.
    std::size_t peers = 0;
    std::size_t ejected_peers = 0;
    for (const std::pair<const endpoint_id, endpoint_state>& other : endpoints_) {
        const bool same = other.second.info.engine == state.info.engine &&
                          other.second.info.service == state.info.service;
        peers += same ? 1 : 0;
        ejected_peers += same && other.second.ejected_until > now ? 1 : 0;
    }
    if (peers > 1 && (ejected_peers + 1) * 2 > peers + 1)
        return;
    milliseconds pause = settings_.base_ejection;
    for (std::uint32_t i = 0; i < state.ejections && pause < settings_.max_ejection; ++i)
        pause *= 2;
    state.ejected_until = now + std::min(pause, settings_.max_ejection);
    ++state.ejections;
    state.failures = 0;
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
                                     : found->second.own_online + found->second.info.remote_online;
}

std::vector<endpoint_id> router::ejected(instant now) const {
    std::vector<endpoint_id> out;
    for (const std::pair<const endpoint_id, endpoint_state>& one : endpoints_) {
        if (one.second.ejected_until > now)
            out.push_back(one.first);
    }
    return out;
}

} // namespace cassia::policy
