#include "cassia/membership/endpoint_directory.h"

#include "cassia/membership/endpoint_bounds.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace cassia::membership {

namespace {
// Some times the interval at which mark_unresponsive() is called.
constexpr milliseconds longest_observation_gap(1000);
} // namespace

static bool differs_besides_load(const schema::endpoint_record& a,
                                 const schema::endpoint_record& b) {
    schema::endpoint_record left = a;
    schema::endpoint_record right = b;
    left.clear_load();
    right.clear_load();
    left.clear_age_ms();
    right.clear_age_ms();
    left.clear_sequence();
    right.clear_sequence();
    left.clear_unresponsive();
    right.clear_unresponsive();
    return left.SerializeAsString() != right.SerializeAsString();
}

bool endpoint_directory::merge_announcement(const schema::endpoint_record& record, instant now) {
    if (find_fault(record))
        return false;
    const bool changed = merge(record, now, now);
    auto found = endpoints_.find(endpoint_id(record.id()));
    if (found->second.record.incarnation() == record.incarnation())
        found->second.last_heard_directly = now;
    return changed;
}

bool endpoint_directory::merge_remote(const schema::endpoint_record& record, instant now) {
    return !find_fault(record) && merge(record, now - milliseconds(record.age_ms()), now);
}

void endpoint_directory::store(endpoint_state& endpoint, const schema::endpoint_record& record,
                               instant heard) {
    if (endpoint.record.address() != record.address()) {
        forget_address(endpoint.record);
        by_address_[record.address()].insert(endpoint_id(record.id()));
    }
    endpoint.record = record;
    endpoint.record.clear_unresponsive();
    endpoint.last_heard = heard;
    endpoint.heard_revision = ++revision_;
}

void endpoint_directory::note_change(const endpoint_id& id, endpoint_state& endpoint) {
    by_changed_revision_.erase(endpoint.changed_revision);
    endpoint.changed_revision = ++revision_;
    by_changed_revision_[revision_] = id;
    ++changes_;
}

bool endpoint_directory::note_responsive(const endpoint_id& id, endpoint_state& endpoint) {
    if (!std::exchange(endpoint.unresponsive, false))
        return false;
    note_change(id, endpoint);
    return true;
}

static std::uint32_t ms_between(instant from, instant to) {
    return static_cast<std::uint32_t>(std::chrono::duration_cast<milliseconds>(to - from).count());
}

static bool leaves(const schema::endpoint_record& record) {
    return record.leaving() || record.gone();
}

bool endpoint_directory::is_alive(const endpoint_state& endpoint, instant now) const {
    return endpoint.vouched || now - endpoint.last_heard < settings_.unresponsive_after;
}

void endpoint_directory::forget_address(const schema::endpoint_record& record) {
    auto sharing = by_address_.find(record.address());
    if (sharing == by_address_.end())
        return;
    sharing->second.erase(endpoint_id(record.id()));
    if (sharing->second.empty())
        by_address_.erase(sharing);
}

endpoint_state& endpoint_directory::replace(const schema::endpoint_record& record, instant heard,
                                            instant now) {
    const endpoint_id id(record.id());
    auto found = endpoints_.find(id);
    endpoint_state added;
    if (found != endpoints_.end()) {
        const endpoint_state& known = found->second;
        added.left = known.left;
        if (known.leaving)
            note_left(added, known.record.incarnation());
        added.contender = endpoint_contender{known.record, {}};
        by_changed_revision_.erase(known.changed_revision);
        forget_address(known.record);
    }
    store(added, record, heard);
    added.leaving = leaves(record) || added.left.count(record.incarnation()) > 0;
    added.replaced = !successors(record).empty();
    note_change(id, added);
    endpoint_state& stored = endpoints_[id];
    stored = std::move(added);
    mark_replaced_endpoints(record, heard, now);
    return stored;
}

bool endpoint_directory::merge(const schema::endpoint_record& record, instant heard, instant now) {
    const endpoint_id id(record.id());
    auto found = endpoints_.find(id);
    if (found == endpoints_.end()) {
        replace(record, heard, now);
        return true;
    }
    endpoint_state& known = found->second;
    if (record.incarnation() < known.record.incarnation())
        return contend(id, record, heard, now);
    if (record.incarnation() == known.record.incarnation())
        return merge_same_incarnation(known, record, heard, now);
    if (is_old_report(known, record, heard, now)) {
        // Liveness reports of it may follow without the record.
        known.contender = endpoint_contender{record, {}};
        return false;
    }
    replace(record, heard, now);
    return true;
}

bool endpoint_directory::merge_same_incarnation(endpoint_state& known,
                                                const schema::endpoint_record& record,
                                                instant heard, instant now) {
    const endpoint_id id(record.id());
    // Leaving is final for an incarnation. Otherwise an earlier announcement that arrives late, by
    // way of another process, would send new work to an endpoint that is about to stop.
    const bool starts_leaving = leaves(record) && !known.leaving;
    known.leaving = known.leaving || leaves(record);
    const bool gone = known.record.gone() || record.gone();
    if (starts_leaving || gone != known.record.gone())
        note_change(id, known);
    known.record.set_gone(gone);
    if (heard <= known.last_heard)
        return starts_leaving;
    // An announcement out of order doesn't prove that the endpoint is still alive.
    if (record.sequence() < known.record.sequence())
        return contend(id, record, heard, now) || starts_leaving;
    const bool changed = differs_besides_load(record, known.record);
    store(known, record, heard);
    known.record.set_gone(gone);
    if (changed)
        note_change(id, known);
    mark_replaced_endpoints(record, heard, now);
    const bool reinstated = note_reinstated(id, known);
    const bool responsive_again = note_responsive(id, known);
    return starts_leaving || changed || reinstated || responsive_again;
}

// Nearly all announcements repeat the previous one. Forwarding the whole records of 60 endpoints
// kept every gateway and keeper of a large cluster busy, so only a liveness report is sent for
// these. If the record isn't known here, the same message contains it.
bool endpoint_directory::merge_remote(const schema::endpoint_pulse& pulse, instant now) {
    auto found = endpoints_.find(endpoint_id(pulse.id()));
    if (found == endpoints_.end() || !is_sound(pulse))
        return false;
    endpoint_state& known = found->second;
    const instant heard = now - milliseconds(pulse.age_ms());
    const bool same_incarnation = pulse.incarnation() == known.record.incarnation();
    if (same_incarnation && pulse.sequence() >= known.record.sequence()) {
        if (heard <= known.last_heard)
            return false;
        known.record.set_sequence(pulse.sequence());
        known.last_heard = heard;
        known.heard_revision = ++revision_;
        mark_replaced_endpoints(known.record, heard, now);
        const bool reinstated = note_reinstated(found->first, known);
        return note_responsive(found->first, known) || reinstated;
    }
    if (!known.contender || known.contender->record.incarnation() != pulse.incarnation())
        return false;
    schema::endpoint_record record = known.contender->record;
    record.set_sequence(pulse.sequence());
    return merge(record, heard, now);
}

void endpoint_directory::merge_judged(const schema::endpoint_record& record, instant now) {
    if (find_fault(record))
        return;
    const endpoint_id id(record.id());
    const instant heard = now - milliseconds(record.age_ms());
    auto found = endpoints_.find(id);
    const bool known_before = found != endpoints_.end();
    waiting_.erase(id);
    if (known_before && record.incarnation() < found->second.record.incarnation()) {
        endpoint_state& known = found->second;
        if (leaves(record))
            note_left(known, record.incarnation());
        if (record.unresponsive() || !may_return(known, record.incarnation()))
            return;
        // What the same process reports later is what it believes by now. Another one may be
        // behind.
        if (!known.listed && is_alive(known, now)) {
            known.contender = endpoint_contender{record, {}};
            waiting_.insert(id);
            return;
        }
        replace(record, heard, now);
    } else if (known_before && record.incarnation() == found->second.record.incarnation()) {
        // Neither the time nor the number of its last announcement orders records that another
        // process judges.
        found->second.last_heard = instant();
        found->second.record.set_sequence(0);
        merge_same_incarnation(found->second, record, heard, now);
    } else {
        replace(record, heard, now);
    }
    endpoint_state& known = endpoints_.at(id);
    known.listed = true;
    known.vouched = !record.unresponsive();
    if (record.unresponsive())
        known.last_heard = now - std::max<microseconds>(milliseconds(record.age_ms()),
                                                        settings_.unresponsive_after);
    ++changes_;
}

void endpoint_directory::adopt_waiting(instant now) {
    const std::set<endpoint_id> waiting = waiting_;
    for (const endpoint_id& id : waiting) {
        auto found = endpoints_.find(id);
        if (found == endpoints_.end() || !found->second.contender)
            waiting_.erase(id);
        else if (!is_alive(found->second, now))
            merge_judged(schema::endpoint_record(found->second.contender->record), now);
    }
}

void endpoint_directory::withdraw_vouches(instant now) {
    waiting_.clear();
    for (std::pair<const endpoint_id, endpoint_state>& known : endpoints_) {
        known.second.listed = false;
        if (std::exchange(known.second.vouched, false))
            known.second.last_heard = now;
    }
}

bool endpoint_directory::mark_unresponsive(instant now) {
    if (now - std::exchange(marked_at_, now) > longest_observation_gap)
        observing_since_ = now;
    bool any_marked = false;
    for (std::pair<const endpoint_id, endpoint_state>& known : endpoints_) {
        const instant observed_from = std::max(known.second.last_heard, observing_since_);
        const bool unheard = now - observed_from >= settings_.unresponsive_after;
        if (!unheard || std::exchange(known.second.unresponsive, true))
            continue;
        note_change(known.first, known.second);
        any_marked = true;
    }
    return any_marked;
}

bool endpoint_directory::any_unresponsive_for(milliseconds timeout, instant now) const {
    const std::vector<const endpoint_state*> in_service = serving(now);
    return std::any_of(in_service.begin(), in_service.end(),
                       [timeout, now](const endpoint_state* endpoint) {
                           return now - endpoint->last_heard > timeout;
                       });
}

google::protobuf::RepeatedPtrField<schema::endpoint_pulse>
endpoint_directory::pulses_since(std::uint64_t revision, instant now, pulse_scope scope) const {
    google::protobuf::RepeatedPtrField<schema::endpoint_pulse> out;
    for (const std::pair<const endpoint_id, endpoint_state>& known : endpoints_) {
        if (known.second.changed_revision > revision || known.second.heard_revision <= revision)
            continue;
        const bool direct = known.second.last_heard == known.second.last_heard_directly;
        if (scope == pulse_scope::direct && !direct)
            continue;
        schema::endpoint_pulse* pulse = out.Add();
        pulse->set_id(known.first.str());
        pulse->set_incarnation(known.second.record.incarnation());
        pulse->set_sequence(known.second.record.sequence());
        pulse->set_age_ms(ms_between(known.second.last_heard, now));
    }
    return out;
}

std::vector<const endpoint_state*> endpoint_directory::serving(instant now) const {
    std::vector<const endpoint_state*> out;
    out.reserve(endpoints_.size());
    for (const std::pair<const endpoint_id, endpoint_state>& known : endpoints_) {
        const bool in_service =
            !known.second.leaving && is_alive(known.second, now) && !is_replaced(known.second, now);
        if (in_service)
            out.push_back(&known.second);
    }
    return out;
}

std::vector<schema::endpoint_record> endpoint_directory::directly_heard_records(instant now) const {
    std::vector<schema::endpoint_record> out;
    for (const std::pair<const endpoint_id, endpoint_state>& known : endpoints_) {
        const microseconds age = now - known.second.last_heard_directly;
        if (age >= settings_.unresponsive_after)
            continue;
        schema::endpoint_record record = known.second.record;
        record.set_leaving(known.second.leaving);
        record.set_age_ms(ms_between(known.second.last_heard_directly, now));
        out.push_back(std::move(record));
    }
    return out;
}

std::vector<schema::endpoint_record> endpoint_directory::records_since(std::uint64_t revision,
                                                                       instant now) const {
    std::vector<schema::endpoint_record> out;
    for (auto change = by_changed_revision_.upper_bound(revision);
         change != by_changed_revision_.end(); ++change) {
        const endpoint_state& known = endpoints_.at(change->second);
        schema::endpoint_record record = known.record;
        record.set_leaving(known.leaving);
        record.set_age_ms(ms_between(known.last_heard, now));
        record.set_unresponsive(known.unresponsive || known.replaced);
        out.push_back(std::move(record));
    }
    return out;
}

void endpoint_directory::renew(const service_id& service, const software_version& version) {
    for (std::pair<const endpoint_id, endpoint_state>& known : endpoints_) {
        const schema::endpoint_record& record = known.second.record;
        if (record.service() == service.str() && record.software_version() == version.str())
            note_change(known.first, known.second);
    }
}

void endpoint_directory::forget_old(instant now) {
    for (auto known = endpoints_.begin(); known != endpoints_.end();) {
        const bool expired =
            !known->second.vouched && now - known->second.last_heard > settings_.forget_after;
        if (expired) {
            by_changed_revision_.erase(known->second.changed_revision);
            forget_address(known->second.record);
        }
        known = expired ? endpoints_.erase(known) : std::next(known);
    }
}

} // namespace cassia::membership
