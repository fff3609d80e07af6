// Which of several records of an endpoint, or of an address, is believed.
//
// Another writer may announce an endpoint in use with a higher incarnation or sequence, or another
// endpoint at its address. The one that goes on announcing itself while the other is silent is
// believed again.

#include "cassia/membership/endpoint_directory.h"

#include <algorithm>
#include <utility>

namespace cassia::membership {

namespace {
// Incarnations of one endpoint that are remembered to have left. Beyond that, none of its earlier
// incarnations is believed again.
constexpr std::size_t most_left = 64;
} // namespace

void endpoint_directory::note_left(endpoint_state& endpoint, std::uint64_t incarnation) {
    if (endpoint.left.size() < most_left)
        endpoint.left.insert(incarnation);
}

bool endpoint_directory::may_return(const endpoint_state& endpoint, std::uint64_t incarnation) {
    if (incarnation == endpoint.record.incarnation())
        return !endpoint.leaving;
    return endpoint.left.size() < most_left && endpoint.left.count(incarnation) == 0;
}

bool endpoint_directory::contend(const endpoint_id& id, const schema::endpoint_record& record,
                                 instant heard, instant now) {
    endpoint_state& known = endpoints_.at(id);
    const std::uint64_t incarnation = record.incarnation();
    if (record.leaving() || record.gone()) {
        note_left(known, incarnation);
        return false;
    }
    if (!may_return(known, incarnation))
        return false;
    const bool displaces =
        !known.contender || incarnation >= known.contender->record.incarnation() ||
        heard - known.contender->run.last_heard() >= settings_.unresponsive_after;
    if (!displaces)
        return false;
    if (!known.contender || incarnation != known.contender->record.incarnation())
        known.contender = endpoint_contender();
    known.contender->record = record;
    announcement_run& run = known.contender->run;
    run.add(record.sequence(), heard, known.last_heard, settings_.unresponsive_after);
    if (is_alive(known, now) || !run.outlasts(known.last_heard, settings_.unresponsive_after))
        return false;
    const std::uint64_t outlasted = known.record.incarnation();
    endpoint_state& believed = replace(record, heard, now);
    believed.outlasted = outlasted;
    believed.reinstated_at = heard;
    return true;
}

bool endpoint_directory::is_old_report(const endpoint_state& known,
                                       const schema::endpoint_record& record, instant heard,
                                       instant now) const {
    if (record.incarnation() <= known.outlasted && heard < known.reinstated_at)
        return true;
    const bool leaves = record.leaving() || record.gone();
    const bool silent = now - heard >= settings_.unresponsive_after;
    return silent && !leaves && !known.leaving && is_alive(known, now);
}

std::vector<const endpoint_state*>
endpoint_directory::successors(const schema::endpoint_record& record) const {
    std::vector<const endpoint_state*> out;
    auto sharing = by_address_.find(record.address());
    if (sharing == by_address_.end())
        return out;
    for (const endpoint_id& id : sharing->second) {
        auto other = endpoints_.find(id);
        if (other != endpoints_.end() && id.str() != record.id() &&
            other->second.record.incarnation() > record.incarnation())
            out.push_back(&other->second);
    }
    return out;
}

// A later process can reuse the address of an earlier one. Without this, a delayed announcement of
// the earlier process would list both endpoints at that address, and requests for one would reach
// the other.
void endpoint_directory::mark_replaced_endpoints(const schema::endpoint_record& record,
                                                 instant heard, instant now) {
    auto sharing = by_address_.find(record.address());
    if (sharing == by_address_.end())
        return;
    const bool silent = now - heard >= settings_.unresponsive_after;
    for (const endpoint_id& id : sharing->second) {
        endpoint_state& other = endpoints_.at(id);
        const bool outranked = other.record.id() != record.id() && !other.replaced &&
                               other.record.incarnation() < record.incarnation();
        // Only what was announced after the other one was believed again says something new.
        if (!outranked || heard < other.reinstated_at || (silent && is_alive(other, now)))
            continue;
        other.replaced = true;
        other.since_replaced = announcement_run();
        note_change(id, other);
    }
}

bool endpoint_directory::note_reinstated(const endpoint_id& id, endpoint_state& endpoint) {
    if (!endpoint.replaced)
        return false;
    instant outranked_at{};
    for (const endpoint_state* successor : successors(endpoint.record))
        outranked_at = std::max(outranked_at, successor->last_heard);
    endpoint.since_replaced.add(endpoint.record.sequence(), endpoint.last_heard, outranked_at,
                                settings_.unresponsive_after);
    if (!endpoint.since_replaced.outlasts(outranked_at, settings_.unresponsive_after))
        return false;
    endpoint.replaced = false;
    endpoint.reinstated_at = endpoint.last_heard;
    note_change(id, endpoint);
    return true;
}

// The process that vouches for an endpoint has judged its address too, unless it is behind.
bool endpoint_directory::is_replaced(const endpoint_state& endpoint, instant now) const {
    if (!endpoint.replaced)
        return false;
    const std::vector<const endpoint_state*> later = successors(endpoint.record);
    return !endpoint.vouched ||
           std::any_of(later.begin(), later.end(), [this, now](const endpoint_state* successor) {
               return is_alive(*successor, now);
           });
}

} // namespace cassia::membership
