#include "cassia/membership/endpoint_directory.h"

#include <algorithm>
#include <iterator>

namespace cassia::membership {

static bool differs(const schema::endpoint_record& a, const schema::endpoint_record& b) {
    schema::endpoint_record left = a;
    schema::endpoint_record right = b;
    left.clear_load();
    right.clear_load();
    left.clear_age_ms();
    right.clear_age_ms();
    left.clear_sequence();
    right.clear_sequence();
    return left.SerializeAsString() != right.SerializeAsString();
}

bool endpoint_directory::merge_announcement(const schema::endpoint_record& record, instant now) {
    const bool changed = merge(record, now);
    auto found = endpoints_.find(endpoint_id(record.id()));
    if (found->second.record.incarnation() == record.incarnation())
        found->second.own_heard = now;
    return changed;
}

bool endpoint_directory::merge_remote(const schema::endpoint_record& record, instant now) {
    return merge(record, now - milliseconds(record.age_ms()));
}

void endpoint_directory::store(endpoint_state& entry, const schema::endpoint_record& record,
                               instant heard) {
    entry.record = record;
    entry.last_heard = heard;
    entry.heard_at = ++revision_;
}

void endpoint_directory::note_change(endpoint_state& entry) {
    entry.changed_at = ++revision_;
    ++changes_;
}

static std::uint32_t ms_between(instant from, instant to) {
    return static_cast<std::uint32_t>(std::chrono::duration_cast<milliseconds>(to - from).count());
}

// An address passes from one process to another. An announcement of the earlier one that was held
// up on its way would otherwise put both there, and requests meant for one would reach the other.
void endpoint_directory::end_predecessors(const schema::endpoint_record& record) {
    for (std::pair<const endpoint_id, endpoint_state>& one : endpoints_) {
        const schema::endpoint_record& other = one.second.record;
        const bool replaced = other.address() == record.address() && other.id() != record.id() &&
                              other.incarnation() < record.incarnation() && !other.gone();
        if (!replaced)
            continue;
        one.second.leaving = true;
        one.second.record.set_gone(true);
        note_change(one.second);
    }
}

static bool is_replaced(const std::map<endpoint_id, endpoint_state>& endpoints,
                        const schema::endpoint_record& record) {
    return std::any_of(endpoints.begin(), endpoints.end(),
                       [&record](const std::pair<const endpoint_id, endpoint_state>& one) {
                           const schema::endpoint_record& other = one.second.record;
                           return other.address() == record.address() &&
                                  other.id() != record.id() &&
                                  other.incarnation() > record.incarnation();
                       });
}

bool endpoint_directory::merge(const schema::endpoint_record& record, instant heard) {
    const endpoint_id id(record.id());
    auto found = endpoints_.find(id);
    const bool newer =
        found == endpoints_.end() || record.incarnation() > found->second.record.incarnation();
    if (newer) {
        endpoint_state entry;
        store(entry, record, heard);
        const bool replaced = is_replaced(endpoints_, record);
        entry.leaving = record.leaving() || record.gone() || replaced;
        entry.record.set_gone(record.gone() || replaced);
        note_change(entry);
        endpoints_[id] = std::move(entry);
        end_predecessors(record);
        return true;
    }
    endpoint_state& known = found->second;
    if (record.incarnation() < known.record.incarnation())
        return false;
    // Leaving holds for the whole incarnation: an announcement from before it, which took a slower
    // way, would otherwise bring new work to an endpoint that is about to go.
    const bool leaves = record.leaving() || record.gone();
    const bool starts_leaving = leaves && !known.leaving;
    known.leaving = known.leaving || leaves;
    const bool gone = known.record.gone() || record.gone();
    if (starts_leaving || gone != known.record.gone())
        note_change(known);
    known.record.set_gone(gone);
    // A late announcement doesn't show that the endpoint still lives.
    const bool late = record.sequence() < known.record.sequence();
    if (heard <= known.last_heard || late)
        return starts_leaving;
    const bool differing = differs(record, known.record);
    store(known, record, heard);
    known.record.set_gone(gone);
    if (differing)
        note_change(known);
    return starts_leaving || differing;
}

// Nearly all announcements say nothing new. Passed on whole, those of 60 endpoints kept every
// gateway and keeper of a large fleet busy; where the record itself is missing here, it comes with
// the same message.
void endpoint_directory::merge_remote(const schema::endpoint_pulse& pulse, instant now) {
    auto found = endpoints_.find(endpoint_id(pulse.id()));
    if (found == endpoints_.end())
        return;
    endpoint_state& known = found->second;
    const instant heard = now - milliseconds(pulse.age_ms());
    const bool newer = pulse.incarnation() == known.record.incarnation() &&
                       pulse.sequence() >= known.record.sequence() && heard > known.last_heard;
    if (!newer)
        return;
    known.record.set_sequence(pulse.sequence());
    known.last_heard = heard;
    known.heard_at = ++revision_;
}

bool endpoint_directory::misses_any(milliseconds silence, instant now) const {
    const std::vector<const endpoint_state*> all = serving(now);
    return std::any_of(all.begin(), all.end(), [silence, now](const endpoint_state* one) {
        return now - one->last_heard > silence;
    });
}

std::vector<schema::endpoint_pulse> endpoint_directory::pulses_since(std::uint64_t revision,
                                                                     instant now) const {
    std::vector<schema::endpoint_pulse> out;
    for (const std::pair<const endpoint_id, endpoint_state>& one : endpoints_) {
        if (one.second.changed_at > revision || one.second.heard_at <= revision)
            continue;
        schema::endpoint_pulse pulse;
        pulse.set_id(one.first.str());
        pulse.set_incarnation(one.second.record.incarnation());
        pulse.set_sequence(one.second.record.sequence());
        pulse.set_age_ms(ms_between(one.second.last_heard, now));
        out.push_back(std::move(pulse));
    }
    return out;
}

std::vector<const endpoint_state*> endpoint_directory::serving(instant now) const {
    std::vector<const endpoint_state*> out;
    for (const std::pair<const endpoint_id, endpoint_state>& one : endpoints_) {
        if (!one.second.leaving && now - one.second.last_heard < settings_.silent_after)
            out.push_back(&one.second);
    }
    return out;
}

std::vector<schema::endpoint_record> endpoint_directory::directly_heard_records(instant now) const {
    std::vector<schema::endpoint_record> out;
    for (const std::pair<const endpoint_id, endpoint_state>& one : endpoints_) {
        const microseconds age = now - one.second.own_heard;
        if (age >= settings_.silent_after)
            continue;
        schema::endpoint_record record = one.second.record;
        record.set_leaving(one.second.leaving);
        record.set_age_ms(ms_between(one.second.own_heard, now));
        out.push_back(std::move(record));
    }
    return out;
}

std::vector<schema::endpoint_record> endpoint_directory::records_since(std::uint64_t revision,
                                                                       instant now) const {
    std::vector<schema::endpoint_record> out;
    for (const std::pair<const endpoint_id, endpoint_state>& one : endpoints_) {
        if (one.second.changed_at <= revision)
            continue;
        schema::endpoint_record record = one.second.record;
        record.set_leaving(one.second.leaving);
        record.set_age_ms(ms_between(one.second.last_heard, now));
        out.push_back(std::move(record));
    }
    return out;
}

void endpoint_directory::forget_old(instant now) {
    for (auto one = endpoints_.begin(); one != endpoints_.end();) {
        const bool old = now - one->second.last_heard > settings_.forget_after;
        one = old ? endpoints_.erase(one) : std::next(one);
    }
}

} // namespace cassia::membership
