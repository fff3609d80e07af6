#include "cassia/policy/stream_origins.h"

#include "cassia/base/digest.h"

#include <algorithm>

namespace cassia::policy {

namespace {
// A lost packet delays an answer by 200 ms; a caller has waited for about as long before it comes.
constexpr milliseconds lookup_timeout(250);
constexpr microseconds max_retention = std::chrono::minutes(10);
} // namespace

stream_origins::stream_origins(entry_id self, zone_id zone)
    : self_(std::move(self)), zone_(std::move(zone)) {
    set_gateways({});
}

void stream_origins::set_gateways(const std::vector<fleet_gateway>& others) {
    gateways_ = {{self_, zone_, stable_hash(self_.str())}};
    for (const fleet_gateway& one : others) {
        if (!one.leaving)
            gateways_.push_back({one.id, one.zone, stable_hash(one.id.str())});
    }
}

static std::uint64_t mix(std::uint64_t value) {
    value ^= value >> 33U;
    value *= 0xff51afd7ed558ccdULL;
    value ^= value >> 33U;
    value *= 0xc4ceb9fe1a85ec53ULL;
    return value ^ (value >> 33U);
}

// Ranks gateways by a hash of the key and their names, so that lists which differ in a few gateways
// still agree on most holders. The first of each zone comes before the second of any, so that the
// loss of a zone leaves a holder.
std::vector<entry_id> stream_origins::holders(const stream_key& stream) const {
    const std::uint64_t key = stable_hash(stream.str());
    std::vector<std::pair<std::uint64_t, const known_gateway*>> ranked;
    ranked.reserve(gateways_.size());
    for (const known_gateway& one : gateways_)
        ranked.emplace_back(mix(key ^ one.hash), &one);
    std::sort(ranked.begin(), ranked.end());
    std::set<zone_id> zones;
    std::vector<entry_id> chosen;
    std::vector<entry_id> others;
    for (const std::pair<std::uint64_t, const known_gateway*>& one : ranked) {
        const bool is_first = zones.insert(one.second->zone).second;
        (is_first ? chosen : others).push_back(one.second->id);
    }
    chosen.insert(chosen.end(), others.begin(), others.end());
    chosen.resize(std::min(chosen.size(), holder_count));
    return chosen;
}

void stream_origins::forget(const stream_key& stream) {
    auto found = records_.find(stream);
    if (found == records_.end())
        return;
    by_expiry_.erase({found->second.expires_at, stream});
    records_.erase(found);
}

// An attempt's first event comes once, so two different records of a stream contradict each other:
// the origin is unknown. Without room, the record that expires first is evicted.
void stream_origins::keep(const stream_origin& origin, instant now) {
    kept_record next{origin.began_by, now + std::min(origin.left, max_retention)};
    auto found = records_.find(origin.stream);
    if (found != records_.end()) {
        if (found->second.began_by != origin.began_by)
            next.began_by = software();
        next.expires_at = std::max(next.expires_at, found->second.expires_at);
        forget(origin.stream);
    }
    if (records_.size() >= max_records)
        forget(by_expiry_.begin()->second);
    records_[origin.stream] = next;
    by_expiry_.insert({next.expires_at, origin.stream});
}

void stream_origins::record(const stream_origin& origin, instant now) {
    keep(origin, now);
    for (const entry_id& holder : holders(origin.stream)) {
        if (holder != self_)
            messages_[holder].origins.push_back(origin);
    }
}

std::optional<software> stream_origins::find(const stream_key& stream, instant now) const {
    auto found = records_.find(stream);
    if (found == records_.end() || now >= found->second.expires_at)
        return std::nullopt;
    return found->second.began_by;
}

lookup_id stream_origins::look_up(const stream_key& stream, instant now) {
    const lookup_id id(++last_lookup_);
    open_lookup lookup;
    lookup.stream = stream;
    lookup.expires_at = now + lookup_timeout;
    for (const entry_id& holder : holders(stream)) {
        if (holder != self_)
            lookup.asked.insert(holder);
    }
    const std::optional<software> known = find(stream, now);
    if (known || lookup.asked.empty() || lookups_.size() >= max_lookups) {
        decisions_.push_back({id, known});
        return id;
    }
    for (const entry_id& holder : lookup.asked)
        messages_[holder].queries.emplace_back(id, stream);
    lookups_[id] = std::move(lookup);
    return id;
}

void stream_origins::decide(lookup_id lookup, const std::optional<software>& began_by) {
    if (lookups_.erase(lookup) > 0)
        decisions_.push_back({lookup, began_by});
}

void stream_origins::on_negative_answer(lookup_id lookup, const entry_id& from) {
    auto found = lookups_.find(lookup);
    if (found == lookups_.end())
        return;
    found->second.asked.erase(from);
    if (found->second.asked.empty())
        decide(lookup, std::nullopt);
}

void stream_origins::receive(const entry_id& from, const stream_origin_message& message,
                             instant now) {
    for (const stream_origin& origin : message.origins)
        keep(origin, now);
    for (const std::pair<lookup_id, stream_key>& query : message.queries) {
        std::optional<stream_origin> answer;
        if (const std::optional<software> known = find(query.second, now))
            answer = {query.second, *known, records_.at(query.second).expires_at - now};
        messages_[from].answers.emplace_back(query.first, answer);
    }
    for (const std::pair<lookup_id, std::optional<stream_origin>>& answer : message.answers) {
        if (!answer.second) {
            on_negative_answer(answer.first, from);
            continue;
        }
        // An answer may be meant for an earlier process of this gateway.
        auto lookup = lookups_.find(answer.first);
        if (lookup == lookups_.end() || lookup->second.stream != answer.second->stream)
            continue;
        keep(*answer.second, now);
        decide(answer.first, answer.second->began_by);
    }
}

void stream_origins::on_unreachable(const entry_id& gateway) {
    std::vector<lookup_id> asked;
    for (const std::pair<const lookup_id, open_lookup>& lookup : lookups_) {
        if (lookup.second.asked.count(gateway) > 0)
            asked.push_back(lookup.first);
    }
    for (const lookup_id lookup : asked)
        on_negative_answer(lookup, gateway);
}

void stream_origins::expire(instant now) {
    while (!by_expiry_.empty() && by_expiry_.begin()->first <= now)
        forget(stream_key(by_expiry_.begin()->second));
    std::vector<lookup_id> late;
    for (const std::pair<const lookup_id, open_lookup>& lookup : lookups_) {
        if (now >= lookup.second.expires_at)
            late.push_back(lookup.first);
    }
    for (const lookup_id lookup : late)
        decide(lookup, std::nullopt);
}

std::map<entry_id, stream_origin_message> stream_origins::take_messages() {
    return std::exchange(messages_, {});
}

std::vector<stream_origin_decision> stream_origins::take_decisions() {
    return std::exchange(decisions_, {});
}

} // namespace cassia::policy
